"""Answers without a length that come while the request's body is still being written,
with real processes.

usage: early.py BINARY NET [ROUNDS]
"""

import asyncio
import collections
import random
import sys

import fleet as fleets
from answers import ask
from checks import FAILURES, check
from standins import P, Upstream, event_of, read_head, reset

# Bytes of the answer. The router reads 32768 at once.
LENGTHS = (1, 500, 32768 - 200, 32768, 65536, 150000)
# Bytes of the request's body, and how many of them the upstream reads before its answer.
UPLOADS = (1000, 70000, 600000, 4000000)
READ_FIRST = (0, 1000)
PAUSES_S = (0, 0.0005, 0.003, 0.03)
AT_ONCE = 6
PATHS = ("/once/x", "/live/x", "/safe/x", "/stream/x")
STREAMS = ("/live/x", "/stream/x")


class Plan:
    """How an upstream answers one request."""

    def __init__(self, draw, path, ident, broken):
        self.broken, self.read = broken, draw.choice(READ_FIRST)
        self.pause, self.type = draw.choice(PAUSES_S), ""
        if path in STREAMS:
            self.type = "Content-Type: text/event-stream\r\n"
            self.pieces = [event_of(ident, n) for n in range(1, draw.choice((2, 4, 30)))]
        else:
            body = b"z" * draw.choice(LENGTHS)
            cut = draw.choice((0, len(body) // 2))
            self.pieces = [body[:cut], body[cut:]]


class EarlyUpstream(Upstream):
    """Answers a request with a plan before it has read the body."""

    plans = {}

    async def serve_requests(self, reader, writer):
        line, fields = await read_head(reader)
        ident = fields.get((P + "Request-Attempt").lower(), "")
        plan = self.plans[ident]
        self.runs.setdefault(ident, []).append((self.name, line, fields, b""))
        if plan.read:
            await reader.read(plan.read)
        writer.write(self.head(200, ident, plan.type + "Connection: close\r\n"))
        for piece in plan.pieces:
            writer.write(piece)
            await asyncio.sleep(plan.pause)
        if plan.broken:
            reset(writer)
            return
        writer.write_eof()
        while await reader.read(1 << 16):
            pass


def allow_large(document):
    document["limits"]["max-body-bytes"] = 4 << 20


async def check_answers(fleet, draw, broken, rounds):
    """A part of an answer reached the caller as a whole one when the upstream had reset
    the connection. One whose end the upstream had stated was whole."""
    wrong, seen = [], collections.Counter()

    async def one(path, ident):
        plan = EarlyUpstream.plans[ident] = Plan(draw, path, ident, broken)
        upload = draw.choice(UPLOADS)
        answer = await ask(fleet.routers[0].address, ident, path, body=b"u" * upload)
        # Memory for bodies may be short for so many at once.
        refused = answer.status == 503 and ident not in fleet.runs
        whole = answer.status == 200 and answer.complete
        seen[answer.status, whole] += 1
        if whole == broken and not refused:
            wrong.append((ident, path, upload, plan.read, plan.pause, answer.status))
        if whole and answer.body != b"".join(plan.pieces):
            wrong.append((ident, path, "another body"))

    for number in range(rounds):
        for path in PATHS:
            await asyncio.gather(*(one(path, f"early-{broken}-{number}-{path[1:3]}-{n}")
                                   for n in range(AT_ONCE)))
        # Failures eject an upstream for a while.
        await asyncio.sleep(0.5)
    check("an early answer that is reset is not whole" if broken
          else "an early answer that ends is whole", not wrong, wrong[:5])
    print(dict(seen))


async def main():
    rounds = int(sys.argv[3]) if len(sys.argv) > 3 else 4
    fleets.Upstream = EarlyUpstream
    fleet = fleets.Fleet(sys.argv[1], int(sys.argv[2]), random.Random(7), hosts=1, per_zone=2)
    fleet.edit = allow_large
    try:
        await fleet.start()
        for broken in (True, False):
            await check_answers(fleet, random.Random(5), broken, rounds)
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
