#!/usr/bin/env bash
# Sessions while a roll-out proceeds (P03). Guards against a session whose
# version changes when the share of a new version is raised, on any host, with
# the token that the caller echoes.
# usage: sessions.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1

# share NUMBER: configuration in which v2 serves this share of new sessions.
share() {
	awk -v share="$1" '{print}
		/  - {name: v1, state: proven/ {
			sub("name: v1, state: proven",
			    "name: v2, state: rolling, share: " share \
			    ", replaces: v1")
			print
		}' "$FLEET_DIR/fleet.yaml" |
		sed 's/serves: \[\([a-z]*\)@v1\]/serves: [\1@v1, \1@v2]/' \
			>"$FLEET_DIR/share-$1.yaml"
	fleet_apply "$FLEET_DIR/share-$1.yaml" >/dev/null
}

run() {
	fleet_open "$build" 43 burdekin
	sed -i 's/ \(small\|medium\|large\)@v1$/ \1@v1 \1@v2/' \
		"$FLEET_DIR/upstreams.txt"
	FLEET_ENGINE_ARGS="--cold-ms 1" fleet_start_upstreams 9 >/dev/null
	share 2000
	fleet_start_hosts 6
	load_start load --mix route=3,tag=4 --rate 80 --seconds 6 --seed 14 \
		--sessions 60 --timeout-ms 5000
	sleep 2
	share 6000
	sleep 2
	share 9000
	load_wait
	save_records
	jq -r 'select(.complete) | .version' "$FLEET_DIR/calls/load" | sort |
		uniq -c
}

export PISTACHIORACK_TEST_OFF=sessions
run
must_fail "without sessions" check --sessions
close_fleet "without sessions"
unset PISTACHIORACK_TEST_OFF

run
must_pass "60 sessions keep their version" check --sessions --answers --whole \
	--least 300
must_pass "some run on the new version" \
	grep -q '"version":"[a-z]*@v2"' "$FLEET_DIR/calls/load"
close_fleet
[ "$failures" -eq 0 ]
