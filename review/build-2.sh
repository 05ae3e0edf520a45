#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python, of its standard
# library alone, and run in the deploy file's venv: nothing is installed, they are only compiled.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m py_compile review/lib2/standins.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py
