"""The platform's path with real processes: one check a failure.

usage: path.py BINARY NET
"""

import asyncio
import json
import random
import signal
import sys
import time

from answers import check_second_copies
from checks import FAILURES, check
from fleet import ZONES, Caller, Fleet, get, routing
from standins import ENDLESS, P, stream_of, whole_answer
from states import check_upstream_states
from streams import check_streams


async def check_answers(fleet, caller):
    answer = await caller.request("id-1", "/safe/x?q=1", b"hello")
    check("answer passes unchanged", answer.body == whole_answer("id-1", b"hello"), answer.body)
    name, line, fields, _ = fleet.runs["id-1"][0]
    check("target passes unchanged", line.startswith("POST /safe/x?q=1 "), line)
    check("upstream is named", fields.get((P + "Expect-Instance").lower()) == name, fields)
    check("key stays here", (P + "Credential").lower() not in fields, fields)
    check("workspace is set", fields.get((P + "Tenant").lower()) == "tenant-1", fields)
    check("time left is passed on", int(fields[(P + "Deadline-Ms").lower()]) <= 5000, fields)
    answer = await caller.request("id-2", "/stream/x")
    check("stream is whole", answer.complete and answer.body == stream_of("id-2"), answer.body)
    answer = await caller.request("id-3", "/safe/x", key="nobody")
    check("unknown key", answer.status == 401, answer.status)
    answer = await caller.request("id-4", "/nowhere/x")
    check("unknown route", answer.status == 404, answer.status)
    answer = await caller.request("id-5", "/safe/x", **{P + "Tenant": "intruder", P + "Hold": "1"})
    _, _, fields, _ = fleet.runs["id-5"][0]
    check("callers do not set the router's fields", fields[(P + "Tenant").lower()] == "tenant-1"
          and (P + "Hold").lower() not in fields, fields)


async def check_faults(fleet, caller):
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
    models = [u for u in fleet.upstreams if u.service == "model"]
    for upstream in ledgers:
        upstream.faults = {"lost": 1.0}
    answer = await caller.request("id-20", "/once/x")
    check("a run whose answer is lost is not repeated", len(fleet.runs["id-20"]) == 1
          and answer.status not in (429, 503), answer.status)
    for upstream in ledgers:
        upstream.faults = {"cut_reset": 1.0}
    answer = await caller.request("id-21", "/once/x")
    check("a cut answer never looks whole", answer.status // 100 != 2 or not answer.complete,
          answer.body)
    for upstream in ledgers:
        upstream.faults = {"shed": 1.0}
    answer = await caller.request("id-22", "/once/x")
    check("a refusal says when to return", answer.status == 503
          and float(answer.fields.get("retry-after", 0)) > 0 and "id-22" not in fleet.runs,
          (answer.status, answer.fields))
    for upstream in ledgers:
        upstream.faults = {}
    for upstream in models:
        upstream.faults = {"cut": 0.5}
    good = 0
    for number in range(20):
        ident = f"id-3{number}"
        answer = await caller.request(ident, "/stream/x")
        whole = stream_of(ident)
        if not whole.startswith(answer.body) or (answer.complete and answer.body != whole):
            check("streams keep order", False, answer.body)
        good += answer.complete and answer.body == whole
    check("cut streams are resumed", good >= 12, good)
    for upstream in models:
        upstream.faults = {}


async def check_leaving(fleet, caller):
    leaving = next(u for u in fleet.upstreams if u.service == "ledger" and u.zone == "east")
    await fleet.store.put("servers", leaving.name, leaving.entry("draining"))
    await asyncio.sleep(1)
    before = len(leaving.arrivals)
    for number in range(20):
        await caller.request(f"id-4{number}", "/safe/x")
    check("a leaving upstream gets no new work", len(leaving.arrivals) == before)
    await fleet.store.put("op", "evacuate/west", {})
    await asyncio.sleep(1)
    west = [u for u in fleet.upstreams if u.zone == "west"]
    before = sum(len(u.arrivals) for u in west)
    for number in range(20):
        await caller.request(f"id-5{number}", "/safe/x")
    check("an evacuated zone gets no work", sum(len(u.arrivals) for u in west) == before)
    await fleet.store.put("op", "evacuate/west", None)
    await fleet.store.put("servers", leaving.name, leaving.entry("ready"))


async def check_configuration(fleet, caller):
    await fleet.apply(extra_routes=["added"], keys=("key-2",))
    await asyncio.sleep(1)
    answer = await caller.request("id-60", "/added/x", key="key-2")
    check("an added route is served", answer.status == 200, answer.status)
    answer = await caller.request("id-61", "/safe/x", key="key-1")
    check("a key that was taken away is refused", answer.status == 401, answer.status)
    fleet.store.forget()
    await fleet.apply(keys=("key-1", "key-2"))
    await asyncio.sleep(1.5)
    answer = await caller.request("id-62", "/added/x")
    check("lost history is read whole", answer.status == 404, answer.status)
    for proxy in fleet.store_proxies:
        proxy.silent_down = True
    await asyncio.sleep(0.5)
    answer = await caller.request("id-63", "/safe/x")
    check("a silent store stops no request", answer.status == 200, answer.status)
    for proxy in fleet.store_proxies:
        proxy.silent_down = False
        proxy.drop_connections()
    await fleet.apply(extra_routes=["late"])
    await asyncio.sleep(2.5)
    answer = await caller.request("id-64", "/late/x")
    check("changes arrive after a silent time", answer.status == 200, answer.status)


async def check_rollout(fleet, caller):
    fresh = [await fleet.add_upstream("model", zone, "v2") for zone in ("east", "west", "far")]
    await asyncio.sleep(1.2)
    for upstream in fresh:
        upstream.failing = 0.6
    await fleet.store.put("op", "rollout/model", {"service": "model", "to": "v2", "duration-s": 8})
    sent = 0
    end = time.monotonic() + 9
    while time.monotonic() < end:
        await asyncio.gather(*(caller_of(fleet, i).request(f"id-7{sent}-{i}", "/stream/x")
                               for i in range(6)))
        sent += 6
        if b"rolled_back" in (fleet.store.document("status", "rollout/model") or b""):
            break
    status = fleet.store.document("status", "rollout/model") or b""
    check("a bad version is rolled back", b"rolled_back" in status, status)
    reached = sum(len(u.arrivals) for u in fresh)
    check("its exposure is bounded", reached <= 0.15 * sent + 30, (reached, sent))
    await asyncio.sleep(0.5)
    reached = sum(len(u.arrivals) for u in fresh)
    for number in range(30):
        await caller.request(f"id-8{number}", "/stream/x")
    check("a withdrawn version gets nothing", sum(len(u.arrivals) for u in fresh) == reached)


async def roll_out(fleet, version, pace, parallel, pause):
    """Order a version whose streams have a time between events; returns its
    status when the order is over, the requests sent, and those that reached it."""
    fresh = [await fleet.add_upstream("model", zone, version) for zone in ZONES for _ in range(2)]
    await asyncio.sleep(1.2)
    for upstream in fresh:
        upstream.pace = pace
    seconds = 10
    await fleet.store.put(
        "op", "rollout/model", {"service": "model", "to": version, "duration-s": seconds})
    status = b""
    tasks = []
    end = time.monotonic() + seconds + 0.5
    while time.monotonic() < end and b"done" not in status and b"rolled_back" not in status:
        tasks += [asyncio.create_task(caller_of(fleet, len(tasks) + i).request(
            f"{version}-{len(tasks) + i}", "/stream/x")) for i in range(parallel)]
        await asyncio.sleep(pause)
        status = fleet.store.document("status", "rollout/model") or b""
        if f'"to":"{version}"'.encode() not in status.replace(b" ", b""):
            status = b""
    await asyncio.gather(*tasks)
    return status, len(tasks), sum(len(u.arrivals) for u in fresh)


async def check_slow_rollout(fleet):
    # Guards against a version several times slower that is completed, because
    # too few of its answers are measured to find it slow.
    status, sent, reached = await roll_out(fleet, "v3", 0.1, 1, 0.15)
    check("a slow version is rolled back with few requests", b"rolled_back" in status, status)
    check("exposure to a slow version is bounded", reached <= 0.15 * sent + 30, (reached, sent))
    status, sent, reached = await roll_out(fleet, "v4", 0.1, 6, 0.1)
    check("a slow version is rolled back", b"rolled_back" in status, status)
    check("exposure to a slow version is bounded", reached <= 0.15 * sent + 30, (reached, sent))


async def check_good_rollout(fleet):
    status, sent, _ = await roll_out(fleet, "v5", 0.01, 6, 0.1)
    check("a good version is done by its deadline", b"done" in status, (status, sent))


def caller_of(fleet, index):
    return Caller(fleet.routers[index % len(fleet.routers)].address)


async def check_stop(fleet):
    router = fleet.routers[0]
    caller = Caller(router.address)
    task = asyncio.create_task(caller.request("id-90", "/stream/x"))
    await asyncio.sleep(0.05)
    router.signal(signal.SIGHUP)
    router.signal(signal.SIGTERM)
    await asyncio.sleep(0.1)
    check("not ready at once", await router.ready() == 503)
    answer = await task
    check("a stop cuts no stream", answer.complete and answer.body == stream_of("id-90"))
    # LOST on days with hosts stopped in turn: a stream was begun that the
    # grace time could not hold. The host listens until the balancer notices.
    await asyncio.sleep(1.4)
    late = Caller(router.address)
    answer = await late.request("id-92", "/stream/x")
    check("no stream is begun late in a stop", answer.status == 503
          and "retry-after" in answer.fields and "id-92" not in fleet.runs, answer.status)
    answer = await Caller(router.address).request("id-93", "/safe/x")
    check("a short call still is", answer.status == 200, answer.status)
    try:
        code = await asyncio.wait_for(router.process.wait(), 7)
    except asyncio.TimeoutError:
        code = "still there"
    check("the process ends by itself", code == 0, code)
    await router.start()
    check("a restart knows everything again", await router.wait_ready(2.0))
    answer = await Caller(router.address).request("id-91", "/safe/x")
    check("and serves", answer.status == 200, answer.status)


def peak_memory_kb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))


async def check_endless(fleet):
    """An upstream that sends bytes without end must not hold a caller or memory."""
    router = fleet.routers[1]
    for fault in ENDLESS:
        path = "/stream/x" if fault in ("endless_event", "endless_comments", "drip") else "/safe/x"
        service = "model" if path == "/stream/x" else "ledger"
        upstreams = [u for u in fleet.upstreams if u.service == service]
        # Two answers of whichever upstreams, so that the third attempt is sound.
        left = [2]
        for upstream in upstreams:
            upstream.faults = {fault: 1.0}
            upstream.endless_left = left
        began = time.monotonic()
        idents = [f"endless-{fault}-{n}" for n in range(6)]
        answers = await asyncio.gather(
            *(Caller(router.address).request(i, path, budget_ms=8000) for i in idents))
        took = time.monotonic() - began
        for upstream in upstreams:
            upstream.faults = {}
        whole = [a.status == 200 and a.complete for a in answers]
        check(f"{fault}: callers get whole answers of other upstreams", all(whole),
              [(a.status, a.complete, a.body[:60]) for a in answers])
        # A pause of 1.8 s at most, after 1.25 of the objective of a second.
        check(f"{fault}: in time", took < 5.0, took)
        check(f"{fault}: came to a caller", left[0] <= 0, left[0])
        await asyncio.sleep(0.1)
        check(f"{fault}: the connection is closed", not any(u.never_closed for u in upstreams))
    # What may not be repeated ends as a failure that may have run; many at once
    # must not take the memory of the smallest hosts, 88 MB.
    for upstream in fleet.upstreams:
        if upstream.service == "ledger":
            upstream.faults = {"endless_chunks": 1.0}
            upstream.endless_left = [1 << 30]
    answers = await asyncio.gather(
        *(Caller(router.address).request(f"endless-once-{n}", "/once/x", budget_ms=4000)
          for n in range(16)))
    for upstream in fleet.upstreams:
        upstream.faults = {}
    check("endless answers to what may run once are failures",
          all(a.status in (0, 502, 504) for a in answers), [a.status for a in answers])
    check("memory stays bounded", peak_memory_kb(router.process) < 65536,
          peak_memory_kb(router.process))
    await asyncio.sleep(2.5)


async def check_starting(fleet):
    """A host that has just started must not refuse what it can serve in a moment."""
    router = fleet.routers[0]
    router.signal(signal.SIGKILL)
    await router.process.wait()
    fleet.store.slow = 0.08
    await router.start()
    answer = None
    for _ in range(100):
        answer = await Caller(router.address).request("id-92", "/safe/x")
        if answer.status:
            break
        await asyncio.sleep(0.005)
    check("a starting host holds a request until it is ready", answer.status == 200,
          answer.status)
    fleet.store.slow = 0.0
    router.signal(signal.SIGKILL)
    await router.process.wait()
    fleet.store.mode = "busy"
    await router.start()
    await asyncio.sleep(0.2)
    began = time.monotonic()
    answer = await Caller(router.address).request("id-93", "/safe/x")
    took = time.monotonic() - began
    fleet.store.mode = "ok"
    check("without the store it refuses soon", answer.status == 503 and took < 1.0
          and b"not_run" in answer.body, (answer.status, took))
    await router.wait_ready()


async def check_gone(fleet, caller):
    models = [u for u in fleet.upstreams if u.service == "model"]
    for upstream in models:
        upstream.faults = {"hang": 1.0}
    open_before = sum(len(u.writers) for u in models)
    task = asyncio.create_task(caller.request("id-95", "/stream/x"))
    await asyncio.sleep(0.3)
    held = [u for u in models if any(a[1] == "id-95" for a in u.arrivals)]
    count = sum(len(u.writers) for u in held)
    task.cancel()
    caller.close()
    await asyncio.sleep(0.4)
    check("an upstream is let go when its caller leaves",
          held and sum(len(u.writers) for u in held) < count, (open_before, count))
    for upstream in models:
        upstream.faults = {}


async def check_smuggling(fleet):
    router = fleet.routers[1]
    hidden = (b"POST /once/hidden HTTP/1.1\r\nHost: api.example\r\n" + P.encode()
              + b"Request-Attempt: hidden\r\n" + P.encode() + b"Credential: key-1\r\n\r\n")
    for extra in (b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                  b"Content-Length: 5\r\nContent-Length: 200\r\n",
                  b"Transfer-Encoding : chunked\r\nContent-Length: 5\r\n"):
        reader, writer = await asyncio.open_connection(router.address, 8080)
        writer.write(b"POST /safe/x HTTP/1.1\r\nHost: api.example\r\n" + extra + b"\r\n0\r\n\r\n"
                     + hidden)
        line = await asyncio.wait_for(reader.readline(), 2)
        check("ambiguous framing is refused", b" 400 " in line, line)
        writer.close()
    await asyncio.sleep(0.2)
    check("no hidden request runs", "hidden" not in fleet.runs)


async def check_protocol(fleet):
    answer = await Caller(fleet.routers[1].address).request(
        "id-96", "/safe/x", **{"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c"})
    check("an offer of another protocol is not taken up", answer.status == 200, answer.status)
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
    for upstream in ledgers:
        upstream.faults = {"hang": 1.0}
    answer = await Caller(fleet.routers[1].address).request("id-97", "/once/x", budget_ms=1000)
    for upstream in ledgers:
        upstream.faults = {}
    # At its deadline a request that was sent is never called not run.
    check("the verdict at the deadline is true", answer.status in (0, 504)
          and b"not_run" not in answer.body, (answer.status, answer.body))


async def time_to_learn(fleet, seconds):
    """Add a route; returns the longest time until a host serves it."""
    acked = await fleet.apply(extra_routes=["added"])
    unaware = list(fleet.routers)
    number = 0
    while unaware and time.monotonic() < acked + seconds:
        number += 1
        answer = await Caller(unaware[0].address).request(f"learn-{number}", "/added/x")
        if answer.status == 200:
            unaware.pop(0)
        else:
            await asyncio.sleep(0.05)
    return time.monotonic() - acked, [router.name for router in unaware]


async def check_start_together(binary, net):
    """Hosts that start together learned of a change seconds late: none of them
    found another one to read the store's feeds for it, and each waited."""
    fleet = Fleet(binary, net, random.Random(8))
    try:
        await fleet.start()
        took, unaware = await time_to_learn(fleet, 6)
        check("hosts that start together learn of a change in time", took < 3.0, (took, unaware))
    finally:
        await fleet.stop()


async def check_unlisted(binary, net):
    """Hosts that could not add themselves to the list of hosts never learned of
    a change: they read the list alone and waited for others to read the rest."""
    fleet = Fleet(binary, net, random.Random(9))
    fleet.store.refuse_writes = True
    try:
        await fleet.start()
        await asyncio.sleep(4)
        took, unaware = await time_to_learn(fleet, 6)
        check("hosts without a list of hosts learn of a change in time", took < 3.0,
              (took, unaware))
    finally:
        await fleet.stop()


async def check_listed_late(binary, net):
    """Hosts that had just found each other counted as up to date, and put off
    the read of a change that was made before."""
    fleet = Fleet(binary, net, random.Random(10))
    fleet.store.refuse_writes = True
    try:
        await fleet.start()
        await asyncio.sleep(0.7)
        task = asyncio.create_task(time_to_learn(fleet, 6))
        # Before a host that knows no other reads everything itself.
        await asyncio.sleep(1.8)
        for router in fleet.routers:
            row = f"{router.address}:8083 {router.zone} 100"
            await fleet.store.put("status", f"host/{router.name}", row.encode())
        took, unaware = await task
        check("hosts that find each other late learn of a change in time", took < 3.0,
              (took, unaware))
    finally:
        await fleet.stop()


async def request_beside_change(fleet, caller, close_due, ident):
    """Send a request on a kept connection that the host closes as idle at
    close_due, while the host is at work on a long configuration. Returns the
    status, or None when this program was too late to send it before that."""
    fleet.version += 1
    names = [f"{ident}-{number}" for number in range(20000)]
    document = json.dumps(routing(fleet.version, names)).encode()
    await asyncio.sleep(close_due - 0.25 - time.monotonic())
    await fleet.store.put("op", "config", document)
    await asyncio.sleep(close_due - 0.05 - time.monotonic())
    answer = await caller.request(ident, "/safe/x")
    return answer.status if answer.sent and answer.sent < close_due else None


async def play_idle_beside_change(fleet):
    caller = Caller(fleet.routers[0].address)
    # The feed of the host's only store reader begins.
    await asyncio.sleep(3)
    first = await caller.request("idle-first", "/safe/x")
    return await request_beside_change(fleet, caller, first.ended + 5.0, "idle")


async def play_stop_beside_change(fleet):
    router = fleet.routers[0]
    caller = Caller(router.address)
    await asyncio.sleep(3)
    await caller.request("stop-first", "/safe/x")
    router.signal(signal.SIGTERM)
    # Idle connections are closed when a balancer has noticed the stop.
    return await request_beside_change(fleet, caller, time.monotonic() + 2.6, "stop")


async def check_beside_change(binary, net):
    """LOST beside a change of the configuration: the host closed connections as
    idle on which requests had arrived while it read the configuration."""
    for name, play in (("the idle time-out", play_idle_beside_change),
                       ("a stop closes its connection", play_stop_beside_change)):
        status = None
        for _ in range(5):
            fleet = Fleet(binary, net, random.Random(11), hosts=1)
            try:
                await fleet.start()
                status = await play(fleet)
            finally:
                await fleet.stop()
            if status is not None:
                break
        check(f"a request that arrives before {name} is answered", status == 200, status)


async def check_settings(fleet):
    path = f"{fleet.folder}/bad.yaml"
    with open(path, "w", encoding="ascii") as out:
        out.write(fleet.routers[0].settings().replace(":8080", ":0"))
    process = await asyncio.create_subprocess_exec(
        fleet.binary, "--check", "--settings", path, stderr=asyncio.subprocess.PIPE)
    _, text = await process.communicate()
    check("a bad setting is refused with its field", process.returncode == 3
          and b"bad.yaml" in text and b"listen" in text, text)


async def check_empty_settings(fleet):
    """LOST beside a change of the settings: the process crashed on a file that
    was being rewritten, and empty, as it read it."""
    router = fleet.routers[0]
    process, caller = router.process, Caller(router.address)
    for text in ("", "# no settings yet\n"):
        with open(router.write_settings(), "w", encoding="ascii") as out:
            out.write(text)
        task = asyncio.create_task(caller.request(f"empty-{len(text)}", "/stream/x"))
        await asyncio.sleep(0.05)
        router.signal(signal.SIGHUP)
        answer = await task
        check("an empty settings file ends nothing", answer.status == 200 and answer.complete
              and process.returncode is None, (answer.status, process.returncode))
    router.write_settings()
    if process.returncode is not None:
        await router.start()
        await router.wait_ready()


async def main():
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(7))
    try:
        await fleet.start()
        caller = Caller(fleet.routers[0].address)
        await check_answers(fleet, caller)
        await check_faults(fleet, caller)
        await check_second_copies(fleet)
        await check_streams(fleet)
        await check_upstream_states(fleet)
        await check_gone(fleet, Caller(fleet.routers[1].address))
        await check_smuggling(fleet)
        await check_endless(fleet)
        await check_protocol(fleet)
        await check_settings(fleet)
        await check_empty_settings(fleet)
        await check_leaving(fleet, caller)
        await check_configuration(fleet, caller)
        await check_rollout(fleet, caller)
        await check_slow_rollout(fleet)
        await check_good_rollout(fleet)
        status, _, text = await get(fleet.routers[0].address, 8082, "/metrics")
        check("metrics are served", status == 200 and b"edge_requests_total" in text)
        await check_stop(fleet)
        await check_starting(fleet)
    finally:
        await fleet.stop()
    for check_start in (check_start_together, check_unlisted, check_listed_late,
                        check_beside_change):
        await check_start(sys.argv[1], int(sys.argv[2]))
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
