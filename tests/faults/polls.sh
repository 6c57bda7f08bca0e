#!/usr/bin/env bash
# Load reports and cache events. Guards against polls beyond the byte budget,
# block hashes that differ from the engines' (events would then never match),
# and an upstream that is taken for broken because its polls fail.
# usage: polls.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
fleet_open "$1" 54 tan-seng-huat
failures=0
FLEET_ENGINE_ARGS="--cold-ms 0" fleet_start_upstreams >/dev/null
fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
fleet_start_hosts 2
host=$(fleet_host_address host-1)
metric() {
	curl -fs -m 2 "http://$host:8081/metrics" |
		awk -v name="$1" '$1 == name {print int($2)}'
}
load() {
	"$FLEET_BUILD/standin-load" --entry "$host:8080" \
		--key yard-01=key-yard-01 --model small --mix summary=1 \
		--prefixes 2 --prefix-bytes 1500 --rate 20 --seconds "$1" \
		--timeout-ms 3000 --seed 5 --out "$FLEET_DIR/load.jsonl" >/dev/null
}
# expect NAME VALUE OPERATOR LIMIT
expect() {
	echo "$1: $2"
	[ "$2" "$3" "$4" ] || {
		echo "FAIL $1: wanted $3 $4"
		failures=$((failures + 1))
	}
}
load 10
polls=$(metric 'pr_polls_total{kind="load"}')
expect 'load polls in 10 s' "$polls" -ge 5
expect 'event polls in 10 s' "$(metric 'pr_polls_total{kind="events"}')" -ge 1
expect 'bytes for load' "$(metric 'pr_poll_bytes_total{kind="load"}')" -le 8000
expect 'bytes for events' \
	"$(metric 'pr_poll_bytes_total{kind="events"}')" -le 60000
expect 'blocks confirmed by events' "$(metric pr_cache_matches_total)" -ge 1
# An engine without work dies: its polls fail, and nothing follows from that.
ejections=$(metric pr_ejections_total)
kill -KILL "$(fleet_pid engine-7)"
wait "$(fleet_pid engine-7)" 2>/dev/null || true
rm -f "$FLEET_DIR/pids/engine-7"
idle=$(metric 'pr_polls_total{kind="load"}')
sleep 33
expect 'load polls in 33 s without work' \
	$(($(metric 'pr_polls_total{kind="load"}') - idle)) -le 40
expect 'failed polls' "$(metric 'pr_poll_failures_total{kind="load"}')" -ge 1
expect ejections $(($(metric pr_ejections_total) - ejections)) -le 0
fleet_stop || failures=$((failures + 1))
[ "$failures" -eq 0 ]
