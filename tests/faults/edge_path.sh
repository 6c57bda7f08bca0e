#!/usr/bin/env bash
# The platform's path as separate processes, against stand-ins that speak the
# published protocol. Each check names the failure that it guards against.
# usage: edge_path.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-91.lock"
flock -w 200 9
# Peak memory is checked; AddressSanitizer would keep 256 MB of freed blocks.
export ASAN_OPTIONS=quarantine_size_mb=8
exec python3 tests/edge/path.py "$1/pistachiorack-edge" 91
