#!/usr/bin/env bash
# The rating service's feed. Guards against history that is counted at a start,
# ratings that are counted twice or lost over an outage, more ratings asked for
# than the budget, and requests that suffer when the service is down.
# usage: ratings.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# Cold engines refuse work, which is not what is looked at here.
FLEET_ENGINE_ARGS=--cold-ms=0
fleet_open "$1" "${PR_TEST_NET:-63}" tan-seng-huat
fleet_start_upstreams 9 >/dev/null
fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
platform="http://$FLEET_PLATFORM:$FLEET_PLATFORM_PORT"
failures=0

fail() {
	echo "FAIL $*"
	failures=$((failures + 1))
}

metric() {
	curl -fs -m 2 "http://$(fleet_host_address "$1"):8081/metrics" |
		awk -v name="$2" '$1 == name {print $2}'
}

# wait_metric HOST NAME VALUE
wait_metric() {
	local step
	for ((step = 0; step < 200; step++)); do
		[ "$(metric "$1" "$2")" = "$3" ] && return 0
		sleep 0.05
	done
	fail "$1 $2 is $(metric "$1" "$2"), wanted $3"
}

control() { curl -fs -m 2 -o /dev/null -d "$1" "$platform/control"; }

# rate REQUEST: asks for a rating of an answer that no host gave.
rate() {
	curl -fs -m 2 -o /dev/null -d '{"request":"'"$1"'","class":"chat",
		"workspace":"yard-01","model":"small","version":"v1"}' \
		"$platform/v1/ratings"
}

newest() {
	curl -fs -m 2 "$platform/v1/ratings?after=0&limit=100000" |
		grep -o '"seq": *[0-9]*' | tail -n 1 | grep -o '[0-9]*$'
}

send() {
	"$1/standin-load" $(awk '{print "--entry=" $3 ":8080"}' \
		"$FLEET_DIR/started.txt") --mix=route=1,tag=1 --model=small \
		--rate=100 --seconds="$2" --sessions=50 --seed=1 \
		$(for i in 01 02 03; do echo "--key=yard-$i=key-yard-$i"; done) \
		>"$FLEET_DIR/load.json"
}

control '{"rating_delay_ms":10}'
for ((i = 0; i < 37; i++)); do rate "old-$i"; done
sleep 0.2
fleet_start_hosts 2
wait_metric host-1 pr_ratings_following 1
wait_metric host-2 pr_ratings_following 1
[ "$(metric host-1 pr_ratings_read_total)" = 0 ] || fail "history was counted"
wait_metric host-1 pr_ratings_cursor 37

send "$1" 4
sleep 2.5
total=$(newest)
asked=$((total - 37))
[ "$asked" -gt 20 ] || fail "only $asked ratings were asked for"
# 200 a second for the fleet, half of it for proven versions, and 5 s of it
# saved up.
[ "$asked" -le 900 ] || fail "$asked ratings were asked for, over the budget"
wait_metric host-1 pr_ratings_read_total "$asked"
wait_metric host-2 pr_ratings_read_total "$asked"
curl -fs -m 2 -H 'authorization: Bearer operator-key' \
	"http://$(fleet_host_address host-1):8081/admin/burn" >"$FLEET_DIR/burn"
# 3 is PR_OBJECTIVE_QUALITY.
grep -q '"objective":3' "$FLEET_DIR/burn" || fail "no quality objective in the burn report"
# 2 is PR_OBJECTIVE_BETWEEN_TOKENS; the load has streams.
grep -q '"objective":2' "$FLEET_DIR/burn" || fail "no time between tokens"

rate twice
sleep 0.1
rate twice
wait_metric host-1 pr_ratings_doubled_total 1
wait_metric host-1 pr_ratings_read_total $((asked + 1))

control '{"ratings_off":true}'
send "$1" 3
grep -Eq '"(wrong|broken)": *[1-9]' "$FLEET_DIR/load.json" &&
	fail "requests suffered from the outage: $(cat "$FLEET_DIR/load.json")"
control '{"ratings_off":false}'
rate after-outage
wait_metric host-1 pr_ratings_read_total $((asked + 2))

# A host that starts again does not count the feed's past.
fleet_stop_one host-2 || fail "host-2 did not stop gracefully"
fleet_start_host host-2
fleet_wait_http "http://$(fleet_host_address host-2):8081/readyz"
wait_metric host-2 pr_ratings_following 1
[ "$(metric host-2 pr_ratings_read_total)" = 0 ] || fail "a restart counts twice"
echo "ratings $asked, bytes $(metric host-1 pr_ratings_bytes_total) on host-1"
fleet_stop || failures=$((failures + 1))
[ "$failures" -eq 0 ]
