#!/usr/bin/env bash
# Builds what the scripts of the second review start: compiles the stand-ins.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX=target/review-2
python3 -m compileall -q review/standins2 snipetrestle_standins review/[6-9]/*.py
