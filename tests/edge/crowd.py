"""Clients outside the limits of the pages: crowds that hold the memory or the
descriptors of a host.

The settings give the host little memory and few descriptors. Checked: the process lives,
its memory and descriptors stay within the machine's, no refused request has run, and an
ordinary request is answered while the crowd is still there. Nothing depends on times.

usage: crowd.py BINARY NET FORM
"""

import asyncio
import collections
import logging
import os
import random
import socket
import sys

from answers import ask, head, set_script
from checks import FAILURES, check, has_own_allocator, memory_kb
from fleet import HOST, Caller, Fleet
from standins import P, Closed, read_body, read_head

MEMORY_MB = 32
DESCRIPTORS = 400
BODY_BYTES = 512 * 1024
# Bodies of that size take twice the machine's memory.
CROWD = 128
# Crowds that take more descriptors than the machine has, those to upstreams included.
CROWDS = {"idle": 600, "pipelined": 300}
# One in so many sends its request whole.
WHOLE_EVERY = 8
# A member of the crowd that the host no longer reads stops sending after this time.
SEND_S = 20
# The crowd has settled when so many polls in a row find the same; polled so often at most.
SETTLED_POLLS, SETTLE_POLLS = 4, 80
ANSWER_BYTES, EVENT_BYTES = 2 * 1024 * 1024, 30000
PROMISES = (408, 421, 429, 503)


def request_head(ident, fields, path="/safe/x"):
    return (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{P}Request-Attempt: {ident}\r\n"
            f"{P}Deadline-Ms: 20000\r\n{P}Credential: key-1\r\n{fields}\r\n").encode()


def chunk(data, extension=""):
    return f"{len(data):x}{extension}\r\n".encode() + data + b"\r\n"


def pieces(data, size):
    return [data[at:at + size] for at in range(0, len(data), size)]


LENGTH = f"Content-Length: {BODY_BYTES}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
BODY = b"b" * BODY_BYTES


# What a member of each form sends: the parts in order, the last one only by those that
# send their request whole.
def large(ident):
    return [request_head(ident, LENGTH) + BODY[:-1], BODY[-1:]]


def pieced(ident):
    return [request_head(ident, LENGTH), *pieces(BODY[:-1], 8192), BODY[-1:]]


def large_chunks(ident):
    return [request_head(ident, CHUNKED), *(chunk(part) for part in pieces(BODY, 65536)),
            b"0\r\n\r\n"]


def small_chunks(ident):
    return [request_head(ident, CHUNKED), *pieces(chunk(b"b") * BODY_BYTES, 65536), b"0\r\n\r\n"]


def extensions(ident):
    """Chunks whose extensions are far longer than their data."""
    return [request_head(ident, CHUNKED), *[chunk(b"b", ";" + "e" * 8000) * 8] * 64, b"0\r\n\r\n"]


def trailers(ident):
    fields = "".join(f"T-{n}: {'t' * 1000}\r\n" for n in range(60)).encode()
    return [request_head(ident, CHUNKED) + chunk(b"b") + b"0\r\n" + fields, b"\r\n"]


def announced(ident):
    length = 1000 * BODY_BYTES
    return [request_head(ident, f"Content-Length: {length}\r\n"), *[BODY] * 8, b""]


def just_sent(ident):
    """Far more than the limit, in chunks, without an announcement."""
    return [request_head(ident, CHUNKED), *[chunk(BODY)] * 8, b"0\r\n\r\n"]


def heads(ident):
    """Heads that stop before their end."""
    return [request_head(ident, f"Long: {'h' * 7800}\r\n")[:-2], b"\r\n"]


def pipelined(ident):
    """Requests behind one that is not answered yet."""
    first = request_head(ident, "Content-Length: 0\r\n")
    more = b"".join(request_head(f"{ident}-{n}", "Content-Length: 900\r\n") + b"p" * 900
                    for n in range(150))
    return [first, *pieces(more, 8192), b""]


def unread(ident):
    """A large answer that is not read."""
    return [request_head(ident, "Content-Length: 0\r\n"), b""]


def streams(ident):
    """A stream that is not read."""
    return [request_head(ident, "Content-Length: 0\r\n", "/stream/x"), b""]


def idle(ident):
    """A connection without a request."""
    return [b"", b""]


FORMS = {form.__name__: form for form in (
    large, pieced, large_chunks, small_chunks, extensions, trailers, announced, just_sent, heads,
    pipelined, unread, streams, idle)}
# Every member sends its request whole, and keeps its connection.
FORMS["complete"] = large
WHOLE = ("complete", "unread", "streams")
# Every member waits for a large answer that it does not read.
UNREAD = ("unread", "streams")


class Member:
    """A connection of the crowd."""

    def __init__(self, address, ident, parts, whole):
        self.address, self.ident, self.parts, self.whole = address, ident, parts, whole
        self.reader = self.writer = None
        self.status = 0

    async def open(self):
        sock = socket.socket()
        # What it does not read stays with the host.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, (self.address, 8080))
            self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=4096)
        except OSError:
            sock.close()

    async def send(self):
        if self.writer is None:
            return
        try:
            for part in self.parts if self.whole else self.parts[:-1]:
                self.writer.write(part)
                await self.writer.drain()
        except OSError:
            pass

    async def read_status(self):
        """The status of the answer, where there is one."""
        if self.reader is None:
            return
        try:
            line, _ = await asyncio.wait_for(read_head(self.reader), 0.2)
            self.status = int(line.split(" ")[1])
        except (OSError, Closed, asyncio.TimeoutError, ValueError):
            pass

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()


def edit_limits(document):
    document["limits"].update({
        "max-body-bytes": BODY_BYTES, "header-timeout-ms": 30000, "idle-timeout-ms": 60000})
    for route in document["routes"]:
        route.update({"timeout-ms": 30000, "target-latency-ms": 20000})


async def check_calm(router):
    """Requests at the limit are served, two beside each other."""
    answers = await asyncio.gather(*(
        ask(router.address, f"calm-{n}", "/safe/x", body=BODY, budget_ms=20000) for n in range(2)))
    check("two bodies at the limit are served in calm", all(a.status == 200 for a in answers),
          [a.status for a in answers])
    # A host that answers at once must not answer the body once more.
    caller = Caller(router.address)
    answers = [await caller.request("nowhere", "/nowhere/x", body=BODY, budget_ms=20000),
               await caller.request("behind", "/safe/x", budget_ms=20000)]
    caller.close()
    check("a large body without a route is answered once", [a.status for a in answers] == [404, 200],
          [a.status for a in answers])


async def large_answer(request):
    request.run()
    length = ANSWER_BYTES
    try:
        await request.write(head(200, request.ident, f"Content-Length: {length}\r\n"))
        await request.write(b"z" * length)
    except (OSError, Closed):
        pass
    return True


async def large_stream(request):
    request.run()
    fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    data = "x" * EVENT_BYTES
    try:
        await request.write(head(200, request.ident, fields))
        for number in range(1, ANSWER_BYTES // EVENT_BYTES):
            await request.write(chunk(f"id: {number}\ndata: {data}\n\n".encode()))
    except (OSError, Closed):
        pass
    return False


class HeldAnswers:
    """Script of upstreams that answer once release is set."""

    def __init__(self):
        self.release = asyncio.Event()

    async def __call__(self, request):
        request.run()
        await self.release.wait()
        return False


def waiting_bytes(address):
    """Bytes that the kernel holds for the host's callers' connections, to be read."""
    local = socket.inet_aton(address)[::-1].hex().upper() + f":{8080:04X}"
    waiting = {}
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            # Established, or closed by the caller only.
            if fields[1] == local and fields[3] in ("01", "08"):
                waiting[fields[2]] = fields[4]
    return waiting


async def settle(address):
    """Wait until the host has read what it is going to read for now."""
    before, same = None, 0
    for _ in range(SETTLE_POLLS):
        await asyncio.sleep(0.25)
        now = waiting_bytes(address)
        same = same + 1 if now == before else 0
        if same == SETTLED_POLLS:
            return
        before = now


async def check_crowd(fleet, form):
    router = fleet.routers[0]
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
    process = router.process
    held = HeldAnswers()
    crowd = CROWDS.get(form, CROWD)
    if form == "unread":
        set_script(ledgers, large_answer)
    if form == "streams":
        set_script([u for u in fleet.upstreams if u.service == "model"], large_stream)
    if form == "pipelined":
        set_script(ledgers, held)
    members = [Member(router.address, f"m-{n}", FORMS[form](f"m-{n}"),
                      form in WHOLE or n % WHOLE_EVERY == 0) for n in range(crowd)]
    most_open = 0
    for member in members:
        await member.open()
    sending = [asyncio.create_task(member.send()) for member in members]
    _, left = await asyncio.wait(sending, timeout=SEND_S)
    await settle(router.address)
    if process.returncode is None:
        most_open = len(os.listdir(f"/proc/{process.pid}/fd"))
    set_script(ledgers, None)
    answer = await ask(router.address, "ordinary", "/safe/x", body=b"o" * 2000, budget_ms=20000)
    check(f"{form}: the process lives", process.returncode is None, process.returncode)
    check(f"{form}: an ordinary request is answered beside the crowd",
          answer.status == 200 and answer.complete, (answer.status, answer.body[:80]))
    if process.returncode is None:
        peak = memory_kb(process, "VmHWM")
        check(f"{form}: the memory stays within the machine's",
              peak <= MEMORY_MB * 1024 or has_own_allocator(process), (peak, MEMORY_MB * 1024))
        check(f"{form}: the descriptors stay within the machine's", most_open <= DESCRIPTORS,
              (most_open, DESCRIPTORS))
        print(f"{form}: peak {peak} KB, {most_open} descriptors")
    held.release.set()
    for task in left:
        task.cancel()
    if form not in UNREAD:
        await asyncio.gather(*(member.read_status() for member in members))
    print(f"{form}: answers {dict(collections.Counter(m.status for m in members))}")
    untrue = [m.ident for m in members if m.status in PROMISES and m.ident in fleet.runs]
    check(f"{form}: no request that was refused as not run has run", not untrue, untrue[:5])
    for member in members:
        member.close()


async def main():
    # Writes to connections that the other side has closed are no news.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(7), hosts=1, per_zone=1)
    fleet.edit = edit_limits
    fleet.settings = {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS}
    try:
        await fleet.start()
        await check_calm(fleet.routers[0])
        await check_crowd(fleet, sys.argv[3])
    finally:
        await fleet.stop()
    return 1 if FAILURES else 0


sys.exit(asyncio.run(main()))
