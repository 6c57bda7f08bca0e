#!/usr/bin/env bash
# A crowd of clients outside the limits, against one process.
# usage: crowd.sh BUILD FORM
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-61.lock"
flock -w 100 9
exec python3 tests/edge/crowd.py "$1/pistachiorack-edge" 61 "$2"
