#!/usr/bin/env bash
# Installs what is missing, builds, and shows a small fleet on loopback that loses an owner under traffic.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
cmake --preset default >/dev/null
cmake --build --preset default --target demo
exec build/Tests/Integration/demo
