#!/bin/sh
# Installs the declared dependencies into target/deps. Run it from the
# repository root.
set -eu
stamp=target/deps/.installed
[ -e "$stamp" ] && [ "$stamp" -nt pyproject.toml ] && exit 0
rm -rf target/deps
mkdir -p target
python3 - > target/requirements.txt <<'END'
import tomllib

with open("pyproject.toml", "rb") as file:
    project = tomllib.load(file)["project"]
print("\n".join(project["dependencies"]))
END
python3 -m pip install --quiet --disable-pip-version-check \
    --target target/deps -r target/requirements.txt
touch "$stamp"
