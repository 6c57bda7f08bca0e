# Helpers of script/bench: a small deployment of its own, load, and figures.
# Sourced after script/lib/fleet.sh.

BENCH_SEED=${PR_BENCH_SEED:-101}

# bench_emit NAME VALUE UNIT [BASELINE]: one line; ratio is value / baseline.
bench_emit() {
	awk -v n="$1" -v v="$2" -v u="$3" -v b="${4:-}" -v s="$BENCH_SEED" '
	function number(x) { return x == "" ? "null" : sprintf("%.6g", x) }
	BEGIN {
		r = (b == "" || b + 0 == 0) ? "" : v / b
		printf "{\"name\":\"%s\",\"value\":%s,\"unit\":\"%s\",", n, number(v), u
		printf "\"baseline\":%s,\"ratio\":%s,\"seed\":%s}\n", number(b), number(r), s
	}'
}

bench_minus() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.6g", a - b }'; }
bench_divide() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.6g", b ? a / b : 0 }'; }

# bench_slope X1 Y1 X2 Y2 ...: least squares.
bench_slope() {
	printf '%s %s\n' "$@" | awk '
	{ n++; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2 }
	END { printf "%.6g", (n * sxy - sx * sy) / (n * sxx - sx * sx) }'
}

# bench_extend X X1 Y1 ...: value of the fitted line at X.
bench_extend() {
	local x=$1
	shift
	printf '%s %s\n' "$@" | awk -v x="$x" '
	{ n++; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2 }
	END { b = (n * sxy - sx * sy) / (n * sxx - sx * sx)
		printf "%.6g", (sy - b * sx) / n + b * x }'
}

# Processor time of the only thread of a process, nanoseconds.
bench_cpu() { cut -d' ' -f1 "/proc/$1/schedstat"; }
# Resident memory, kB.
bench_memory() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

bench_now() { date +%s%N; }

# One metric of a host's /metrics, 0 when it is not there.
bench_metric() {
	curl -fs -m 2 "http://$1:8081/metrics" |
		awk -v name="$2" '$1 == name {v = $2} END {print v + 0}'
}

# bench_wrk URL KIND SECONDS CONNECTIONS [RATE]
# Sets BENCH_RPS, BENCH_P50, BENCH_P99 (microseconds), BENCH_ERRORS,
# BENCH_REQUESTS and BENCH_BYTES.
bench_wrk() {
	local line
	BENCH_RUN=$((${BENCH_RUN:-0} + 1))
	line=$(wrk -t2 -c"$4" -d"$3" -s script/lib/wrk/load.lua "$1" -- "$2" \
		"run$BENCH_RUN" "${5:-0}" "$4" "$BENCH_SEED" | grep '^result')
	# shellcheck disable=SC2034
	read -r _ BENCH_RPS BENCH_P50 BENCH_P99 BENCH_ERRORS BENCH_REQUESTS \
		BENCH_BYTES <<<"$line"
	# An error is fast; only answers count as throughput.
	BENCH_RPS=$(awk -v r="$BENCH_RPS" -v n="$BENCH_REQUESTS" \
		-v e="$BENCH_ERRORS" 'BEGIN { print n ? r * (n - e) / n : 0 }')
	[ "$BENCH_ERRORS" -eq 0 ] ||
		echo "bench: $BENCH_ERRORS errors of $2 at $1" >&2
}

# Fleet file with one model upstream and one ledger, both in zone 1.
bench_config() {
	local file=$1 engine=$2 ledger=$3
	awk -v engine="$engine" -v ledger="$ledger" '
	/^upstreams:/ {
		print
		print "- {name: engine-1, kind: engine, address: " engine ", port: 9000,"
		print "   zone: shah-alam, slots: 1024, cold_slots: 1024,"
		print "   serves: [small@v1, medium@v1, large@v1]}"
		print "- {name: ledger-1, kind: ledger, address: " ledger ", port: 9000,"
		print "   zone: shah-alam, slots: 1024, cold_slots: 1024,"
		print "   serves: [ledger]}"
		skip = 1
		next
	}
	/^[a-z]/ { skip = 0 }
	!skip' "$FLEET_DIR/fleet.yaml" >"$file"
}

# bench_open NET HOSTS: files for HOSTS router hosts, platform started.
bench_open() {
	FLEET_BUILD=$BUILD FLEET_NET=$1 FLEET_DEPLOYMENT=tan-seng-huat
	FLEET_DIR=$(mktemp -d)
	FLEET_VERSION=0
	FLEET_PLATFORM="127.$1.0.1"
	script/fleet-files tan-seng-huat "$1" "$FLEET_DIR" "$2"
	mkdir -p "$FLEET_DIR/pids" "$FLEET_DIR/logs"
	trap 'fleet_kill' EXIT
	fleet_spawn platform "$BUILD/standin-platform" \
		--address "$FLEET_PLATFORM" --port $FLEET_PLATFORM_PORT \
		--writes "${BENCH_WRITES:-400}" --lifetime 180 --record 200000
	fleet_wait_http "http://$FLEET_PLATFORM:$FLEET_PLATFORM_PORT/record"
}

bench_close() {
	fleet_stop || echo "bench: a process did not stop gracefully" >&2
	fleet_kill
}
