#!/usr/bin/env bash
# Installs what is missing, builds everything and runs all tests. Extra arguments go to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
cmake --preset default >/dev/null
cmake --build --preset default
ctest --test-dir build --output-on-failure -j 4 "$@"
