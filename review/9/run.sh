#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD:$PWD/review:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 \
    exec python3 review/9/case.py
