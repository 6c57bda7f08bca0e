#!/usr/bin/env bash
# Faulty answers of upstreams (P07). Guards against an answer that is passed on
# although it is garbage, cut, half, or belongs to another request, and against
# a broken stream that ends as if it were whole.
# usage: answers.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1

open_run() {
	fleet_open "$build" 38 tan-seng-huat
	FLEET_ENGINE_ARGS="--cold-ms 1" fleet_start_upstreams 9 >/dev/null
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
	# A stopping host waits this long for a ledger that never answers.
	for host in "$FLEET_DIR"/host-*.yaml; do
		echo "limits: {answer_timeout_ms: 2500}" >>"$host"
	done
	fleet_start_hosts 4
	load_start load --mix route=4,tag=4,summary=1,pickup=2 --rate 100 \
		--seconds "$1" --seed 8 --retry 1 --timeout-ms 2000
}

# spread FIELDS: the same fault at each engine and ledger, paths of work only.
spread() {
	local name
	for name in $(awk '{print $1}' "$FLEET_DIR/upstreams.txt"); do
		[ -e "$FLEET_DIR/pids/$name" ] || continue
		case $name in
		engine-*) control "$name" "{$1,\"only\":\"/v1/chat\"}" ;;
		*) control "$name" "{$1}" ;;
		esac
	done
}

# A caller gets a whole answer, or sees that it did not: an error status, an
# error event, a broken connection. A whole answer with wrong content is found
# by --answers, a clean end without [DONE] has the code no_done.
judge() {
	local status=0
	check --answers --once --not-run --least "$1" || status=$?
	if jq -r .code "$FLEET_DIR/calls/load" | grep -qx no_done; then
		echo "VIOLATION a stream ended without [DONE] or an error event"
		status=1
	fi
	return $status
}

export PISTACHIORACK_TEST_OFF=answer-check
open_run 2
sleep 0.3
spread '"cross_answers":3,"garbage":3,"cut_answers":3'
load_wait
save_records
must_fail "without the check of answers there are violations" judge 10
close_fleet "without the check of answers"
unset PISTACHIORACK_TEST_OFF

open_run 5
sleep 0.3
for fault in garbage half_answer cross_answers cut_answers lose_answers; do
	spread "\"$fault\":4"
	sleep 0.8
done
spread '"no_answer":1'
load_wait
save_records
must_pass "garbage, half, crossed, cut, lost and no answers" judge 200
jq -r 'select(.status != 200 or .complete == false) |
	"\(.status) \(.code) \(.verdict)"' "$FLEET_DIR/calls/load" |
	sort | uniq -c
close_fleet
[ "$failures" -eq 0 ]
