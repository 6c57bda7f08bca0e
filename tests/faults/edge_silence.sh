#!/usr/bin/env bash
# Sound upstreams that fall silent and go on, against separate processes.
# usage: edge_silence.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-65.lock"
flock -w 200 9
exec python3 tests/edge/silence.py "$1/pistachiorack-edge" 65
