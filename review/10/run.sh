#!/bin/sh
# Plays the case with the venv of the deploy file's build. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
exec ../../.venv/bin/python case.py
