# Parts of script/bench about the host itself: memory, recovery, control.

# Resident memory idle and with 10,000 open connections; time to ready.
part_memory() {
	local host pid start idle load
	bench_open 78 1
	fleet_spawn upstream "$BUILD/standin-baseline" --chat \
		--address "127.$FLEET_NET.1.10" --port 9000
	bench_config "$FLEET_DIR/bench.yaml" "127.$FLEET_NET.1.10" \
		"127.$FLEET_NET.1.13"
	fleet_apply "$FLEET_DIR/bench.yaml" >/dev/null
	host=$(fleet_host_address host-1)
	start=$(bench_now)
	fleet_start_host host-1
	until curl -fs -m 1 -o /dev/null "http://$host:8081/readyz"; do
		sleep 0.005
		[ $(($(bench_now) - start)) -lt 5000000000 ] || return 1
	done
	bench_emit start_to_ready \
		"$(bench_divide $(($(bench_now) - start)) 1000000)" ms
	pid=$(fleet_pid host-1)
	idle=$(bench_memory "$pid")
	bench_emit memory_idle "$idle" kB 65536
	wrk -t2 -c10000 -d6s -s script/lib/wrk/load.lua \
		"http://$host:8080/v1/chat/completions" -- chat memory 4000 \
		10000 "$BENCH_SEED" >/dev/null &
	load=$!
	sleep 5
	bench_emit connections_open "$(ss -Htn state established src \
		"$host:8080" | wc -l)" count 10000
	bench_emit memory_10000_connections "$(bench_memory "$pid")" kB 65536
	wait $load
	sleep 0.5
	bench_emit memory_after_load "$(bench_memory "$pid")" kB "$idle"
	bench_close
}

# One claim; prints status and milliseconds.
one_claim() {
	curl -s -m 3 -o /dev/null -w '%{http_code} %{time_total}\n' \
		-H 'authorization: Bearer key-yard-01' \
		-H "idempotency-key: $2" -d '{"amount":1}' \
		"http://$1:8080/services/ledger/pickup" || true
}

# A host is killed while its callers and those of another host send requests
# that may not be repeated. A caller goes on to the next host at an error.
part_recovery() {
	local first second killed i line status seconds failed=0 recovered=""
	bench_open 79 3
	fleet_spawn upstream "$BUILD/standin-baseline" --chat \
		--address "127.$FLEET_NET.1.10" --port 9000
	fleet_spawn ledger "$BUILD/standin-ledger" \
		--address "127.$FLEET_NET.1.13" --port 9000 --name ledger-1
	bench_config "$FLEET_DIR/bench.yaml" "127.$FLEET_NET.1.10" \
		"127.$FLEET_NET.1.13"
	fleet_apply "$FLEET_DIR/bench.yaml" >/dev/null
	fleet_start_hosts
	first=$(fleet_host_address host-1)
	second=$(fleet_host_address host-2)
	for ((i = 0; i < 30; i++)); do one_claim "$first" "before-$i"; done |
		sort -n -k 2 >"$FLEET_DIR/before"
	killed=$(bench_now)
	kill -KILL "$(fleet_pid host-1)"
	wait "$(fleet_pid host-1)" 2>/dev/null || true
	rm -f "$FLEET_DIR/pids/host-1"
	for ((i = 0; i < 400; i++)); do
		[ $(($(bench_now) - killed)) -lt 6000000000 ] || break
		if [ -z "$recovered" ]; then
			one_claim "$first" "after-$i" >/dev/null
		fi
		line=$(one_claim "$second" "after-$i")
		read -r status seconds <<<"$line"
		if [ "$status" = 200 ]; then
			echo "$seconds" >>"$FLEET_DIR/after"
			: "${recovered:=$(bench_now)}"
		else
			failed=$((failed + 1))
		fi
	done
	bench_emit recovery_after_kill \
		"$(bench_divide $((${recovered:-0} - killed)) 1000000)" ms
	bench_emit recovery_refused_claims "$failed" count
	bench_emit recovery_worst_claim "$(sort -n "$FLEET_DIR/after" |
		awk 'END { print $1 * 1e6 }')" us \
		"$(awk 'END { print $2 * 1e6 }' "$FLEET_DIR/before")"
	bench_close
}

# CPU (microseconds) and bytes of control work of the first host so far.
control_counts() {
	local pid=$1 address=$2
	echo "$(bench_cpu "$pid")" \
		"$(awk '/^[rw]char/ { s += $2 } END { print s }' "/proc/$pid/io")" \
		"$(bench_metric "$address" pr_member_bytes_sent_total)" \
		"$(bench_metric "$address" pr_member_bytes_received_total)"
}

# An idle fleet of growing size. Bytes are those of TCP, both directions, and
# of probes. The metrics requests that read the counters are part of them.
part_control() {
	local hosts host pid before after cpu bytes cpu_points=() byte_points=()
	local seconds=5
	for hosts in 8 32 64; do
		bench_open 80 "$hosts"
		fleet_spawn upstream "$BUILD/standin-baseline" --chat \
			--address "127.$FLEET_NET.1.10" --port 9000
		bench_config "$FLEET_DIR/bench.yaml" "127.$FLEET_NET.1.10" \
			"127.$FLEET_NET.1.13"
		fleet_apply "$FLEET_DIR/bench.yaml" >/dev/null
		fleet_start_hosts
		sleep 2
		host=$(fleet_host_address host-2)
		pid=$(fleet_pid host-2)
		before=$(control_counts "$pid" "$host")
		sleep $seconds
		after=$(control_counts "$pid" "$host")
		read -r cpu bytes <<<"$(echo "$before $after" | awk -v s=$seconds '{
			print ($5 - $1) / s / 1e7,
			($6 + $7 + $8 - $2 - $3 - $4) / s }')"
		bench_emit "control_cpu_${hosts}_hosts" "$cpu" "%" 2.7
		bench_emit "control_bytes_${hosts}_hosts" "$bytes" B/s 3000
		bench_emit "control_memory_${hosts}_hosts" \
			"$(bench_memory "$pid")" kB 65536
		cpu_points+=("$hosts" "$cpu")
		byte_points+=("$hosts" "$bytes")
		bench_close
	done
	bench_emit control_cpu_390_hosts_computed \
		"$(bench_extend 390 "${cpu_points[@]}")" "%" 2.7
	bench_emit control_bytes_390_hosts_computed \
		"$(bench_extend 390 "${byte_points[@]}")" B/s 3000
}
