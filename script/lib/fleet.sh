# Starts and stops a deployment on loopback addresses: stand-ins for platform,
# engines and ledgers, and the router hosts. Sourced by demo, bench and the
# failure tests.
#
#   fleet_open BUILD NET DEPLOYMENT   files and empty process list
#   fleet_start_upstreams [MAX]       platform, engines (MAX of them), ledgers
#   fleet_apply FILE                  put a configuration in the table
#   fleet_start_hosts [MAX]           router hosts, waits until they are ready
#   fleet_stop                        SIGTERM to all, waits, fails on leftovers
#
# FLEET_DIR holds settings, logs and process ids; FLEET_NET the second octet.

FLEET_PLATFORM_PORT=9100
# Waits give up after this many steps of 50 ms.
FLEET_WAIT_STEPS=200

fleet_open() {
	FLEET_BUILD=$1 FLEET_NET=$2 FLEET_DEPLOYMENT=$3
	# Two runs on the same addresses, from two work trees for example, would
	# disturb each other. The processes inherit the lock, so leftovers of an
	# earlier run keep it, too.
	exec 9>"${TMPDIR:-/tmp}/pistachiorack-net-$FLEET_NET.lock"
	flock -w 100 9 || {
		echo "addresses 127.$FLEET_NET.*.* are in use" >&2
		return 1
	}
	FLEET_DIR=$(mktemp -d)
	FLEET_PLATFORM="127.$FLEET_NET.0.1"
	script/fleet-files "$FLEET_DEPLOYMENT" "$FLEET_NET" "$FLEET_DIR"
	mkdir -p "$FLEET_DIR/pids" "$FLEET_DIR/logs"
	trap 'fleet_kill' EXIT
}

# fleet_spawn NAME COMMAND...
fleet_spawn() {
	local name=$1
	shift
	"$@" >"$FLEET_DIR/logs/$name.out" 2>>"$FLEET_DIR/logs/$name.log" &
	echo $! >"$FLEET_DIR/pids/$name"
}

fleet_pid() { cat "$FLEET_DIR/pids/$1"; }

fleet_wait_http() {
	local url=$1 step
	for ((step = 0; step < FLEET_WAIT_STEPS; step++)); do
		curl -fs -m 1 -o /dev/null "$url" && return 0
		sleep 0.05
	done
	echo "no answer from $url" >&2
	return 1
}

fleet_start_upstreams() {
	local max=${1:-1000} count=0 name kind address port zone serves
	fleet_spawn platform "$FLEET_BUILD/standin-platform" \
		--address "$FLEET_PLATFORM" --port $FLEET_PLATFORM_PORT
	while read -r name kind address port zone serves; do
		if [ "$kind" = engine ]; then
			count=$((count + 1))
			[ $count -le "$max" ] || continue
			fleet_start_engine "$name" "$address" "$port" "$zone" \
				"$serves"
		else
			fleet_spawn "$name" "$FLEET_BUILD/standin-ledger" \
				--address "$address" --port "$port" \
				--name "$name" --zone "$zone"
		fi
	done <"$FLEET_DIR/upstreams.txt"
	fleet_wait_http "http://$FLEET_PLATFORM:$FLEET_PLATFORM_PORT/record"
}

fleet_start_engine() {
	local name=$1 address=$2 port=$3 zone=$4 serves=$5 model
	local -a arguments=()
	for model in $serves; do
		arguments+=(--serve "$model")
	done
	# shellcheck disable=SC2086
	fleet_spawn "$name" "$FLEET_BUILD/standin-engine" \
		--address "$address" --port "$port" --name "$name" \
		--zone "$zone" "${arguments[@]}" ${FLEET_ENGINE_ARGS:-}
}

# Replaces the whole document without a check of the version.
fleet_apply() {
	fleet_commit_json "$1" >"$FLEET_DIR/commit.json"
	curl -fs -m 5 -X POST --data-binary "@$FLEET_DIR/commit.json" \
		"http://$FLEET_PLATFORM:$FLEET_PLATFORM_PORT/v1/table/commit"
	echo
}

# The commit request for a document, with the text as a JSON string.
fleet_commit_json() {
	local text
	text=$(sed -e 's/\\/\\\\/g' -e 's/"/\\"/g' "$1" |
		awk '{printf "%s\\n", $0}')
	printf '{"ops":[{"table":"config","key":"current","if":"any",'
	FLEET_VERSION=$((${FLEET_VERSION:-0} + 1))
	printf '"value":{"version":%d,"change_id":"script-%s-%s",' \
		"$FLEET_VERSION" "$FLEET_VERSION" "$RANDOM"
	printf '"text":"%s"}}]}' "$text"
}

fleet_start_host() {
	fleet_spawn "$1" "$FLEET_BUILD/pistachiorackd" \
		--settings "$FLEET_DIR/$1.yaml"
}

fleet_start_hosts() {
	local max=${1:-1000} name zone address
	head -n "$max" "$FLEET_DIR/hosts.txt" >"$FLEET_DIR/started.txt"
	while read -r name zone address; do
		fleet_start_host "$name"
	done <"$FLEET_DIR/started.txt"
	while read -r name zone address; do
		fleet_wait_http "http://$address:8081/readyz" || {
			cat "$FLEET_DIR/logs/$name.log" >&2
			return 1
		}
	done <"$FLEET_DIR/started.txt"
}

fleet_host_address() {
	awk -v name="$1" '$1 == name {print $3}' "$FLEET_DIR/hosts.txt"
}

fleet_upstream_address() {
	awk -v name="$1" '$1 == name {print $3}' "$FLEET_DIR/upstreams.txt"
}

# Stops one process gracefully and returns its exit code.
fleet_stop_one() {
	local pid
	pid=$(fleet_pid "$1")
	rm -f "$FLEET_DIR/pids/$1"
	kill -TERM "$pid" 2>/dev/null || true
	wait "$pid"
}

# Router hosts go first, so that their upstreams are there while they drain.
fleet_stop() {
	local status=0 file name
	for file in "$FLEET_DIR"/pids/host-*; do
		[ -e "$file" ] && kill -TERM "$(cat "$file")" 2>/dev/null
	done
	for file in "$FLEET_DIR"/pids/host-*; do
		[ -e "$file" ] || continue
		name=$(basename "$file")
		wait "$(cat "$file")" || {
			status=$?
			echo "$name ended with $status" >&2
			tail -n 20 "$FLEET_DIR/logs/$name.log" >&2
		}
		rm -f "$file"
	done
	for file in "$FLEET_DIR"/pids/*; do
		[ -e "$file" ] || continue
		kill -TERM "$(cat "$file")" 2>/dev/null || true
	done
	for file in "$FLEET_DIR"/pids/*; do
		[ -e "$file" ] || continue
		wait "$(cat "$file")" || {
			status=$?
			echo "$(basename "$file") ended with $status" >&2
		}
		rm -f "$file"
	done
	return $status
}

# Last resort on exit: nothing may be left running.
fleet_kill() {
	local file
	for file in "$FLEET_DIR"/pids/*; do
		[ -e "$file" ] || continue
		kill -KILL "$(cat "$file")" 2>/dev/null || true
		wait "$(cat "$file")" 2>/dev/null || true
	done
	[ -n "${FLEET_KEEP:-}" ] || rm -rf "$FLEET_DIR"
}
