#!/usr/bin/env bash
# Everything that CI checks. Needs the environment that `make test` sets up.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=.venv/bin
$bin/ruff format --check .
$bin/ruff check .
if command -v thrift >/dev/null; then
  scripts/generate_schema.sh --check 2>/dev/null
else
  echo "thrift is not installed: the drift of generated code is not checked"
fi
$bin/citrondoorctl check examples/mn-central
$bin/citrondoorctl check examples/north-mill
$bin/python scripts/known_red.py
