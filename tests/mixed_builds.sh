#!/usr/bin/env bash
# Two builds beside each other. Guards against a change of a message between
# hosts, of a stored row, of a setting or of a trace that one build writes and
# the other cannot read: the failure tests run with hosts of both builds in one
# fleet. A host changes its build at each start, so that it reads rows of the
# other one; the operators' command line alternates with each call; the
# stand-ins are of one build. All of it runs twice, the second time with the
# builds exchanged. Failures of tests in KNOWN-RED.txt are printed and do not
# change the exit code.
# Not part of CTest, since it needs another build.
# usage: mixed_builds.sh OLD_BUILD NEW_BUILD [TEST...]
set -euo pipefail
cd "$(dirname "$0")/.."
old=$(realpath "$1") new=$(realpath "$2")
shift 2
tests=("$@")
[ "${#tests[@]}" -gt 0 ] || tests=(stop bills once sessions session_owners
	config operators withdraw rollout orders limits cold_grants path polls
	ratings edge_path)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failures=0

# A program that runs the one of $first or $second: by the host's number and
# the count of its starts, or by the count of calls where it names no host.
write_wrapper() {
	cat >"$1" <<-EOF
		#!/usr/bin/env bash
		host=\$(printf '%s\n' "\$@" | sed -n 's/.*host-\([0-9]*\)\.yaml\$/\1/p')
		starts=$1.starts\${host:+.\$host}
		echo >>"\$starts"
		turn=\$(((\$(wc -l <"\$starts") + \${host:-0}) % 2))
		if [ \$turn = 0 ]; then build=$2; else build=$3; fi
		echo "\$build" >>$1.used
		exec "\$build/$(basename "$1")" "\$@"
	EOF
	chmod +x "$1"
}

# A build folder whose router programs alternate between two builds.
mix() {
	local mixed=$1 first=$2 second=$3 program
	mkdir -p "$mixed"
	ln -sf "$first"/standin-* "$mixed"
	for program in pistachiorackd pistachiorack-edge pistachiorackctl; do
		write_wrapper "$mixed/$program" "$first" "$second"
	done
}

result() {
	echo "$1"
	[ "${1%%:*}" = ok ] || failures=$((failures + 1))
}

# Prints how often each build of a program was started.
used() {
	local file
	for file in "$1"/*.used; do
		[ -e "$file" ] || continue
		echo "$(basename "$file" .used): $(grep -c "^$old\$" "$file") old," \
			"$(grep -c "^$new\$" "$file") new"
	done
}

run_tests() {
	local mixed=$1 title=$2 name
	for name in "${tests[@]}"; do
		if bash "tests/faults/$name.sh" "$mixed" >"$folder/log" 2>&1; then
			result "ok: $title: $name"
		else
			if grep -q "^test: fault_$name\$" KNOWN-RED.txt; then
				echo "known red: $title: $name"
			else
				result "FAIL: $title: $name"
			fi
			tail -n 15 "$folder/log"
		fi
	done
	used "$mixed"
}

# A recorded trace and generated ones give the same outcomes, byte for byte.
compare_replays() {
	local status=0
	replay "$old" >"$folder/replays-old" || status=1
	replay "$new" >"$folder/replays-new" || status=1
	cmp "$folder/replays-old" "$folder/replays-new" || status=1
	return $status
}

replay() {
	"$1/pistachiorack-replay" run --trace traces/small.trace \
		--outcomes traces/small.outcomes &&
		"$1/pistachiorack-replay" generate --deployment A --seed 5 \
			--requests 3000 --hours 0.5 &&
		"$1/pistachiorack-replay" run --deployment B --seeds 9 \
			--requests 20000 --hours 1 \
			--outcomes traces/small.outcomes
}

# Both builds accept the example configurations and show the same defaults and
# exceptions.
compare_configurations() {
	local file status=0
	for file in examples/tan-seng-huat.yaml examples/burdekin.yaml; do
		show_configuration "$old" "$file" >"$folder/shown-old" || status=1
		show_configuration "$new" "$file" >"$folder/shown-new" || status=1
		cmp "$folder/shown-old" "$folder/shown-new" || status=1
	done
	return $status
}

show_configuration() {
	"$1/pistachiorackctl" check "$2" && "$1/pistachiorackctl" show "$2"
}

if compare_replays; then result "ok: replays"; else result "FAIL: replays"; fi
if compare_configurations; then
	result "ok: configurations"
else
	result "FAIL: configurations"
fi
mix "$folder/old-first" "$old" "$new"
run_tests "$folder/old-first" "stand-ins of the old build"
mix "$folder/new-first" "$new" "$old"
run_tests "$folder/new-first" "stand-ins of the new build"
echo "$failures failed"
[ $failures -eq 0 ]
