#!/usr/bin/env bash
# Choice of the region. Guards against services and batch work that use the
# billed link between regions although their own region serves them, against
# work that is refused when only the other region can serve it, and against
# link bytes that are not counted.
# usage: region.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
fleet_open "$1" 55 tan-seng-huat
failures=0
FLEET_ENGINE_ARGS="--cold-ms 0" fleet_start_upstreams >/dev/null
fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
fleet_start_hosts 8
# host-8 is in kuching, the only zone of its region; ledger-3 is there, too.
host=$(fleet_host_address host-8)
key='authorization: Bearer key-yard-01'
chat='{"model":"small","max_tokens":4,"messages":[{"role":"user","content":"x"}]}'

metric() {
	curl -fs -m 2 "http://$host:8081/metrics" |
		awk -v name="$1" '$1 == name {print int($2)}'
}
expect() {
	echo "$1: $2"
	[ "$2" "$3" "$4" ] || {
		echo "FAIL $1: wanted $3 $4"
		failures=$((failures + 1))
	}
}
# send COUNT: batch requests and bookings; prints how many got 200.
send() {
	local number code good=0
	for ((number = 0; number < $1; number++)); do
		code=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H "$key" \
			-H 'x-priority: batch' -d "$chat" \
			"http://$host:8080/v1/chat/completions")
		[ "$code" = 200 ] && good=$((good + 1))
		code=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H "$key" \
			-H "idempotency-key: k$RANDOM$RANDOM" -d '{}' \
			"http://$host:8080/services/ledger/pickup")
		[ "$code" = 200 ] && good=$((good + 1))
	done
	echo $good
}
# Leaves out what the cascade does with other models: all are in the region.
expect 'answers in the region' "$(send 30)" -eq 60
expect 'choices across the link' "$(metric pr_choices_remote_total)" -eq 0
expect 'link bytes' "$(metric 'pr_link_bytes_total{direction="in"}')" -eq 0
# The region's only ledger and its engines die: the other region serves.
while read -r name _ _ _ zone _; do
	[ "$zone" = kuching ] || continue
	kill -KILL "$(fleet_pid "$name")"
	wait "$(fleet_pid "$name")" 2>/dev/null || true
	rm -f "$FLEET_DIR/pids/$name"
done <"$FLEET_DIR/upstreams.txt"
send 10 >/dev/null
expect 'answers from the other region, of 20' "$(send 10)" -ge 16
expect 'choices across the link' "$(metric pr_choices_remote_total)" -ge 16
expect 'link bytes in' "$(metric 'pr_link_bytes_total{direction="in"}')" -ge 1000
expect 'link bytes out' \
	"$(metric 'pr_link_bytes_total{direction="out"}')" -ge 500
fleet_stop || failures=$((failures + 1))
[ "$failures" -eq 0 ]
