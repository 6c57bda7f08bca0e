# Helpers of the failure tests. Sourced after script/lib/fleet.sh by scripts
# that have called fleet_open.
#
#   load_start OUT ARGUMENT...   load program in the background, all hosts
#   load_wait                    waits for it; wrong answers are left to the
#                                checker
#   control NAME JSON            POST /control of a stand-in
#   save_records                 records of all stand-ins into FLEET_DIR/records
#   check ARGUMENT...            standin-check on the saved files
#   must_pass WHAT COMMAND...    and must_fail WHAT COMMAND...

failures=0

now_ms() { date +%s%3N; }

standin_url() {
	if [ "$1" = platform ]; then
		echo "http://$FLEET_PLATFORM:$FLEET_PLATFORM_PORT"
	else
		echo "http://$(fleet_upstream_address "$1"):9000"
	fi
}

control() {
	curl -fs -m 5 -o /dev/null -d "$2" "$(standin_url "$1")/control"
}

# Kills a host without notice and forgets it.
kill_host() {
	local pid
	pid=$(fleet_pid "$1")
	rm -f "$FLEET_DIR/pids/$1"
	kill -KILL "$pid"
	wait "$pid" 2>/dev/null || true
}

# The host stands still for some seconds.
freeze_host() {
	local pid
	pid=$(fleet_pid "$1")
	kill -STOP "$pid"
	sleep "$2"
	kill -CONT "$pid"
}

wait_ready() {
	fleet_wait_http "http://$(fleet_host_address "$1"):8081/readyz"
}

load_start() {
	local out=$1 name zone address prefix=yard
	local -a arguments=()
	shift
	[ "$FLEET_DEPLOYMENT" = burdekin ] && prefix=grower
	while read -r name zone address; do
		arguments+=(--entry "$address:8080")
	done <"$FLEET_DIR/started.txt"
	for ((i = 1; i <= ${LOAD_WORKSPACES:-4}; i++)); do
		name=$(printf '%s-%02d' "$prefix" "$i")
		arguments+=(--key "$name=key-$name")
	done
	mkdir -p "$FLEET_DIR/calls"
	"$FLEET_BUILD/standin-load" "${arguments[@]}" \
		--out "$FLEET_DIR/calls/$out" "$@" \
		>"$FLEET_DIR/logs/load-$out.out" \
		2>"$FLEET_DIR/logs/load-$out.log" &
	LOAD_PID=$!
	echo $LOAD_PID >"$FLEET_DIR/pids/load"
}

load_wait() {
	local status=0
	wait "$LOAD_PID" || status=$?
	rm -f "$FLEET_DIR/pids/load"
	[ $status -eq 0 ] || [ $status -eq 2 ] || {
		echo "the load program ended with $status" >&2
		return 1
	}
}

save_records() {
	local file name
	mkdir -p "$FLEET_DIR/records"
	for file in "$FLEET_DIR"/pids/*; do
		name=$(basename "$file")
		case $name in
		host-* | load) continue ;;
		esac
		curl -fs -m 5 "$(standin_url "$name")/record?table=bills" \
			>"$FLEET_DIR/records/$name.json"
	done
}

check() {
	local file
	local -a files=()
	for file in "$FLEET_DIR"/calls/*; do files+=(--calls "$file"); done
	for file in "$FLEET_DIR"/records/*; do files+=(--record "$file"); done
	"$FLEET_BUILD/standin-check" "${files[@]}" "$@"
}

must_pass() {
	local what=$1
	shift
	if "$@"; then
		echo "ok: $what"
	else
		echo "FAIL: $what"
		failures=$((failures + 1))
	fi
}

# For runs with a mechanism off: the checker must report violations.
must_fail() {
	local what=$1 text status=0
	shift
	text=$("$@") || status=$?
	if [ $status -eq 1 ]; then
		echo "ok: $what: $(tail -n 1 <<<"$text")"
	else
		echo "FAIL: $what: no violation was reported ($status)"
		echo "$text"
		failures=$((failures + 1))
	fi
}

# Ends the deployment; the next one may use the same addresses.
close_fleet() {
	must_pass "hosts stop with exit code 0${1:+ ($1)}" fleet_stop
	[ -n "${FLEET_KEEP:-}" ] || rm -rf "$FLEET_DIR"
}

# The platform writes no more bills for a second: the hosts have caught up.
wait_bills() {
	local step old=-1 new
	for ((step = 0; step < ${1:-12}; step++)); do
		new=$(curl -fs -m 5 "$(standin_url platform)/record?limit=1&table=bills" |
			jq '.rows | length')
		[ "$new" = "$old" ] && [ "$step" -gt 2 ] && return 0
		old=$new
		sleep 1
	done
}

# Stops the router hosts that still run; the stand-ins stay for their records.
stop_hosts() {
	local file status=0
	for file in "$FLEET_DIR"/pids/host-*; do
		[ -e "$file" ] || continue
		fleet_stop_one "$(basename "$file")" || status=1
	done
	return $status
}

# slow_engines FIRST_MS BETWEEN_MS: before fleet_start_upstreams.
slow_engines() {
	sed -i "/ engine /s/@v\([0-9]\)/@v\1:first_ms=$1,between_ms=$2/g" \
		"$FLEET_DIR/upstreams.txt"
}
