"""Randomized soak: real router processes, faults from outside, promises checked
from what callers, upstreams and the store saw.

usage: soak.py BINARY NET SEED [SECONDS] [--kinds KINDS] [--hosts N] [--upstreams M]

Faults of processes, the store, its links and upstreams come in every run. The
kinds in KINDS, comma-separated or "none", are drawn from the seed unless given;
"crash" needs 20 s or more for its checks. Prints the seed, the kinds, the faults
with their times, and one line for each broken promise. Exit status 1 when a
promise was broken; the logs are kept then.
"""

import argparse
import asyncio
import collections
import contextlib
import logging
import random
import shutil
import signal
import sys
import time
import traceback

from fleet import ZONES, Caller, Fleet
from soak_returns import Returns
from standins import P, event_of, events_of, whole_answer

# Time within which a change is in force on a host that reaches the store,
# seconds; the users' bound, and the time without a fault before it counts.
APPLY_S = 3.0
CONTACT_S = 4.0
# Time within which a stopped host has ended, seconds.
GRACE_S = 6.0
# Time after which nothing reaches an upstream that is about to leave, seconds.
DRAIN_S = 3.0
# Requests to an upstream that states a limit are counted in this time, at hosts
# that passed on such an answer this long before.
LIMIT_WINDOW_S = 4.0
LIMIT_HEARD_S = 0.5
# A close that crosses a request follows the request's last byte within this
# time, seconds.
LOSS_SLACK_S = 0.2
# Time after the fifth crash by a part of a prompt from which requests with that
# part are counted, and from which sound ones beside them have to be served,
# seconds; crashes that are needed; and the requests that may still arrive.
CRASHED_S, BESIDE_S = 5.0, 2 * CONTACT_S
CRASHES, CRASHING_MAX = 5, 3
# Sound requests that are needed on either side to compare how many are served.
COMPARED_MIN = 20
# Requests that may reach an upstream from one host in the time of Retry-After,
# from this long after the refusal, seconds.
RETRY_MAX, RETRY_SLACK_S = 2, 0.5
# Time that a caller waits for an answer, seconds.
BUDGET_S = 4.0
CALLERS_MIN = 9
# Requests per second of all callers together when all answers come at once.
RATE = 300
KINDS = ("silence", "crash", "again", "later", "leaving", "unframed", "limit", "status",
         "return")
STREAMS = ("stream", "prompt")
FIRST_PARTS, SECOND_PARTS = ("a1", "a2", "a3"), ("b1", "b2", "b3")
DEADLY = "dead"


class Request:
    """A request of the load, and what became of it."""

    def __init__(self, ident, kind, router, body, parts):
        self.ident, self.kind, self.router, self.body = ident, kind, router.name, body
        self.parts = parts
        self.began = time.monotonic()
        self.answer = None

    def good(self):
        return self.answer.status == 200 and self.answer.complete

    def expected(self):
        if self.kind in STREAMS:
            count = events_of(self.ident)
            return b"".join(event_of(self.ident, n) for n in range(1, count + 1))
        return whole_answer(self.ident, self.body)

    def __str__(self):
        answer = self.answer
        return (f"{self.ident} ({self.kind}) at {self.router}: {answer.status}"
                f"{'' if answer.complete else ', not complete'} after "
                f"{answer.ended - self.began:.2f} s")


class Soak(Returns):
    def __init__(self, options):
        self.random = random.Random(options.seed)
        self.fleet = Fleet(options.binary, options.net, self.random, hosts=options.hosts,
                           per_zone=max(1, options.upstreams // (2 * len(ZONES))))
        self.seconds = options.seconds
        self.kinds = options.kinds
        self.callers = max(CALLERS_MIN, options.hosts)
        self.broken = []
        # Finished requests in order, and all by id.
        self.answers, self.requests = [], {}
        self.number = 0
        # What was done to hosts: [name, kind, begin, end], kind being "kill",
        # "freeze", "stop", "start" or "cut" (from the store).
        self.troubles = []
        # Times at which this program itself was held up.
        self.stalls = []
        self.held = set()
        self.store_disturbed = 0.0
        self.crash_began = None
        self.moved = 0
        self.running = True
        self.started = time.monotonic()
        self.init_returns()

    def note(self, text):
        print(f"{time.monotonic() - self.started:7.2f} {text}", flush=True)

    def break_promise(self, text):
        self.broken.append(text)
        self.note("BROKEN " + text)

    # Load.

    def draw_parts(self, kind):
        """The parts of a prompt; the last one belongs to the request alone."""
        if kind != "prompt":
            return []
        crashing = self.crash_began and self.random.random() < 0.1
        second = DEADLY if crashing else self.random.choice(SECOND_PARTS)
        return [self.random.choice(FIRST_PARTS), second, f"{self.number:08x}"]

    async def call(self, index):
        """One caller that keeps its connection until its host is gone."""
        router = self.fleet.routers[index % len(self.fleet.routers)]
        caller = Caller(router.address)
        pause = 2 * max(0.025, self.callers / RATE - 0.025)
        while self.running:
            self.number += 1
            kind = self.random.choice(("safe", "once", "stream", "prompt"))
            body = bytes(self.random.choices(b"abcdef", k=self.random.choice((0, 40, 4000))))
            request = Request(f"r{self.number:06d}", kind, router, body, self.draw_parts(kind))
            self.requests[request.ident] = request
            more = {}
            if request.parts:
                more = {
                    P + "Model": "model-1", P + "Token-Count": "1250,20",
                    P + "Prompt-Prefix": ",".join(p + ":400" for p in request.parts),
                }
            request.answer = await caller.request(
                request.ident, f"/{kind}/x", body, budget_ms=int(BUDGET_S * 1000), **more)
            self.answers.append(request)
            self.check_answer(request)
            if request.answer.status == 0:
                await asyncio.sleep(0.1)
            await asyncio.sleep(self.random.uniform(0, pause))
        caller.close()

    async def watch(self):
        """Note when this program is held up, since what it measures is late
        then, and when a host has ended by itself."""
        while self.running:
            due = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            if time.monotonic() > due + 0.05:
                self.stalls.append((due, time.monotonic()))
                if time.monotonic() > due + 1:
                    # So was the store.
                    self.disturb_store(0)
                    self.note(f"this program was held up for {time.monotonic() - due:.1f} s")
            for router in self.fleet.routers:
                if router.name not in self.held and router.process.returncode is not None:
                    self.break_promise(f"ended: {router.name}: {router.process.returncode}")
                    await router.start()

    # What callers saw.

    def check_answer(self, request):
        answer = request.answer
        wanted = request.expected()
        if answer.status // 100 == 2 and answer.complete:
            if answer.body != wanted:
                self.break_promise(f"mixed: {request} got {answer.body[-80:]}")
            if "x-pistachiorack-server-seal" not in answer.fields:
                self.break_promise(f"mixed: {request} has no seal")
        elif request.kind in STREAMS and answer.status == 200:
            if not wanted.startswith(answer.body):
                self.break_promise(f"order: {request} got {answer.body[-80:]}")
        elif answer.status in (401, 404):
            # Keys and routes of the load are never taken away.
            self.break_promise(f"denied: {request}")

    def check_runs(self):
        """What the upstreams saw, after all answers are in."""
        for request in self.answers:
            ident, kind, answer = request.ident, request.kind, request.answer
            runs = self.fleet.runs.get(ident, [])
            if kind == "once" and len(runs) > 1:
                self.break_promise(f"twice: {request} ran {len(runs)} times")
            if kind == "once" and answer.status in (408, 421, 429, 503) and runs:
                self.break_promise(f"refused: {request} and ran")
            for _, line, _, got in runs:
                if got != request.body or f"/{kind}/x " not in line:
                    self.break_promise(f"changed: {ident} ran as {line}")
            if answer.status == 503 and "retry-after" not in answer.fields:
                self.break_promise(f"refused: {request} is not told when to return")
        for ident in self.fleet.runs:
            if ident not in self.requests and not ident.startswith("probe"):
                self.break_promise(f"unasked: {ident} ran")

    def check_lost(self):
        """A request that was read has an answer, also while its host stops,
        reloads or takes in a configuration."""
        for request in self.answers:
            answer = request.answer
            if answer.complete or answer.sent is None or answer.timed_out:
                continue
            took = answer.ended - answer.sent - self.stalled(answer.sent, answer.ended)
            ran = request.ident in self.fleet.runs
            if request.ident in self.fleet.harmed or took > BUDGET_S - 0.3:
                continue
            if not self.calm(request.router, answer.sent - CONTACT_S, answer.ended):
                continue
            if self.at_end_of_grace(request):
                continue
            if ran or took > LOSS_SLACK_S:
                self.break_promise(f"lost: {request}, {'ran' if ran else 'not run'}")

    def at_end_of_grace(self, request):
        return any(
            name == request.router and kind == "stop" and request.answer.sent <= begin + 3.0
            and request.answer.ended >= begin + GRACE_S * 5 / 6
            for name, kind, begin, _ in self.troubles)

    def check_silence(self):
        """A sound upstream that is silent for a moment fails no request. A
        request that may be repeated may be answered by another upstream."""
        held = set().union(*(u.held for u in self.fleet.upstreams))
        let_go = {ident for u in self.fleet.upstreams for ident, _, _ in u.let_go}
        for request in self.answers:
            answer = request.answer
            if request.ident not in held or request.ident in self.fleet.harmed:
                continue
            if not self.calm(request.router, answer.sent - CONTACT_S, answer.ended):
                continue
            if answer.timed_out or answer.ended - answer.sent > BUDGET_S - 0.3:
                continue
            if self.at_end_of_grace(request):
                continue
            if request.good():
                self.moved += request.ident in let_go
                if request.kind == "once" and request.ident in let_go:
                    self.break_promise(f"silence: {request} was cut off at its upstream")
            elif "x-pistachiorack-server-seal" not in answer.fields or not answer.complete:
                self.break_promise(f"silence: {request}")

    # What upstreams saw.

    def arrivals_from(self, upstream, since, until=float("inf")):
        """(time, request) of the load's arrivals, in order."""
        for at, ident, _ in upstream.arrivals:
            if since < at < until and ident in self.requests:
                yield at, self.requests[ident]

    def check_retry_after(self):
        """An upstream that refuses with Retry-After is left alone for so long."""
        for upstream in self.fleet.upstreams:
            reported = set()
            for at, ident, end in upstream.refusals:
                host = self.requests[ident].router if ident in self.requests else None
                if host is None or (host, end) in reported:
                    continue
                if not self.calm(host, at, end, ("kill", "freeze", "stop")):
                    continue
                came = [r.ident for _, r in self.arrivals_from(upstream, at + RETRY_SLACK_S, end)
                        if r.router == host]
                if len(came) > RETRY_MAX:
                    reported.add((host, end))
                    self.break_promise(
                        f"retry-after: {upstream.name} asked {host} at {at - self.started:.2f} to "
                        f"wait {end - at:.2f} s and got {len(came)} requests: {came[:4]}")

    def first_passed(self, statements, since):
        """When each host first passed on an answer with a statement of an upstream:
        of those made from `since` on, (time, id) each."""
        passed = {}
        for stated, ident in statements:
            request = self.requests.get(ident)
            if stated >= since and request and request.answer and request.good():
                at = request.answer.ended
                passed[request.router] = min(at, passed.get(request.router, at))
        return passed

    @staticmethod
    def end_of_process(upstream, began):
        """Until when the process of an upstream that ran at `began` has run."""
        return next((end for end in upstream.ends if end > began), time.monotonic())

    def check_leaving(self, upstream, began):
        """Nothing reaches an upstream later than DRAIN_S after a host passed on
        an answer that states that it is about to leave."""
        passed = self.first_passed(upstream.said_leaving, began)
        until = self.end_of_process(upstream, began)
        for host, at in passed.items():
            late = [r for _, r in self.arrivals_from(upstream, at + DRAIN_S, until)
                    if r.router == host and r.began > at + DRAIN_S]
            if late and self.calm(host, at, late[0].began, ("kill", "freeze", "stop")):
                self.break_promise(
                    f"leaving: {upstream.name} said so to {host} at {at - self.started:.2f} and "
                    f"got {len(late)} requests later than {DRAIN_S} s, first {late[0].ident}")

    def check_limit(self, upstream, limit, began):
        """From CONTACT_S after an upstream first stated its limit, hosts that passed
        on such an answer LIMIT_HEARD_S before send it no more than that allows."""
        passed = self.first_passed(upstream.said_limit, began)
        until = self.end_of_process(upstream, began)
        if not passed:
            return
        since = min(passed.values()) + CONTACT_S
        came = [at for at, r in self.arrivals_from(upstream, since, until)
                if at >= passed.get(r.router, until) + LIMIT_HEARD_S
                and self.calm(r.router, began, at, ("kill", "freeze", "stop", "start", "cut"))]
        for index, at in enumerate(came):
            count = sum(at <= other < at + LIMIT_WINDOW_S for other in came[index:])
            if count > 1.5 * limit * LIMIT_WINDOW_S + 5:
                self.break_promise(
                    f"limit: {upstream.name} stated {limit:.2f} requests/s at "
                    f"{began - self.started:.2f} and got {count} in {LIMIT_WINDOW_S} s from "
                    f"{at - self.started:.2f} on")
                return

    def fifth_crash(self):
        crashes = self.fleet.crashes
        return crashes[CRASHES - 1][0] if len(crashes) >= CRASHES else None

    def in_touch(self, request):
        return self.calm(request.router, request.began - CONTACT_S, request.began,
                         ("kill", "freeze", "stop", "start", "cut"))

    def check_crash_budget(self):
        """Requests with a part that has crashed upstreams reach no further ones."""
        fifth = self.fifth_crash()
        if fifth is None:
            return
        late = [r for u in self.fleet.upstreams for at, r in self.arrivals_from(u, fifth + CRASHED_S)
                if DEADLY in r.parts and self.in_touch(r)]
        if len(late) > CRASHING_MAX:
            self.break_promise(
                f"crash budget: {len(late)} requests with the crashing part arrived later than "
                f"{CRASHED_S} s after the fifth crash: {[r.ident for r in late[:6]]}; "
                f"{len(self.fleet.crashes)} crashes")

    def check_beside_crash(self):
        """Sound requests that share their first part with crashing ones are
        served at least half as often as before."""
        if not self.fleet.crashes:
            return
        last = self.fifth_crash() or self.fleet.crashes[-1][0]
        sound = [r for r in self.answers
                 if r.kind == "prompt" and DEADLY not in r.parts and self.in_touch(r)]
        before = [r.good() for r in sound if r.began < self.crash_began]
        after = [r.good() for r in sound if r.began > last + BESIDE_S]
        if min(len(before), len(after)) < COMPARED_MIN:
            self.note(f"beside crashes: {len(before)} and {len(after)} requests, not compared")
            return
        shares = sum(before) / len(before), sum(after) / len(after)
        self.note(f"beside crashes: {shares[0]:.3f} of {len(before)} sound requests were served "
                  f"before, {shares[1]:.3f} of {len(after)} after")
        if shares[1] < shares[0] / 2:
            self.break_promise("beside crashes: sound requests are served less than half as often")

    # Faults.

    @contextlib.contextmanager
    def trouble(self, router, kind):
        entry = [router.name, kind, time.monotonic(), float("inf")]
        self.troubles.append(entry)
        try:
            yield entry
        finally:
            entry[3] = time.monotonic()

    def calm(self, name, since, until, kinds=("kill", "freeze")):
        """Whether a host had no trouble of these kinds."""
        return not any(n == name and k in kinds and begin <= until and end >= since
                       for n, k, begin, end in self.troubles)

    def stalled(self, since, until):
        return sum(min(end, until) - max(begin, since) for begin, end in self.stalls
                   if begin < until and end > since)

    def disturb_store(self, seconds):
        self.store_disturbed = max(self.store_disturbed, time.monotonic() + seconds)

    def pick_router(self):
        """A host whose process no other fault is at work on, or None."""
        free = [r for r in self.fleet.routers if r.name not in self.held]
        router = self.random.choice(free) if free else None
        if router:
            self.held.add(router.name)
        return router

    async def restart(self, router):
        await router.start()
        await self.become_ready(router)

    async def become_ready(self, router):
        """A host that starts while the store is disturbed can know no
        configuration; a while after the disturbance it has to."""
        ready = False
        with self.trouble(router, "start"):
            while not ready and self.store_disturbed + CONTACT_S > time.monotonic():
                ready = await router.wait_ready(0.5)
        if not ready:
            await router.wait_ready()

    async def fault_kill(self):
        router = self.pick_router()
        if not router:
            return
        self.note(f"kill {router.name}")
        with self.trouble(router, "kill"):
            router.signal(signal.SIGKILL)
            await router.process.wait()
            await asyncio.sleep(self.random.uniform(0.1, 1))
        await self.restart(router)
        self.held.discard(router.name)

    async def freeze(self, router, seconds):
        with self.trouble(router, "freeze"):
            router.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            router.signal(signal.SIGCONT)

    async def fault_freeze(self):
        router = self.pick_router()
        if not router:
            return
        seconds = self.random.uniform(0.5, 3)
        self.note(f"freeze {router.name} for {seconds:.1f} s")
        await self.freeze(router, seconds)
        self.held.discard(router.name)

    async def wait_end(self, router, seconds):
        began, held_up = time.monotonic(), 0.0
        try:
            try:
                await asyncio.wait_for(router.process.wait(), seconds)
            except asyncio.TimeoutError:
                # A process that ended while this program was held up is noticed later.
                await asyncio.sleep(0.1)
                held_up = self.stalled(began, time.monotonic())
                await asyncio.wait_for(router.process.wait(), held_up)
        except asyncio.TimeoutError:
            seconds += held_up
            self.break_promise(f"stop: {router.name} is still there after {seconds:.1f} s")
            with self.trouble(router, "kill"):
                router.signal(signal.SIGKILL)
                await router.process.wait()

    async def fault_term(self):
        router = self.pick_router()
        if not router:
            return
        self.note(f"stop {router.name}")
        with self.trouble(router, "stop"):
            self.reload(router)
            router.signal(signal.SIGTERM)
            await self.wait_end(router, GRACE_S)
        await self.restart(router)
        self.held.discard(router.name)

    def reload(self, router):
        # A process without its handler yet would end.
        if time.monotonic() > router.began + 0.3:
            router.signal(signal.SIGHUP)

    async def fault_reload(self):
        router = self.random.choice(self.fleet.routers)
        count = self.random.randint(1, 5)
        self.note(f"reload {router.name} {count} times")
        for _ in range(count):
            router.bounds["session_s"] = self.random.choice((2, 3, 4))
            router.write_settings()
            if self.random.random() < 0.8:
                self.reload(router)
            await asyncio.sleep(self.random.uniform(0, 0.3))

    async def fault_series(self):
        """Signals to one host that overlap; it starts again when it has ended."""
        router = self.pick_router()
        if not router:
            return
        steps = [self.random.choice(("reload", "freeze", "stop", "kill"))
                 for _ in range(self.random.randint(2, 6))]
        self.note(f"series at {router.name}: {', '.join(steps)}")
        with contextlib.ExitStack() as stack:
            stopped = None
            for step in steps:
                if step == "reload":
                    self.reload(router)
                elif step == "freeze":
                    await self.freeze(router, self.random.uniform(0.1, 1))
                elif step == "stop":
                    stopped = stopped or stack.enter_context(self.trouble(router, "stop"))
                    router.signal(signal.SIGTERM)
                else:
                    with self.trouble(router, "kill"):
                        router.signal(signal.SIGKILL)
                        await router.process.wait()
                        await asyncio.sleep(self.random.uniform(0, 0.5))
                if router.process.returncode is not None:
                    stack.close()
                    stopped = None
                    await router.start()
                await asyncio.sleep(self.random.uniform(0, 0.8))
            if stopped:
                # A frozen process cannot end in time.
                frozen = sum(end - begin for name, kind, begin, end in self.troubles
                             if name == router.name and kind == "freeze" and begin >= stopped[2])
                left = stopped[2] + GRACE_S + frozen - time.monotonic()
                await self.wait_end(router, max(left, 0.5))
        if router.process.returncode is not None:
            await router.start()
        await self.become_ready(router)
        self.held.discard(router.name)

    async def fault_store(self):
        mode = self.random.choice(("busy", "many", "reset", "silent"))
        seconds = self.random.uniform(0.5, 4)
        async with self.outage:
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
        self.note(f"cut host-{index} from the store ({kind}) for {seconds:.1f} s")
        proxy.refuse = kind == "refuse"
        proxy.silent_up = kind in ("silent_up", "both")
        proxy.silent_down = kind in ("silent_down", "both")
        if proxy.refuse:
            proxy.drop_connections()
        with self.trouble(self.fleet.routers[index], "cut"):
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

    async def change_config(self):
        name = f"extra{self.fleet.version}"
        self.note(f"configuration {self.fleet.version + 1} adds /{name}/")
        acked = await self.fleet.apply(extra_routes=[name])
        # The newest one may have been acknowledged meanwhile.
        if not self.config or acked > self.config[1]:
            self.config = (name, acked)
        return name

    async def fault_change(self):
        """One configuration, or some in quick succession; the last one counts."""
        for more in range(self.random.choice((0, 0, 1, 3)), -1, -1):
            name = await self.change_config()
            if more:
                await asyncio.sleep(self.random.uniform(0, 0.6))
        if await self.hold(APPLY_S):
            return
        quiet_since = time.monotonic() - APPLY_S - CONTACT_S
        for router in self.fleet.routers:
            if not self.calm(router.name, quiet_since, time.monotonic(),
                             ("kill", "freeze", "stop", "cut")):
                continue
            if await self.probe(router, name) == 404 and not self.store_unstable():
                self.break_promise(f"configuration: {router.name} does not know /{name}/")

    def store_unstable(self):
        return self.store_disturbed + CONTACT_S > time.monotonic() - APPLY_S

    # Kinds that a seed has or has not.

    async def some_upstreams(self, count, what, fault, share, seconds):
        some = self.random.sample(self.fleet.upstreams, count)
        self.note(f"{what} at {', '.join(u.name for u in some)} for {seconds:.1f} s")
        for upstream in some:
            upstream.faults = {fault: share}
        await asyncio.sleep(seconds)
        for upstream in some:
            upstream.faults = {}

    async def kind_silence(self):
        some = self.random.sample(self.fleet.upstreams, 2)
        seconds = self.random.uniform(1, 2.5)
        self.note(f"silence at {', '.join(u.name for u in some)} for {seconds:.1f} s")
        for upstream in some:
            upstream.silent_until = time.monotonic() + seconds
        await asyncio.sleep(seconds)

    async def kind_again(self):
        await self.some_upstreams(3, "earlier refusals", "again", 0.4, self.random.uniform(1, 3))

    async def kind_later(self):
        await self.some_upstreams(2, "503 with Retry-After", "later", 0.2,
                                  self.random.uniform(1, 4))

    async def kind_unframed(self):
        fault = self.random.choice(("unframed", "unframed", "unframed_cut"))
        await self.some_upstreams(3, fault, fault, 0.5, self.random.uniform(1, 3))

    async def kind_status(self):
        await self.some_upstreams(3, "answers without a status", "status", 0.3,
                                  self.random.uniform(1, 3))

    async def kind_leaving(self):
        upstream = self.random.choice(self.fleet.upstreams)
        if upstream.leaving or not upstream.server.is_serving():
            return
        self.note(f"{upstream.name} is about to leave")
        began = time.monotonic()
        upstream.leaving = True
        if self.random.random() < 0.3:
            await asyncio.sleep(2)
            await self.fleet.store.put("servers", upstream.name, upstream.entry("draining"))
        await asyncio.sleep(self.random.uniform(5, 7))
        self.check_leaving(upstream, began)
        self.fleet.restart(upstream, away=1.0)

    async def kind_limit(self):
        some = [u for u in self.random.sample(self.fleet.upstreams, 3)
                if u.limit is None and u.server.is_serving()]
        limit = self.random.choice((0.5, 1, 2.5, 6))
        began = time.monotonic()
        self.note(f"a limit of {limit} requests/s at {', '.join(u.name for u in some)}")
        for upstream in some:
            upstream.limit = limit
        await asyncio.sleep(self.random.uniform(9, 12))
        for upstream in some:
            self.check_limit(upstream, limit, began)
            upstream.limit = None

    async def kind_crash(self):
        """Until the end, a part of the prompts crashes the model upstreams."""
        if self.crash_began:
            return
        await asyncio.sleep(3)
        self.note("a part of the prompts crashes upstreams")
        self.fleet.deadly.add(DEADLY)
        self.crash_began = time.monotonic()

    async def hold(self, seconds):
        """Wait; returns True when the store was disturbed meanwhile."""
        await asyncio.sleep(seconds)
        return self.store_unstable()

    async def run_faults(self):
        chosen = [getattr(self, "kind_" + kind) for kind in self.kinds]
        faults = [getattr(self, name) for name in sorted(dir(self)) if name.startswith("fault_")]
        # Each chosen kind comes at least once.
        first = list(chosen)
        tasks = set()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            # Faults come in series and overlap, but one of a kind at a time.
            fault = first.pop() if first else self.random.choice(faults + 2 * chosen)
            if not any(t.get_name() == fault.__name__ for t in tasks if not t.done()):
                tasks.add(asyncio.create_task(fault(), name=fault.__name__))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*tasks)

    async def check_host(self, router):
        caller = Caller(router.address)
        good = 0
        for number in range(10):
            answer = await caller.request(f"probe-end-{router.name}-{number}", "/safe/x")
            good += answer.status == 200
        caller.close()
        if good < 8:
            self.break_promise(f"recovery: {router.name} served {good} of 10")

    async def check_recovery(self):
        """Without faults, hosts serve again within a few seconds."""
        await asyncio.gather(*self.fleet.restarts)
        await asyncio.sleep(5)
        for at in range(0, len(self.fleet.routers), 16):
            await asyncio.gather(*map(self.check_host, self.fleet.routers[at:at + 16]))

    async def run(self):
        try:
            await self.fleet.start()
            if "return" in self.kinds:
                self.fleet.store.copies = collections.deque(maxlen=100)
            callers = [asyncio.create_task(self.call(i)) for i in range(self.callers)]
            callers.append(asyncio.create_task(self.watch()))
            await self.run_faults()
            self.running = False
            await asyncio.gather(*callers)
            await self.check_recovery()
            await asyncio.sleep(0.5)
            self.check_runs()
            self.check_lost()
            self.check_silence()
            self.check_retry_after()
            self.check_crash_budget()
            self.check_beside_crash()
            served = sum(request.good() for request in self.answers)
            self.note(f"{len(self.answers)} requests, {served} served, {self.moved} moved from "
                      f"a silent upstream, {len(self.fleet.crashes)} crashes")
            if served < len(self.answers) / 4:
                self.break_promise("service: less than a quarter was served")
        finally:
            self.running = False
            await self.fleet.stop()


def read_options():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("net", type=int)
    parser.add_argument("seed", type=int)
    parser.add_argument("seconds", type=float, nargs="?", default=15.0)
    parser.add_argument("--kinds")
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--upstreams", type=int, default=12)
    options = parser.parse_args()
    if options.kinds is None:
        draw = random.Random(f"kinds {options.seed}")
        options.kinds = [kind for kind in KINDS if draw.random() < 0.5]
    else:
        options.kinds = [kind for kind in options.kinds.split(",") if kind != "none"]
    return options


async def main():
    options = read_options()
    print(f"seed {options.seed}, {options.seconds:.0f} s, {options.hosts} hosts, "
          f"kinds {','.join(options.kinds) or 'none'}")
    # Writes to connections that the other side has closed are no news.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    soak = Soak(options)
    try:
        await soak.run()
    except Exception:
        traceback.print_exc()
        soak.broken.append("the soak itself failed")
    if soak.broken:
        checks = collections.Counter(text.split(":")[0] for text in soak.broken)
        print("broken: " + ", ".join(f"{name} {count}" for name, count in checks.items()))
        print(f"{len(soak.broken)} broken; logs: {soak.fleet.folder}")
    else:
        shutil.rmtree(soak.fleet.folder, ignore_errors=True)
    return 1 if soak.broken else 0


sys.exit(asyncio.run(main()))
