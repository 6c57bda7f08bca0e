# Loads of several rates and the judgement of their calls; sourced by the
# failure tests of overload and fairness. Uses seed and failures of the caller.

# load OUT RATE SECONDS WORKSPACE...: in the background.
load() {
	local out=$1 rate=$2 seconds=$3 name zone address
	local -a arguments=()
	shift 3
	while read -r name zone address; do
		arguments+=(--entry "$address:8080")
	done <"$FLEET_DIR/started.txt"
	for name in "$@"; do
		arguments+=(--key "$name=key-$name")
	done
	mkdir -p "$FLEET_DIR/calls"
	"$FLEET_BUILD/standin-load" "${arguments[@]}" --model small \
		--mix route=1 --rate "$rate" --seconds "$seconds" \
		--in-flight 4000 --timeout-ms 8000 --seed "$seed" \
		--out "$FLEET_DIR/calls/$out" >/dev/null \
		2>"$FLEET_DIR/logs/load-$out.log" &
	echo $! >"$FLEET_DIR/pids/load-$out"
}
finish() {
	wait "$(fleet_pid "load-$1")" || true
	rm -f "$FLEET_DIR/pids/load-$1"
}

# judge_calls OUT FROM_MS: "useful/s useful-share wrong-refusals", and what was
# refused in which way to stderr.
judge_calls() {
	python3 - "$FLEET_DIR/calls/$1" "$2" <<'PY'
import collections, json, sys
lines = [json.loads(line) for line in open(sys.argv[1])]
start = min(line["at_ms"] for line in lines)
late = [l for l in lines if l["at_ms"] - start >= int(sys.argv[2])]
seconds = (max(l["at_ms"] for l in late) - start - int(sys.argv[2])) / 1000
useful = [l for l in late if l["status"] == 200 and l["complete"]]
wrong = [l for l in late if l["status"] != 200 and
         (l["status"] not in (429, 503) or l["verdict"] != "not_run")]
print(collections.Counter((l["status"], l["code"], l["verdict"],
      l["complete"]) for l in late), file=sys.stderr)
print("%.1f %.3f %d" % (len(useful) / seconds, len(useful) / len(late),
                        len(wrong)))
PY
}
at_least() {
	echo "$1: $2 (at least $3)"
	awk -v got="$2" -v low="$3" 'BEGIN {exit !(got >= low)}' || {
		echo "FAIL $1"
		failures=$((failures + 1))
	}
}
