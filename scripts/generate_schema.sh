#!/usr/bin/env bash
# Regenerates citrondoor/schema/generated from schema/*.thrift.
# With --check it changes nothing and fails when the committed code has drifted.
set -euo pipefail
cd "$(dirname "$0")/.."
target=citrondoor/schema/generated
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for source in schema/*.thrift; do
  thrift --gen py:slots,enum -I schema -out "$work" "$source"
done
if [ "${1:-}" = "--check" ]; then
  diff -r -x __pycache__ "$work/$target" "$target"
  exit
fi
rm -rf "$target"
cp -r "$work/$target" "$target"
