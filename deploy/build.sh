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
# A build of the same sources must not touch what running daemons import.
if diff -rq -x __pycache__ citrondoor target/deps/citrondoor >/dev/null 2>&1
then
  exit 0
fi
fresh=target/fresh.$$
rm -rf "$fresh"
mkdir -p "$fresh"
cp -r citrondoor "$fresh/citrondoor"
find "$fresh" -name __pycache__ -prune -exec rm -rf {} +
(cd "$fresh" && python3 -m compileall -q citrondoor)
if [ -e target/deps/citrondoor ]; then
  mv target/deps/citrondoor "$fresh/old"
fi
mv "$fresh/citrondoor" target/deps/citrondoor
rm -rf "$fresh"
