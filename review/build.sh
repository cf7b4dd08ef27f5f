#!/bin/sh
# Builds the stand-ins of the cases. They are Python scripts, which need no build; this checks that
# they can be compiled.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'PYTHON'
import ast, glob
for path in sorted(glob.glob("common/*.py") + glob.glob("*/case.py")):
    with open(path) as file:
        ast.parse(file.read(), path)
PYTHON
