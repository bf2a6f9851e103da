#!/usr/bin/env bash
# Runs clang-tidy over the sources of a configured build directory (default: build), or only over the files given.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
if (($# > 0)); then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard -- '*.cc')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
