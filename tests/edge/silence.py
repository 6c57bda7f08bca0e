"""Sound upstreams that fall silent for a while, with real processes. Such a
silence must never end an answer before the request's deadline.

usage: silence.py BINARY NET
"""

import asyncio
import random
import signal
import sys
import time

from answers import head, set_script
from fleet import Answer, Caller, Fleet
from standins import Closed, chunk, event_of, events_of, whole_answer

FAILURES = []
# The route allows 1.2 s between events, and a stream is given up after 1.5
# times as long; before its first event after 1.25 times the objective of a
# second, and a call after 0.6 times.
PAUSE_S = 2.5
NO_REPEATS = {"repeats_ratio": 0.0001, "repeats_slack": 0.0001}
# One repeat in a window of the budget, of which a host uses 85 %.
ONE_REPEAT = {"repeats_ratio": 0.0001, "repeats_slack": 1.3}
MANY_REPEATS = {"repeats_ratio": 0.9, "repeats_slack": 56}
# What the silence interrupts: path and event at which it begins.
MOMENTS = {"a stream": ("/stream/x", 3), "a stream before its first event": ("/stream/x", 1),
           "a call": ("/safe/x", 0)}


def check(name, good, detail=""):
    print(("ok   " if good else "FAIL ") + name + ("" if good else f": {detail}"), flush=True)
    if not good:
        FAILURES.append(name)


def check_runs(scene, name, ident, path, answer, runs):
    """Check a whole answer that began at the upstream that fell silent."""
    names = [run[0] for run in scene.fleet.runs.get(ident, [])]
    check(name, whole(ident, path, answer) and len(names) == runs and names[0] == scene.near.name,
          (answer.status, answer.complete, answer.body[-80:], names))


def check_logged(scene, ident, reason):
    """Check that the log tells why the silent attempt was kept."""
    with open(f"{scene.fleet.folder}/host-0.log", encoding="ascii", errors="replace") as log:
        lines = [line for line in log if "event=attempt_stalled" in line and ident in line]
    check("the log tells why the attempt was kept",
          len(lines) == 1 and f"reason={reason} " in lines[0], lines)


def whole(ident, path, answer):
    body = (b"".join(event_of(ident, n) for n in range(1, events_of(ident) + 1))
            if path.startswith("/stream/") else whole_answer(ident, b""))
    return answer.status == 200 and answer.complete and answer.body == body


def seen(fleet, ident, answer):
    return answer.status, answer.complete, answer.body[-80:], [r[0] for r in fleet.runs.get(ident, [])]


class Scene:
    """One router, with the upstream that is nearest to it and the others."""

    def __init__(self, fleet, path):
        service = "model" if path.startswith("/stream/") else "ledger"
        upstreams = [u for u in fleet.upstreams if u.service == service]
        self.fleet = fleet
        self.near = next(u for u in upstreams if u.zone == "east")
        self.others = [u for u in upstreams if u is not self.near]

    async def set_bounds(self, bounds):
        router = self.fleet.routers[0]
        self.fleet.bounds.update(bounds)
        router.write_settings()
        router.signal(signal.SIGHUP)
        await asyncio.sleep(0.1)

    async def list_all(self, upstreams, state, born=0):
        for upstream in upstreams:
            upstream.born += born
            await self.fleet.store.put("servers", upstream.name, upstream.entry(state))
        await asyncio.sleep(1)

    async def restore(self):
        for upstream in [self.near, *self.others]:
            upstream.faults = {}
            upstream.silent_until = 0.0
            upstream.silence_at = None
            upstream.comments = False
        # New instances, of which the router knows no failure; in the time
        # they become warm, and the window of the budget passes.
        await self.list_all([self.near, *self.others], "ready", born=1)
        await asyncio.sleep(1.2)


async def ask(fleet, ident, path, budget_ms=8000):
    return await Caller(fleet.routers[0].address).request(ident, path, budget_ms=budget_ms)


async def check_no_budget(fleet):
    """LOST of a grown site: without a repeat, callers of silent streams were reset."""
    for name, (path, event) in MOMENTS.items():
        scene = Scene(fleet, path)
        await scene.set_bounds(NO_REPEATS)
        scene.near.silence_at = (event, PAUSE_S)
        ident = f"no-budget-{event}"
        answer = await ask(fleet, ident, path)
        check_runs(scene, f"{name} goes on after a silence when no repeat may be spent",
                   ident, path, answer, 1)
        check_logged(scene, ident, "no_repeat")
        await scene.restore()


async def check_no_place(fleet):
    """An attempt on a silent upstream was given up while there was no other one to use."""
    for name, (path, event) in MOMENTS.items():
        scene = Scene(fleet, path)
        await scene.set_bounds(MANY_REPEATS)
        await scene.list_all(scene.others, "draining")
        scene.near.silence_at = (event, PAUSE_S)
        ident = f"no-place-{event}"
        task = asyncio.create_task(ask(fleet, ident, path))
        await asyncio.sleep(0.1)
        # Its own request may end there, but it takes no new one.
        await scene.list_all([scene.near], "draining")
        answer = await task
        check_runs(scene, f"{name} goes on after a silence when no other upstream may be used",
                   ident, path, answer, 1)
        check_logged(scene, ident, "no_upstream")
        await scene.restore()


async def check_refused(fleet):
    """After a silence the next upstream refused, and the request ended with the budget."""
    for name, (path, event) in MOMENTS.items():
        scene = Scene(fleet, path)
        await scene.set_bounds(ONE_REPEAT)
        for upstream in scene.others:
            upstream.faults = {"shed": 1.0}
        scene.near.silence_at = (event, 30)
        ident = f"refused-{event}"
        task = asyncio.create_task(ask(fleet, ident, path))
        await asyncio.sleep(3.5)
        refusals = sum(a[1] == ident for u in scene.others for a in u.arrivals)
        for upstream in scene.others:
            upstream.faults = {}
        answer = await task
        check_runs(scene, f"{name} finds another upstream after a silence and a refusal",
                   ident, path, answer, 2)
        check("the refusals stay within the budget", 1 <= refusals <= 3, refusals)
        await scene.restore()


async def check_silent_for_good(fleet):
    """Waiting for a silent upstream must not replace the change to a sound one."""
    for name, (path, event) in MOMENTS.items():
        scene = Scene(fleet, path)
        await scene.set_bounds(MANY_REPEATS)
        scene.near.silence_at = (event, 30)
        ident = f"for-good-{event}"
        began = time.monotonic()
        answer = await ask(fleet, ident, path)
        took = time.monotonic() - began
        check_runs(scene, f"{name} is moved from an upstream that stays silent",
                   ident, path, answer, 2)
        check("it is moved in time", took < 3.0, took)
        await scene.restore()


async def check_all_silent(fleet):
    """At the deadline the verdict is true, and no upstream gets it twice over."""
    for name, (path, event) in MOMENTS.items():
        scene = Scene(fleet, path)
        await scene.set_bounds(MANY_REPEATS)
        for upstream in [scene.near, *scene.others]:
            upstream.silence_at = (event, 30)
        ident = f"all-silent-{event}"
        began = time.monotonic()
        answer = Answer()
        caller = Caller(fleet.routers[0].address)
        try:
            # Beyond the request's own deadline, to see when it ends.
            await asyncio.wait_for(
                caller._request(answer, ident, path, b"", "key-1", 6000, "POST", {}), 8)
        except Closed:
            pass
        caller.close()
        took = time.monotonic() - began
        check(f"{name} is held until its deadline and not longer",
              not answer.complete or answer.status == 504, seen(fleet, ident, answer))
        check("the wait ends at the deadline", 5.8 < took < 6.5, took)
        check("no more attempts than the route allows", len(fleet.runs[ident]) <= 3,
              len(fleet.runs[ident]))
        await scene.restore()


async def check_comment(fleet):
    """A stream of which only a comment had come was reset, since it had no id to resume from."""
    scene = Scene(fleet, "/stream/x")
    await scene.set_bounds(MANY_REPEATS)
    scene.near.comments = True
    scene.near.silence_at = (1, PAUSE_S)
    answer = await ask(fleet, "comment", "/stream/x")
    check("a stream that began with a comment goes on after a silence",
          answer.complete and answer.body.endswith(event_of("comment", events_of("comment"))),
          seen(fleet, "comment", answer))
    await scene.restore()


async def check_without_ids(fleet):
    """A stream whose events have no ids cannot be resumed: it would come twice."""
    scene = Scene(fleet, "/stream/x")
    await scene.set_bounds(MANY_REPEATS)

    async def unnumbered(request):
        request.run()
        await request.write(head(200, "no-ids", "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n") + chunk(b"data: a\n\n"))
        await asyncio.sleep(PAUSE_S)
        await request.write(chunk(b"data: b\n\n") + b"0\r\n\r\n")
        return True

    upstreams = [scene.near, *scene.others]
    set_script(upstreams, unnumbered)
    answer = await ask(fleet, "no-ids", "/stream/x")
    check("a stream without ids goes on after a silence", answer.complete
          and answer.body == b"data: a\n\ndata: b\n\n" and len(fleet.runs["no-ids"]) == 1,
          seen(fleet, "no-ids", answer))
    set_script(upstreams, None)
    await scene.restore()


async def check_own_pause(fleet):
    """After a pause of the router itself its timers ran before it read what had come."""
    router = fleet.routers[0]
    for name, (path, event) in MOMENTS.items():
        scene = Scene(fleet, path)
        await scene.set_bounds(MANY_REPEATS)
        scene.near.silence_at = (event, 0.3)
        ident = f"own-pause-{event}"
        task = asyncio.create_task(ask(fleet, ident, path))
        await asyncio.sleep(0.15)
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        router.signal(signal.SIGCONT)
        check_runs(scene, f"{name} that came during a pause of the router is not repeated",
                   ident, path, await task, 1)
        await scene.restore()


def shorten_limits(document):
    document["limits"].update({"idle-timeout-ms": 300, "header-timeout-ms": 300})


def shorten_routes(document):
    for route in document["routes"]:
        route["timeout-ms"] = 400


def swap_services(document):
    for route in document["routes"]:
        route["service"] = "model" if route["service"] == "ledger" else "ledger"


def remove_all(document):
    del document["routes"][:]
    del document["services"][:]


async def check_changes(fleet, name, number):
    """A request in flight keeps the configuration that it began with."""
    router = fleet.routers[0]
    scenes = [Scene(fleet, path) for path in ("/stream/x", "/safe/x")]
    await scenes[0].set_bounds(NO_REPEATS)
    scenes[0].near.silence_at = (3, PAUSE_S)
    scenes[1].near.silence_at = (0, PAUSE_S)
    requests = [("/stream/x", f"{name}-stream"), ("/safe/x", f"{name}-call"),
                ("/once/x", f"{name}-once")]
    tasks = [asyncio.create_task(ask(fleet, ident, path)) for path, ident in requests]
    await asyncio.sleep(0.3)
    for edit in (shorten_limits, shorten_routes, swap_services, remove_all):
        await fleet.apply(edit, keys=("key-2",))
        router.signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
    if number:
        router.signal(number)
    for (path, ident), answer in zip(requests, await asyncio.gather(*tasks)):
        check(f"{ident} goes on beside changes of the configuration",
              whole(ident, path, answer) and len(fleet.runs[ident]) == 1,
              seen(fleet, ident, answer))
    await fleet.apply()
    if number:
        await router.process.wait()
        await router.start()
        await router.wait_ready()
    for scene in scenes:
        await scene.restore()


async def check_kept_connection(fleet, name, idle_s):
    """A request that crossed a close of its kept connection by less than the pause was dropped."""
    router = fleet.routers[0]
    caller = Caller(router.address)
    await caller.request(f"{name}-first", "/safe/x")
    began = time.monotonic()
    if name == "stop":
        router.signal(signal.SIGTERM)
    await asyncio.sleep(idle_s - 0.4)
    router.signal(signal.SIGSTOP)
    task = asyncio.create_task(caller.request(f"{name}-second", "/safe/x"))
    await asyncio.sleep(0.8)
    router.signal(signal.SIGCONT)
    answer = await task
    check(f"a request in time before a kept connection is closed is answered ({name})",
          answer.status == 200 and answer.complete,
          (answer.status, answer.body, time.monotonic() - began))


async def main():
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(7), hosts=1)
    fleet.bounds["repeats_window_s"] = 2
    try:
        await fleet.start()
        await check_no_budget(fleet)
        await check_no_place(fleet)
        await check_refused(fleet)
        await check_silent_for_good(fleet)
        await check_all_silent(fleet)
        await check_comment(fleet)
        await check_without_ids(fleet)
        await check_own_pause(fleet)
        await check_changes(fleet, "changes", None)
        await check_changes(fleet, "changes-and-stop", signal.SIGTERM)
        # The idle time-out of the configuration is 5 s. A stopping host closes
        # idle connections after 2.6 s.
        await check_kept_connection(fleet, "idle", 5.0)
        await check_kept_connection(fleet, "stop", 2.6)
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
