#!/usr/bin/env bash
# Fleet-wide limit of a workspace over 8 hosts. Guards against a limit that is
# only a sum of equal parts (a caller of one host would get an eighth), against
# leases that add up to more than the limit, and against lease traffic beyond
# the budget of a host.
# usage: limits.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
fleet_open "$1" 58 tan-seng-huat
failures=0
LIMIT=40
# Burst of one second at the start, one share for each of the hosts that turn
# from idle to busy (see grant_demand.c), and 10% for the times of measurement.
ERROR=1.10

cat >>"$FLEET_DIR/fleet.yaml" <<EOF
- workspace: yard-03
  reason: contract of 40 requests a second
  limits: {requests_per_s: $LIMIT}
EOF
FLEET_ENGINE_ARGS="--cold-ms 0" fleet_start_upstreams >/dev/null
fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
fleet_start_hosts 8

# count_ok SECONDS FROM RATE ENTRY...: answers per second with status 200 after
# second FROM, and the number of answers that are neither 200 nor 429.
count_ok() {
	local seconds=$1 from=$2 rate=$3 out="$FLEET_DIR/load.$RANDOM" host
	local -a entries=()
	shift 3
	for host in "$@"; do
		entries+=(--entry "$(fleet_host_address "$host"):8080")
	done
	"$FLEET_BUILD/standin-load" "${entries[@]}" --key yard-03=key-yard-03 \
		--model small --mix summary=1 --rate "$rate" \
		--seconds "$seconds" --timeout-ms 3000 --seed 7 --out "$out" \
		>"$FLEET_DIR/logs/load.out" 2>&1 || true
	python3 - "$out" "$from" <<'PY'
import json, sys
lines = [json.loads(line) for line in open(sys.argv[1])]
begin = 1000 * int(sys.argv[2])
start = min(line["at_ms"] for line in lines)
late = [line for line in lines if line["at_ms"] - start >= begin]
seconds = (max(line["at_ms"] for line in late) - start - begin) / 1000
good = sum(line["status"] == 200 for line in late)
bad = [line for line in late if line["status"] not in (200, 429)]
print("%.1f %d" % (good / seconds, len(bad)))
PY
}

judge() {
	local name=$1 got=$2 low=$3 high=$4
	echo "$name: ${got% *} answers/s, other statuses: ${got#* }"
	awk -v got="${got% *}" -v low="$low" -v high="$high" -v bad="${got#* }" \
		'BEGIN {exit !(got >= low && got <= high && bad == 0)}' || {
		echo "FAIL $name: wanted $low to $high answers/s"
		failures=$((failures + 1))
	}
}

lease_bytes() {
	local number total=0 value
	for number in 1 2 3 4 5 6 7 8; do
		value=$(curl -fs -m 2 \
			"http://$(fleet_host_address host-$number):8081/metrics" |
			awk '/^pr_lease_bytes_total.kind="requests"/ {sum += $2} END {print sum + 0}')
		total=$((total + value))
	done
	echo "$total"
}

sleep 11
# One host takes nearly the whole limit; an eighth of it would be 5.
judge one_host "$(count_ok 12 4 80 host-1)" 32 44
before=$(lease_bytes)
# A change of the division takes two renewals of 4 s.
judge eight_hosts "$(count_ok 24 9 120 host-1 host-2 host-3 host-4 host-5 \
	host-6 host-7 host-8)" 30 "$(awk "BEGIN {print $LIMIT * $ERROR}")"
after=$(lease_bytes)
per_host=$(((after - before) / 8 / 24))
echo "lease traffic of the limit: $per_host bytes/s sent by a host"
[ "$per_host" -le 60 ] || { echo "FAIL lease traffic"; failures=1; }
fleet_stop || failures=$((failures + 1))
[ "$failures" -eq 0 ]
