#!/usr/bin/env bash
# Bad input and callers that leave. Guards against input that ends or blocks a
# process: malformed HTTP and JSON, oversized and slow bodies, wrong keys, junk
# at the ports of callers, peers and operators; and against work that goes on
# after its caller left: the engine must see the cancel within 1 s. Run it on a
# build with PR_SANITIZE=ON, too.
# usage: bad_input.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
# shellcheck source=tests/faults/lib.sh
. tests/faults/lib.sh
build=$1 seed=13
RANDOM=$seed
key='authorization: Bearer key-grower-01'
body='{"model":"small","max_tokens":4,"messages":[{"role":"user","content":"x"}]}'

open_run() {
	fleet_open "$build" 41 burdekin
	slow_engines 30 25
	FLEET_ENGINE_ARGS="--cold-ms 1" fleet_start_upstreams 9 >/dev/null
	fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
	for host in "$FLEET_DIR"/host-*.yaml; do
		echo "limits: {request_timeout_ms: 2000}" >>"$host"
	done
	fleet_start_hosts 2
	address=$(fleet_host_address host-1)
	base="http://$address:8080"
}

# raw PORT FORMAT: sends bytes and does not wait. A subshell, since a write to a
# connection that was closed ends the shell.
raw() {
	(
		exec 3<>"/dev/tcp/$address/$1"
		# shellcheck disable=SC2059
		printf "$2" >&3
	) 2>/dev/null || true
}

# chat BODY: status of a request.
chat() {
	curl -s -m 4 -o /dev/null -w '%{http_code}' -H "$key" \
		--data-binary "$1" "$base/v1/chat/completions" || true
}

alive() {
	local got
	got=$(chat "$body")
	[ "$got" = 200 ] || { echo "status $got"; return 1; }
}

# expect WANTED NAME BODY
expect() {
	local got
	got=$(chat "$3")
	[[ $got =~ ^($1)$ ]] || must_pass "$2: wanted $1, got $got" false
}

malformed_http() {
	local port long
	long=$(head -c 20000 /dev/zero | tr '\0' 'a')
	for port in 8080 8081 7000; do
		raw $port 'GARBAGE\r\n\r\n'
		raw $port '\x00\x01\xff\xfe\x80'
		raw $port 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\xff\x04'
		raw $port 'GET / HTTP/9.9\r\n\r\n'
		raw $port 'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: -5\r\n\r\n{}'
		raw $port 'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999999999999\r\n\r\n{}'
		raw $port 'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\ncontent-length: 9\r\n\r\n{}'
		raw $port 'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n'
		raw $port 'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\nx'
		raw $port "GET /$long HTTP/1.1\r\nhost: x\r\n\r\n"
		raw $port "GET / HTTP/1.1\r\nx: $long\r\n\r\n"
		raw $port 'GET /%%zz%%00 HTTP/1.1\r\nhost: x\r\n\r\n'
		raw $port '\xff\xff\xff\xff\xff\xff'
		raw $port '\x00\x00\x00\x05\x81\xa4type'
	done
	{ printf 'junk\xff\x00' >"/dev/udp/$address/7000"; } 2>/dev/null || true
}

malformed_json() {
	local deep
	deep=$(head -c 100000 /dev/zero | tr '\0' '[')
	expect 400 truncated '{"model":'
	expect 400 empty ''
	expect 400 deep "$deep"
	expect 400 array '[]'
	expect 400 number_model '{"model":5,"messages":[]}'
	expect 400 text_messages '{"model":"small","messages":"x"}'
	expect 400 invalid_utf8 "$(printf '{"model":"small\xff","messages":[]}')"
	# What an engine refuses, or what is harmless, may end either way.
	for fields in '"max_tokens":-1' '"max_tokens":1e99' \
		'"max_tokens":99999999999' '"stream":"yes"' '"stream":7' \
		'"model":"\u0000"'; do
		chat "{\"model\":\"small\",\"messages\":[],$fields}" >/dev/null
	done
	head -c 3000000 /dev/zero >"$FLEET_DIR/large"
	expect '413|400|000' oversized "@$FLEET_DIR/large"
}

wrong_keys() {
	local value
	for value in 'Bearer' 'Bearer ' 'Basic eDp5' "Bearer $(printf '\x80\xff')" \
		"Bearer $(head -c 4000 /dev/zero | tr '\0' k)" 'Bearer key-grower-1'; do
		[ "$(curl -s -m 4 -o /dev/null -w '%{http_code}' \
			-H "authorization: $value" -d "$body" \
			"$base/v1/chat/completions")" = 401 ] ||
			must_pass "the key '${value:0:20}' is refused" false
	done
	curl -s -m 4 -o /dev/null -H "$key" -H 'x-session-token: ..//\..' \
		-H "x-session-id: $(head -c 2000 /dev/zero | tr '\0' s)" \
		-d "$body" "$base/v1/chat/completions"
	curl -s -m 4 -o /dev/null -H "$key" -H 'idempotency-key: a/../b c' \
		-d '{}' "$base/services/ledger/ticket"
}

# Valid requests with some bytes changed at random.
mutated() {
	local text i j at
	for ((i = 0; i < 150; i++)); do
		text="POST /v1/chat/completions HTTP/1.1\\r\\nhost: x\\r\\n$key\\r\\ncontent-length: ${#body}\\r\\n\\r\\n$body"
		for ((j = 0; j <= RANDOM % 4; j++)); do
			at=$((RANDOM % ${#text}))
			text="${text:0:at}$(printf '\\x%02x' $((RANDOM % 256)))${text:at+1}"
		done
		raw 8080 "$text"
	done
}

# Bodies that never end must not hold their connections for ever.
slow_bodies() {
	local i status
	local -a fds=()
	for ((i = 0; i < 20; i++)); do
		exec {fd}<>"/dev/tcp/$address/8080"
		printf 'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n%s\r\ncontent-length: 100\r\n\r\n{"mo' \
			"$key" >&"$fd"
		fds+=("$fd")
	done
	must_pass "slow bodies do not block others" alive
	sleep 2.5
	for fd in "${fds[@]}"; do
		status=0
		timeout 1 cat <&"$fd" >/dev/null || status=$?
		[ $status -ne 124 ] ||
			must_pass "a slow body is closed after 2 s" false
		exec {fd}>&-
	done
}

# leave: callers that leave a stream of 4 s after 0.4 s; longest run seen, ms.
leave() {
	local i long=${body/\"max_tokens\":4/\"max_tokens\":160,\"stream\":true}
	for i in 1 2 3 4 5 6; do
		curl -s -m 0.4 -o /dev/null -H "$key" -d "$long" \
			"$base/v1/chat/completions" &
		waits[$i]=$!
	done
	for i in 1 2 3 4 5 6; do wait "${waits[$i]}" || true; done
	sleep "$1"
	save_records
	longest=$(jq -s '[.[].entries[]? | select(.stream == true) | .total_ms] |
		max // 99999' "$FLEET_DIR"/records/engine-*.json)
	count=$(jq -s '[.[].entries[]? | select(.stream == true)] | length' \
		"$FLEET_DIR"/records/engine-*.json)
}

declare -a waits
export PISTACHIORACK_TEST_OFF=cancel
open_run
leave 4.3
must_pass "without the cancel runs last $longest ms" test "$longest" -gt 1400
close_fleet "without the cancel"
unset PISTACHIORACK_TEST_OFF

open_run
for part in malformed_http malformed_json wrong_keys mutated slow_bodies; do
	$part
	must_pass "alive after $part" alive
done
leave 1.2
must_pass "$count runs end with their callers, after $longest ms at most" \
	test "$longest" -lt 1400 -a "$count" -eq 6
close_fleet
[ "$failures" -eq 0 ]
