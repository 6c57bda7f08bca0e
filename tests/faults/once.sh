#!/usr/bin/env bash
# Requests that may not be repeated (P08, P09). Guards against a change that
# runs twice, a refusal that says not_run for a change that ran, and a retry
# that gets another outcome: while ledgers and the table lose answers, the table
# is down, and hosts are killed or frozen, alone and in pairs. once_burdekin.sh
# runs the same with the other deployment and another seed.
# usage: once.sh BUILD [DEPLOYMENT SEED NET]
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1 deployment=${2:-tan-seng-huat} seed=${3:-1} net=${4:-31}
faults=(ledger-loses table-loses table-outage killed frozen)
hosts=5 turn=0 freeze=0.5

begin() {
	case $1 in
	ledger-loses)
		for ledger in 1 2 3; do
			control "ledger-$ledger" '{"lose_answers":5}'
		done ;;
	table-loses) control platform \
		'{"lose_answers":8,"only":"/v1/table/commit"}' ;;
	table-outage) control platform \
		'{"outage":true,"only":"/v1/table/commit"}' ;;
	killed)
		turn=$((turn % hosts + 1))
		kill_host "host-$turn" ;;
	frozen)
		freeze_host "host-$(((turn + 1) % hosts + 1))" "$freeze" &
		frozen=$! ;;
	esac
}

end() {
	case $1 in
	table-outage) control platform '{"outage":false}' ;;
	killed) fleet_start_host "host-$turn" ;;
	frozen) wait "$frozen" ;;
	esac
}

phase() {
	local fault
	for fault in "$@"; do begin "$fault"; done
	sleep 0.4
	for fault in "$@"; do end "$fault"; done
}

open_run() {
	fleet_open "$build" "$net" "$deployment"
	fleet_start_upstreams 0 >/dev/null
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
	fleet_start_hosts $hosts
}

# Retries go on for up to 0.9 s and to any host.
start_changes() {
	local mix=pickup=1,payout=1
	[ "$FLEET_DEPLOYMENT" = tan-seng-huat ] || mix=ticket=1
	load_start load --mix "$mix" --rate 120 --seconds "$1" --seed "$seed" \
		--retry 4 --retry-ms 60 --timeout-ms 2000
}

judge() { check --once --not-run --answers --least 50; }

export PISTACHIORACK_TEST_OFF=claims
open_run
start_changes 1.2
sleep 0.3
phase ledger-loses
load_wait
save_records
must_fail "without claims the checker reports violations" judge
close_fleet "without claims"
unset PISTACHIORACK_TEST_OFF

open_run
start_changes 8
sleep 0.3
for ((a = 0; a < ${#faults[@]}; a++)); do
	# Alone, a host is frozen for longer than its callers wait.
	freeze=2.5
	phase "${faults[a]}"
	freeze=0.5
	for ((b = a + 1; b < ${#faults[@]}; b++)); do
		phase "${faults[a]}" "${faults[b]}"
	done
done
load_wait
save_records
must_pass "$deployment, seed $seed" judge
close_fleet "$deployment"
[ "$failures" -eq 0 ]
