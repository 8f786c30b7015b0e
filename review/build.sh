#!/usr/bin/env bash
# The stand-ins are Python 3.11 (standard library only); nothing is compiled.
# Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo "review: Python 3.11 or later is needed" >&2
  exit 1
}
for source in common/*.py [1-5]/*.py; do
  [ -e "$source" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
