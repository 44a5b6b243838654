#!/bin/sh
# Builds what the daemon needs under target/: libraries, and the package with
# its compiled files, since the repository cannot be written to where it runs.
set -eu
cd "$(dirname "$0")/.."
if ! [ target/deps/.ready -nt deploy/requirements.txt ]; then
  rm -rf target/deps
  python3 -m pip install -q --target target/deps -r deploy/requirements.txt
  touch target/deps/.ready
fi
rm -rf target/deps/citrondoor
cp -r citrondoor target/deps/citrondoor
python3 -m compileall -q target/deps/citrondoor
