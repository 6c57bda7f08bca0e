#!/usr/bin/env bash
# Fairness over 8 hosts. Guards against one large workspace that takes the
# capacity from nine small ones, which each send their equal share of it.
# Useful answers are whole ones within 8 s.
# usage: fairness.sh BUILD [SEED]
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
fleet_open "$1" 57 tan-seng-huat
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

# fair NAME RATE: the small ones send their share, the large one RATE.
fair() {
	load large "$2" 18 yard-01
	load small $((CAPACITY * 9 / 10)) 18 yard-0{2..9} yard-10
	finish large
	finish small
	read -r small small_share _ <<<"$(judge_calls small 6000)"
	read -r large _ _ <<<"$(judge_calls large 6000)"
	echo "$1: useful answers/s, large $large, small $small"
	at_least "$1: share of the small ones' requests answered" \
		"$small_share" 0.9
}
# Warms the hosts' estimates.
load warm $CAPACITY 6 yard-0{1..9} yard-10
finish warm
fair "three times its share" $((CAPACITY * 3 / 10))
fair "twice the capacity in all" $((CAPACITY * 11 / 10))
fleet_stop || failures=$((failures + 1))
[ "$failures" -eq 0 ]
