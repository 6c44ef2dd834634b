#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python files that use
# nothing but the standard library, so that only their bytecode is made, which the scripts can do without.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2.py review/flood_2.py
