"""Answers under way and requests in flight that the router must not end early,
with real processes.

usage: unfinished.py BINARY NET
"""

import asyncio
import logging
import random
import signal
import socket
import sys
import time

from answers import ask, head, set_script
from checks import FAILURES, check
from fleet import HOST, Fleet
from standins import P, chunk, event_of, stream_of
from streams import events

CHUNKED = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
# Length of an answer that is longer than what the buffers of sockets hold.
LONG = 7500000
DEADLY = "dead"
GRACE_S = 9
# Latency objective of the prompts. A stream without an event is moved after 1.25
# times as long.
TARGET_S = 6.0


async def check_arriving(fleet, ledgers):
    """A call whose answer was arriving was ended and run again at every upstream."""
    async def in_pieces(request):
        request.run()
        # Longer than the time after which a call without an answer is moved.
        await request.write(head(200, request.ident, "Content-Length: 800\r\n"),
                            *[b"k" * 100] * 8, pause=0.2)
        return True

    set_script(ledgers, in_pieces)
    answer = await ask(fleet.routers[0].address, "arriving", "/safe/x")
    runs = len(fleet.runs["arriving"])
    check("a call whose answer is arriving goes on",
          answer.complete and answer.body == b"k" * 800 and runs == 1,
          (answer.status, len(answer.body), runs))
    set_script(ledgers, None)


def shorten_idle(document):
    document["limits"]["idle-timeout-ms"] = 700


async def read_slowly(address, ident, begin_s, fields="", path="/safe/x"):
    """Begin to read an answer after begin_s, and take some seconds to read it.
    Returns the length of the body that came."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 17)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    length, data = 0, b""
    try:
        await loop.sock_connect(sock, (address, 8080))
        await loop.sock_sendall(sock, (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{P}Request-Attempt: {ident}\r\n"
            f"{P}Credential: key-1\r\n{fields}\r\n").encode())
        await asyncio.sleep(begin_s)
        while b"\r\n\r\n" not in data:
            data += await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), 3)
        length = len(data.split(b"\r\n\r\n", 1)[1])
        while data and length < LONG:
            await asyncio.sleep(0.02)
            data = await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), 3)
            length += len(data)
    except (OSError, asyncio.TimeoutError):
        pass
    sock.close()
    return length


async def check_slow_readers(fleet, ledgers):
    """A caller that was reading its answer got a part of it: the connection was closed
    a second after the answer had ended, or as idle."""
    address = fleet.routers[0].address

    async def long_answer(request):
        request.run()
        await request.write(head(200, request.ident, f"Content-Length: {LONG}\r\n")
                            + b"y" * LONG)
        return True

    set_script(ledgers, long_answer)
    length = await read_slowly(address, "slow-close", 0, "Connection: close\r\n")
    check("a slow caller gets the last answer of its connection", length == LONG, length)
    length = await read_slowly(address, "late-close", 2, "Connection: close\r\n")
    check("a late caller gets the last answer of its connection", length == LONG, length)
    length = await read_slowly(address, "unread", 4)
    check("a caller that reads nothing for some seconds gets its answer", length == LONG, length)
    await fleet.apply(shorten_idle)
    # The time in which a configuration takes effect.
    await asyncio.sleep(3.0)
    length = await read_slowly(address, "slow-kept", 0)
    check("a caller that reads for longer than the idle time-out gets its answer",
          length == LONG, length)
    set_script(ledgers, None)


async def check_paused_stream(fleet, models):
    """While reading from an upstream paused for a caller, the upstream counted as
    silent, and the stream was moved to another one."""
    async def long_stream(request):
        request.run()
        await request.write(head(200, request.ident, CHUNKED))
        for number in range(1, 31):
            event = f"id: {number}\ndata: ".encode() + b"z" * (LONG // 30) + b"\n\n"
            await request.write(chunk(event), pause=0.002)
        await request.write(b"0\r\n\r\n")
        return True

    set_script(models, long_stream)
    # The route allows 1.2 s between events.
    length = await read_slowly(fleet.routers[0].address, "paused", 2.6, path="/stream/x")
    check("a stream that waits for its caller stays where it runs",
          length >= LONG and len(fleet.runs["paused"]) == 1, (length, len(fleet.runs["paused"])))
    set_script(models, None)


def add_prompts(document):
    """Routes for prompts with an objective that leaves time for a quarantine; one
    of them leaves the model to the router."""
    prompt = next(route for route in document["routes"] if route["name"] == "prompt")
    for name, sizes in (("silent", None), ("sized", ["model-1", "model-2"])):
        route = {**prompt, "name": name, "prefix": f"/{name}/", "timeout-ms": 12000,
                 "target-latency-ms": int(TARGET_S * 1000)}
        if sizes:
            route["sizes"] = sizes
        document["routes"].append(route)


async def ask_prompt(fleet, ident, path, part, model="model-1"):
    own = ident.encode().hex()
    return await ask(fleet.routers[0].address, ident, path, budget_ms=12000, **{
        P + "Model": model, P + "Token-Count": "500,20",
        P + "Prompt-Prefix": f"{part}:400,{own}:100"})


async def check_quarantined(fleet, models):
    """A request of which a part was quarantined meanwhile was ended, with 502, as soon
    as its upstream was slow or its model not sure."""
    address = fleet.routers[0].address

    async def late(request):
        if request.ident not in ("silent", "sized"):
            return None
        request.run()
        first = events(request.ident, 1, 1)
        rest = stream_of(request.ident)[len(first):]
        await asyncio.sleep(1.25 * TARGET_S + (0.4 if request.ident == "silent" else 0.6))
        await request.write(head(200, request.ident, CHUNKED + P + "Confidence: 1\r\n"),
                            chunk(first))
        # Both first events come while the part is in quarantine.
        await asyncio.sleep(0.5)
        await request.write(chunk(rest) + b"0\r\n\r\n")
        return True

    await fleet.apply(add_prompts)
    # The time in which a configuration takes effect.
    await asyncio.sleep(3.0)
    set_script(models, late)
    tasks = [asyncio.create_task(ask_prompt(fleet, "silent", "/silent/x", DEADLY)),
             asyncio.create_task(ask_prompt(fleet, "sized", "/sized/x", DEADLY, "*"))]
    await asyncio.sleep(0.2)
    for upstream in models:
        if any(ident in ("silent", "sized") for _, ident, _ in upstream.arrivals):
            await fleet.store.put("servers", upstream.name, upstream.entry("draining"))
    await asyncio.sleep(1.0)
    fleet.deadly.add(DEADLY)
    refused = False
    end = time.monotonic() + TARGET_S - 1.5
    number = 0
    while time.monotonic() < end and not refused:
        number += 1
        _, answer = await asyncio.gather(
            ask(address, f"sound-{number}", "/stream/x"),
            ask_prompt(fleet, f"crash-{number}", "/prompt/x", DEADLY))
        refused = b"quarantined_part" in answer.body
        await asyncio.sleep(0.1)
    check("the part is quarantined meanwhile", refused, len(fleet.crashes))
    for name, answer in zip(("silent", "sized"), await asyncio.gather(*tasks)):
        check(f"a request with a quarantined part goes on where it runs, {name}",
              answer.complete and answer.body == stream_of(name)
              and len(fleet.runs.get(name, [])) == 1,
              (answer.status, answer.body[:80], fleet.runs.get(name)))
    set_script(models, None)


async def check_late_in_stop(fleet, models):
    """A stopping host accepted streams that it had to cut at the end of its grace time."""
    router = fleet.routers[0]

    async def long_stream(request):
        request.run()
        await request.write(head(200, request.ident, CHUNKED))
        count = {"stop-before": 20, "stop-late": 14}.get(request.ident, 2)
        await request.write(*(chunk(event_of(request.ident, n)) for n in range(1, count + 1)),
                            pause=0.5)
        await request.write(b"0\r\n\r\n")
        return True

    set_script(models, long_stream)
    before = asyncio.create_task(ask(router.address, "stop-before", "/stream/x", budget_ms=8000))
    await asyncio.sleep(0.1)
    router.signal(signal.SIGTERM)
    await asyncio.sleep(3.4)
    answer = await ask(router.address, "stop-late", "/stream/x", budget_ms=8000)
    check("a request that may not end before the end of a stop is refused",
          answer.status == 503 and b"not_run" in answer.body
          and "stop-late" not in fleet.runs, (answer.status, answer.complete, answer.body[-60:]))
    answer = await ask(router.address, "stop-short", "/stream/x", budget_ms=4000)
    check("a request that ends before the end of a stop is accepted", answer.complete
          and answer.status == 200, (answer.status, answer.body[-60:]))
    await before
    await router.process.wait()


async def main():
    # Writes to connections that the other side has closed are no news.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(7), hosts=1, per_zone=3)
    fleet.bounds["grace_s"] = GRACE_S
    try:
        await fleet.start()
        ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
        models = [u for u in fleet.upstreams if u.service == "model"]
        await check_arriving(fleet, ledgers)
        await check_slow_readers(fleet, ledgers)
        await check_paused_stream(fleet, models)
        await check_quarantined(fleet, models)
        await check_late_in_stop(fleet, models)
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
