#!/usr/bin/env bash
# Stand-ins, three daemons, one search, one unrepeatable request; then stops
# everything. --keep leaves it running and prints the addresses.
set -u
cd "$(dirname "$0")" || exit 1
. ./setup-venv.sh || exit 1
exec "$VENV/bin/python" -m standins.quickstart "$@"
