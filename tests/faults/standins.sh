#!/usr/bin/env bash
# Checks the interfaces and faults of the stand-in programs with curl.
# Guards against a stand-in that does not do what the failure tests rely on: a
# fault that does not happen, an effect that is not recorded, a wrong answer
# that the load program accepts. Argument: the build folder. Runs under 60 s.
set -euo pipefail
bin=${1:?build folder}
work=$(mktemp -d)
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap cleanup EXIT

# A net of its own per run, so that runs of several worktrees do not meet.
net=127.11.$((1 + $$ % 250))
platform=http://$net.1:9100
ledger=http://$net.2:9100
engine=http://$net.3:9100
second=http://$net.4:9100
checks=0

fail() {
	echo "FAIL: $*" >&2
	for log in "$work"/*.log; do
		sed "s|^|$(basename "$log"): |" "$log" >&2
	done
	exit 1
}
# check <what> <wanted> <seen>
check() {
	checks=$((checks + 1))
	[ "$2" = "$3" ] || fail "$1: wanted '$2', saw '$3'"
}
# await <what> <wanted> <command>...: like check, but gives it 10 s to come true,
# since the machine may be busy.
await() {
	local what=$1 wanted=$2 seen=
	shift 2
	for _ in $(seq 100); do
		seen=$("$@")
		[ "$wanted" = "$seen" ] && break
		sleep 0.1
	done
	check "$what" "$wanted" "$seen"
}
# field <url> <jq filter>
field() { call "$1" | jq -c "$2"; }
call() { curl -s -m 5 "$@"; }
# Exit code of curl, and nothing else. 18 and 56 both mean that the connection
# broke inside the answer.
code() {
	local rc=0
	curl -s -m 5 -o /dev/null "$@" || rc=$?
	echo "$rc" | sed 's/^18$/56/'
}
status() { call -o /dev/null -w '%{http_code}' "$@"; }
control() { call -o /dev/null -d "$2" "$1/control"; }
count() { call "$1/record?after=100000000" | jq -r ".counts[\"$2\"] // 0"; }
# start <program> <address> <name> <argument>...
start() {
	local program=$1 address=$2 name=$3
	shift 3
	"$bin/$program" --address "$address" --port 9100 --name "$name" \
		--lifetime 100 "$@" 2>"$work/$name.log" &
	pids+=($!)
	for _ in $(seq 100); do
		# Another process may hold the address and answer.
		kill -0 "${pids[-1]}" 2>/dev/null || break
		[ "$(field "http://$address:9100/record?limit=0" .name || true)" = \
			"\"$name\"" ] && kill -0 "${pids[-1]}" && return 0
		sleep 0.05
	done
	fail "$name does not listen"
}
commit() { call -d "{\"ops\":[$1]}" "$platform/v1/table/commit"; }

start standin-platform $net.1 platform --quality small@v1=1 \
	--quality small@v2=0 --control '{"rating_delay_ms":1500}'
start standin-ledger $net.2 ledger
start standin-engine $net.3 engine --cold-ms 1 --fencing --slots 2 \
	--serve small@v1:first_ms=20,between_ms=2
start standin-engine $net.4 second --cold-ms 1 \
	--serve small@v1:first_ms=20,between_ms=2

# Table: conditional writes, versions, reads.
row='{"table":"claims","key":"w1/a b","if":"absent","value":{"n":1}}'
check "insert" true "$(commit "$row" | jq '.results[0].applied')"
check "insert again" '{"applied":false,"version":1,"value":{"n":1}}' \
	"$(commit "$row" | jq -c '.results[0]')"
row='{"table":"claims","key":"w1/a b","if":"version","version":1,"value":{"n":2}}'
check "two writers, one wins" '[true,false]' \
	"$(commit "$row,$row" | jq -c '[.results[].applied]')"
check "read" '{"version":2,"value":{"n":2}}' \
	"$(call "$platform/v1/table/rows/claims/w1/a%20b")"
check "unless" 304 \
	"$(status "$platform/v1/table/rows/claims/w1/a%20b?unless=2")"
check "no row" 404 "$(status "$platform/v1/table/rows/claims/none")"
commit '{"table":"claims","key":"w2/c","value":{}}' >/dev/null
check "prefix" '["w1/a b"]' "$(call \
	"$platform/v1/table/rows/claims?prefix=w1/" | jq -c '[.rows[].key]')"
commit '{"table":"claims","key":"w2/c","value":null}' >/dev/null
check "deleted" 404 "$(status "$platform/v1/table/rows/claims/w2/c")"

# Table: the write of a lost or late answer is in force; an outage runs nothing.
control $platform '{"lose_answers":1,"only":"/v1/table"}'
check "lost answer" 52 "$(code -d \
	'{"ops":[{"table":"t","key":"lost","value":{}}]}' \
	$platform/v1/table/commit)"
check "lost write is there" 200 "$(status $platform/v1/table/rows/t/lost)"
control $platform '{"clear":true,"outage":true,"only":"/v1/table"}'
check "outage" 503 "$(status $platform/v1/table/rows/t/lost)"
check "outage elsewhere" 200 "$(status $platform/v1/hosts)"
control $platform '{"clear":true,"slow_ms":1000}'
check "slow" 28 "$(code -m 0.3 -d \
	'{"ops":[{"table":"t","key":"late","value":{}}]}' \
	$platform/v1/table/commit)"
control $platform '{"clear":true}'
check "late write is not there yet" 404 \
	"$(status $platform/v1/table/rows/t/late)"
await "late write is there" 200 status $platform/v1/table/rows/t/late
# More calls than a busy machine lets through at one a second.
control $platform '{"writes_per_s":1}'
codes=$(for _ in 1 2 3 4 5 6; do status -d \
	'{"ops":[{"table":"t","key":"b","value":{}}]}' \
	$platform/v1/table/commit; echo; done | sort -u | tr '\n' ' ')
check "write budget" "200 429 " "$codes"
control $platform '{"writes_per_s":400}'

# Objects, ratings, weights, hosts.
check "put object" 200 "$(status -X PUT --data-binary 'bytes' \
	$platform/v1/objects/x)"
check "get object" bytes "$(call $platform/v1/objects/x)"
for version in v1 v2; do
	call -o /dev/null -d "{\"request\":\"r\",\"workspace\":\"w\",
		\"class\":\"tag\",\"model\":\"small\",\"version\":\"$version\"}" \
		$platform/v1/ratings
done
check "rating is late" 0 \
	"$(call $platform/v1/ratings | jq '.ratings | length')"
await "scores follow quality" '[1,0]' \
	field $platform/v1/ratings '[.ratings[].score | floor]'
codes=$(for _ in 1 2 3 4 5 6 7 8; do status \
	-d '{"upstream":"e","version":"v"}' $platform/v1/weights; echo; done |
	sort -u | tr '\n' ' ')
check "weight budget" "200 429 " "$codes"
control $platform '{"hosts_lag_ms":1500,"hosts":[{"host":"h1","zone":"z"}]}'
check "host list lags" 0 "$(call $platform/v1/hosts | jq '.hosts | length')"
await "host appears" '"live"' field $platform/v1/hosts '.hosts[0].state'

# Ledger: runs every time, records each run, faults.
for attempt in 1 2; do
	check "run $attempt" "a$attempt" "$(call -d '{}' \
		-H 'idempotency-key: k1' -H "x-attempt-id: a$attempt" \
		-D - -o /dev/null $ledger/payout | tr -d '\r' |
		sed -n 's/^x-attempt-id: //p')"
done
check "no de-duplication" 2 "$(call $ledger/record |
	jq '[.entries[] | select(.key == "k1")] | length')"
control $ledger '{"refuse":1}'
check "refusal" not_run "$(call -d '{}' $ledger/payout | jq -r .error.verdict)"
control $ledger '{"break_before":1}'
check "break before" 52 "$(code -d '{}' $ledger/payout)"
check "neither ran" 2 "$(count $ledger runs)"
control $ledger '{"lose_answers":1}'
check "lose answer" 52 "$(code -d '{}' $ledger/payout)"
control $ledger '{"half_answer":1}'
check "half answer" 56 "$(code -d '{}' $ledger/payout)"
control $ledger '{"no_answer":1}'
check "no answer" 28 "$(code -m 0.3 -d '{}' $ledger/payout)"
check "all three ran" 5 "$(count $ledger runs)"
control $ledger '{"freeze_ms":1500}'
sleep 0.1
check "frozen" 28 "$(code -m 0.4 $ledger/healthz)"
check "thawed" 200 "$(status $ledger/healthz)"

# Engine: same text with and without stream and on another engine.
ask='"model":"small","messages":[{"role":"user","content":"hi"}],"max_tokens":8'
whole=$(call -d "{$ask}" $engine/v1/chat/completions |
	jq -r '.choices[0].message.content')
stream_text() {
	sed -n 's/^data: {/{/p' | jq -rj '.choices[0].delta.content // ""'
	echo .
}
check "stream" "$whole." "$(call -H 'x-attempt-id: s1' \
	-d "{$ask,\"stream\":true}" $engine/v1/chat/completions | stream_text)"
check "other engine" "$whole" "$(call -d "{$ask}" $second/v1/chat/completions |
	jq -r '.choices[0].message.content')"
check "ends with DONE" "data: [DONE]" "$(call -d "{$ask,\"stream\":true}" \
	$engine/v1/chat/completions | grep . | tail -1)"
check "usage" 8 "$(call -d "{$ask,\"stream\":true}" \
	$engine/v1/chat/completions | sed -n 's/^data: {/{/p' |
	jq '.usage.completion_tokens // empty')"
call $engine/v1/kv/s1 | call -o /dev/null -X PUT --data-binary @- \
	$second/v1/kv/s1
check "resume elsewhere" "${whole:30}." "$(call \
	-d '{"attempt":"s1","from":3,"stream":true}' $second/v1/resume |
	stream_text)"
check "unknown version" not_run "$(call -d "{${ask/small/small@v9}}" \
	$engine/v1/chat/completions | jq -r .error.verdict)"

# Engine: a caller that leaves, cancel, priorities, faults.
long='"model":"small@v1","messages":[{"role":"user","content":"long"}],
	"max_tokens":8000,"stream":true'
check "leave" 28 "$(code -m 0.3 -H 'x-attempt-id: left' -d "{$long}" \
	$engine/v1/chat/completions)"
await "left run stops" '"cancelled"' field $engine/record \
	'.entries[] | select(.attempt == "left") | .outcome'
for attempt in c1 c2; do
	call -o /dev/null -H "x-attempt-id: $attempt" -d "{$long}" \
		$engine/v1/chat/completions &
done
await "both slots are taken" 2 field $engine/v1/load .running
queued=0
for priority in batch interactive; do
	call -o /dev/null -H "x-attempt-id: $priority" \
		-H "x-priority: $priority" -d "{$ask}" \
		$engine/v1/chat/completions &
	queued=$((queued + 1))
	await "$priority waits" "[2,$queued]" field $engine/v1/load \
		'[.running,.queued]'
done
check "cancel" true "$(call -d '{"attempt":"c1"}' $engine/v1/cancel |
	jq .cancelled)"
await "interactive first" '["interactive","batch"]' field $engine/record \
	'[.entries[] | .attempt | select(. == "batch" or . == "interactive")]'
call -o /dev/null -d '{"attempt":"c2"}' $engine/v1/cancel
for fault in half_answer:56 lose_answers:52; do
	control $engine "{\"${fault%:*}\":1}"
	check "stream ${fault%:*}" "${fault#*:}" "$(code \
		-d "{$ask,\"stream\":true}" $engine/v1/chat/completions)"
done
control $engine '{"cut_answers":1}'
check "cut stream has no DONE" 0 "$(call -d "{$ask,\"stream\":true}" \
	$engine/v1/chat/completions | grep -c DONE || true)"

# Engine: orders, cache events, cold start.
check "order" 200 "$(status -d \
	'{"order":"load","model":"large","version":"v1","fence":5}' \
	$engine/v1/orders)"
check "old fence" 409 "$(status -d \
	'{"order":"unload","model":"small","version":"v1","fence":4}' \
	$engine/v1/orders)"
for fence in 5 4; do
	check "fence $fence not checked" 200 "$(status -d "{\"order\":\"load\",
		\"model\":\"large\",\"version\":\"v1\",\"fence\":$fence}" \
		$second/v1/orders)"
done
check "old fence is recorded" '[false,true]' "$(call $second/record |
	jq -c '[.entries[] | select(.kind == "order") | .stale]')"
await "loaded" '["small@v1","large@v1"]' field $engine/v1/load .versions
prompt=$(printf 'x%.0s' $(seq 640))
ask="\"model\":\"small\",\"messages\":[{\"role\":\"user\",\"content\":\"$prompt\"}]"
control $second '{"events_lag_ms":2000}'
for _ in 1 2; do
	call -o /dev/null -d "{$ask,\"max_tokens\":1}" \
		$second/v1/chat/completions
done
check "events are late" 0 "$(call $second/v1/events | jq '.events | length')"
await "events" 10 field $second/v1/events '.events | length'
check "prefix hit" '[0,1]' "$(call $second/record |
	jq -c '[.entries[-2:][].hit | floor]')"
control $second '{"cold":true,"cold_ms":8000,"cold_slots":1,"fall_ms":2000}'
waiting=()
for _ in 1 2; do
	call -o /dev/null -d "{$ask,\"max_tokens\":400}" \
		$second/v1/chat/completions &
	waiting+=($!)
done
wait "${waiting[@]}"
check "falls over" 1 "$(count $second fell_over)"
check "answers 500" 500 "$(status $second/v1/load)"
await "comes back" 200 status $second/v1/load
control $second '{"cold":false}'

# Load: every answer checked, retries keep the key, wrong answers are found.
control $engine '{"clear":true,"slots":200}'
load() { timeout 30 "$bin/standin-load" --direct "$@" 2>"$work/load.log"; }
load --entry $net.3:9100 --entry $net.4:9100 --rate 100 --requests 60 \
	--mix route=2,summary=1,tag=2 --seed 7 --out "$work/out.jsonl" \
	>"$work/summary.json" || fail "load on healthy engines"
check "all answers right" 60 "$(jq '[.classes[].ok] | add' \
	"$work/summary.json")"
check "one line each" 60 "$(wc -l <"$work/out.jsonl")"
before=$(count $ledger runs)
control $ledger '{"lose_answers":5}'
load --entry $net.2:9100 --rate 200 --requests 40 \
	--mix pickup=1,payout=1 --retry 3 --seed 7 >"$work/summary.json" ||
	fail "load on the ledger"
check "retried until done" 40 "$(jq '[.classes[].ok] | add' \
	"$work/summary.json")"
check "each retry ran again" 45 "$(($(count $ledger runs) - before))"
control $engine '{"cross_answers":1}'
rc=0
load --entry $net.3:9100 --rate 100 --requests 5 --mix tag=1 \
	>"$work/summary.json" || rc=$?
check "wrong answer is found" "2 1" \
	"$rc $(jq .classes.tag.wrong "$work/summary.json")"

# Graceful stop, and a crash that leaves no answer.
control $ledger '{"crash_after":true}'
check "crash" 52 "$(code -d '{}' $ledger/payout)"
kill -TERM "${pids[0]}"
rc=0
wait "${pids[0]}" || rc=$?
check "graceful stop" 0 "$rc"
echo "$checks checks passed"
