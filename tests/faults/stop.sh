#!/usr/bin/env bash
# Planned stops (P11). Guards against a stop that cuts a stream or a change,
# answers with an error to a caller that was connected, leaves something
# unfinished, or ends with another exit code than 0: each host in turn is
# stopped and started again under streaming load.
# usage: stop.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1

open_run() {
	fleet_open "$build" 34 tan-seng-huat
	slow_engines 40 12
	# As many slots as the configuration says; fewer would make full engines
	# look as if they were in cold start.
	FLEET_ENGINE_ARGS="--cold-ms 1 --slots 32" fleet_start_upstreams 9 \
		>/dev/null
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
	fleet_start_hosts "$1"
	load_start load --mix route=6,summary=2,pickup=1 --rate 60 \
		--seconds "$2" --seed 4 --retry 3 --timeout-ms 8000
}

# stop_host NAME: exit code 0 and nothing left unfinished.
stop_host() {
	local status=0
	fleet_stop_one "$1" || status=$?
	if [ $status -ne 0 ] || grep -q "requests unfinished" \
		"$FLEET_DIR/logs/$1.log"; then
		echo "FAIL: $1 ended with $status"
		tail -n 3 "$FLEET_DIR/logs/$1.log"
		failures=$((failures + 1))
	fi
}

body='{"model":"small","max_tokens":4,"messages":[{"role":"user","content":"x"}]}'

# connect NAME: connection 5 to a host. send TEXT. answered: the answer is whole.
connect() { exec 5<>"/dev/tcp/$(fleet_host_address "$1")/8080"; }
send() { printf '%b' "$1" >&5; }
answered() { timeout 4 cat <&5 | grep -q '"usage"'; }
head="POST /v1/chat/completions HTTP/1.1\\r\\nhost: x\\r\\nconnection: close\\r\\nauthorization: Bearer key-yard-01\\r\\ncontent-length: ${#body}\\r\\n\\r\\n"

# The caller was connected when the stop began, but its body is still on its way
# when the host has nothing else to do.
half_request() {
	local status=0
	connect "$1"
	send "$head${body:0:20}"
	sleep 0.1
	kill -TERM "$(fleet_pid "$1")"
	sleep 0.6
	send "${body:20}" 2>/dev/null || status=1
	answered || status=1
	return $status
}

# The caller connects just before the host stops accepting, 300 ms after the
# signal, and sends its request just after that.
late_request() {
	local status=0
	kill -TERM "$(fleet_pid "$1")"
	sleep 0.24
	connect "$1"
	sleep 0.16
	send "$head$body" 2>/dev/null || status=1
	answered || status=1
	return $status
}

judge() { check --whole --answers --once --not-run --bills --least 50; }

export PISTACHIORACK_TEST_OFF=drain
open_run 3 2
sleep 1
fleet_stop_one host-1 || true
load_wait
save_records
must_fail "without the drain the checker reports violations" \
	check --whole --least 10
close_fleet "without the drain"
unset PISTACHIORACK_TEST_OFF

open_run 4 9
sleep 0.7
for host in host-1 host-2 host-3 host-4; do
	stop_host $host
	fleet_start_host $host
	wait_ready $host
done
load_wait
wait_bills 5
save_records
must_pass "four hosts stopped in turn" judge
trap '' PIPE
must_pass "a request that is half sent is answered" half_request host-1
must_pass "a request on a new connection is answered" late_request host-2
close_fleet
[ "$failures" -eq 0 ]
