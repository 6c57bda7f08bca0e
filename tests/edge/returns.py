"""The store returns from a copy that is some seconds old, with real processes: every
host must follow it again within the bounds that hold in calm.

usage: returns.py BINARY NET
"""

import asyncio
import random
import sys
import time

from checks import FAILURES, check
from fleet import DRAIN_S, Fleet, Traffic

# Time in which a change of the operator is in force, seconds.
APPLY_S = 3.0
# Time after a disturbance of the store from which the bounds hold again.
CONTACT_S = 4.0


async def lose_writes(fleet, writes):
    """Let the store return from a copy that lacks some writes of the upstreams, which
    write their entries again."""
    copy = fleet.store.copy()
    for number in range(writes):
        upstream = fleet.upstreams[number % len(fleet.upstreams)]
        await fleet.store.put("servers", upstream.name, upstream.entry())
    # All hosts have heard of them.
    await asyncio.sleep(2)
    lost = await fleet.store.go_back(copy)
    await fleet.store.write_again(lost)
    await asyncio.sleep(CONTACT_S)


async def check_changes(fleet, name):
    """Changes after the return are in force on every host in time."""
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
    traffic = Traffic(fleet, name)
    leaving = await fleet.store.put("servers", ledgers[0].name, ledgers[0].entry("draining"))
    removed = await fleet.store.put("servers", ledgers[3].name, None)
    await fleet.apply(extra_routes=(name,), keys=("key-1",))
    await asyncio.sleep(APPLY_S)
    added = await fleet.statuses(f"/{name}/x")
    taken = await fleet.statuses("/safe/x", key="key-2")
    await asyncio.sleep(DRAIN_S + 1 - APPLY_S)
    await traffic.stop()
    check(f"{name}: every host serves a new route", set(added) == {200}, added)
    check(f"{name}: no host takes a key that was taken away", set(taken) == {401}, taken)
    for text, upstream, time_gone in (("is leaving", ledgers[0], leaving),
                                      ("was removed", ledgers[3], removed)):
        late = traffic.late(upstream, time_gone)
        check(f"{name}: nothing reaches an upstream that {text}", not late and traffic.sent, late[:5])
    for upstream in (ledgers[0], ledgers[3]):
        await fleet.store.put("servers", upstream.name, upstream.entry())
    await fleet.apply()
    await asyncio.sleep(APPLY_S)


async def main():
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(5), hosts=8, per_zone=2)
    try:
        await fleet.start()
        # The readers of the regions have been chosen.
        await asyncio.sleep(4)
        await lose_writes(fleet, 30)
        await check_changes(fleet, "return")
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
