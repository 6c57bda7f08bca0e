"""Changes of the store that reach only a part of the hosts, with real processes:
an upstream that has left must get no request later than changes may take.

usage: feeds.py BINARY NET
"""

import asyncio
import random
import re
import signal
import sys
import time

from checks import FAILURES, check
from fleet import DRAIN_S, ZONES, Fleet, Traffic


# Time in which an evacuation, or its end, is in force, seconds.
EVACUATE_S = 5.0


def reads_store(fleet, router):
    """Whether the log says that a host reads the store for its region."""
    reads = False
    with open(f"{fleet.folder}/{router.name}.log", encoding="ascii", errors="replace") as log:
        for line in log:
            found = re.search(r"event=reading_(began|ended)", line)
            reads = found[1] == "began" if found else reads
    return reads


async def remove(fleet, upstream):
    return await fleet.store.put("servers", upstream.name, None)


async def check_reader_restart(fleet):
    """A removal while the reader of the region started again was in no full read,
    and the other hosts took over the version behind it."""
    for region in sorted(set(ZONES.values())):
        reader = next(r for r in fleet.routers
                      if ZONES[r.zone] == region and reads_store(fleet, r))
        upstream = next(u for u in fleet.upstreams
                        if u.service == "ledger" and u.zone == reader.zone)
        traffic = Traffic(fleet, region)
        reader.signal(signal.SIGKILL)
        await reader.process.wait()
        removed = await remove(fleet, upstream)
        await asyncio.sleep(0.3)
        await reader.start()
        await asyncio.sleep(DRAIN_S + 1)
        await traffic.stop()
        late = traffic.late(upstream, removed)
        check(f"no host of {region} misses a removal while its reader starts again",
              not late and traffic.sent, late[:5])
        await fleet.store.put("servers", upstream.name, upstream.entry())
        await asyncio.sleep(2)


async def check_lost_feed_calls(fleet):
    """Calls for the list of upstreams were lost in a silence of the store that ended
    before the feed of the orders noticed it. All hosts waited ten seconds for them."""
    first, upstream = [u for u in fleet.upstreams if u.service == "ledger"][1:3]
    await fleet.store.put("servers", first.name, first.entry())
    fleet.store.silent_feeds = {"servers", "status"}
    # The next call for the list follows within this time.
    await asyncio.sleep(1.2)
    fleet.store.silent_feeds = set()
    traffic = Traffic(fleet, "lost")
    removed = await remove(fleet, upstream)
    await asyncio.sleep(DRAIN_S + 1)
    await traffic.stop()
    late = traffic.late(upstream, removed)
    check("no host misses a removal after its feed call was lost", not late, late[:5])
    await fleet.store.put("servers", upstream.name, upstream.entry())
    await asyncio.sleep(2)


async def check_lost_history(fleet):
    """A reader found by a full read, after the store had lost its history, that an
    upstream was gone, and told nobody."""
    upstreams = [u for u in fleet.upstreams if u.service == "ledger"]
    traffic = Traffic(fleet, "history")
    # No call of a feed is waiting as the entry goes.
    fleet.store.silent_feeds = {"servers"}
    await fleet.store.put("servers", upstreams[0].name, upstreams[0].entry())
    await asyncio.sleep(1.5)
    removed = await remove(fleet, upstreams[2])
    # No row of the list shows that something happened.
    await fleet.store.put("status", "note", {})
    fleet.store.forget()
    fleet.store.silent_feeds = set()
    await asyncio.sleep(DRAIN_S + 1)
    await traffic.stop()
    late = traffic.late(upstreams[2], removed)
    check("no host misses a removal in a history that was lost", not late, late[:5])
    await fleet.store.put("servers", upstreams[2].name, upstreams[2].entry())
    await asyncio.sleep(2)


async def check_lost_end_of_evacuation(fleet):
    """A zone that was taken back in a history that was lost stayed evacuated."""
    await fleet.store.put("op", "evacuate/far", {"zone": "far"})
    await asyncio.sleep(DRAIN_S)
    fleet.store.mode = "busy"
    await asyncio.sleep(1.5)
    await fleet.store.put("op", "evacuate/far", None)
    await fleet.store.put("op", "evacuate/elsewhere", {"zone": "elsewhere"})
    fleet.store.forget()
    fleet.store.mode = "ok"
    await asyncio.sleep(EVACUATE_S)
    kept = [router.name for router in fleet.routers
            if not fleet.logged(router, "zone_returned zone=far")]
    check("no host misses the end of an evacuation in a history that was lost", not kept, kept)


async def check_shared_versions(fleet):
    """The rows of a transaction share a version. Hosts behind a relay took the second
    one for a known row, whatever the order of the two, and lost the rest when a
    transaction was spread over two datagrams."""
    for name, zone in (("last", "east"), ("first", "west")):
        orders = [("op", "evacuate/" + zone, {"zone": zone}),
                  ("op", "config", fleet.document(extra_routes=(name,)))]
        await fleet.store.put_all(orders[::-1] if name == "first" else orders)
        await asyncio.sleep(DRAIN_S)
        added = await fleet.statuses(f"/{name}/x")
        check(f"every host serves a route that came {name}", set(added) == {200}, added)
        gone = [router.name for router in fleet.routers
                if not fleet.logged(router, f"zone_evacuated zone={zone}")]
        check(f"every host knows of an evacuation beside a route that came {name}", not gone, gone)
        await fleet.store.put("op", "evacuate/" + zone, None)
        await asyncio.sleep(1)
    rows = [("op", f"evacuate/zone-{n}", {"zone": f"zone-{n}"}) for n in range(7)]
    await fleet.store.put_all(rows + [("op", "config", fleet.document(extra_routes=("many",)))])
    await asyncio.sleep(DRAIN_S)
    added = await fleet.statuses("/many/x")
    check("every host serves a route behind seven other orders", set(added) == {200}, added)


async def check_calls(fleet):
    """Changes of other tables must not make the hosts call the store without end."""
    calls, changes = fleet.store.calls, 8
    for _ in range(changes):
        await fleet.store.put("servers", fleet.upstreams[0].name, fleet.upstreams[0].entry())
        await asyncio.sleep(0.5)
    # Two readers: the orders' feed each 0.6 s, and for a change one call more and
    # one that confirms the other table.
    most = 2 * (changes * 0.5 / 0.6 + 3 * changes + 4)
    check("a change costs few calls", fleet.store.calls - calls <= most,
          (fleet.store.calls - calls, most))


async def main():
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(5), hosts=6, per_zone=2)
    try:
        await fleet.start()
        # The readers of the regions have been chosen.
        await asyncio.sleep(4)
        await check_reader_restart(fleet)
        await check_lost_feed_calls(fleet)
        await check_lost_history(fleet)
        await check_lost_end_of_evacuation(fleet)
        await check_shared_versions(fleet)
        await check_calls(fleet)
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
