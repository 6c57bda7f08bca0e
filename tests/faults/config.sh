#!/usr/bin/env bash
# Changes of the configuration (P12). Guards against a host that goes back to an
# older configuration, that is not on the newest one within 3 s, or that serves
# before it has one: changes are written through the table while its answers get
# lost, during an outage, by a late writer with an old version, and while a host
# restarts. Each configuration permits one version only, so the answers and the
# engines' records show which one was in force.
# usage: config.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1

# fleet-N.yaml: versions v1 to v4, all but vN withdrawn.
write_configurations() {
	local number
	sed -i 's/ \(small\|medium\|large\)@v1$/ \1@v1 \1@v2 \1@v3 \1@v4/' \
		"$FLEET_DIR/upstreams.txt"
	for number in 1 2 3 4; do
		awk -v wanted="$number" '
			/  - {name: v1, state: proven/ {
				for (i = 1; i <= 4; i++) {
					line = $0
					sub("name: v1", "name: v" i, line)
					if (i != wanted)
						sub("proven", "withdrawn", line)
					print line
				}
				next
			}
			{print}' "$FLEET_DIR/fleet.yaml" |
			sed 's/serves: \[\([a-z]*\)@v1\]/serves: [\1@v1, \1@v2, \1@v3, \1@v4]/' \
				>"$FLEET_DIR/fleet-$number.yaml"
	done
}

open_run() {
	fleet_open "$build" 40 tan-seng-huat
	write_configurations
	FLEET_ENGINE_ARGS="--cold-ms 1" fleet_start_upstreams 9 >/dev/null
	FLEET_VERSION=0
	fleet_apply "$FLEET_DIR/fleet-1.yaml" >/dev/null
	fleet_start_hosts 5
	load_start load --mix route=1,tag=2 --rate 60 --seconds "$1" --seed 11 \
		--timeout-ms 4000
	sleep 0.7
}

# apply NUMBER: as an operator's program does; notes the time of the effect.
apply() {
	fleet_apply "$FLEET_DIR/fleet-$1.yaml" >/dev/null 2>&1 || true
	at[$1]=$(now_ms)
}

# A write with an old version number, as a writer that was paused makes it.
apply_old() {
	local newest=$FLEET_VERSION
	FLEET_VERSION=0
	fleet_apply "$FLEET_DIR/fleet-1.yaml" >/dev/null
	FLEET_VERSION=$newest
}

declare -A at
rules() {
	local number
	for number in "$@"; do
		echo --forbid "*:small@v$((number - 1)):${at[$number]}"
	done
}

export PISTACHIORACK_TEST_OFF=config
open_run 4
apply 2
load_wait
save_records
# shellcheck disable=SC2046
must_fail "without changes in force" check $(rules 2)
close_fleet "without changes"

export PISTACHIORACK_TEST_OFF=monotonic
open_run 3.5
apply 2
sleep 1.3
apply_old
load_wait
save_records
must_fail "with lower versions accepted" check --monotonic
close_fleet "with lower versions"
unset PISTACHIORACK_TEST_OFF

open_run 9.5
control platform '{"lose_answers":1,"only":"/v1/table/commit"}'
apply 2
sleep 1.5
apply_old
sleep 1.2
control platform '{"outage":true,"only":"/v1/table"}'
# Refused; it must have no effect until it is written again.
fleet_apply "$FLEET_DIR/fleet-3.yaml" >/dev/null 2>&1 || true
# A host that starts without the table has no configuration.
kill_host host-2
fleet_start_host host-2
sleep 0.7
status=$(curl -s -m 2 -w ' %{http_code}' -H 'authorization: Bearer key-yard-01' \
	-d '{"model":"small","messages":[{"role":"user","content":"x"}]}' \
	"http://$(fleet_host_address host-2):8080/v1/chat/completions")
must_pass "a fresh host serves nothing: $status" \
	grep -q 'not_run.* 503$' <<<"$status"
sleep 0.5
control platform '{"outage":false}'
apply 3
wait_ready host-2
sleep 1.2
apply 4
load_wait
save_records
# shellcheck disable=SC2046
must_pass "lost answers, old writes, outage, restart" check --monotonic \
	--answers --not-run --least 200 $(rules 2 3 4)
must_pass "the last change is in force" grep -q 'small@v4' "$FLEET_DIR/calls/load"
close_fleet
[ "$failures" -eq 0 ]
