#!/usr/bin/env bash
# Checks what the scripts of cases 6 to 10 need. Their stand-ins are Python with its standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("python 3.11 or later is needed")
for pattern in ("stand_ins_2/*.py", "[0-9]*/case.py"):
    for path in sorted(pathlib.Path().glob(pattern)):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
