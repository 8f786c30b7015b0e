#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 118 python3 case.py
