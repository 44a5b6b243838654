#!/usr/bin/env bash
# Regenerates citrondoor/schema/generated from schema/*.thrift.
# With --check, changes nothing and fails if the committed code is out of date.
set -euo pipefail
cd "$(dirname "$0")/.."
target=citrondoor/schema/generated
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT
for schema_file in schema/*.thrift; do
  thrift --gen py:slots,enum -I schema -out "$work_dir" "$schema_file"
done
if [ "${1:-}" = "--check" ]; then
  diff -r -x __pycache__ "$work_dir/$target" "$target"
  exit
fi
rm -rf "$target"
cp -r "$work_dir/$target" "$target"
