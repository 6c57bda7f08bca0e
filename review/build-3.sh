#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs and need only its
# standard library (3.11 or later), so this compiles them in memory and finds errors early.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/stand-3/world.py review/1[1-5]/*.py tests/edge/standins.py <<'PY'
import os
import sys

for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as source:
            compile(source.read(), path, "exec")
PY
