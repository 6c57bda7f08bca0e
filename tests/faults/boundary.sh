#!/usr/bin/env bash
# The platform's words stand in platform/ only, and platform/ decides nothing:
# it includes no slice that takes decisions but for its types, and has no clock,
# socket or timer.
set -euo pipefail
fail=0
words='X-Pistachiorack-|rows-(tx|get|feed)|blob-(put|get|drop|list)|tombstone|expected-rev|"(servers|op)/|max-attempts|api-keys|cold-remaining|rolled_back|PISTACHIORACK_BOOT'
if git grep -nE "$words" -- 'src/*.[ch]' 'include/*.h'; then
	echo "names of the platform outside platform/" >&2
	fail=1
fi
if git grep -nE '<uv\.h>|pistachiorack/timer\.h|place/place\.h|limits/|cascade/|edge/|uv_|hrtime|clock_gettime' -- 'platform/*.[ch]'; then
	echo "platform/ has an include or a call that decisions need" >&2
	fail=1
fi
exit $fail
