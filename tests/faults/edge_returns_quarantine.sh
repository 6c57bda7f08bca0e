#!/usr/bin/env bash
# The store returns from a copy without the list of quarantined prompt parts, against
# separate processes.
# usage: edge_returns_quarantine.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-83.lock"
flock -w 200 9
exec python3 tests/edge/returns_quarantine.py "$1/pistachiorack-edge" 83
