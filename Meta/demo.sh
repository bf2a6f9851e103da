#!/usr/bin/env bash
# Installs missing packages, builds the demo and runs it: a small fleet on loopback in which an owner fails under load.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
cmake --preset default >/dev/null
cmake --build --preset default --target demo
exec build/Tests/Integration/demo
