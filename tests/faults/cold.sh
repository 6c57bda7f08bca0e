#!/usr/bin/env bash
# Cold starts (P05). Guards against more work for an engine that has just
# started than it can handle while it is cold, from eight hosts that do not know
# of each other's choices. It falls over when it has more than 8 requests.
# usage: cold.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1

# Requests take 2 s on average, so that 75 a second keep 25 at each of six
# engines of the model. Engine 1 starts cold and is then added under load.
run() {
	local name kind address port zone serves
	fleet_open "$build" 42 burdekin
	slow_engines 50 20
	read -r name kind address port zone serves < <(grep '^engine-1 ' \
		"$FLEET_DIR/upstreams.txt")
	sed -i '/^engine-1 /d' "$FLEET_DIR/upstreams.txt"
	FLEET_ENGINE_ARGS="--cold-ms 1 --slots 32" fleet_start_upstreams 11 \
		>/dev/null
	awk '/- {name: engine-1,/ {skip = 3} skip-- > 0 {next} {print}' \
		"$FLEET_DIR/fleet.yaml" >"$FLEET_DIR/without.yaml"
	fleet_apply "$FLEET_DIR/without.yaml" >/dev/null
	fleet_start_hosts 8
	load_start load --mix summary=1 --rate 75 --seconds 5 --seed 12 \
		--timeout-ms 8000
	sleep 1.2
	echo "$name $kind $address $port $zone $serves" \
		>>"$FLEET_DIR/upstreams.txt"
	# shellcheck disable=SC2086
	FLEET_ENGINE_ARGS='--cold-ms 5000 --slots 32 --control {"cold_slots":8}' \
		fleet_start_engine "$name" "$address" "$port" "$zone" $serves
	fleet_wait_http "http://$address:$port/healthz"
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
	load_wait
	save_records
	echo "runs of the cold engine: $(jq '[.entries[] |
		select(.cold)] | length' "$FLEET_DIR/records/engine-1.json")"
}

export PISTACHIORACK_TEST_OFF=ramp
run
must_fail "without the ramp engines fall over" check --no-fall
close_fleet "without the ramp"
unset PISTACHIORACK_TEST_OFF

run
must_pass "no engine fell over" check --no-fall --answers --not-run --least 100
close_fleet
[ "$failures" -eq 0 ]
