#!/bin/sh
cd "$(dirname "$0")" || exit 2
../build-2.sh || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 ../../.venv/bin/python case.py
