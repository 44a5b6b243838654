#!/bin/sh
# Checks the stand-ins of the cases 11 to 15: they are Python scripts that need
# the standard library only, so there is nothing to compile or to install.
set -eu
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in stand3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
