#!/usr/bin/env bash
# Cold starts with leased ceilings. Guards against 8 hosts that together send an
# engine more than it bears after an unannounced restart, while one host is
# killed and another joins. The configuration says 8 cold slots; the engine
# falls over beyond 16, twice that, which is the bound of grant.h for two hosts
# that both take themselves for the owner. Judged by the engine's record.
# usage: cold_grants.sh BUILD [SEED...]
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
build=$1
shift
[ $# -gt 0 ] || set -- 101 102
FLEET_ENGINE_ARGS='--cold-ms 8000 --control {"cold_slots":16}'

# run SEED: prints "cold_most fell_over answered" of the restarted engine.
run() {
	local seed=$1 record
	fleet_open "$build" 51 tan-seng-huat
	# shellcheck source=tests/faults/lib.sh
	. tests/faults/lib.sh
	slow_engines 60 15
	fleet_start_upstreams >/dev/null
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
	fleet_start_hosts 7
	sleep 8
	load_start calls --model small --mix summary=1 --rate 80 --seconds 26 \
		--timeout-ms 8000 --seed "$seed"
	sleep 8
	kill -KILL "$(fleet_pid engine-1)"
	wait "$(fleet_pid engine-1)" 2>/dev/null || true
	kill_host host-2
	sleep 2
	fleet_start_engine engine-1 "$(fleet_upstream_address engine-1)" 9000 \
		shah-alam small@v1:first_ms=60,between_ms=15
	fleet_start_host host-8
	sleep 14
	curl -fs -m 2 "http://$(fleet_host_address host-1):8081/metrics" |
		grep -E '^pr_(lease|cold|ramps|ejections)' \
			>"$FLEET_DIR/metrics.txt" || true
	record=$(curl -fs -m 5 "$(standin_url engine-1)/record")
	load_wait
	[ -z "${SHOW:-}" ] || cat "$FLEET_DIR/metrics.txt" >&2
	jq -r '"\(.cold_most) \(.counts.fell_over // 0) \(.counts.done // 0)"' \
		<<<"$record"
	fleet_stop >&2 || echo "a host did not stop" >&2
	[ -n "${FLEET_KEEP:-}" ] || rm -rf "$FLEET_DIR"
}

status=0
for seed in "$@"; do
	read -r most fell answered <<<"$(run "$seed")"
	echo "seed $seed: most at once while cold $most, fell over $fell," \
		"answers $answered"
	[ "$fell" -eq 0 ] && [ "$most" -le 16 ] && [ "$answered" -ge 20 ] || {
		echo "FAIL seed $seed: wanted at most 16, 0, and 20 answers"
		status=1
	}
done
export PISTACHIORACK_TEST_OFF=ramp
read -r most fell answered <<<"$(run "$1")"
echo "without ramp: most at once $most, fell over $fell, answers $answered"
[ "$fell" -ge 1 ] || {
	echo "FAIL the engine bears the load without a ramp: nothing was tested"
	status=1
}
exit $status
