#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "no .venv: run the deploy file's build first"; exit 2; }
PYTHONPATH=review exec .venv/bin/python review/3/case.py
