#!/bin/bash
# Prepares the stand-ins of the cases.  Needs only what the build of
# deploy/system.toml has put under target/.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q review standins
python3 -c 'from review import deployment'
