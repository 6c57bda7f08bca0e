#!/usr/bin/env bash
# Bills (P04). Guards against an answer without a bill, an answer that is billed
# twice, and a bill for a refused or unfinished request: with callers that leave
# streams, hosts that are killed in mid-load (entry hosts and holders at once,
# since each host is both), and a table outage of several seconds.
# usage: bills.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1

open_run() {
	fleet_open "$build" 33 burdekin
	FLEET_ENGINE_ARGS="--cold-ms 1" fleet_start_upstreams 9 >/dev/null
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
	fleet_start_hosts 6
	load_start load --mix route=4,tag=4,summary=1,ticket=3 --rate 100 \
		--seconds "$1" --seed 3 --retry 3 --leave 0.2 --timeout-ms 3000
}

judge() { check --bills --answers --killed host-2 --killed host-5 --least 80; }

# Without holders the bills of a killed host are lost. The kill comes before the
# first commit of a second could write them.
export PISTACHIORACK_TEST_OFF=bill-holders
open_run 1.5
sleep 0.3
control platform '{"outage":true,"only":"/v1/table/commit"}'
sleep 0.6
kill_host host-2
control platform '{"outage":false}'
load_wait
# A graceful stop writes what the other hosts have.
stop_hosts
save_records
must_fail "without holders the checker reports violations" judge
close_fleet "without holders"
unset PISTACHIORACK_TEST_OFF

open_run 6
sleep 1
kill_host host-2
sleep 0.5
control platform '{"outage":true,"only":"/v1/table/commit"}'
sleep 1.5
kill_host host-5
sleep 1.5
control platform '{"outage":false}'
load_wait
# The second holder writes in place of a killed collector after 5 s of silence.
sleep 4
wait_bills 12
save_records
must_pass "two hosts killed, outage of 3 s" judge
close_fleet
[ "$failures" -eq 0 ]
