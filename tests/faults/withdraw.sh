#!/usr/bin/env bash
# Withdrawal and permitted models (P01, P02, P03). Guards against work on a
# withdrawn version, or on a model that an exception took from a workspace,
# later than 3 s after the change, against a session that changes its version
# without x-session-moved, and against a session that is moved more than once.
# usage: withdraw.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1

# Two versions of each model, both on each engine; v2 is withdrawn later.
open_run() {
	fleet_open "$build" 37 burdekin
	sed -i -e '/  - {name: v1, state: proven/{p;s/v1/v2/}' \
		-e 's/serves: \[\(small\|medium\|large\)@v1\]/serves: [\1@v1, \1@v2]/' \
		"$FLEET_DIR/fleet.yaml"
	sed -i 's/ \(small\|medium\|large\)@v1$/ \1@v1 \1@v2/' \
		"$FLEET_DIR/upstreams.txt"
	FLEET_ENGINE_ARGS="--cold-ms 1" fleet_start_upstreams 9 >/dev/null
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
	fleet_start_hosts 5
	load_start load --mix route=3,tag=4 --rate 80 --seconds "$1" --seed 7 \
		--sessions 24 --timeout-ms 5000
	sleep 1
}

# The version that the load runs on before the change.
busiest() {
	# The last line may still be written.
	sed '$d' "$FLEET_DIR/calls/load" |
		jq -r 'select(.version != "") | .version' | sort | uniq -c | sort -rn | awk 'NR == 1 {print $2}'
}

# change: withdraws that version of "small", and takes "small" from grower-02.
change() {
	version=$(busiest)
	local number=${version#*@} model=${version%@*}
	awk -v model="$model" -v number="$number" '
		/^- name:/ {in_model = ($3 == model)}
		in_model && $0 ~ "{name: " number "," {
			sub("state: proven", "state: withdrawn")
		}
		{print}' "$FLEET_DIR/fleet.yaml" >"$FLEET_DIR/changed.yaml"
	{
		echo "- workspace: grower-02"
		echo "  reason: only the large model until the audit ends"
		echo "  models: [large]"
	} >>"$FLEET_DIR/changed.yaml"
	from=$(now_ms)
	fleet_apply "$FLEET_DIR/changed.yaml" >/dev/null
}

rules() {
	local name
	echo --forbid "*:$version:$from"
	for name in small@v1 small@v2 medium@v1 medium@v2; do
		echo --forbid "grower-02:$name:$from"
	done
}

export PISTACHIORACK_TEST_OFF=config
open_run 4.8
change
load_wait
save_records
# shellcheck disable=SC2046
must_fail "without changes in force the checker reports violations" \
	check $(rules)
close_fleet "without changes"
unset PISTACHIORACK_TEST_OFF

open_run 7
change
load_wait
save_records
echo "withdrawn: $version"
# shellcheck disable=SC2046
must_pass "no work on what was taken out" check $(rules) --answers --not-run \
	--sessions --least 100
# grower-02 may be refused its model; the others lose nothing.
grep -v '"grower-02"' "$FLEET_DIR/calls/load" >"$FLEET_DIR/others"
mkdir -p "$FLEET_DIR/all"
mv "$FLEET_DIR/calls/load" "$FLEET_DIR/all/load"
mv "$FLEET_DIR/others" "$FLEET_DIR/calls/others"
must_pass "no request of the others failed" check --whole --answers
moves=$(jq -r 'select(.moved != "") | .session' "$FLEET_DIR/calls/others" |
	sort | uniq -c)
must_pass "sessions were moved" test -n "$moves"
# Requests of a session that were under way together may each be told.
echo "moves per session: $(awk '{print $1}' <<<"$moves" | sort | uniq -c |
	awk '{printf "%s x %s, ", $2, $1}')"
close_fleet
[ "$failures" -eq 0 ]
