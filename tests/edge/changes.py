"""Changes of the operator and of the upstreams, and requests at every host that show
which of them are in force. The bounds are those of the platform's pages."""

import asyncio
import time

from checks import check
from fleet import DRAIN_S, ZONES, Caller

# Time in which a configuration, and a key that is taken away, is in force, seconds.
APPLY_S = 3.0
# The same for an evacuation and its end.
EVACUATE_S = 5.0
# Time after a disturbance from which the bounds hold.
CONTACT_S = 4.0
# Time in which the requests of a check are sent.
WINDOW_S = 1.0
ZONE_ORDER = list(ZONES)
PLAIN = "plain"


async def sleep_until(at):
    await asyncio.sleep(max(0.0, at - time.monotonic()))


class Load:
    """Requests of some kinds at every host in turn until the end.

    kinds: (path, key) by name; may change at any time.
    """

    def __init__(self, fleet, name, pause=0.02):
        self.fleet, self.name, self.pause = fleet, name, pause
        self.kinds = {PLAIN: ("/safe/x", "key-1")}
        # (time, host, kind) by id, and (time, host, kind, status) in the order of
        # the answers.
        self.sent, self.answers = {}, []
        self.running = True
        self.tasks = [asyncio.create_task(self.run(router)) for router in fleet.routers]

    async def run(self, router):
        caller, number = Caller(router.address), 0
        while self.running:
            for kind, (path, key) in list(self.kinds.items()):
                ident = f"{self.name}-{router.name}-{number}"
                number += 1
                at = time.monotonic()
                self.sent[ident] = (at, router.name, kind)
                answer = await caller.request(ident, path, key=key, budget_ms=2000)
                self.answers.append((at, router.name, kind, answer.status))
                await asyncio.sleep(self.pause)
        caller.close()

    async def burst(self, router, count=8, times=3):
        """Requests at the same time, which a host spreads over its upstreams."""
        async def one():
            ident = f"{self.name}-{router.name}-burst-{len(self.sent)}"
            self.sent[ident] = (time.monotonic(), router.name, "burst")
            caller = Caller(router.address)
            await caller.request(ident, "/safe/x", budget_ms=2000)
            caller.close()

        for _ in range(times):
            await asyncio.gather(*(one() for _ in range(count)))

    async def stop(self):
        self.running = False
        await asyncio.gather(*self.tasks)

    def of_kind(self, kind, since=None):
        """(time, host, status) of the answers; since() gives a time for each host."""
        return [(at, host, status) for at, host, sent, status in self.answers
                if sent == kind and (since is None or at > since(host))]

    def arrivals(self, upstream, since):
        """(time, host) of the requests that reached the upstream, sent after since()."""
        found = [self.sent[ident] for _, ident, _ in upstream.arrivals if ident in self.sent]
        return [(at, host) for at, host, _ in found if at > since(host)]

    def check_plain(self, name, begin, excused=()):
        """Requests that every version allows are answered, whatever the store does."""
        end = time.monotonic() - 2
        bad = [(round(at - begin, 2), host, status) for at, host, status in self.of_kind(PLAIN)
               if status != 200 and begin < at < end and host not in excused]
        check(f"{name}: requests that all versions allow are served", not bad, (len(bad), bad[:4]))


def seen(statuses):
    """A short text of (time, host, status)."""
    hosts = sorted({host for _, host, *_ in statuses})
    return f"{len(statuses)} requests at {', '.join(hosts)}"


class Touch:
    """When a change has to be in force: its bound after its acknowledgement, and not
    before CONTACT_S after the disturbance, which may have ended later at some hosts."""

    def __init__(self, ended, later=None):
        self.ended, self.later = ended, later or {}

    def due(self, acked, bound):
        return lambda host: max(acked + bound, self.later.get(host, self.ended) + CONTACT_S)

    def last_due(self, acked, bound):
        return max(self.due(acked, bound)(host) for host in [None, *self.later])


class Round:
    """One round of changes of all kinds: a route is added and another one dropped, a
    key given and another one taken away, an upstream says that it is draining,
    another one's entry is removed, and the zone of the third is evacuated."""

    def __init__(self, fleet, load, number):
        self.fleet, self.load, self.number = fleet, load, number
        self.acked = {}
        zones = [ZONE_ORDER[(number + i) % len(ZONE_ORDER)] for i in range(len(ZONE_ORDER))]
        self.zone = zones[2]
        self.draining, self.removed = (self.upstreams_in(zone)[number // 3 % 2]
                                       for zone in zones[:2])
        load.kinds = {
            PLAIN: ("/safe/x", "key-1"),
            "added": (f"/r{number}/x", "key-1"), "dropped": (f"/r{number - 1}/x", "key-1"),
            "given": ("/safe/x", f"k{number}"), "taken": ("/safe/x", f"k{number - 1}"),
        }

    def upstreams_in(self, zone):
        return [u for u in self.fleet.upstreams if u.service == "ledger" and u.zone == zone]

    @staticmethod
    async def prepare(fleet):
        """The configuration before the first round, number 1."""
        await fleet.apply(extra_routes=("r0",), keys=("key-1", "k0"))

    async def write_config(self):
        self.acked["config"] = await self.fleet.apply(
            extra_routes=(f"r{self.number}",), keys=("key-1", f"k{self.number}"))

    async def make(self):
        """Write all changes."""
        put = self.fleet.store.put
        self.acked["draining"] = await put(
            "servers", self.draining.name, self.draining.entry("draining"))
        self.acked["removed"] = await put("servers", self.removed.name, None)
        await self.write_config()
        self.acked["evacuated"] = await put("op", f"evacuate/{self.zone}", {})

    # What is handled as only the state before the changes allows.
    OLD = {"added": 404, "dropped": 200, "given": 401, "taken": 200}
    NEW = {"added": 200, "dropped": 404, "given": 200, "taken": 401}

    def old(self, kind, since):
        return [a for a in self.load.of_kind(kind, since) if a[2] == self.OLD[kind]]

    def hosts_in_force(self, kinds=tuple(OLD)):
        """Hosts whose last answers show the configuration."""
        last = {(host, kind): status for _, host, kind, status in self.load.answers}
        return {r.name for r in self.fleet.routers
                if all(last.get((r.name, kind)) == self.NEW[kind] for kind in kinds)}

    def check_config(self, name, since):
        for kind, text in (("added", "a new route is served"),
                           ("dropped", "a dropped route is not served"),
                           ("given", "a new key is taken"),
                           ("taken", "a key that was taken away is refused")):
            old = self.old(kind, since)
            check(f"{name}: {text}", not old, seen(old))

    def check_upstreams(self, name, draining, removed, evacuated):
        """Nothing is sent to upstreams later than the three functions state."""
        cases = [("is draining", [self.draining], draining),
                 ("was removed", [self.removed], removed),
                 ("is in an evacuated zone", self.upstreams_in(self.zone), evacuated)]
        for text, upstreams, since in cases:
            late = [a for u in upstreams for a in self.load.arrivals(u, since)]
            check(f"{name}: nothing reaches an upstream that {text}", not late, seen(late))

    def check_used(self, name, since):
        """What the checks of upstreams need to show anything."""
        idle = [u.name for u in (self.draining, self.removed, *self.upstreams_in(self.zone))
                if not self.load.arrivals(u, lambda host: since)]
        check(f"{name}: the upstreams are used before", not idle, idle)

    async def check_followed(self, name, touch):
        """All changes are in force within their bounds; takes until then."""
        bounds = {"config": APPLY_S, "draining": DRAIN_S, "removed": DRAIN_S,
                  "evacuated": EVACUATE_S}
        due = {key: touch.due(self.acked[key], bound) for key, bound in bounds.items()}
        await sleep_until(WINDOW_S + max(touch.last_due(self.acked[key], bound)
                                         for key, bound in bounds.items()))
        self.check_config(name, due["config"])
        behind = {r.name for r in self.fleet.routers} - self.hosts_in_force()
        check(f"{name}: every host has the configuration", not behind, sorted(behind))
        self.check_upstreams(name, due["draining"], due["removed"], due["evacuated"])

    async def finish(self, name):
        """Take the changes of upstreams back: the zone is used again in time."""
        put = self.fleet.store.put
        ended = await put("op", f"evacuate/{self.zone}", None)
        wanted = {r.name for r in self.fleet.routers if r.zone == self.zone}
        hosts = set()
        while not wanted <= hosts and time.monotonic() < ended + EVACUATE_S:
            await asyncio.sleep(0.1)
            hosts = {host for u in self.upstreams_in(self.zone)
                     for _, host in self.load.arrivals(u, lambda host: ended)}
        check(f"{name}: the zone is used again after its evacuation", wanted <= hosts,
              sorted(wanted - hosts))
        for upstream in (self.draining, self.removed):
            await self.renew(upstream)

    async def renew(self, upstream):
        """A new process takes the upstream's place."""
        upstream.born += 1
        upstream.sequence = 0
        await self.fleet.store.put("servers", upstream.name, upstream.entry())


class Rounds:
    """A load, and rounds of changes in it."""

    def __init__(self, fleet, name):
        self.fleet, self.number = fleet, 0
        self.load = Load(fleet, name)

    async def next(self, settle=2.0):
        """A round whose changes are not made yet; what the last one left is in force."""
        self.number += 1
        if self.number == 1:
            await Round.prepare(self.fleet)
        round_ = Round(self.fleet, self.load, self.number)
        begin = time.monotonic()
        await asyncio.sleep(settle)
        # A host that gets one request after the other may use one upstream alone.
        await asyncio.gather(*(self.load.burst(router) for router in self.fleet.routers))
        round_.check_used(f"round {self.number}", begin)
        return round_
