#!/usr/bin/env bash
# Builds the stand-ins: plain Python on the standard library, so they are only compiled. Run after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
