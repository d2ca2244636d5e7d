#!/bin/sh
# Installs the declared libraries under target/deps; runs at the root.
set -eu
stamp=target/deps/.installed
[ -e "$stamp" ] && [ "$stamp" -nt pyproject.toml ] && exit 0
rm -rf target/deps
python3 -m pip install --quiet --disable-pip-version-check \
    --target target/deps .
# The sources at the root are run, not their copy.
rm -rf target/deps/poplarloft target/deps/standins target/deps/benchmarks \
    target/deps/poplarloft-*.dist-info build
touch "$stamp"
