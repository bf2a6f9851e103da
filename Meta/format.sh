#!/usr/bin/env bash
# Formats all C++ sources in place; with --check, only reports differences and fails if there are any.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = "--check" ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard -- '*.cc' '*.h' | xargs -r clang-format "${mode[@]}"
