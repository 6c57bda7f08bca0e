#!/usr/bin/env bash
# Settings with fields that are new or missing, against separate processes.
# usage: edge_settings.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-70.lock"
flock -w 200 9
exec python3 tests/edge/settings.py "$1/pistachiorack-edge" 70
