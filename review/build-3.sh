#!/usr/bin/env bash
# Prepares the stand-ins of this review's scripts. They are Python programs that
# need its standard library only, so that there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo "the scripts need python3, version 3.11 or newer" >&2
  exit 1
}
python3 - <<'CHECK'
import ast, glob
for path in glob.glob("standins-3/*.py") + glob.glob("1[1-5]/*.py"):
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
CHECK
