#!/usr/bin/env bash
# Changes of the store that reach only a part of the hosts, against separate
# processes.
# usage: edge_feeds.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-68.lock"
flock -w 200 9
exec python3 tests/edge/feeds.py "$1/pistachiorack-edge" 68
