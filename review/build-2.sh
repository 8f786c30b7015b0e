#!/usr/bin/env bash
# The stand-ins of the second review are scripts for Python's standard library;
# nothing has to be compiled. Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast, glob
for name in sorted(glob.glob("standins-2/*.py") + glob.glob("[6-9]/case.py") + glob.glob("10/case.py")):
    ast.parse(open(name, encoding="utf-8").read(), name)
PYTHON
