#!/bin/sh
# Installs the libraries and the compiled package in a folder of their own, and
# then points the link target/deps to it in one step: a daemon that starts
# meanwhile finds the old folder or the new one, and each of them complete.
# The package is compiled here, since the repository is read-only where the
# daemon runs.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo "python3 is older than 3.11; install Python 3.11 or later" >&2
  exit 1
}

replace() {
  python3 -c 'import os, sys; os.replace(*sys.argv[1:])' "$1" "$2"
}

sum() {
  sha256sum | cut -c 1-16
}

add_package() {
  rm -rf "$fresh/citrondoor"
  cp -r citrondoor "$fresh/citrondoor"
  find "$fresh/citrondoor" -name __pycache__ -prune -exec rm -rf {} +
  (cd "$fresh" && python3 -m compileall -q citrondoor)
}

# Libraries with compiled parts load only on the kind of machine and with the
# version of Python that they were installed for.
libraries="$({
  uname -m
  python3 -c 'import sys; print(sys.version)'
  cat deploy/requirements.txt
} | sum)"
package="$(find citrondoor -name __pycache__ -prune -o -type f -print |
  LC_ALL=C sort | xargs sha256sum | sum)"
build="$libraries-$package"
if [ "$(readlink target/deps)" = "builds/$build" ] &&
  [ -e target/deps/.ready ]; then
  exit 0
fi

fresh="target/fresh.$$"
link="target/link.$$"
trap 'rm -rf "$fresh" "$link"' EXIT
rm -rf "$fresh" "$link"
mkdir -p target/builds
if ! [ -e "target/builds/$build/.ready" ]; then
  if [ "$(cat target/deps/.ready 2>/dev/null)" = "$libraries" ]; then
    cp -a "$(realpath target/deps)" "$fresh"
    rm "$fresh/.ready"
  else
    python3 -m pip install -q --target "$fresh" -r deploy/requirements.txt
  fi
  add_package
  echo "$libraries" >"$fresh/.ready"
  # Another build may have just placed the same folder there.
  replace "$fresh" "target/builds/$build" 2>/dev/null ||
    [ -e "target/builds/$build/.ready" ] || {
    rm -rf "target/builds/$build"
    replace "$fresh" "target/builds/$build"
  }
fi
touch "target/builds/$build"
ln -s "builds/$build" "$link"
if [ -d target/deps ] && ! [ -L target/deps ]; then
  # Of a build before there were links.
  rm -rf "$fresh"
  mv target/deps "$fresh"
fi
replace "$link" target/deps
# Daemons may still import from the builds before this one.
ls -t target/builds | tail -n +5 | while read -r old; do
  find "target/builds/$old" -maxdepth 0 -mmin +60 -exec rm -rf {} +
done
