#!/bin/sh
# Checks what the scripts of the review start: their stand-ins are Python
# files of this folder, which need the standard library alone.
set -eu
cd "$(dirname "$0")"
for file in harness.py ./*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -d ../target/deps
