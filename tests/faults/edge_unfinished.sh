#!/usr/bin/env bash
# Answers under way that the router must not end early, against separate
# processes.
# usage: edge_unfinished.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-66.lock"
flock -w 200 9
exec python3 tests/edge/unfinished.py "$1/pistachiorack-edge" 66
