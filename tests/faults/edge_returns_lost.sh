#!/usr/bin/env bash
# The store returns from a copy without changes that were in force, against separate processes.
# usage: edge_returns_lost.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-74.lock"
flock -w 200 9
exec python3 tests/edge/returns_lost.py "$1/pistachiorack-edge" 74
