#!/usr/bin/env bash
# Sessions of callers that send only x-session-id, each request through another
# of eight hosts. Guards against a session that changes its version when a
# share is raised or when a host is killed and replaced, and against one that
# is moved more than once by a withdrawal. Judged from the load's record.
# usage: session_owners.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
FLEET_ENGINE_ARGS=--cold-ms=0
fleet_open "$1" "${PR_TEST_NET:-62}" tan-seng-huat
sed -i 's/small@v1/small@v1 small@v2/' "$FLEET_DIR/upstreams.txt"
sed -i -e 's/serves: \[small@v1\]/serves: [small@v1, small@v2]/' \
	-e 's/exposure_per_s: .*/exposure_per_s: 1000/' "$FLEET_DIR/fleet.yaml"
cp "$FLEET_DIR/fleet.yaml" "$FLEET_DIR/base.yaml"
platform="http://$FLEET_PLATFORM:$FLEET_PLATFORM_PORT"
failures=0

fail() {
	echo "FAIL $*"
	failures=$((failures + 1))
}

# document STATE SHARE
document() {
	awk -v line="state: $1, share: $2" '{print}
		/name: v1/ && !done {done = 1
			print "  - {name: v2, " line ", replaces: v1," \
				" price_in: 100, price_out: 300}"}' \
		"$FLEET_DIR/base.yaml" >"$FLEET_DIR/fleet.yaml"
	FLEET_VERSION=$(curl -fs -m 2 "$platform/v1/table/rows/config/current" |
		jq .value.version) || FLEET_VERSION=0
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
}

fleet_start_upstreams 9 >/dev/null
# Without ratings the roll-out takes no step by itself.
curl -fs -m 2 -o /dev/null -d '{"ratings_off":true}' "$platform/control"
document rolling 3000
fleet_start_hosts
# shellcheck disable=SC2046
fleet_spawn load "$1/standin-load" --no-token --sessions=300 --model=small \
	$(awk '{print "--entry=" $3 ":8080"}' "$FLEET_DIR/hosts.txt") \
	--mix=route=1,tag=1 --rate=60 --seconds=32 --seed=1 \
	--out="$FLEET_DIR/calls" \
	$(for i in 01 02 03; do echo "--key=yard-$i=key-yard-$i"; done)
sleep 8
document rolling 9000
sleep 3
kill -KILL "$(fleet_pid host-2)"
wait "$(fleet_pid host-2)" 2>/dev/null || true
sleep 3
fleet_start_host host-2
fleet_wait_http "http://$(fleet_host_address host-2):8081/readyz"
sleep 7
document withdrawn 0
wait "$(fleet_pid load)" || fail "the load saw wrong answers"
rm -f "$FLEET_DIR/pids/load"

# A token that was signed under the former secret keeps its session.
ask() {
	curl -s -m 5 -D "$FLEET_DIR/head" -o /dev/null "$@" \
		-H 'authorization: Bearer key-yard-01' -H 'x-session-id: rotated' \
		-d '{"model":"small","messages":[{"role":"user","content":"x"}]}' \
		"http://$(fleet_host_address host-1):8080/v1/chat/completions"
	tr -d '\r' <"$FLEET_DIR/head" | awk '$1 == "x-session-token:" {print $2}'
}
refused() {
	curl -fs "http://$(fleet_host_address host-1):8081/metrics" |
		awk '$1 == "pr_session_tokens_refused_total" {print $2}'
}
token=$(ask)
fleet_stop_one host-1 || fail "host-1 did not stop gracefully"
sed -i 's/^secret: \(.*\)/secret: the-next-shared-secret\nold_secrets: [\1]/' \
	"$FLEET_DIR/host-1.yaml"
fleet_start_host host-1
fleet_wait_http "http://$(fleet_host_address host-1):8081/readyz"
next=$(ask -H "x-session-token: $token")
[ -n "$token" ] && [ -n "$next" ] || fail "no token"
[ "$(refused)" = 0 ] || fail "a token of the former secret was refused"
ask -H "x-session-token: ${token%?}" >/dev/null
[ "$(refused)" = 1 ] || fail "a forged token was accepted"

changes=$(jq .session_changes "$FLEET_DIR/logs/load.out")
ran=$(jq -r 'select(.version == "small@v2") | .session' "$FLEET_DIR/calls" |
	sort -u | wc -l)
moved=$(jq -r 'select(.moved != "") | .session' "$FLEET_DIR/calls" | sort)
twice=$(uniq -d <<<"$moved" | wc -l)
echo "sessions on v2: $ran, moved: $(sort -u <<<"$moved" | wc -l)," \
	"moved twice: $twice, changed without notice: $changes"
[ "$ran" -ge 50 ] || fail "only $ran sessions ran on v2"
[ -n "$moved" ] || fail "the withdrawal moved no session"
[ "$changes" -eq 0 ] || fail "$changes sessions changed without notice"
# Two requests of a session that run at the same moment may both say so.
[ "$twice" -le 3 ] || fail "$twice sessions were moved more than once"
fleet_stop || failures=$((failures + 1))
[ "$failures" -eq 0 ]
