#!/usr/bin/env bash
# Checks the stand-ins of the scripts; they are plain Python and need no library.
set -euo pipefail
cd "$(dirname "$0")"
for file in ./*.py ./[0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
