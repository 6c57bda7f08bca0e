"""Randomized soak: real router processes, faults from outside, promises checked
from what callers and upstreams saw.

usage: soak.py BINARY NET SEED [SECONDS]

Prints the seed, the faults with their times, and one line for each broken
promise. Exit status 1 when a promise was broken; the logs are kept then.
"""

import asyncio
import random
import shutil
import signal
import sys
import time
import traceback

from fleet import ZONES, Caller, Fleet
from standins import event_of, events_of, whole_answer

# Time within which a change is in force on a host that reaches the store,
# seconds; the users' bound, and the time without a fault before it counts.
APPLY_S = 3.0
CONTACT_S = 4.0
# Time within which a stopped host has ended, seconds.
GRACE_S = 6.0
CALLERS = 9


class Soak:
    def __init__(self, binary, net, seed, seconds):
        self.random = random.Random(seed)
        self.fleet = Fleet(binary, net, self.random, hosts=3, per_zone=2)
        self.seconds = seconds
        self.broken = []
        self.answers = []
        self.number = 0
        self.disturbed = {}
        self.held = set()
        self.store_disturbed = 0.0
        self.last_change = None
        self.running = True
        self.started = time.monotonic()

    def note(self, text):
        print(f"{time.monotonic() - self.started:7.2f} {text}", flush=True)

    def break_promise(self, text):
        self.broken.append(text)
        self.note("BROKEN " + text)

    # Load.

    async def call(self, index):
        """One caller that keeps its connection until its host is gone."""
        router = self.fleet.routers[index % len(self.fleet.routers)]
        caller = Caller(router.address)
        while self.running:
            self.number += 1
            ident = f"r{self.number:06d}"
            kind = self.random.choice(("safe", "once", "stream"))
            body = bytes(self.random.choices(b"abcdef", k=self.random.choice((0, 40, 4000))))
            version = self.fleet.version
            sent = time.monotonic()
            answer = await caller.request(ident, f"/{kind}/x", body, budget_ms=4000)
            self.answers.append((ident, kind, body, answer))
            self.check_answer(ident, kind, body, answer)
            if answer.status in (401, 404):
                self.check_denied(router, ident, answer, sent, version)
            if answer.status == 0 or self.random.random() < 0.05:
                caller.close()
                await asyncio.sleep(0.1)
            await asyncio.sleep(self.random.uniform(0, 0.05))
        caller.close()

    def check_answer(self, ident, kind, body, answer):
        if answer.status // 100 != 2 or not answer.complete:
            if kind == "stream" and answer.status == 200:
                whole = b"".join(event_of(ident, n) for n in range(1, events_of(ident) + 1))
                if not whole.startswith(answer.body):
                    self.break_promise(f"order: {ident} got {answer.body[-80:]}")
            return
        if kind == "stream":
            wanted = b"".join(event_of(ident, n) for n in range(1, events_of(ident) + 1))
        else:
            wanted = whole_answer(ident, body)
        if answer.body != wanted:
            self.break_promise(f"mixed: {ident} got {answer.body[:80]}")
        if "x-pistachiorack-server-seal" not in answer.fields:
            self.break_promise(f"mixed: {ident} has no seal")

    def check_denied(self, router, ident, answer, sent, version):
        """Keys and routes of the load are never taken away."""
        self.break_promise(f"denied: {ident} by {router.name}: {answer.status}, version {version}")

    def check_runs(self):
        """What the upstreams saw, after all answers are in."""
        for ident, kind, body, answer in self.answers:
            runs = self.fleet.runs.get(ident, [])
            if kind == "once" and len(runs) > 1:
                self.break_promise(f"twice: {ident} ran {len(runs)} times")
            if kind == "once" and answer.status in (408, 421, 429, 503) and runs:
                self.break_promise(f"refused: {ident} got {answer.status} and ran")
            for _, line, _, got in runs:
                if got != body or f"/{kind}/x " not in line:
                    self.break_promise(f"changed: {ident} ran as {line}")
            if answer.status == 503 and "retry-after" not in answer.fields:
                self.break_promise(f"refused: {ident} is not told when to return")
        sent = {ident for ident, _, _, _ in self.answers}
        for ident in self.fleet.runs:
            if ident not in sent and not ident.startswith("probe"):
                self.break_promise(f"unasked: {ident} ran")

    # Faults.

    def disturb(self, router, seconds):
        until = time.monotonic() + seconds
        self.disturbed[router.name] = max(self.disturbed.get(router.name, 0), until)

    def disturb_store(self, seconds):
        self.store_disturbed = max(self.store_disturbed, time.monotonic() + seconds)

    def pick_router(self):
        """A host whose process no other fault is at work on, or None."""
        free = [r for r in self.fleet.routers if r.name not in self.held]
        router = self.random.choice(free) if free else None
        if router:
            self.held.add(router.name)
        return router

    async def fault_kill(self):
        router = self.pick_router()
        if not router:
            return
        self.disturb(router, 3)
        self.note(f"kill {router.name}")
        router.signal(signal.SIGKILL)
        await router.process.wait()
        await asyncio.sleep(self.random.uniform(0.1, 1))
        await router.start()
        await router.wait_ready()
        self.held.discard(router.name)

    async def fault_freeze(self):
        router = self.pick_router()
        if not router:
            return
        seconds = self.random.uniform(0.5, 3)
        self.disturb(router, seconds)
        self.note(f"freeze {router.name} for {seconds:.1f} s")
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        router.signal(signal.SIGCONT)
        self.held.discard(router.name)

    async def fault_term(self):
        router = self.pick_router()
        if not router:
            return
        process = router.process
        self.disturb(router, GRACE_S + 2)
        self.note(f"stop {router.name}")
        router.signal(signal.SIGHUP)
        router.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.break_promise(f"stop: {router.name} is still there after {GRACE_S} s")
            router.signal(signal.SIGKILL)
            await process.wait()
        await router.start()
        await router.wait_ready()
        self.held.discard(router.name)

    async def fault_store(self):
        mode = self.random.choice(("busy", "many", "reset", "silent"))
        seconds = self.random.uniform(0.5, 4)
        self.disturb_store(seconds)
        self.note(f"store {mode} for {seconds:.1f} s")
        self.fleet.store.mode = mode
        await asyncio.sleep(seconds)
        self.fleet.store.mode = "ok"
        self.fleet.store.drop_connections()

    async def fault_store_slow(self):
        self.disturb_store(2)
        self.note("store slow")
        self.fleet.store.slow = 0.2
        self.fleet.store.lose = 0.3
        await asyncio.sleep(2)
        self.fleet.store.slow = self.fleet.store.lose = 0.0

    async def fault_history(self):
        self.note("store forgets its history")
        self.fleet.store.forget()

    async def fault_cut(self):
        index = self.random.randrange(len(self.fleet.routers))
        proxy = self.fleet.store_proxies[index]
        kind = self.random.choice(("refuse", "silent_up", "silent_down", "both"))
        seconds = self.random.uniform(0.5, 4)
        self.disturb(self.fleet.routers[index], seconds)
        self.note(f"cut host-{index} from the store ({kind}) for {seconds:.1f} s")
        proxy.refuse = kind == "refuse"
        proxy.silent_up = kind in ("silent_up", "both")
        proxy.silent_down = kind in ("silent_down", "both")
        if proxy.refuse:
            proxy.drop_connections()
        await asyncio.sleep(seconds)
        proxy.refuse = proxy.silent_up = proxy.silent_down = False
        proxy.drop_connections()

    async def fault_upstream(self):
        fault = self.random.choice(
            ("error", "shed", "reset", "lost", "cut", "cut_reset", "garbage", "extra", "hang")
        )
        some = self.random.sample(self.fleet.upstreams, 2)
        self.note(f"{fault} at {', '.join(u.name for u in some)}")
        for upstream in some:
            upstream.faults = {fault: self.random.choice((0.1, 0.5))}
        await asyncio.sleep(self.random.uniform(0.5, 3))
        for upstream in some:
            upstream.faults = {}

    async def fault_connections(self):
        some = self.random.sample(self.fleet.upstreams, 3)
        self.note(f"reset connections of {', '.join(u.name for u in some)}")
        for upstream in some:
            upstream.drop_connections()

    async def fault_evacuate(self):
        zone = self.random.choice(list(ZONES))
        self.note(f"evacuate {zone}")
        acked = await self.fleet.store.put("op", f"evacuate/{zone}", {})
        if not await self.hold(APPLY_S + 2):
            seen = acked + 5.0
            for upstream in self.fleet.upstreams:
                late = [a for a in upstream.arrivals if a[0] > seen]
                if upstream.zone == zone and late:
                    self.break_promise(f"evacuated: {upstream.name} got {late[0][1]}")
        await self.fleet.store.put("op", f"evacuate/{zone}", None)

    async def fault_change(self):
        name = f"extra{self.fleet.version}"
        self.note(f"configuration {self.fleet.version + 1} adds /{name}/")
        await self.fleet.apply(extra_routes=[name])
        if await self.hold(APPLY_S):
            return
        for router in self.fleet.routers:
            if self.disturbed.get(router.name, 0) + CONTACT_S > time.monotonic() - APPLY_S:
                continue
            caller = Caller(router.address)
            answer = await caller.request(f"probe{self.number}", f"/{name}/x")
            self.number += 1
            caller.close()
            if answer.status == 404 and not self.store_unstable():
                self.break_promise(f"configuration: {router.name} does not know /{name}/")

    def store_unstable(self):
        return self.store_disturbed + CONTACT_S > time.monotonic() - APPLY_S

    async def hold(self, seconds):
        """Wait; returns True when the store was disturbed meanwhile."""
        await asyncio.sleep(seconds)
        return self.store_unstable()

    async def run_faults(self):
        faults = [getattr(self, name) for name in sorted(dir(self)) if name.startswith("fault_")]
        tasks = set()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            # Faults come in series and overlap, but one of a kind at a time.
            fault = self.random.choice(faults)
            if not any(t.get_name() == fault.__name__ for t in tasks if not t.done()):
                tasks.add(asyncio.create_task(fault(), name=fault.__name__))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*tasks)

    async def check_recovery(self):
        """Without faults, hosts serve again within a few seconds."""
        await asyncio.sleep(5)
        for router in self.fleet.routers:
            caller = Caller(router.address)
            good = 0
            for number in range(10):
                answer = await caller.request(f"probe-end-{router.name}-{number}", "/safe/x")
                good += answer.status == 200
            caller.close()
            if good < 8:
                self.break_promise(f"recovery: {router.name} served {good} of 10")

    async def run(self):
        try:
            await self.fleet.start()
            callers = [asyncio.create_task(self.call(i)) for i in range(CALLERS)]
            await self.run_faults()
            self.running = False
            await asyncio.gather(*callers)
            await self.check_recovery()
            await asyncio.sleep(0.5)
            self.check_runs()
            served = sum(a.status == 200 and a.complete for _, _, _, a in self.answers)
            self.note(f"{len(self.answers)} requests, {served} served")
            if served < len(self.answers) / 4:
                self.break_promise("service: less than a quarter was served")
        finally:
            await self.fleet.stop()


async def main():
    binary, net, seed = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    seconds = float(sys.argv[4]) if len(sys.argv) > 4 else 15.0
    print(f"seed {seed}, {seconds:.0f} s")
    soak = Soak(binary, net, seed, seconds)
    try:
        await soak.run()
    except Exception:
        traceback.print_exc()
        soak.broken.append("the soak itself failed")
    if soak.broken:
        print(f"{len(soak.broken)} broken; logs: {soak.fleet.folder}")
    else:
        shutil.rmtree(soak.fleet.folder, ignore_errors=True)
    return 1 if soak.broken else 0


sys.exit(asyncio.run(main()))
