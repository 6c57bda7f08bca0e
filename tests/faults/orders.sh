#!/usr/bin/env bash
# Orders to engines. Guards against a version that the configuration lists for
# an engine and that never gets there, against orders without a token of the
# weight store, and against an order that is forgotten when its answer is lost
# or its owner is killed.
# usage: orders.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
fleet_open "$1" 56 tan-seng-huat
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
FLEET_ENGINE_ARGS='--cold-ms 0 --control {"load_ms":1000}'
fleet_start_upstreams >/dev/null
# engine-4 honours fencing numbers; the others ignore them.
fleet_stop_one engine-4
fleet_spawn engine-4 "$FLEET_BUILD/standin-engine" --address \
	"$(fleet_upstream_address engine-4)" --port 9000 --name engine-4 \
	--zone shah-alam --serve medium@v1 --cold-ms 0 --fencing
fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
fleet_start_hosts 4

# loaded ENGINE WHAT: waits up to 40 s.
loaded() {
	local step
	for ((step = 0; step < 80; step++)); do
		curl -fs -m 2 "$(standin_url "$1")/v1/load" |
			jq -e --arg what "$2" '.versions | index($what)' \
				>/dev/null && return 0
		sleep 0.5
	done
	return 1
}
orders() {
	curl -fs -m 2 "$(standin_url "$1")/record" |
		jq '[.entries[] | select(.kind == "order")] | length'
}
fences_rise() {
	curl -fs -m 2 "$(standin_url "$1")/record" |
		jq -e '[.entries[] | select(.kind == "order" and .applied) | .fence]
			| . == sort and length >= 1' >/dev/null
}

# Three engines are to serve a further version. The answers to
# the first orders to engine-1 are lost.
control engine-1 '{"lose_answers":2,"only":"/v1/orders"}'
sed -i -e '/name: engine-[124],/,/serves/s/serves: \[\(small\|medium\)@v1\]/serves: [\1@v1, large@v1]/' \
	"$FLEET_DIR/fleet.yaml"
fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
sleep 4
kill_host host-3
for name in engine-1 engine-2 engine-4; do
	must_pass "$name has the version" loaded "$name" large@v1
	must_pass "$name: fencing numbers rise" fences_rise "$name"
done
count=$(orders engine-3)
must_pass "no order to an engine that lacks nothing" [ "$count" -eq 0 ]
tokens=$(curl -fs -m 2 "$(standin_url platform)/record" |
	jq '[.entries[] | select(.kind == "weights")] | length')
sent=0
for name in engine-1 engine-2 engine-4; do
	sent=$((sent + $(orders "$name")))
done
echo "orders $sent, tokens $tokens"
must_pass "a token for each order" [ "$tokens" -ge "$sent" ]
must_pass "orders are not repeated without need" [ "$sent" -le 6 ]
close_fleet
[ "$failures" -eq 0 ]
