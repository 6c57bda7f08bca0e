#!/usr/bin/env bash
# Answers whose status is no status of HTTP, against separate processes.
# usage: edge_statuses.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-71.lock"
flock -w 200 9
exec python3 tests/edge/statuses.py "$1/pistachiorack-edge" 71
