#!/bin/sh
# Builds the stand-ins of the review cases: Python modules, which only need to be compiled.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/parties.py review/*/case.py
