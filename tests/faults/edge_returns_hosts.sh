#!/usr/bin/env bash
# The store returns while hosts are cut off, start or are frozen, against separate processes.
# usage: edge_returns_hosts.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-75.lock"
flock -w 200 9
exec python3 tests/edge/returns_hosts.py "$1/pistachiorack-edge" 75
