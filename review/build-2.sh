#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs of the standard library (Python 3.11 or later), so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 or later is needed")'
for file in standin2/*.py [0-9]*/case.py; do
    [ -e "$file" ] && python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
