#!/usr/bin/env bash
# Checks the stand-ins, which are Python programs without dependencies. The router itself is built by the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for source in stand_ins/*.py [0-9]*/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source"
done
