#!/bin/sh
# Builds the stand-ins of the cases. They are Python sources that use the
# standard library only, so this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - standins [0-9] <<'CHECK'
import pathlib
import sys

for folder in sys.argv[1:]:
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
CHECK
