"""The kind "return" of the soak: the store returns from an older copy, in some runs
while a version is brought in."""

import asyncio
import time

from fleet import ZONES, Caller

CONTACT_S, APPLY_S = 4.0, 3.0
# Age of the oldest copy, the longest absence, and the time in which the operator and
# the upstreams write theirs again, seconds.
COPY_S, AWAY_S, AGAIN_S = 6.0, 1.5, 2.0
# Time after which the other hosts know the end of a roll-out.
KNOWN_S = 1.0
ORDER_S = 8
# Numbers of writes before the return that nobody writes again.
NOTES = (0, 10, 40)
# Time after the return in which its checks begin, seconds.
CHECKED_S = 10.0
NOT_IN_TOUCH = ("kill", "freeze", "stop", "start", "cut")


class Returns:
    """Part of the soak."""

    def init_returns(self):
        # Outages of the store don't overlap.
        self.outage = asyncio.Lock()
        # The newest configuration: name of its route, and its acknowledgement.
        self.config = None
        self.brought_in = False
        # Time of the last return.
        self.returned = 0.0

    async def probe(self, router, name, budget_ms=5000):
        """Status of a request on a route."""
        self.number += 1
        caller = Caller(router.address)
        answer = await caller.request(f"probe{self.number}", f"/{name}/x", budget_ms=budget_ms)
        caller.close()
        return answer.status

    async def probe_all(self, name):
        statuses = await asyncio.gather(*(self.probe(r, name, 1000) for r in self.fleet.routers))
        return dict(zip(self.fleet.routers, statuses))

    async def kind_return(self):
        version = None
        if not self.brought_in and self.random.random() < 0.5:
            self.brought_in = True
            version = asyncio.create_task(self.bring_in())
            await asyncio.sleep(self.random.uniform(1, ORDER_S))
        await self.return_store()
        if version:
            await version

    async def return_store(self):
        store, config = self.fleet.store, self.config
        # Processes that have served the newest route.
        serving = {}
        if config:
            statuses = await self.probe_all(config[0])
            serving = {r: r.began for r, status in statuses.items() if status == 200}
        for _ in range(self.random.choice(NOTES)):
            await store.put("status", "note", {})
        async with self.outage:
            away = self.random.choice((0, self.random.uniform(0, AWAY_S)))
            drop = bool(away) or self.random.random() < 0.5
            since = time.monotonic() - COPY_S
            copies = [copy for at, copy in store.copies if at > since]
            copy = self.random.choice(copies) if copies else store.copy()
            self.note(f"store returns after {away:.1f} s from a copy that lacks "
                      f"{store.version - copy[1]} writes"
                      f"{'' if drop else ', connections stay open'}")
            self.disturb_store(away)
            lost = await store.go_back(copy, away, drop)
            store.copies.clear()
        self.returned = returned = time.monotonic()
        again = [asyncio.create_task(self.write_again(returned, *row)) for row in lost]
        await self.check_not_back(config, serving, returned)
        if self.random.random() < 0.7:
            await self.change_config()
        await asyncio.gather(*again)
        await self.check_returned(returned)

    async def write_again(self, returned, table, key, value):
        """Unless it was written since the return."""
        await asyncio.sleep(self.random.uniform(0, AGAIN_S))
        if self.fleet.store.written[table, key][0] > returned:
            return
        acked = await self.fleet.store.put(table, key, value)
        if self.config and (table, key) == ("op", "config"):
            self.config = (self.config[0], acked)

    async def check_not_back(self, config, serving, returned):
        """A host that served a configuration goes on with it, in touch or not."""
        while config and time.monotonic() < returned + AGAIN_S:
            statuses = await self.probe_all(config[0])
            if self.config[0] != config[0]:
                return
            for router, status in statuses.items():
                if status == 404 and serving.get(router) == router.began:
                    self.break_promise(f"went back: {router.name} served /{config[0]}/ before")
                    return
            await asyncio.sleep(0.2)

    async def check_returned(self, returned):
        """Hosts in touch have the newest configuration."""
        while self.config and time.monotonic() < returned + CHECKED_S:
            config = self.config
            due = max(returned + CONTACT_S, config[1] + APPLY_S) + 0.1
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            statuses = await self.probe_all(config[0])
            now = time.monotonic()
            if self.store_disturbed + CONTACT_S > due:
                return
            if self.config == config:
                self.check_known(config, statuses, due, now)
                return

    def check_known(self, config, statuses, due, now):
        for router, status in statuses.items():
            if status == 404 and self.calm(router.name, due - CONTACT_S, now, NOT_IN_TOUCH):
                self.break_promise(f"return: {router.name} does not know /{config[0]}/")

    async def bring_in(self):
        """A good or a bad version; its order comes to an end, and a version that was
        withdrawn gets no requests afterwards."""
        fleet, bad = self.fleet, self.random.random() < 0.5
        old = [u for u in fleet.upstreams if u.service == "model"]
        new = [await fleet.add_upstream("model", zone, "v2")
               for zone in ZONES for _ in range(fleet.per_zone)]
        for upstream in new:
            upstream.failing = 0.6 if bad else 0.0
        await asyncio.sleep(1)
        self.note(f"a {'bad' if bad else 'good'} version is brought in")
        ordered = await fleet.store.put(
            "op", "rollout/model", {"service": "model", "to": "v2", "duration-s": ORDER_S})
        state = b""
        # The disturbance of the store may stretch the order.
        while (time.monotonic() - self.stalled(ordered, time.monotonic())
               < max(ordered, self.store_disturbed + CONTACT_S) + ORDER_S):
            state = fleet.store.document("status", "rollout/model") or b""
            if b"done" in state or b"rolled_back" in state:
                break
            await asyncio.sleep(0.05)
        over = time.monotonic()
        self.note(f"the version is over: {state.decode()}")
        if b"done" not in state and b"rolled_back" not in state:
            self.break_promise(f"roll-out: no end {over - ordered:.1f} s after the order")
        if bad and b"done" in state:
            self.break_promise("exposure: a bad version is done")
        await asyncio.sleep(self.random.uniform(2, 4))
        # Hosts that had not heard of it can't know what the store has lost.
        if b"rolled_back" in state and not over < self.returned < over + KNOWN_S:
            self.check_withdrawn(new, over)
        await self.retire(old if b"done" in state else new)

    def check_withdrawn(self, new, over):
        late = [r for u in new for _, r in self.arrivals_from(u, over + KNOWN_S)
                if r.began > over + KNOWN_S
                and self.calm(r.router, over - CONTACT_S, r.began, NOT_IN_TOUCH)]
        if late:
            self.break_promise(f"exposure: {len(late)} requests reached a version that was "
                               f"withdrawn, first {late[0]}")

    async def retire(self, upstreams):
        """They are gone at once, and their entries lapse."""
        for upstream in upstreams:
            if upstream.server.is_serving():
                upstream.end()
            self.fleet.upstreams.remove(upstream)
            self.fleet.gone.append(upstream)
        await asyncio.sleep(3)
        for upstream in upstreams:
            await self.fleet.store.put("servers", upstream.name, None)
