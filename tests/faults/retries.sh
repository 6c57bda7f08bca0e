#!/usr/bin/env bash
# Retries while half of the upstreams fail. Guards against a retry storm: at
# most 1.1 attempts per request, beside the start reserve of 10 retries per
# workspace and host, and the attempts counted by the engines.
# usage: retries.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1 hosts=3 workspaces=2 reserve=10

# Half of the engines of each model refuse; the router cannot know beforehand.
run() {
	local number
	fleet_open "$build" 39 tan-seng-huat
	FLEET_ENGINE_ARGS="--cold-ms 1" fleet_start_upstreams 18 >/dev/null
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
	fleet_start_hosts $hosts
	for number in 1 2 3 4 5 6 7 8 9; do
		control "engine-$number" "{$2,\"only\":\"/v1/chat\"}"
	done
	LOAD_WORKSPACES=$workspaces load_start load --mix route=1,tag=1 \
		--rate 250 --seconds "$1" --seed 9 --timeout-ms 5000
	load_wait
	save_records
}

# judge LEAST: whole answers needed.
judge() {
	check --attempts "1.1:$((hosts * workspaces * reserve))" --not-run \
		--answers --least "$1"
}

# Ejection spares failing upstreams, so the limit matters when all fail.
# Failed upstreams get a ramp, which limits attempts, too; it has to be off.
export PISTACHIORACK_TEST_OFF=retry-budget,ramp
run 2 '"outage":true'
for number in 10 11 12 13 14 15 16 17 18; do
	control "engine-$number" '{"outage":true,"only":"/v1/chat"}'
done
mv "$FLEET_DIR/calls/load" "$FLEET_DIR/calls/first"
LOAD_WORKSPACES=$workspaces load_start load --mix route=1,tag=1 --rate 150 \
	--seconds 2 --seed 10 --timeout-ms 5000
load_wait
save_records
must_fail "without the budget the checker reports violations" judge 1
close_fleet "without the budget"
unset PISTACHIORACK_TEST_OFF

run 5 '"outage":true'
# Failing upstreams answer fastest; without ejection they would get most work
# and most requests would fail.
must_pass "half of the engines down" judge 900
close_fleet "engines down"
run 4 '"unreachable":true'
must_pass "half of the engines break connections" judge 900
close_fleet "connections broken"
[ "$failures" -eq 0 ]
