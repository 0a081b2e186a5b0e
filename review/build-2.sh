#!/usr/bin/env bash
# Checks that the stand-ins of cases 6 to 10 can run; they are Python programs without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 is needed" >&2; exit 1; }
for source in lib-2/*.py {6,7,8,9,10}/case.py; do
    [ ! -e "$source" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
