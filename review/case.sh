#!/bin/bash
# Runs the script of one case: review/case.sh FOLDER.  Exit status: 1 if the
# rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="target/deps:."
timeout -k 5 114 python3 -m "review.$1.run"
case $? in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
