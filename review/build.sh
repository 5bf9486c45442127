#!/usr/bin/env bash
# Checks that everything the scripts start can be loaded; all of it is Python.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps:$PWD/review" PYTHONDONTWRITEBYTECODE=1
python3 -c "import rig, snipetrestle.platform.__main__"
python3 -c "import snipetrestle_standins.gateway_fleet"
