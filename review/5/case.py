"""Engines number the events of a stream in steps other than one."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from lab import P, TROUBLE, Caller, document, main

# An event holds 6 tokens; the engines number an event by its last token.
STEP = 6 if TROUBLE else 1
EVENTS = 12


def event(number):
    return f"id: {number * STEP}\ndata: piece {number}\n\n".encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def whole():
    return b"".join(event(number) for number in range(1, EVENTS + 1))


async def stream(request):
    """Answers with the whole stream, or the rest after Last-Event-Id."""
    request.run()
    last = int(request.fields.get("last-event-id", 0)) // STEP
    head = (f"HTTP/1.1 200 OK\r\n{P}Request-Attempt: {request.ident}\r\n"
            f"{P}Server-Seal: {request.upstream.name}.{request.ident}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
    await request.write(head.encode())
    for number in range(last + 1, EVENTS + 1):
        await request.write(chunk(event(number)), pause=0.03)
    await request.write(b"0\r\n\r\n")
    return True


async def case(lab):
    zones = ("nq-ayr", "nq-hom", "seq-bne")
    await lab.start(document({"ticket-lookup": {
        "kind": "safe", "service": "ticket-ledger"}, "sort-note": {
        "kind": "streaming", "service": "kernel-model", "stream-resume": True, "gap-aim-ms": 1200,
        "timeout-ms": 20000, "target-latency-ms": 2000, "priority": 0}}),
        zones, [("kernel-model", zone) for zone in zones for _ in range(2)]
        + [("ticket-ledger", zone) for zone in zones])
    for engine in lab.engines:
        if engine.service == "kernel-model":
            engine.script = stream
    running, lost, counts = True, [], {}

    async def client(index, machine):
        caller, number = Caller(machine.address), 0
        while running:
            ident = f"c{index}-{number}"
            number += 1
            # A plain request first, so that the stream comes on a kept connection.
            await caller.request("l" + ident, "/ticket-lookup/x", method="GET", budget_ms=2500)
            kept = caller.writer is not None
            answer = await caller.request(ident, "/sort-note/x", b"n" * 200, budget_ms=8000)
            good = answer.status == 200 and answer.complete and answer.body == whole()
            counts[good] = counts.get(good, 0) + 1
            if not good:
                lab.note(f"{ident} at {machine.name}: status {answer.status}, complete "
                         f"{answer.complete}, {answer.body.count(b'id: ')} of {EVENTS} events, "
                         f"runs {[run[0] for run in lab.runs.get(ident, [])]}")
            if kept and ident in lab.runs and not answer.complete and not answer.timed_out:
                lost.append(ident)
            await asyncio.sleep(0.1)
        caller.close()

    tasks = [lab.spawn(client(index, lab.machines[index % 3])) for index in range(9)]
    await asyncio.sleep(10)
    running = False
    await asyncio.gather(*tasks)
    lab.note(f"whole streams and others: {counts.get(True, 0)}, {counts.get(False, 0)}")
    lab.note(f"streams from kept connections that were passed on to sound engines and whose "
             f"connection was closed before the end of the answer: {len(lost)}")
    return len(lost) > 3


main(case)
