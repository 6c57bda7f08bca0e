#!/usr/bin/env bash
# Faults that operators of similar systems reported, against separate
# processes.
# usage: edge_operators.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-67.lock"
flock -w 200 9
exec python3 tests/edge/operators.py "$1/pistachiorack-edge" 67
