"""The store returns from a copy that is some seconds old, with real processes: every
host must follow the changes after it within the bounds that hold in calm.

usage: returns.py BINARY NET [HOSTS]
"""

import asyncio
import random
import sys
import time

from changes import CONTACT_S, Rounds, Touch
from checks import FAILURES, check
from fleet import Fleet

# Time in which the operator writes its rows again and hosts read them, and in which
# an evacuation that was not written again ends, seconds.
RENEWAL_S, LOST_EVACUATION_S = 2 + 3, 20
# Time in which hosts write their own rows again, seconds.
OWN_ROWS_S = 10.0
# Feeds that a reader follows, and the time of one call for the orders.
TABLES, PROBE_S = 3, 0.6


async def lose_writes(fleet, writes, away=0.8, drop=True):
    """Let the store return from a copy that lacks some writes of the upstreams, which
    write their entries again; returns the time of the return."""
    copy = fleet.store.copy()
    for number in range(writes):
        upstream = fleet.upstreams[number % len(fleet.upstreams)]
        await fleet.store.put("servers", upstream.name, upstream.entry())
    # All hosts have heard of them.
    await asyncio.sleep(2)
    lost = await fleet.store.go_back(copy, away, drop)
    returned = time.monotonic()
    await fleet.store.write_again(lost)
    return returned


async def check_changes_at_once(fleet, rounds):
    """Hosts compared versions from before a return with those from after it and took new
    rows for known ones. Changes just after the return."""
    changes = await rounds.next()
    begin = time.monotonic()
    returned = await lose_writes(fleet, 30)
    await asyncio.sleep(0.3)
    await changes.make()
    name = "just after a return"
    await changes.check_followed(name, Touch(returned))
    await changes.finish(name)
    rounds.load.check_plain(name, begin)


async def check_changes_later(fleet, rounds):
    """The same for changes in calm, some seconds after the return."""
    changes = await rounds.next()
    begin = time.monotonic()
    returned = await lose_writes(fleet, 30)
    await asyncio.sleep(CONTACT_S)
    await changes.make()
    name = "some seconds after a return"
    await changes.check_followed(name, Touch(returned))
    await changes.finish(name)
    rounds.load.check_plain(name, begin)


def count_calls(fleet, path, since, until, table=None):
    return sum(since < at < until and path in (None, called) and table in (None, read)
               for at, called, read, _ in fleet.store.log)


async def check_own_rows(fleet, rounds):
    """Rows that the hosts wrote in the lost seconds were not written again, so that a
    host that starts later does not find them. Only the reader of each region reads the
    tables after a return."""
    begin = time.monotonic()
    await fleet.store.go_back(fleet.first_copy)
    returned = time.monotonic()
    lost = [u for u in fleet.upstreams if not fleet.store.document("servers", u.name)]
    for upstream in lost:
        await fleet.store.put("servers", upstream.name, upstream.entry())
    await fleet.apply(extra_routes=(f"r{rounds.number}",), keys=("key-1", f"k{rounds.number}"))
    await asyncio.sleep(5)
    calls = count_calls(fleet, None, returned, returned + 5)
    reads = count_calls(fleet, "/rows-get", returned, returned + 5)
    hosts, regions = len(fleet.routers), 2
    # Each table once for a region, and once more where the reader changes meanwhile.
    check("own rows: only readers read the tables", reads <= 2 * regions * TABLES < hosts * TABLES,
          (reads, 2 * regions * TABLES))
    # Of each reader, the calls for the orders; and for each table the call that is
    # refused, the read, and the calls that bring what is written again and confirm it.
    # Of the relay that may read in a region until the reader is back, for a second: the
    # calls for the orders, and for each table the read and the calls behind it.
    # Of each host, the write of its row, and one call that finds the store back.
    most = regions * (5 / PROBE_S + 4 * TABLES) + regions * (1 / PROBE_S + 3 * TABLES) + 2 * hosts
    check("own rows: a return costs few calls", calls <= most, (calls, most))
    missing = [r.name for r in fleet.routers]
    while missing and time.monotonic() < returned + OWN_ROWS_S:
        await asyncio.sleep(0.1)
        missing = [name for name in missing
                   if not fleet.store.document("status", f"host/{name}")]
    check("own rows: every host's row is back", not missing, missing)
    await asyncio.sleep(2)
    writes = count_calls(fleet, "/rows-tx", returned, time.monotonic(), "status")
    check("own rows: each is written about once", writes <= hosts + 2, writes)
    rounds.load.check_plain("own rows", begin)


async def check_lost_evacuation(fleet):
    """An evacuation that the copy lacks, and that is not written again, had no end."""
    copy = fleet.store.copy()
    await fleet.store.put("op", "evacuate/far", {"zone": "far"})
    await asyncio.sleep(2)
    def evacuating():
        return [r.name for r in fleet.routers if fleet.evacuates(r, "far")]

    every = [r.name for r in fleet.routers]
    check("lost evacuation: every host knows of it", evacuating() == every, evacuating())
    await fleet.store.go_back(copy)
    await asyncio.sleep(RENEWAL_S)
    check("lost evacuation: no host ends it before it can be written again",
          evacuating() == every, evacuating())
    await asyncio.sleep(LOST_EVACUATION_S - RENEWAL_S)
    check("lost evacuation: it ends when it is not written again", not evacuating(), evacuating())


async def main():
    hosts = int(sys.argv[3]) if len(sys.argv) > 3 else 8
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(5), hosts=hosts, per_zone=2)
    try:
        await fleet.start()
        # The readers of the regions have been chosen.
        await asyncio.sleep(4)
        rounds = Rounds(fleet, "load")
        await check_changes_at_once(fleet, rounds)
        await check_changes_later(fleet, rounds)
        await check_own_rows(fleet, rounds)
        await check_lost_evacuation(fleet)
        await rounds.load.stop()
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
