#!/usr/bin/env bash
# A zone is taken out of service by the configuration under load and returned
# (P06). Guards against new work in the zone later than 3 s after the change,
# requests that fail meanwhile, and a zone that gets no work after its return.
# usage: zone.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1

open_run() {
	fleet_open "$build" 35 burdekin
	FLEET_ENGINE_ARGS="--cold-ms 1" fleet_start_upstreams 9 >/dev/null
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
	sed 's/{name: nq-hom, region: nq, state: in}/{name: nq-hom, region: nq, state: out}/' \
		"$FLEET_DIR/fleet.yaml" >"$FLEET_DIR/out.yaml"
	! cmp -s "$FLEET_DIR/fleet.yaml" "$FLEET_DIR/out.yaml"
	fleet_start_hosts 6
	load_start load --mix route=3,tag=4,ticket=2 --rate 80 \
		--seconds "$1" --seed 5 --retry 2 --timeout-ms 5000
	sleep 1
	from=$(now_ms)
	fleet_apply "$FLEET_DIR/out.yaml" >/dev/null
}

export PISTACHIORACK_TEST_OFF=config
open_run 5
load_wait
save_records
must_fail "without changes in force the checker reports violations" \
	check --closed "nq-hom:$from:$(now_ms)"
close_fleet "without changes"
unset PISTACHIORACK_TEST_OFF

open_run 9
sleep 5
to=$(now_ms)
fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
load_wait
save_records
result=$(check --closed "nq-hom:$from:$to" --whole --answers --once --not-run \
	--least 100) || failures=$((failures + 1))
echo "$result"
must_pass "the zone had work before" grep -q 'runs_before [1-9]' <<<"$result"
must_pass "the zone has work after" grep -q 'runs_after [1-9]' <<<"$result"
close_fleet
[ "$failures" -eq 0 ]
