"""The store returns from an older copy while single hosts are cut off, start or are
frozen, twice in a row, or unnoticed, with real processes: every host follows the changes
after it.

usage: returns_hosts.py BINARY NET [HOSTS]
"""

import asyncio
import random
import signal
import sys
import time

from changes import Rounds, Touch
from checks import FAILURES
from fleet import Fleet


class Losses:
    """Writes of the upstreams that the store loses, and returns that lose them."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.copy = fleet.store.copy()

    async def write(self, writes=30):
        """All hosts in touch hear of the writes."""
        for number in range(writes):
            upstream = self.fleet.upstreams[number % len(self.fleet.upstreams)]
            await self.fleet.store.put("servers", upstream.name, upstream.entry())
        await asyncio.sleep(1)

    async def go_back(self, away=0.8, drop=True, again=True):
        """Returns the time of the return."""
        lost = await self.fleet.store.go_back(self.copy, away, drop)
        returned = time.monotonic()
        if again:
            await self.fleet.store.write_again(lost)
        return returned


async def follow(changes, name, touch, begin, excused=()):
    """The changes of a round shortly after the return."""
    await asyncio.sleep(0.3)
    await changes.make()
    await changes.check_followed(name, touch)
    await changes.finish(name)
    changes.load.check_plain(name, begin, excused)


def reader_and_other(fleet):
    """A host that reads the store, and one of its region that does not."""
    reader = next(r for r in fleet.routers if r.zone != "far" and r.reads_store())
    other = next(r for r in fleet.routers if r.zone != "far" and not r.reads_store())
    return reader, other


class Cut:
    """Hosts that don't reach the store."""

    def __init__(self, fleet, refused, silent):
        self.proxies = [fleet.store_proxies[router.index] for router in (refused, silent)]
        self.proxies[0].refuse = True
        self.proxies[0].drop_connections()
        self.proxies[1].silent_up = self.proxies[1].silent_down = True

    def end(self):
        """Returns the time."""
        for proxy in self.proxies:
            proxy.refuse = proxy.silent_up = proxy.silent_down = False
            proxy.drop_connections()
        return time.monotonic()


async def check_cut_hosts(fleet, rounds):
    """A host that is cut off from the store over the return learns of it later."""
    changes, losses, begin = await rounds.next(), Losses(fleet), time.monotonic()
    await losses.write()
    reader, other = reader_and_other(fleet)
    cut = Cut(fleet, reader, other)
    await asyncio.sleep(0.5)
    await losses.go_back()
    await asyncio.sleep(1.5)
    await follow(changes, "hosts cut off", Touch(cut.end()), begin)


async def check_long_cut(fleet, rounds):
    """Hosts are cut off over two returns, and until after changes that others have."""
    changes, losses, begin = await rounds.next(), Losses(fleet), time.monotonic()
    await losses.write()
    reader, other = reader_and_other(fleet)
    cut = Cut(fleet, other, reader)
    await losses.go_back()
    await losses.write()
    returned = await losses.go_back()
    await changes.make()
    await asyncio.sleep(3)
    ended = cut.end()
    name = "hosts cut off over two returns"
    await changes.check_followed(name, Touch(returned, {reader.name: ended, other.name: ended}))
    await changes.finish(name)
    changes.load.check_plain(name, begin)


async def check_starting_hosts(fleet, rounds):
    """Hosts that start while the store is away, and just after its return."""
    changes, losses, begin = await rounds.next(), Losses(fleet), time.monotonic()
    await losses.write()
    # The reader of a region is one of them.
    first, second = reader_and_other(fleet)
    for router in (first, second):
        router.signal(signal.SIGKILL)
        await router.process.wait()
    task = asyncio.create_task(losses.go_back())
    await asyncio.sleep(0.6)
    await first.start()
    returned = await task
    await second.start()
    touch = Touch(returned, {r.name: time.monotonic() for r in (first, second)})
    await follow(changes, "hosts start", touch, begin, (first.name, second.name))


async def check_frozen_hosts(fleet, rounds):
    """Hosts are frozen over two returns."""
    changes, losses, begin = await rounds.next(), Losses(fleet), time.monotonic()
    await losses.write()
    frozen = reader_and_other(fleet)
    for router in frozen:
        router.signal(signal.SIGSTOP)
    await losses.go_back()
    await losses.write()
    await losses.go_back()
    await asyncio.sleep(0.5)
    for router in frozen:
        router.signal(signal.SIGCONT)
    names = [r.name for r in frozen]
    await follow(changes, "hosts frozen over two returns", Touch(time.monotonic()), begin, names)


async def check_two_returns(fleet, rounds):
    """The second return comes from the same copy a second after the first."""
    changes, losses, begin = await rounds.next(), Losses(fleet), time.monotonic()
    await losses.write()
    await losses.go_back()
    await asyncio.sleep(0.2)
    await follow(changes, "two returns", Touch(await losses.go_back()), begin)


async def check_return_in_reads(fleet, rounds):
    """A second return while hosts read the tables after the first one."""
    changes, losses, begin = await rounds.next(), Losses(fleet), time.monotonic()
    await losses.write()
    fleet.store.slow = 0.25
    await losses.go_back(again=False)
    await asyncio.sleep(0.45)
    # The answers of calls under way are from the second era.
    returned = await losses.go_back(away=0, drop=False)
    fleet.store.slow = 0.0
    await follow(changes, "return in the reads of a return", Touch(returned), begin)


async def check_unnoticed_return(fleet, rounds):
    """No call fails; only the era and the versions tell."""
    changes, losses, begin = await rounds.next(), Losses(fleet), time.monotonic()
    await losses.write()
    returned = await losses.go_back(away=0, drop=False)
    await follow(changes, "return without an outage", Touch(returned), begin)


CHECKS = (check_cut_hosts, check_long_cut, check_starting_hosts, check_frozen_hosts,
          check_two_returns, check_return_in_reads, check_unnoticed_return)


async def main():
    hosts = int(sys.argv[3]) if len(sys.argv) > 3 else 8
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(5), hosts=hosts, per_zone=2)
    try:
        await fleet.start()
        # The readers of the regions have been chosen.
        await asyncio.sleep(4)
        rounds = Rounds(fleet, "load")
        for run_check in CHECKS:
            await run_check(fleet, rounds)
        await rounds.load.stop()
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
