#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start.  They
# are Python and run on the packages that the build of deploy/system.toml
# has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q standins review
PYTHONPATH="$PWD/target/deps" python3 -c 'import review.entry_system'
