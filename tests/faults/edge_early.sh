#!/usr/bin/env bash
# Answers that come while the request is still being written, against separate processes.
# usage: edge_early.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-72.lock"
flock -w 200 9
exec python3 tests/edge/early.py "$1/pistachiorack-edge" 72
