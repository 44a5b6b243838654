#!/usr/bin/env bash
# Runs all checks of CI, in the environment that `make test` creates.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=.venv/bin
$bin/ruff format --check .
$bin/ruff check .
if command -v thrift >/dev/null; then
  scripts/generate_schema.sh --check 2>/dev/null
else
  echo "thrift is not installed; skipping the check of the generated code"
fi
$bin/citrondoorctl check examples/mn-central
$bin/citrondoorctl check examples/north-mill
$bin/python scripts/known_red.py
