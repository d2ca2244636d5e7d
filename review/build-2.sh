#!/bin/sh
# Builds what the scripts of this review start beside the daemons: stand-ins
# in Python, which need no more than the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD:$PWD/review:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 \
    python3 -c "import harness_2, standins_2, standins.sampler"
