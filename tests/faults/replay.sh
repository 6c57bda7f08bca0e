#!/usr/bin/env bash
# Guards against a replay that depends on anything but its seed, accepts a
# damaged trace, or reports success when a stated outcome was missed; and
# against attempts on versions that are not permitted.
set -euo pipefail
replay=$1/pistachiorack-replay
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

"$replay" run --trace traces/small.trace --outcomes traces/small.outcomes
"$replay" run --deployment B --seeds 7 --requests 20000 --hours 1 \
	--outcomes traces/small.outcomes >"$folder/first"
"$replay" run --deployment B --seeds 7 --requests 20000 --hours 1 \
	--outcomes traces/small.outcomes >"$folder/second"
cmp "$folder/first" "$folder/second"
"$replay" generate --deployment A --seed 3 --requests 3000 --hours 0.5 \
	>"$folder/trace"
cmp "$folder/trace" traces/small.trace

echo 'cost_vs_dearest <= 0.0001' >"$folder/missed"
status=0
"$replay" run --trace traces/small.trace --outcomes "$folder/missed" \
	>/dev/null || status=$?
[ "$status" = 1 ]
# A value that the replay does not know fails too.
echo 'no_such_value <= 1' >"$folder/unknown"
status=0
"$replay" run --trace traces/small.trace --outcomes "$folder/unknown" \
	>/dev/null || status=$?
[ "$status" = 1 ]
sed '40s/^[a-z]*/damaged/' traces/small.trace >"$folder/damaged"
status=0
"$replay" run --trace "$folder/damaged" 2>"$folder/error" || status=$?
[ "$status" = 2 ]
grep -q 'damaged:40:' "$folder/error"
