#!/usr/bin/env bash
# Cold starts (P05). Guards against more work for an engine that has just
# started than it can handle while it is cold: engines are killed and started
# again under load from several hosts. A cold engine falls over when it has more
# than 8 requests.
# usage: cold.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1

# Requests take about 0.9 s, so 60 a second keep about 27 at each of two engines
# of the model, more than a cold one can take and less than its 32 slots.
run() {
	local name kind address port zone serves
	fleet_open "$build" 42 burdekin
	slow_engines 50 20
	FLEET_ENGINE_ARGS="--cold-ms 1 --slots 32" fleet_start_upstreams 12 \
		>/dev/null
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
	fleet_start_hosts 8
	load_start load --mix summary=1 --rate 75 --seconds 6 --seed 12 \
		--timeout-ms 8000
	sleep 1.5
	read -r name kind address port zone serves < <(grep '^engine-1 ' \
		"$FLEET_DIR/upstreams.txt")
	kill_host engine-1
	sleep 0.7
	# shellcheck disable=SC2086
	FLEET_ENGINE_ARGS="--cold-ms 4000 --slots 32" fleet_start_engine \
		"$name" "$address" "$port" "$zone" $serves
	sleep 0.2
	control engine-1 '{"cold_slots":8}'
	load_wait
	save_records
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
