"""Answers without a length that come before the upload has been read, and are then
reset, with real processes.

usage: early.py BINARY NET [ROUNDS]
"""

import asyncio
import random
import socket
import sys

from answers import ask
from checks import FAILURES, check
from fleet import Fleet
from standins import P, Upstream, event_of, read_head, reset

# Bytes of the answer that come before the reset. 32768 is what the router reads at once.
PARTS = (1, 500, 32768 - 200, 32768, 65536, 150000)
UPLOADS = (0, 1000, 70000, 600000, 4000000)
READ_FIRST = (0, 1000, 300000)
PAUSES = (0, 0.0005, 0.003, 0.03)


class Early(Upstream):
    """Answers a request whose id it has a plan for before it has read the body."""

    plans = {}
    broken = {}

    async def serve_requests(self, reader, writer):
        line, fields = await read_head(reader)
        ident = fields.get((P + "Request-Attempt").lower(), "")
        plan = self.plans.get(ident)
        if plan is None:
            length = int(fields.get("content-length", 0))
            await reader.readexactly(length)
            self.plain(writer, 200, ident, b"whole")
            return
        self.runs.setdefault(ident, []).append((self.name, line, fields, b""))
        if plan["read"]:
            await reader.read(plan["read"])
        writer.write(self.head(200, ident, plan["type"] + "Connection: close\r\n"))
        for piece in plan["pieces"]:
            writer.write(piece)
            await asyncio.sleep(plan["pause"])
        await plan["end"](reader, writer)


async def end_reset(reader, writer):
    reset(writer)


async def end_close(reader, writer):
    """Close with bytes of the upload unread, which the kernel answers with a reset."""
    reader._transport.pause_reading()
    sock = writer.get_extra_info("socket")
    dup = socket.socket(fileno=socket.dup(sock.fileno())) if hasattr(socket, "dup") else None
    if dup is not None:
        dup.close()
    writer.transport.abort()


async def end_fin_then_reset(reader, writer):
    """Say that the answer has ended, then reset for the upload that goes on."""
    writer.write_eof()
    await asyncio.sleep(0.002)
    reset(writer)


async def end_whole(reader, writer):
    """Say that the answer has ended and read the upload to its end."""
    writer.write_eof()
    while await reader.read(1 << 16):
        pass


def allow_large(document):
    document["limits"]["max-body-bytes"] = 4 << 20


async def main():
    rounds = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(7), hosts=1, per_zone=2)
    fleet.edit = allow_large
    draw = random.Random(5)
    try:
        import fleet as fleet_module
        fleet_module.Upstream = Early
        await fleet.start()
        address = fleet.routers[0].address
        tally = {}
        number = 0

        async def one(number, end, path):
            ident = f"early-{number}"
            part, upload = draw.choice(PARTS), draw.choice(UPLOADS)
            stream = path.startswith("/live") or path.startswith("/stream")
            if stream:
                pieces = [event_of(ident, n) for n in range(1, draw.choice((2, 4, 30)))]
            else:
                body = b"z" * part
                pieces = [body] if draw.random() < 0.5 else [body[:part // 2], body[part // 2:]]
            Early.plans[ident] = {
                "read": draw.choice(READ_FIRST), "pause": draw.choice(PAUSES), "end": end, "pieces": pieces,
                "type": "Content-Type: text/event-stream\r\n" if stream else "",
            }
            answer = await ask(address, ident, path, body=b"u" * upload, budget_ms=4000)
            key = (end.__name__, path, answer.status, answer.complete)
            tally[key] = tally.get(key, 0) + 1

        for _ in range(rounds):
            for end in (end_reset, end_fin_then_reset, end_whole):
                for path in ("/once/x", "/live/x", "/safe/x", "/stream/x"):
                    batch = []
                    for _ in range(6):
                        number += 1
                        batch.append(one(number, end, path))
                    await asyncio.gather(*batch)
            await asyncio.sleep(0.3)
        for key, count in sorted(tally.items()):
            print(count, key)
    finally:
        await fleet.stop()


sys.exit(asyncio.run(main()))
