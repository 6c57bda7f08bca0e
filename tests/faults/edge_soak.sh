#!/usr/bin/env bash
# A short seeded soak of the platform's path: each line of
# tests/edge/regressions.txt. Fresh seeds are run by hand:
#   python3 tests/edge/soak.py BUILD/pistachiorack-edge 64 SEED SECONDS
# usage: edge_soak.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-93.lock"
flock -w 200 9
cd "$(dirname "$0")/../.."
binary=$1/pistachiorack-edge
status=0
run() { python3 tests/edge/soak.py "$binary" 93 "$1" "$2" || status=1; }
while read -r seed seconds _; do
	[[ $seed =~ ^[0-9]+$ ]] || continue
	run "$seed" "$seconds"
done <tests/edge/regressions.txt
exit $status
