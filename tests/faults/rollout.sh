#!/usr/bin/env bash
# Roll-outs on eight hosts under load. Guards against a good version that stays
# in roll-out, a bad one that is not withdrawn, more exposure than the budget,
# a step that is lost or doubled when its owner is killed or the store is down,
# and a step that undoes an operator's withdrawal. The state is read from the
# table row, exposure is counted in the engines' records.
# usage: rollout.sh BUILD [SEED...]
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
build=$1
shift
[ $# -gt 0 ] || set -- 1 2
failures=0
# Requests a second of an unproven version at the first share, fleet-wide. The
# bad version wants 5 a second.
BAD_EXPOSURE=1
GOOD_EXPOSURE=4

fail() {
	echo "FAIL seed $seed: $*"
	failures=$((failures + 1))
}

# open SEED EXPOSURE: configuration with small@v2 on the engines of small@v1.
open() {
	seed=$1
	exposure=$2
	FLEET_VERSION=0
	FLEET_ENGINE_ARGS="--cold-ms=0 --record=200000"
	fleet_open "$build" "${PR_TEST_NET:-61}" tan-seng-huat
	sed -i 's/small@v1/small@v1 small@v2/' "$FLEET_DIR/upstreams.txt"
	sed -i -e 's/serves: \[small@v1\]/serves: [small@v1, small@v2]/' \
		-e "s/exposure_per_s: .*/exposure_per_s: $exposure\n  rollout_hold_s: 1/" \
		"$FLEET_DIR/fleet.yaml"
	cp "$FLEET_DIR/fleet.yaml" "$FLEET_DIR/before.yaml"
	fleet_start_upstreams 9 >/dev/null
	platform="http://$FLEET_PLATFORM:$FLEET_PLATFORM_PORT"
	control '{"rating_delay_ms":20,"quality":{"small@v1":0.95}}'
	document withdrawn
	fleet_start_hosts
}

control() { curl -fs -m 2 -o /dev/null -d "$1" "$platform/control"; }

# document SHARE|withdrawn: fleet.yaml with small@v2 in that state.
document() {
	local line="state: rolling, share: $1"
	[ "$1" = withdrawn ] && line="state: withdrawn"
	awk -v line="$line" '{print}
		/name: v1/ && !done {done = 1
			print "  - {name: v2, " line ", replaces: v1," \
				" price_in: 100, price_out: 300}"}' \
		"$FLEET_DIR/before.yaml" >"$FLEET_DIR/fleet.yaml"
	row_version
	FLEET_VERSION=${version:-0}
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
}

row() { curl -fs -m 2 "$platform/v1/table/rows/config/current"; }

# Sets `version` to the version of the configuration in the table.
row_version() { version=$(row 2>/dev/null | jq .value.version) || version=0; }

# Prints state and share of small@v2 as the table has them.
state() {
	row | jq -r .value.text | awk '
		/name: v2/ {found = 1}
		found && /state:/ {sub(/.*state: */, ""); sub(/[,}].*/, "")
			print; exit}'
}

# wait_state STATE SECONDS
wait_state() {
	local end=$((SECONDS + $2))
	while [ "$SECONDS" -le "$end" ]; do
		[ "$(state)" = "$1" ] && return 0
		sleep 0.2
	done
	fail "small@v2 is $(state) after $2 s, wanted $1"
	return 1
}

# send SECONDS: load in the background.
send() {
	# shellcheck disable=SC2046
	fleet_spawn load "$build/standin-load" \
		$(awk '{print "--entry=" $3 ":8080"}' "$FLEET_DIR/hosts.txt") \
		--mix=route=1,tag=1 --model=small --rate=500 --seconds="$1" \
		--seed="$seed" \
		$(for i in 01 02 03; do echo "--key=yard-$i=key-yard-$i"; done)
}

wait_load() {
	wait "$(fleet_pid load)" || fail "the load saw wrong answers"
	rm -f "$FLEET_DIR/pids/load"
}

# Requests that engines ran on small@v2.
exposed() {
	local name kind address port rest
	while read -r name kind address port rest; do
		[ "$kind" = engine ] && [ -e "$FLEET_DIR/pids/$name" ] || continue
		curl -fs -m 5 "http://$address:$port/record?limit=200000" |
			jq '[.entries[] | select(.kind == "run" and
				.version == "small@v2")] | length'
	done <"$FLEET_DIR/upstreams.txt" | awk '{sum += $1} END {print sum + 0}'
}

# Name of the host that applied the last step.
stepper() {
	grep -l 'rollout/small@v2.* by evidence' "$FLEET_DIR"/logs/host-*.log |
		head -n 1 | sed 's/.*\/\(host-[0-9]*\)\.log/\1/'
}

# One request per second over the limit of the first share, and the budget
# that eight hosts may have saved up: 5 s of their part, at least one request.
bound() {
	local share=$1 seconds=$2
	awk -v rate="$exposure" -v share="$share" -v s="$seconds" 'BEGIN {
		scale = share / 100
		saved = 5 * rate > 8 ? 5 * rate : 8
		print int((rate * s + saved) * scale) + 1}'
}

good_version() {
	local killed
	control '{"quality":{"small@v2":0.95}}'
	send 100
	sleep 3
	document 500
	for ((i = 0; i < 300; i++)); do
		killed=$(stepper || true)
		[ -n "$killed" ] && break
		sleep 0.2
	done
	if [ -n "$killed" ]; then
		kill -KILL "$(fleet_pid "$killed")"
		wait "$(fleet_pid "$killed")" 2>/dev/null || true
		rm -f "$FLEET_DIR/pids/$killed"
		echo "seed $seed: killed $killed in the middle of the roll-out"
	else
		fail "no step was taken"
	fi
	wait_state proven 80 && echo "seed $seed: good version proven"
	kill -TERM "$(fleet_pid load)"
	wait_load
	if [ "$(row | jq -r '.value.previous[]' | sort | uniq -d)" ]; then
		fail "a change was applied twice"
	fi
}

bad_version() {
	local begun end runs most
	control '{"quality":{"small@v2":0.6}}'
	send 60
	sleep 4
	begun=$SECONDS
	document 500
	wait_state withdrawn 45
	# Hosts learn of it within a second; what runs then may end.
	end=$((SECONDS - begun + 1))
	sleep 3
	runs=$(exposed)
	most=$(bound 500 "$end")
	echo "seed $seed: bad version ran $runs times in $end s, bound $most"
	[ "$runs" -gt 0 ] || fail "the bad version never ran"
	[ "$runs" -le "$most" ] || fail "exposure $runs is over $most"
	sleep 1
	[ "$(exposed)" = "$runs" ] || fail "the withdrawn version runs on"
	kill -TERM "$(fleet_pid load)"
	wait_load
}

# The store fails while steps are due, then an operator withdraws a good version
# whose steps are due at the same moment.
outage_and_operator() {
	local runs
	control '{"quality":{"small@v2":0.95}}'
	send 60
	sleep 3
	document 2500
	sleep 2
	control '{"outage":true}'
	sleep 8
	control '{"outage":false}'
	sleep 0.5
	document withdrawn
	sleep 3
	runs=$(exposed)
	sleep 4
	[ "$(state)" = withdrawn ] ||
		fail "a step undid the operator's withdrawal: $(state)"
	[ "$(exposed)" = "$runs" ] || fail "the withdrawn version runs on"
	echo "seed $seed: the operator's withdrawal stayed in force"
	kill -TERM "$(fleet_pid load)"
	wait_load
}

open 3 $GOOD_EXPOSURE
outage_and_operator
fleet_stop || failures=$((failures + 1))
rm -rf "$FLEET_DIR"
for seed in "$@"; do
	open "$seed" $BAD_EXPOSURE
	bad_version
	fleet_stop || failures=$((failures + 1))
	rm -rf "$FLEET_DIR"
	open "$seed" $GOOD_EXPOSURE
	good_version
	fleet_stop || failures=$((failures + 1))
	rm -rf "$FLEET_DIR"
done
mkdir -p "$FLEET_DIR/pids"
[ "$failures" -eq 0 ]
