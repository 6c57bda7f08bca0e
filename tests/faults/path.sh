#!/usr/bin/env bash
# The whole path as separate processes: caller, router host, upstream. Guards
# against a request that is not answered, a key that opens another workspace's
# models, bad input that ends a process, and a stop that is not graceful.
# usage: path.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
fleet_open "$1" 21 tan-seng-huat
fleet_start_upstreams 9 >/dev/null
fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
fleet_start_hosts 2
host=$(fleet_host_address host-1)
base="http://$host:8080"
failures=0

# expect NAME WANTED CURL-ARGUMENTS...: status and body must match WANTED.
expect() {
	local name=$1 wanted=$2 got
	shift 2
	got=$(curl -s -m 5 -w ' status=%{http_code}' "$@" || true)
	if ! grep -Eq "$wanted" <<<"$got"; then
		echo "FAIL $name: wanted $wanted, got $got"
		failures=$((failures + 1))
	fi
}

key='authorization: Bearer key-yard-01'
small='{"model":"small","max_tokens":4,"messages":[{"role":"user","content":"x"}]}'
stream='{"model":"small","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"x"}]}'
expect answer '"usage".*status=200' -H "$key" -d "$small" "$base/v1/chat/completions"
expect stream 'status=200' -H "$key" -d "$stream" "$base/v1/chat/completions"
expect models 'small.*medium.*large.*status=200' -H "$key" "$base/v1/models"
expect own_models '"data":\[\{"id":"small","object":"model"\}\].*status=200' \
	-H 'authorization: Bearer key-yard-10' "$base/v1/models"
expect forbidden 'model_not_allowed.*not_run.*status=403' \
	-H 'authorization: Bearer key-yard-10' \
	-d "${small/small/large}" "$base/v1/chat/completions"
expect wrong_key 'bad_key.*not_run.*status=401' -H 'authorization: Bearer x' \
	-d "$small" "$base/v1/chat/completions"
expect no_key 'bad_key.*status=401' -d "$small" "$base/v1/chat/completions"
expect bad_json 'bad_json.*status=400' -H "$key" -d '{"model":' \
	"$base/v1/chat/completions"
expect unknown_model 'status=40[34]' -H "$key" -d "${small/small/none}" \
	"$base/v1/chat/completions"
expect no_path 'unknown_path.*status=404' -H "$key" "$base/nothing"
expect key_needed 'idempotency_key_needed.*not_run.*status=400' -H "$key" \
	-d '{}' "$base/services/ledger/pickup"
expect booked 'status=200' -H "$key" -H 'idempotency-key: p1' -d '{}' \
	"$base/services/ledger/pickup"
expect operators 'bad_key.*status=401' "http://$host:8081/admin/burn"
expect burn '"series".*status=200' -H 'authorization: Bearer operator-key' \
	"http://$host:8081/admin/burn"

# What decided a request, also one that was refused; without a key of a caller.
explained() {
	local id
	id=$(curl -s -m 5 -o /dev/null -D - -H "$key" -d "$1" \
		"$base/v1/chat/completions" | tr -d '\r' |
		awk 'tolower($1) == "x-request-id:" {print $2}')
	sleep 0.2
	expect "$2" "$3" -H 'authorization: Bearer operator-key' \
		"http://$host:8081/admin/explain?request=$id"
}
explained "$small" explain \
	'"what":"small@v1".*"outcome":"answered".*"rule":.*status=200'
explained "${small/small/none}" explain_refused \
	'"limit":"model_not_allowed".*status=200'
expect explain_unknown 'unknown_request.*status=404' \
	-H 'authorization: Bearer operator-key' \
	"http://$host:8081/admin/explain?request=host-1-x-1"
expect explain_key 'bad_key.*status=401' \
	"http://$host:8081/admin/explain?request=host-1-x-1"
expect hosts '"host":"host-2".*"state":"alive".*status=200' \
	-H 'authorization: Bearer operator-key' "http://$host:8081/admin/hosts"
expect upstreams '"upstream":"engine-1".*"in_flight":0.*status=200' \
	-H 'authorization: Bearer operator-key' \
	"http://$host:8081/admin/upstreams"

head -c 3000000 /dev/zero >"$FLEET_DIR/large"
expect oversized 'status=(413|400|000)' -H "$key" \
	--data-binary "@$FLEET_DIR/large" "$base/v1/chat/completions"
printf 'GARBAGE\r\n\r\n' | timeout 2 bash -c "cat >/dev/tcp/$host/8080" || true
expect alive '"usage".*status=200' -H "$key" -d "$small" \
	"$base/v1/chat/completions"

# One Retry-After, not one of each part that refuses: model large has no engine
# that answers once its three are gone.
for number in 7 8 9; do
	kill -KILL "$(fleet_pid "engine-$number")"
	wait "$(fleet_pid "engine-$number")" 2>/dev/null || true
	rm -f "$FLEET_DIR/pids/engine-$number"
done
refusals=0
for _ in {1..20}; do
	curl -s -m 8 -D "$FLEET_DIR/refused" -o /dev/null -H "$key" \
		-d "${small/small/large}" "$base/v1/chat/completions"
	grep -q ' 503' "$FLEET_DIR/refused" || continue
	refusals=$((refusals + 1))
	[ "$(grep -ci '^retry-after:' "$FLEET_DIR/refused")" = 1 ] || {
		echo "FAIL Retry-After: $(cat "$FLEET_DIR/refused")"
		failures=$((failures + 1))
		break
	}
done
[ "$refusals" -gt 0 ] || { echo "FAIL no 503 to judge"; failures=$((failures + 1)); }

# The stream's last event tells that it is whole.
curl -s -m 5 -H "$key" -d "$stream" "$base/v1/chat/completions" |
	grep -q '^data: \[DONE\]' || { echo "FAIL stream end"; failures=1; }
if grep -rq 'key-yard' "$FLEET_DIR"/logs/host-*.log; then
	echo "FAIL a key is in the logs"
	failures=$((failures + 1))
fi
fleet_stop || failures=$((failures + 1))
[ "$failures" -eq 0 ]
