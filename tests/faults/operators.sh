#!/usr/bin/env bash
# The operators' program against a running fleet. Guards against a change that
# is reported as in force where it is not, two operators who both win, a change
# that is written twice when its answer is lost, and a stale host that goes
# unnamed.
# usage: operators.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
fleet_open "$1" 22 burdekin
export PISTACHIORACK_OPERATOR_KEY=operator-key
fleet_start_upstreams 3 >/dev/null
control="http://$FLEET_PLATFORM:$FLEET_PLATFORM_PORT/control"
hosts=()
head -n 4 "$FLEET_DIR/hosts.txt" >"$FLEET_DIR/started.txt"
while read -r name zone address; do
	fleet_start_host "$name"
	hosts+=(--host "$address:8081")
done <"$FLEET_DIR/started.txt"
failures=0

fail() {
	echo "FAIL $*"
	failures=$((failures + 1))
}

operator() {
	"$FLEET_BUILD/pistachiorackctl" "$@" \
		--store "$FLEET_PLATFORM:$FLEET_PLATFORM_PORT" "${hosts[@]}"
}

# expect CODE WANTED-TEXT ARGUMENTS...
expect() {
	local wanted=$1 text=$2 got=0 out
	shift 2
	out=$(operator "$@" 2>&1) || got=$?
	[ "$got" = "$wanted" ] || fail "$*: exit $got, wanted $wanted: $out"
	grep -q "$text" <<<"$out" || fail "$*: no '$text' in: $out"
}

first=$(awk 'NR == 1 {print $3}' "$FLEET_DIR/hosts.txt")
# A host without a configuration serves nothing.
fleet_wait_http "http://$first:8081/healthz"
[ "$(curl -s -o /dev/null -w '%{http_code}' "http://$first:8081/readyz")" = 503 ] ||
	fail "ready without a configuration"
curl -s -H 'authorization: Bearer key-grower-01' "http://$first:8080/v1/models" |
	grep -q '"not_run"' || fail "served without a configuration"

expect 0 'version 1' apply "$FLEET_DIR/fleet.yaml"
expect 0 'version 2' zone out seq-bne --reason 'planned work'
expect 0 'version 3' zone in seq-bne --reason 'work done'

# The write takes effect and its answer is lost: it is written once.
curl -fs -d '{"lose_answers":1,"only":"/v1/table/commit"}' "$control" >/dev/null
expect 0 'version 4' version halt medium v1 --reason 'checking answers'

# Two operators change the same value of the same version at once.
sed 's/quality_target: 0.9/quality_target: 0.8/' "$FLEET_DIR/fleet.yaml" >"$FLEET_DIR/a.yaml"
sed 's/quality_target: 0.9/quality_target: 0.7/' "$FLEET_DIR/fleet.yaml" >"$FLEET_DIR/b.yaml"
status_a=0 status_b=0
operator apply --base 4 "$FLEET_DIR/a.yaml" >"$FLEET_DIR/a.out" 2>&1 &
pid_a=$!
operator apply --base 4 "$FLEET_DIR/b.yaml" >"$FLEET_DIR/b.out" 2>&1 &
pid_b=$!
wait $pid_a || status_a=$?
wait $pid_b || status_b=$?
case "$status_a/$status_b" in
0/4 | 4/0) ;;
*) fail "two operators: $status_a and $status_b:" "$(cat "$FLEET_DIR/a.out" "$FLEET_DIR/b.out")" ;;
esac
grep -hq 'quality_target' "$FLEET_DIR/a.out" "$FLEET_DIR/b.out" ||
	fail "the loser is not told what clashed"

# The store is down: nothing is written, and that is said.
curl -fs -d '{"clear":true,"outage":true}' "$control" >/dev/null
code=0
operator apply "$FLEET_DIR/fleet.yaml" --timeout 3 >"$FLEET_DIR/c.out" 2>&1 || code=$?
[ "$code" = 3 ] || [ "$code" = 6 ] || fail "apply in an outage: exit $code"
curl -fs -d '{"clear":true}' "$control" >/dev/null

# A frozen host is named as not confirmed.
kill -STOP "$(fleet_pid host-2)"
second=$(fleet_host_address host-2)
code=0
operator zone out nq-hom --reason 'test of a frozen host' --timeout 4 >"$FLEET_DIR/d.out" 2>&1 || code=$?
kill -CONT "$(fleet_pid host-2)"
[ "$code" = 5 ] || fail "frozen host: exit $code: $(cat "$FLEET_DIR/d.out")"
grep -q "$second\|host-2" "$FLEET_DIR/d.out" || fail "the frozen host is not named"
sleep 2
curl -s -H 'authorization: Bearer operator-key' "http://$second:8081/admin/config" |
	grep -q '"version":6' || fail "the host that was frozen did not catch up"

fleet_stop || fail "stop"
[ "$failures" -eq 0 ]
