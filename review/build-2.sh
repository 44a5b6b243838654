#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the daemon: they
# need the standard library only. The daemon is built by deploy/build.sh.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile stage2/*.py [6-9]/case.py 10/case.py
