#!/bin/sh
# Checks that what the scripts of review/6 to review/10 start can be read and imported; run it after the build
# of the deploy file. The stand-ins (review/lab2.py) are plain Python of the standard library: nothing
# is compiled for one kind of machine, and nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
for file in review/lab2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
    review/10/case.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c 'import sys; sys.path.insert(0, "review"); import lab2'
