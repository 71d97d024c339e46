#!/bin/sh
# Builds what the cases 4 to 8 start beside the nodes. Their stand-ins need the standard
# library of Python 3.11 only, so it is enough to compile them; nothing is installed.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in [pathlib.Path("rig.py"), *sorted(pathlib.Path().glob("[4-8]/case.py"))]:
    compile(path.read_text(), str(path), "exec")
PYTHON
