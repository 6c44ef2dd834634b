#!/bin/sh
# Builds the stand-ins of the cases: Python files that need the standard library only. Run it after the
# deploy file's `build`, whose environment the cases use as well.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the deploy file's build first" >&2; exit 1; }
.venv/bin/python -m compileall -q review
