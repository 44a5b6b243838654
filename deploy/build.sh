#!/bin/sh
# Installs the libraries and the compiled package in target/deps. The package is
# compiled here, since the repository is read-only where the daemon runs.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo "python3 is older than 3.11; install Python 3.11 or later" >&2
  exit 1
}
# Libraries with compiled parts load only on the kind of machine and with the
# version of Python that they were installed for.
kind="$(uname -m) $(python3 -c 'import sys; print(sys.version)' | tr -d '\n')"
if ! [ target/deps/.ready -nt deploy/requirements.txt ] ||
  [ "$(cat target/deps/.ready)" != "$kind" ]; then
  rm -rf target/deps
  python3 -m pip install -q --target target/deps -r deploy/requirements.txt
  echo "$kind" >target/deps/.ready
fi
# If the sources are unchanged, keeps the package that running daemons import.
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
