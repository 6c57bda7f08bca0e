#!/usr/bin/env bash
# The store returns from an older copy around roll-outs, against separate processes.
# usage: edge_returns_rollouts.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-77.lock"
flock -w 200 9
exec python3 tests/edge/returns_rollouts.py "$1/pistachiorack-edge" 77
