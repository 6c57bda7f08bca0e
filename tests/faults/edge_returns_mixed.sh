#!/usr/bin/env bash
# A relay of an earlier release beside hosts of this one, against separate
# processes.
# usage: edge_returns_mixed.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-84.lock"
flock -w 200 9
exec python3 tests/edge/returns_mixed.py "$1/pistachiorack-edge" 84
