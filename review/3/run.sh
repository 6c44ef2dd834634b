#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the
# disruption out. What was sent, answered and run is in record.txt.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "run the deploy file's build first" >&2; exit 2; }
exec ../../.venv/bin/python case.py
