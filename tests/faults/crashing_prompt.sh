#!/usr/bin/env bash
# Guards against requests with one part in their prompts that crash one upstream
# after the other, at any host, until few upstreams are left for the others.
# usage: crashing_prompt.sh BUILD
set -euo pipefail
# Two runs on the same addresses would disturb each other.
exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-65.lock"
flock -w 200 9
cd "$(dirname "$0")/../.."
python3 tests/edge/soak.py "$1/pistachiorack-edge" 65 103 25 --kinds crash
