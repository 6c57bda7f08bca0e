#!/usr/bin/env bash
# Overload over 8 hosts. Guards against goodput that collapses at twice the
# capacity, and against refusals that do not say when to come again or whether
# the request ran. Useful answers are whole ones within 8 s.
# usage: overload.sh BUILD [SEED]
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
fleet_open "$1" 52 tan-seng-huat
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
seed=${2:-101}
# 6 engines of 16 slots; a request takes 50 ms and 24 tokens of 40 ms on
# average, so the capacity is 6 * 16 / 1.01 s = 95 requests/s.
CAPACITY=95
slow_engines 50 40
sed -i -e 's/slots: 32, cold_slots: 8/slots: 16, cold_slots: 4/' \
	-e 's/weight: 5/weight: 1/' "$FLEET_DIR/fleet.yaml"
FLEET_ENGINE_ARGS='--cold-ms 0 --slots 16 --control {"queue_max":32}'
fleet_start_upstreams >/dev/null
fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
fleet_start_hosts 8
sleep 2

# shellcheck source=script/lib/overload.sh
. script/lib/overload.sh

all=(yard-0{1..9} yard-10)
load capacity $CAPACITY 16 "${all[@]}"
finish capacity
read -r at_capacity _ wrong <<<"$(judge_calls capacity 6000)"
echo "at capacity: $at_capacity useful answers/s, wrong refusals $wrong"

load twice $((2 * CAPACITY)) 20 "${all[@]}"
sleep 10
host=$(fleet_host_address host-1)
missing=0 refused=0
for ((i = 0; i < 60; i++)); do
	head=$(curl -s -m 8 -D - -o /dev/null -H 'authorization: Bearer key-yard-01' \
		-d '{"model":"small","max_tokens":2,"messages":[{"role":"user","content":"x"}]}' \
		"http://$host:8080/v1/chat/completions" || true)
	grep -Eq '^HTTP[^ ]* (429|503)' <<<"$head" || continue
	refused=$((refused + 1))
	grep -Eiq '^retry-after: [1-9]' <<<"$head" || missing=$((missing + 1))
done
finish twice
read -r at_twice _ wrong_twice <<<"$(judge_calls twice 6000)"
at_least "useful answers/s at twice the capacity" "$at_twice" \
	"$(awk "BEGIN {print 0.9 * $at_capacity}")"
echo "refusals without Retry-After: $missing of $refused"
[ "$missing" -eq 0 ] || { echo "FAIL Retry-After"; failures=$((failures + 1)); }
[ $((wrong + wrong_twice)) -eq 0 ] || {
	echo "FAIL $wrong and $wrong_twice refusals are not 429 or 503 not_run"
	failures=$((failures + 1))
}

fleet_stop || failures=$((failures + 1))
[ "$failures" -eq 0 ]
