"""The store returns from an older copy around roll-outs, with real processes: what was
done or withdrawn stays so, and what runs comes to its end.

usage: returns_rollouts.py BINARY NET [HOSTS]
"""

import asyncio
import base64
import json
import random
import signal
import sys
import time

from changes import CONTACT_S, Load, seen, sleep_until
from checks import FAILURES, check
from fleet import ZONES, Fleet

PATHS = {"model": "/stream/x", "ledger": "/safe/x"}
# Time in which the state of a roll-out is in the store again, seconds.
STATUS_S = 10.0
# Time in which all hosts know that a roll-out is over.
KNOWN_S = 1.0
# Most requests that a bad version may get: a share of all, and some more.
EXPOSE_SHARE, EXPOSE_SLACK = 0.15, 30
# Time beyond which a deadline counts as missed, seconds.
SLACK_S = 0.5


class Rollout:
    """A version of a service that is brought in beside the others."""

    def __init__(self, fleet, load, service, version, seconds):
        self.fleet, self.load, self.service = fleet, load, service
        self.version, self.seconds = version, seconds
        self.old = [u for u in fleet.upstreams if u.service == service]
        self.new = []
        self.ordered = 0.0

    async def begin(self, failing=0.0):
        for zone in ZONES:
            for _ in range(2):
                self.new.append(await self.fleet.add_upstream(self.service, zone, self.version))
        for upstream in self.new:
            upstream.failing = failing

    async def order(self):
        self.ordered = await self.fleet.store.put(
            "op", f"rollout/{self.service}",
            {"service": self.service, "to": self.version, "duration-s": self.seconds})

    def state(self):
        """What the store says of this version, or None."""
        document = self.fleet.store.document("status", f"rollout/{self.service}")
        status = json.loads(document) if document else {}
        return status.get("state") if status.get("to") == self.version else None

    async def wait_state(self, state, until):
        """Returns the time at which the store has the state, or None."""
        while time.monotonic() < until:
            if self.state() == state:
                return time.monotonic()
            await asyncio.sleep(0.02)
        return None

    def states_since(self, version):
        """States that hosts wrote after a version of the store."""
        return [json.loads(base64.b64decode(row["value"]))["state"]
                for row in self.fleet.store.history
                if row["ver"] > version and row["table"] == "status"
                and row["key"] == f"rollout/{self.service}" and "value" in row]

    def requests(self, upstreams, since):
        return [a for u in upstreams for a in self.load.arrivals(u, lambda host: since)]

    def check_exposure(self, name):
        path = PATHS[self.service]
        sent = sum(at > self.ordered and self.load.kinds[kind][0] == path
                   for at, _, kind in self.load.sent.values())
        reached = len(self.requests(self.new, 0.0))
        check(f"{name}: the exposure is bounded",
              reached <= EXPOSE_SHARE * sent + EXPOSE_SLACK, (reached, sent))

    def check_final(self, name, over, returned, copied, started=()):
        """A roll-out that was over stays over: nothing goes to the version that lost,
        and the store has the state again. Hosts that have started since can only know
        it from the others."""
        state = "done" if over[0] == "done" else "rolled_back"
        lost = self.old if state == "done" else self.new
        text = "the old version" if state == "done" else "the bad version"
        late = [(at, host) for at, host in self.requests(lost, over[1] + KNOWN_S)
                if host not in started or at > returned + CONTACT_S + KNOWN_S]
        check(f"{name}: nothing reaches {text} again", not late,
              (seen(late), sorted(round(at - returned, 2) for at, _ in late)[:3]))
        check(f"{name}: the state is in the store again", self.state() == state, self.state())
        others = set(self.states_since(copied)) - {state}
        check(f"{name}: the order isn't begun anew", not others, others)

    async def retire(self, upstreams):
        """The upstreams are gone."""
        for upstream in upstreams:
            await self.fleet.store.put("servers", upstream.name, None)
            self.fleet.upstreams.remove(upstream)
            self.fleet.gone.append(upstream)


async def begin(fleet, load, version, seconds):
    """A good version of one service and a bad one of the other."""
    good = Rollout(fleet, load, "model", version, seconds)
    bad = Rollout(fleet, load, "ledger", version, seconds)
    await good.begin()
    await bad.begin(failing=0.6)
    await asyncio.sleep(1.2)
    return good, bad


async def wait_over(name, good, bad):
    done = await good.wait_state("done", good.ordered + good.seconds + SLACK_S)
    back = await bad.wait_state("rolled_back", bad.ordered + bad.seconds + SLACK_S)
    check(f"{name}: over before the return", done and back, (good.state(), bad.state()))
    await asyncio.sleep(KNOWN_S)
    now = time.monotonic()
    return ("done", done or now), ("rolled_back", back or now)


async def check_over_in_copy(fleet, load):
    """The copy has both orders, still running, and the row of the hosts of one of them. The
    version that was found bad got requests again, the one that was done was begun anew,
    or the state was written on the condition of a row that the store no longer has."""
    name = "over, running in the copy"
    good, bad = await begin(fleet, load, "v2", 10)
    await good.order()
    await asyncio.sleep(5)
    await bad.order()
    copy = fleet.store.copy()
    done, back = await wait_over(name, good, bad)
    lost = await fleet.store.go_back(copy)
    returned = time.monotonic()
    await fleet.store.write_again(lost)
    await sleep_until(returned + STATUS_S)
    good.check_final(f"{name}, good", done, returned, copy[1])
    bad.check_final(f"{name}, bad", back, returned, copy[1])
    bad.check_exposure(f"{name}, bad")
    await good.retire(good.old)
    await bad.retire(bad.new)


async def check_over_not_in_copy(fleet, load):
    """The copy has neither order; the operator writes them again."""
    name = "over, not in the copy"
    good, bad = await begin(fleet, load, "v3", 8)
    copy = fleet.store.copy()
    await good.order()
    await bad.order()
    ordered = good.ordered, bad.ordered
    done, back = await wait_over(name, good, bad)
    await fleet.store.go_back(copy)
    returned = time.monotonic()
    await asyncio.sleep(1.5)
    await good.order()
    await bad.order()
    written = time.monotonic()
    good.ordered, bad.ordered = ordered
    await sleep_until(written + STATUS_S)
    good.check_final(f"{name}, good", done, returned, copy[1])
    bad.check_final(f"{name}, bad", back, returned, copy[1])
    bad.check_exposure(f"{name}, bad")
    await good.retire(good.old)
    await bad.retire(bad.new)


async def check_over_beside_starts(fleet, load):
    """A host that starts at the return knows an order from the copy, and nothing of its
    end: it must not begin what the others know to be over."""
    name = "over, beside hosts that start"
    good, bad = await begin(fleet, load, "v6", 8)
    await good.order()
    await asyncio.sleep(1)
    await bad.order()
    copy = fleet.store.copy()
    done, back = await wait_over(name, good, bad)
    reader = next(r for r in fleet.routers if r.reads_store())
    other = next(r for r in fleet.routers if not r.reads_store())
    for router in (reader, other):
        router.signal(signal.SIGKILL)
        await router.process.wait()
    task = asyncio.create_task(fleet.store.go_back(copy))
    await asyncio.sleep(0.5)
    await reader.start()
    await fleet.store.write_again(await task)
    returned = time.monotonic()
    await other.start()
    await sleep_until(returned + STATUS_S)
    started = (reader.name, other.name)
    good.check_final(f"{name}, good", done, returned, copy[1], started)
    bad.check_final(f"{name}, bad", back, returned, copy[1], started)
    await good.retire(good.old)
    await bad.retire(bad.new)


async def check_running(fleet, load):
    """Orders that run over the return come to their end: one that the copy has, with a good
    version, and one that it hasn't, whose version becomes bad after the return."""
    name = "running over the return"
    good, bad = await begin(fleet, load, "v4", 12)
    for upstream in bad.new:
        upstream.failing = 0.0
    await good.order()
    await asyncio.sleep(1)
    copy = fleet.store.copy()
    await bad.order()
    ordered = bad.ordered
    await asyncio.sleep(3)
    await fleet.store.go_back(copy)
    await asyncio.sleep(1)
    await bad.order()
    for upstream in bad.new:
        upstream.failing = 0.6
    done = await good.wait_state("done", good.ordered + good.seconds + SLACK_S)
    check(f"{name}: a good version is done by its deadline", done, good.state())
    back = await bad.wait_state("rolled_back", bad.ordered + bad.seconds + SLACK_S)
    check(f"{name}: a bad version is withdrawn by its deadline", back, bad.state())
    bad.ordered = ordered
    bad.check_exposure(name)
    await asyncio.sleep(KNOWN_S + 1)
    late = bad.requests(bad.new, (back or time.monotonic()) + KNOWN_S)
    check(f"{name}: nothing reaches the bad version after that", not late, seen(late))
    await (good.retire(good.old) if done else good.retire(good.new))
    await bad.retire(bad.new)


async def check_after(fleet, load):
    """Further versions are brought in as before."""
    name = "an order after the returns"
    good, bad = await begin(fleet, load, "v5", 10)
    await good.order()
    await bad.order()
    await wait_over(name, good, bad)
    bad.check_exposure(name)


async def main():
    hosts = int(sys.argv[3]) if len(sys.argv) > 3 else 8
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(5), hosts=hosts, per_zone=2)
    try:
        await fleet.start()
        # The readers of the regions have been chosen.
        await asyncio.sleep(4)
        load = Load(fleet, "load")
        load.kinds = {kind: (path, "key-1") for kind, path in PATHS.items()}
        load.kinds["model again"] = (PATHS["model"], "key-1")
        for run_check in (check_over_in_copy, check_over_not_in_copy,
                          check_over_beside_starts, check_running, check_after):
            await run_check(fleet, load)
        await load.stop()
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
