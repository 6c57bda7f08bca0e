"""Faults that operators of similar systems reported: odd entries among those of the
upstreams, answers that stop inside their head, and calls late in a planned stop until its end.

usage: operators.py BINARY NET
"""

import asyncio
import logging
import random
import signal
import sys
import time

from answers import ask, head, set_script
from checks import FAILURES, check, has_own_allocator, memory_kb
from fleet import Caller, Fleet

GRACE_S = 6
DEPTH = 20000


def odd_entries(entry):
    """Entries of another writer, by key: some name an upstream that does not exist."""
    def changed(**fields):
        return {**entry, **fields}

    nested = "[" * DEPTH + "]" * DEPTH
    text = '{"service":"ledger","address":"127.0.0.1:9","zone":"z","version":"v1","slots":%s}'
    return {
        "odd-nested": nested.encode(),
        "odd-nested-field": f'{{"service":"ledger","more":{nested}}}'.encode(),
        "odd-nested-objects": ('{"a":' * DEPTH + "1" + "}" * DEPTH).encode(),
        "odd-real": (text % "1e999").encode(),
        "odd-integer": (text % ("9" * 400)).encode(),
        "odd-slots": changed(slots=1 << 62),
        "odd-no-slots": changed(slots=0),
        "odd-negative": changed(slots=-5, sequence=-1, born=-1),
        "odd-cold": changed(**{"cold-remaining-ms": 1e300}),
        "odd-born": changed(born=10**30),
        "odd-port": changed(address="127.0.0.1:70000"),
        "odd-port-zero": changed(address="127.0.0.1:0"),
        "odd-port-negative": changed(address="127.0.0.1:-1"),
        "odd-port-long": changed(address="127.0.0.1:" + "9" * 300),
        "odd-address": changed(address="[::1]:80"),
        "odd-types": changed(service=7, zone=None, version=[], state={}),
        "odd-bytes": bytes(range(256)),
        "odd-empty": b"",
        "odd-\x00key": b"{}",
        "odd-\n\"%s%n\\key": b"{}",
        "o" * 200: changed(),
        "": b"{}",
    }


async def check_odd_entries(fleet):
    """An odd entry must neither end a host nor keep it from reading later ones."""
    router = fleet.routers[0]
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
    sound = ledgers[0].entry()
    # A port that is free, so that entries that can be read name no upstream.
    sound["address"] = "127.0.0.1:9"
    for key, value in odd_entries(sound).items():
        await fleet.store.put("servers", key, value)
    await asyncio.sleep(1.0)
    for upstream in ledgers:
        await fleet.store.put("servers", upstream.name, None)
    added = await fleet.add_upstream("ledger", router.zone)
    # The time of a cold start.
    await asyncio.sleep(2.5)
    answer = await ask(router.address, "odd", "/safe/x")
    check("a host follows the entries behind odd ones",
          answer.status == 200 and added.arrivals, (answer.status, len(added.arrivals)))
    check("a host does not end by odd entries", router.process.returncode is None,
          router.process.returncode)
    for key in odd_entries(sound):
        await fleet.store.put("servers", key, None)
    await asyncio.sleep(0.5)


async def check_cut_heads(fleet):
    """An answer that stops inside its head must not reach the caller as a success."""
    router = fleet.routers[0]
    models = [u for u in fleet.upstreams if u.service == "model"]
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
    more = {"/once/x": "Content-Length: 300\r\n", "/safe/x": "Content-Length: 300\r\n",
            "/stream/x": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"}
    for path, fields in more.items():
        upstreams = models if path == "/stream/x" else ledgers
        bad = []
        whole = head(200, "cut", fields)
        for length in range(1, len(whole) + 1, 3):
            ident = f"cut-{path[1:3]}-{length}"

            async def stop(request, length=length, ident=ident, fields=fields):
                request.run()
                await request.write(head(200, ident, fields)[:length])
                request.writer.close()
                return False

            set_script(upstreams, stop)
            answer = await ask(router.address, ident, path, budget_ms=1500)
            if answer.status // 100 == 2 and answer.complete:
                bad.append((length, answer.status, answer.body[:40]))
        check(f"{path}: no success of an answer that stops inside its head", not bad, bad[:3])
    set_script(models + ledgers, None)


async def check_calls_late_in_stop(fleet):
    """Calls that a stopping host accepts late must be answered before it ends."""
    router = fleet.routers[0]
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]

    async def long_call(request):
        request.run()
        await asyncio.sleep(GRACE_S)
        return False

    set_script(ledgers, long_call)
    router.signal(signal.SIGTERM)
    asked = {}
    for path in ("/once/x", "/safe/x"):
        for step in range(10):
            ident = f"late-{path[1:3]}-{step}"
            asked[ident] = asyncio.create_task(late_call(router, ident, path, 0.2 + 0.5 * step))
    # Connections were closed as idle before their first request was read.
    for step in range(4):
        ident = f"late-paused-{step}"
        asked[ident] = asyncio.create_task(
            late_call(router, ident, "/safe/x", 3.0 + 0.25 * step, pause=0.2))
    answers = {ident: await task for ident, task in asked.items()}
    for ident, answer in answers.items():
        if answer is None:
            continue
        runs = len(fleet.runs.get(ident, []))
        check(f"{ident}: a call that is accepted late in a stop is answered", answer.complete
              and answer.status >= 500, (answer.status, answer.complete, answer.sent))
        check(f"{ident}: a refusal is not run", not runs or answer.status not in (408, 421, 429, 503),
              (answer.status, runs))
    check("calls were accepted", any(fleet.runs.get(i) for i in asked), len(asked))
    await router.process.wait()


async def late_call(router, ident, path, after, pause=0.0):
    """A call `pause` seconds after its connection was opened; None when the host no
    longer takes connections."""
    await asyncio.sleep(after)
    caller = Caller(router.address)
    try:
        await caller.connect()
    except OSError:
        return None
    await asyncio.sleep(pause)
    answer = await caller.request(ident, path, budget_ms=8000)
    caller.close()
    return answer


async def call_until_refused(router, name, answers):
    """Calls on new connections until the host no longer takes any."""
    for number in range(1 << 20):
        caller = Caller(router.address)
        try:
            await caller.connect()
        except OSError:
            return
        answers.append(await caller.request(f"until-{name}-{number}", "/safe/x"))
        caller.close()


async def check_calls_until_end(fleet):
    """Calls that a host accepts as it ends were cut off without an answer."""
    router = fleet.routers[0]
    set_script([u for u in fleet.upstreams if u.service == "ledger"], None)
    for callers in (1, 12):
        await router.start()
        await router.wait_ready(3.0)
        router.signal(signal.SIGTERM)
        answers = []
        await asyncio.gather(*(call_until_refused(router, f"{callers}-{n}", answers)
                               for n in range(callers)))
        bad = [a.ended - a.sent for a in answers if not a.complete]
        check(f"{callers} callers: calls that are accepted until the end are answered",
              answers and not bad, (len(answers), len(bad), bad[:3]))
        await router.process.wait()


# Bodies that a host holds at most, and what each of them may have at least.
BUFFERED_KB, ALWAYS_KB = 12 * 1024, 256
# Connections, and what waits on them to be read.
OVERHEAD_KB = 4 * 1024


async def check_endless_bodies(fleet):
    """Answers without length or chunks that never end filled the memory of a host."""
    router = fleet.routers[0]
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
    answers = 32
    for name, framing, path in (("unframed", "", "/safe/x"), ("unframed", "", "/once/x"),
                                ("length", f"Content-Length: {1 << 40}\r\n", "/safe/x")):
        async def endless(request, framing=framing):
            request.run()
            end = time.monotonic() + 6
            await request.write(head(200, request.ident, framing))
            while time.monotonic() < end:
                await request.write(b"z" * 65536)
            return False

        # A process whose memory other checks have not used.
        if router.process.returncode is None:
            router.signal(signal.SIGKILL)
            await router.process.wait()
        await router.start()
        await router.wait_ready(3.0)
        set_script(ledgers, endless)
        before = memory_kb(router.process, "VmRSS")
        got = await asyncio.gather(
            *(ask(router.address, f"endless-{name}-{path[1:3]}-{n}", path, budget_ms=5000)
              for n in range(answers)))
        grown = memory_kb(router.process, "VmHWM") - before
        set_script(ledgers, None)
        most = BUFFERED_KB + answers * ALWAYS_KB + OVERHEAD_KB
        measured = not has_own_allocator(router.process)
        check(f"{name}, {path}: endless bodies take no more than their share of memory",
              grown <= most or not measured, (grown, most))
        check(f"{name}, {path}: no endless body is a success",
              all(a.status // 100 != 2 or not a.complete for a in got),
              [a.status for a in got])
        check(f"{name}, {path}: others are answered afterwards",
              (await ask(router.address, f"after-{name}-{path[1:3]}", "/safe/x")).status == 200)
        await asyncio.sleep(0.5)
        left = memory_kb(router.process, "VmRSS") - before
        check(f"{name}, {path}: the memory is given back",
              left <= OVERHEAD_KB or not measured, left)


async def main():
    # Writes to connections that the other side has closed are no news.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(7), hosts=1, per_zone=1)
    fleet.bounds["grace_s"] = GRACE_S
    try:
        await fleet.start()
        await check_endless_bodies(fleet)
        await check_odd_entries(fleet)
        await check_cut_heads(fleet)
        await check_calls_late_in_stop(fleet)
        await check_calls_until_end(fleet)
    finally:
        await fleet.stop()
    return 1 if FAILURES else 0


sys.exit(asyncio.run(main()))
