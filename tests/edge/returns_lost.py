"""The store returns from a copy that lacks changes which were in force, with real
processes: no host may go back behind them, also before they are written again.

usage: returns_lost.py BINARY NET [HOSTS]
"""

import asyncio
import random
import sys
import time

from changes import APPLY_S, EVACUATE_S, Rounds, Touch, seen, sleep_until
from checks import FAILURES, check
from fleet import DRAIN_S, Fleet

# Time after which the store removes the entry of an upstream that is gone, seconds.
LAPSE_S = 3.6
# Writes in the lost seconds that nobody writes again, so that the versions after the
# return stay below those before it.
NOTES = 30


class Lost:
    """A round of changes that the store loses, and an upstream whose entry lapsed in the
    lost seconds although it lives, and a new one."""

    def __init__(self, fleet, changes):
        self.fleet, self.changes = fleet, changes
        taken = {changes.draining, changes.removed, *changes.upstreams_in(changes.zone)}
        self.lapsed = next(u for u in fleet.upstreams
                           if u.service == "ledger" and u not in taken
                           and u.zone == changes.draining.zone)
        self.fresh = None

    async def make(self, notes):
        for _ in range(notes):
            await self.fleet.store.put("status", "note", {})
        await self.changes.make()
        await self.fleet.store.put("servers", self.lapsed.name, None)
        self.fresh = await self.fleet.add_upstream("ledger", self.changes.removed.zone)

    async def write_upstreams_again(self):
        put = self.fleet.store.put
        draining = self.changes.draining
        await put("servers", draining.name, draining.entry("draining"))
        written = 0.0
        for upstream in (self.lapsed, self.fresh):
            written = await put("servers", upstream.name, upstream.entry())
        return written

    async def remove_again(self):
        """The copy has the entry of an upstream that is gone until it lapses there."""
        await self.fleet.store.put("servers", self.changes.removed.name, None)

    async def write_orders_again(self):
        """The same document in the same version."""
        fleet = self.fleet
        fleet.version -= 1
        await self.changes.write_config()
        self.changes.acked["evacuated"] = await fleet.store.put(
            "op", f"evacuate/{self.changes.zone}", {})

    async def write_again(self, returned, upstreams_after, operator_after):
        """Returns when the living upstreams were written."""
        async def at(seconds, write):
            await sleep_until(returned + seconds)
            return await write()

        written, *_ = await asyncio.gather(
            at(upstreams_after, self.write_upstreams_again), at(LAPSE_S, self.remove_again),
            at(operator_after, self.write_orders_again))
        return written

    async def check_living_used(self, name, touch, written):
        """Upstreams that are written again are used. A host that gets one request after
        the other may send all of them to one of its upstreams."""
        due = touch.due(written, APPLY_S)
        zones = {self.lapsed.zone, self.fresh.zone}
        await asyncio.gather(*(self.changes.load.burst(r) for r in self.fleet.routers
                               if r.zone in zones))
        idle = []
        for upstream in (self.lapsed, self.fresh):
            users = {host for _, host in self.changes.load.arrivals(upstream, due)}
            idle += [(upstream.name, r.name) for r in self.fleet.routers
                     if r.zone == upstream.zone and r.name not in users]
        check(f"{name}: upstreams that are written again are used", not idle, idle)

    async def finish(self, name):
        await self.changes.finish(name)
        await self.fleet.store.put("servers", self.fresh.name, None)
        self.fleet.upstreams.remove(self.fresh)
        self.fleet.gone.append(self.fresh)


async def check_lost_in_force(fleet, rounds, notes, upstreams_after, operator_after):
    """Hosts took rows of the copy for new ones, or new rows for known ones."""
    name = f"lost in force, {notes} notes, written after {upstreams_after} and {operator_after} s"
    changes = await rounds.next()
    lost = Lost(fleet, changes)
    begin = time.monotonic()
    copy = fleet.store.copy()
    await lost.make(notes)
    acked = dict(changes.acked)
    await sleep_until(acked["evacuated"] + EVACUATE_S)
    missing = {r.name for r in fleet.routers} - changes.hosts_in_force()
    check(f"{name}: in force before the return", not missing, sorted(missing))
    in_force = time.monotonic()
    await fleet.store.go_back(copy)
    returned = time.monotonic()
    written = await lost.write_again(returned, upstreams_after, operator_after)
    touch = Touch(returned)
    await sleep_until(1 + max(touch.last_due(written, APPLY_S), returned + LAPSE_S + DRAIN_S,
                              touch.last_due(changes.acked["evacuated"], EVACUATE_S)))
    changes.check_config(name, lambda host: in_force)
    changes.check_upstreams(name, lambda host: acked["draining"] + DRAIN_S,
                            lambda host: acked["removed"] + DRAIN_S,
                            lambda host: acked["evacuated"] + EVACUATE_S)
    await lost.check_living_used(name, touch, written)
    await lost.finish(name)
    rounds.load.check_plain(name, begin)


async def check_lost_at_once(fleet, rounds, operator_after):
    """The changes are acknowledged just before the store goes away, so that only some
    hosts know them. No host goes back, and all follow once they are written again."""
    name = f"lost at once, written after {operator_after} s"
    changes = await rounds.next()
    lost = Lost(fleet, changes)
    begin = time.monotonic()
    copy = fleet.store.copy()
    await lost.make(NOTES)
    await asyncio.sleep(0.05)
    await fleet.store.go_back(copy)
    returned = time.monotonic()
    written = await lost.write_again(returned, 1.0, operator_after)
    touch = Touch(returned)
    changes.acked["draining"] = returned + 1.0
    changes.acked["removed"] = returned + LAPSE_S
    await changes.check_followed(name, touch)
    for kind, status in changes.NEW.items():
        known, back = set(), []
        for at, host, got in rounds.load.of_kind(kind, lambda host: begin):
            if got == status:
                known.add(host)
            elif got == changes.OLD[kind] and host in known:
                back.append((at, host, got))
        check(f"{name}: no host goes back ({kind})", not back, seen(back))
    await lost.check_living_used(name, touch, written)
    await lost.finish(name)
    rounds.load.check_plain(name, begin)


async def main():
    hosts = int(sys.argv[3]) if len(sys.argv) > 3 else 8
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(5), hosts=hosts, per_zone=2)
    try:
        await fleet.start()
        # The readers of the regions have been chosen.
        await asyncio.sleep(4)
        rounds = Rounds(fleet, "load")
        await check_lost_in_force(fleet, rounds, NOTES, 0, 0)
        await check_lost_in_force(fleet, rounds, 0, 1.5, 4)
        await check_lost_in_force(fleet, rounds, NOTES, 2, 0.7)
        await check_lost_at_once(fleet, rounds, 2)
        await rounds.load.stop()
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
