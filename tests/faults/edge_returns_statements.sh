#!/usr/bin/env bash
# The store states no era, or odd ones, against separate processes.
# usage: edge_returns_statements.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-76.lock"
flock -w 200 9
exec python3 tests/edge/returns_statements.py "$1/pistachiorack-edge" 76
