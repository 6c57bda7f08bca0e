"""What the store states of its era: nothing at all, or odd texts in single answers, with
real processes. Changes come through, and a real return is followed.

usage: returns_statements.py BINARY NET [HOSTS]
"""

import asyncio
import random
import sys
import time

from changes import Rounds, Touch
from checks import FAILURES, check
from fleet import Fleet

# No header, and texts that are no era. The last one is a number that no store comes to.
UNREADABLE = (None, "x", "", "0", "-1", "1.5", "9" * 40)
# Numbers that an answer states by itself.
AHEAD = ("1000000", str((1 << 64) - 1))


async def check_changes(fleet, rounds, name, since):
    changes = await rounds.next()
    await changes.make()
    await changes.check_followed(name, Touch(since))
    await changes.finish(name)


async def lose_writes(fleet):
    """A return; the time of it."""
    copy = fleet.store.copy()
    for number in range(30):
        upstream = fleet.upstreams[number % len(fleet.upstreams)]
        await fleet.store.put("servers", upstream.name, upstream.entry())
    await asyncio.sleep(1)
    lost = await fleet.store.go_back(copy)
    returned = time.monotonic()
    await fleet.store.write_again(lost)
    return returned


def count_reads(fleet, since):
    return sum(at > since and path == "/rows-get" for at, path, _, _ in fleet.store.log)


async def state(fleet, texts):
    """Each text in one answer, and between them answers with the era of the store."""
    for text in texts:
        fleet.store.odd_eras.append(text)
        while fleet.store.odd_eras:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)


async def check_no_header(fleet, rounds):
    """A store that states no era is followed as before, also after it lost its history."""
    begin = time.monotonic()
    await check_changes(fleet, rounds, "no era", begin)
    fleet.store.forget()
    fleet.store.drop_connections()
    await check_changes(fleet, rounds, "no era, history lost", time.monotonic())
    rounds.load.check_plain("no era", begin)


async def check_odd_statements(fleet, rounds, name, texts):
    """An era that is missing from one answer, that fell or isn't a number disturbs
    nothing; the next return is followed."""
    begin = time.monotonic()
    await state(fleet, texts)
    if texts is UNREADABLE:
        reads = count_reads(fleet, begin)
        check(f"{name}: no table is read anew", not reads, reads)
    await check_changes(fleet, rounds, name, time.monotonic() - 4)
    returned = await lose_writes(fleet)
    await check_changes(fleet, rounds, f"{name}, then a return", returned)
    rounds.load.check_plain(name, begin)


async def check_odd_return(fleet, rounds):
    """Odd statements in the answers just after a return hide it only for a moment."""
    begin = time.monotonic()
    fleet.store.odd_eras += ["1", None, "x", "1", None, "1"]
    returned = await lose_writes(fleet)
    await check_changes(fleet, rounds, "odd statements after a return", returned)
    rounds.load.check_plain("odd statements after a return", begin)


async def run(net, hosts, era, checks):
    fleet = Fleet(sys.argv[1], net, random.Random(5), hosts=hosts, per_zone=2)
    fleet.store.era = era
    try:
        await fleet.start()
        # The readers of the regions have been chosen.
        await asyncio.sleep(4)
        rounds = Rounds(fleet, "load")
        for run_check, *more in checks:
            await run_check(fleet, rounds, *more)
        await rounds.load.stop()
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")


async def main():
    net, hosts = int(sys.argv[2]), int(sys.argv[3]) if len(sys.argv) > 3 else 8
    await run(net, hosts, None, [(check_no_header,)])
    # An era above those that the odd texts state.
    await run(net, hosts, 7, [(check_odd_statements, "odd statements", UNREADABLE),
                              (check_odd_return,),
                              (check_odd_statements, "eras far ahead", AHEAD)])
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
