# Parts of script/bench that send requests: throughput, latency, claims, streams.

# More would be shed: a host admits 64 requests at once while the upstreams'
# load is not known.
CONNECTIONS=48
RUN_SECONDS=${PR_BENCH_SECONDS:-3}

baselines_start() {
	fleet_spawn upstream "$BUILD/standin-baseline" --chat \
		--address "127.$FLEET_NET.1.10" --port 9000
	fleet_spawn ledger "$BUILD/standin-baseline" --chat \
		--address "127.$FLEET_NET.1.13" --port 9000
	fleet_spawn bare "$BUILD/standin-baseline" \
		--address "127.$FLEET_NET.1.11" --port 9000
	fleet_spawn pass "$BUILD/standin-baseline" --to "127.$FLEET_NET.1.10" \
		--to-port 9000 --address "127.$FLEET_NET.1.12" --port 9000
	bench_config "$FLEET_DIR/bench.yaml" "127.$FLEET_NET.1.10" \
		"127.$FLEET_NET.1.13"
	fleet_apply "$FLEET_DIR/bench.yaml" >/dev/null
}

# One host alone: no holder of its bills, so the figure is the router's own.
# Three hosts: bills are held by two peers, as in a fleet.
measure_throughput() {
	local hosts=$1 host up=127.$FLEET_NET.1 direct bare pass
	host=$(fleet_host_address host-1)
	bench_wrk "http://$host:8080/v1/chat/completions" chat 2 $CONNECTIONS
	bench_wrk "http://$up.10:9000/v1/chat/completions" chat \
		"$RUN_SECONDS" $CONNECTIONS
	direct=$BENCH_RPS
	bench_wrk "http://$up.11:9000/" chat "$RUN_SECONDS" $CONNECTIONS
	bare=$BENCH_RPS
	bench_wrk "http://$up.12:9000/v1/chat/completions" chat \
		"$RUN_SECONDS" $CONNECTIONS
	pass=$BENCH_RPS PASS_P50=$BENCH_P50 PASS_P99=$BENCH_P99
	bench_wrk "http://$host:8080/v1/chat/completions" chat \
		"$RUN_SECONDS" $CONNECTIONS
	CHAT_RPS=$BENCH_RPS
	bench_emit "chat_rps_${hosts}_hosts_to_pass" "$CHAT_RPS" 1/s "$pass"
	bench_emit "chat_rps_${hosts}_hosts_to_bare" "$CHAT_RPS" 1/s "$bare"
	bench_emit "chat_rps_${hosts}_hosts_to_direct" "$CHAT_RPS" 1/s "$direct"
	bench_emit "chat_p50_${hosts}_hosts_saturated" "$BENCH_P50" us "$PASS_P50"
	bench_emit "chat_p99_${hosts}_hosts_saturated" "$BENCH_P99" us "$PASS_P99"
	bench_wrk "http://$host:8080/services/ledger/balance" repeatable \
		"$RUN_SECONDS" $CONNECTIONS
	bench_emit "repeatable_rps_${hosts}_hosts_to_pass" "$BENCH_RPS" 1/s "$pass"
}

# Latency at half of the host's own saturation, with waits between requests.
measure_latency() {
	local hosts=$1 rate host up=127.$FLEET_NET.1 p50 p99
	host=$(fleet_host_address host-1)
	rate=$(awk -v r="$CHAT_RPS" 'BEGIN { printf "%d", r / 2 }')
	bench_wrk "http://$up.10:9000/v1/chat/completions" chat \
		"$RUN_SECONDS" $CONNECTIONS "$rate"
	p50=$BENCH_P50 p99=$BENCH_P99
	bench_wrk "http://$up.12:9000/v1/chat/completions" chat \
		"$RUN_SECONDS" $CONNECTIONS "$rate"
	PASS_P50=$BENCH_P50 PASS_P99=$BENCH_P99
	bench_wrk "http://$host:8080/v1/chat/completions" chat \
		"$RUN_SECONDS" $CONNECTIONS "$rate"
	bench_emit "half_load_rate_${hosts}_hosts" "$BENCH_RPS" 1/s "$rate"
	bench_emit "half_load_p50_${hosts}_hosts" "$BENCH_P50" us "$p50"
	bench_emit "half_load_p99_${hosts}_hosts" "$BENCH_P99" us "$p99"
	[ "$hosts" -eq 1 ] || measure_low_rate "$host" "$up.10"
	bench_emit "half_load_added_p50_${hosts}_hosts_to_pass" \
		"$(bench_minus "$BENCH_P50" "$p50")" us \
		"$(bench_minus "$PASS_P50" "$p50")"
	bench_emit "half_load_added_p99_${hosts}_hosts_to_pass" \
		"$(bench_minus "$BENCH_P99" "$p99")" us \
		"$(bench_minus "$PASS_P99" "$p99")"
}

# At 200 requests/s, about 30 times what one of 390 hosts has at peak, a bill
# does not wait for others before it is sent to its holders.
measure_low_rate() {
	local p50 p99 half50=$BENCH_P50 half99=$BENCH_P99
	bench_wrk "http://$2:9000/v1/chat/completions" chat "$RUN_SECONDS" 32 200
	p50=$BENCH_P50 p99=$BENCH_P99
	bench_wrk "http://$1:8080/v1/chat/completions" chat "$RUN_SECONDS" 32 200
	bench_emit low_rate_p50_3_hosts "$BENCH_P50" us "$p50"
	bench_emit low_rate_p99_3_hosts "$BENCH_P99" us "$p99"
	BENCH_P50=$half50 BENCH_P99=$half99
}

part_throughput() {
	local hosts
	for hosts in 1 3; do
		bench_open 75 "$hosts"
		baselines_start
		fleet_start_hosts
		measure_throughput "$hosts"
		case $parts in *" latency "*) measure_latency "$hosts" ;; esac
		bench_close
	done
}


# Claims at several rates: latency against the ledger called directly, and the
# store's commits for each request.
part_claims() {
	local host rate direct50 direct99 before after writes sent points=()
	bench_open 76 3
	fleet_spawn upstream "$BUILD/standin-baseline" --chat \
		--address "127.$FLEET_NET.1.10" --port 9000
	fleet_spawn ledger "$BUILD/standin-ledger" \
		--address "127.$FLEET_NET.1.13" --port 9000 --name ledger-1
	bench_config "$FLEET_DIR/bench.yaml" "127.$FLEET_NET.1.10" \
		"127.$FLEET_NET.1.13"
	fleet_apply "$FLEET_DIR/bench.yaml" >/dev/null
	fleet_start_hosts
	host=$(fleet_host_address host-1)
	bench_wrk "http://$host:8080/services/ledger/pickup" claim 1 32 20
	for rate in 50 200 800; do
		bench_wrk "http://127.$FLEET_NET.1.13:9000/pickup" claim \
			"$RUN_SECONDS" 32 "$rate"
		direct50=$BENCH_P50 direct99=$BENCH_P99
		before=$(claim_counts)
		bench_wrk "http://$host:8080/services/ledger/pickup" claim \
			"$RUN_SECONDS" 32 "$rate"
		after=$(claim_counts)
		sent=$(awk -v r="$BENCH_RPS" -v s="$RUN_SECONDS" \
			'BEGIN { print r * s }')
		read -r writes rows <<<"$(echo "$before $after" |
			awk '{ print $3 - $1, $4 - $2 }')"
		points+=("$sent" "$writes")
		bench_emit "claim_rate_$rate" "$BENCH_RPS" 1/s "$rate"
		bench_emit "claim_p50_rate_$rate" "$BENCH_P50" us "$direct50"
		bench_emit "claim_p99_rate_$rate" "$BENCH_P99" us "$direct99"
		bench_emit "claim_commits_per_request_rate_$rate" \
			"$(bench_divide "$writes" "$sent")" count 2
		bench_emit "claim_rows_per_commit_rate_$rate" \
			"$(bench_divide "$rows" "$writes")" count 1
	done
	bench_emit claim_commits_per_request_slope \
		"$(bench_slope "${points[@]}")" count 2
	bench_close
}

# Commits and rows of claims, summed over the hosts.
claim_counts() {
	local name zone address
	while read -r name zone address; do
		echo "$(bench_metric "$address" pr_claim_commits_total)" \
			"$(bench_metric "$address" pr_claim_writes_total)"
	done <"$FLEET_DIR/hosts.txt" | awk '{ c += $1; r += $2 }
		END { print c, r }'
}

# Median time to the first byte of a stream in microseconds, 40 requests.
first_byte() {
	local i body='{"model":"small@v1","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"x"}]}'
	[ "$2" = direct ] || body=${body/@v1/}
	for ((i = 0; i < 40; i++)); do
		curl -fs -m 5 -o /dev/null -w '%{time_starttransfer}\n' \
			-H 'authorization: Bearer key-yard-01' -d "$body" \
			"http://$1/v1/chat/completions"
	done | sort -n | awk '{ v[NR] = $1 }
		END { printf "%d", v[int((NR + 1) / 2)] * 1e6 }'
}

# Processor time and bytes of a streamed token at the host: the slope over
# streams of two lengths, so that the cost of a request does not count.
part_streams() {
	local host pid tokens before cpu bytes direct engine
	local cpu_points=() byte_points=()
	bench_open 77 3
	engine="127.$FLEET_NET.1.10"
	fleet_spawn upstream "$BUILD/standin-engine" --address "$engine" \
		--port 9000 --name engine-1 --cold-ms 0 --slots 1024 \
		--serve small@v1:first_ms=0,between_ms=1
	bench_config "$FLEET_DIR/bench.yaml" "$engine" "127.$FLEET_NET.1.13"
	fleet_apply "$FLEET_DIR/bench.yaml" >/dev/null
	fleet_start_hosts
	host=$(fleet_host_address host-1)
	pid=$(fleet_pid host-1)
	bench_wrk "http://$host:8080/v1/chat/completions" stream-8 1 16
	direct=$(first_byte "$engine:9000" direct)
	bench_emit first_token_p50 "$(first_byte "$host:8080" host)" us "$direct"
	for tokens in 8 128; do
		before=$(bench_cpu "$pid")
		bench_wrk "http://$host:8080/v1/chat/completions" \
			"stream-$tokens" "$RUN_SECONDS" 16
		cpu=$(bench_divide "$(($(bench_cpu "$pid") - before))" \
			"$BENCH_REQUESTS")
		cpu_points+=("$tokens" "$cpu")
		byte_points+=("$tokens" \
			"$(bench_divide "$BENCH_BYTES" "$BENCH_REQUESTS")")
	done
	bench_emit stream_cpu_per_token \
		"$(bench_divide "$(bench_slope "${cpu_points[@]}")" 1000)" us
	bench_emit stream_cpu_per_request_of_8 "$(bench_divide "${cpu_points[1]}" 1000)" us
	bench_emit stream_bytes_per_token_to_caller \
		"$(bench_slope "${byte_points[@]}")" bytes
	bench_close
}
