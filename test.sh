#!/usr/bin/env bash
# Format check, linter and every test; closes with 'N passed, N failed'.
set -u
cd "$(dirname "$0")" || exit 1
. ./setup-venv.sh || exit 1
status=0
"$VENV/bin/ruff" format --check . || status=1
"$VENV/bin/flake8" samphiredock platform soak standins tests benchmarks || status=1
"$VENV/bin/python" -m tests.run "$@" || status=1
exit $status
