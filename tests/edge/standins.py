"""Stand-ins for the platform's store and for upstreams, and a loopback proxy.

They speak the published protocol as far as the router uses it, and misbehave on
request. Everything runs on one asyncio loop; the routers are real processes.
"""

import asyncio
import base64
import json
import socket
import struct
import time
from urllib.parse import parse_qs, unquote, urlsplit

P = "X-Pistachiorack-"


class Closed(Exception):
    """The peer ended the connection."""


def reset(writer):
    """Close a connection with a reset in place of an end."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


async def read_head(reader):
    """Read a message's head; returns its first line and its fields."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed from error
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Read a body with a length or in chunks."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return body
                body += chunk[:-2]
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"]))
        return b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed from error


class Server:
    """Accepts connections on a loopback address and keeps track of them."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.port = 0

    async def start(self, address="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, address, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (Closed, ConnectionError, asyncio.TimeoutError, asyncio.CancelledError):
            # The end of the connection or of the run.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def drop_connections(self):
        """Reset all connections."""
        for writer in list(self.writers):
            reset(writer)

    async def stop(self):
        self.server.close()
        self.drop_connections()


class Store(Server):
    """The platform's store: rows, feeds, conditional transactions.

    mode: ok, busy (503), many (429), reset, silent; lose: part of the writes
    that are done and not answered.
    """

    def __init__(self, random):
        super().__init__()
        self.random = random
        self.rows = {}
        self.version = 1
        self.history = []
        # Version up to which the history was dropped.
        self.forgotten = 0
        self.mode = "ok"
        self.lose = 0.0
        self.slow = 0.0
        # Feed calls for these tables get no answer.
        self.silent_feeds = set()
        # Refuse the hosts' writes, as when there are too many.
        self.refuse_writes = False
        # (time, version, value) of the last write of each row, by (table, key), also
        # of lost ones; and states of the store with their times, each before a write,
        # if somebody asks for them.
        self.written, self.copies = {}, None
        # Rises by one with each return from a copy; None sends no header. The
        # next answers state the texts in odd_eras instead, None for no header.
        self.era = 1
        self.odd_eras = []
        # What each connection is read from.
        self.readers = {}
        self.changed = asyncio.Condition()
        # Calls that were read: their number, and (time, path, table, port of the
        # caller) of each.
        self.calls, self.log = 0, []

    def now_ms(self):
        return int(time.monotonic() * 1000)

    async def put(self, table, key, value):
        """Write as the operator or an upstream does; None removes the row."""
        return await self.put_all([(table, key, value)])

    async def put_all(self, rows):
        """Write rows in one transaction: they share its version."""
        async with self.changed:
            if self.copies is not None:
                self.copies.append((time.monotonic(), self.copy()))
            self.version += 1
            for table, key, value in rows:
                self.written[table, key] = time.monotonic(), self.version, value
                row = {"table": table, "part": "", "key": key, "ver": self.version}
                if value is None:
                    self.rows.pop((table, key), None)
                    row["tombstone"] = True
                else:
                    data = value if isinstance(value, bytes) else json.dumps(value).encode()
                    row["value"] = base64.b64encode(data).decode()
                    self.rows[(table, key)] = row
                self.history.append(row)
            self.changed.notify_all()
        return time.monotonic()

    def forget(self):
        """Drop the history, as a store may do at any time."""
        self.history.clear()
        self.forgotten = self.version

    def copy(self):
        """The state from which the store may return later."""
        return dict(self.rows), self.version, list(self.history), self.forgotten

    async def go_back(self, copy, away=0.8, drop=True):
        """Be away for some seconds and return from a copy. What was written since
        then is lost, and its versions are given out again; returns what the
        operator and the upstreams have to write again, as (table, key, value).
        Without `drop`, connections stay open and no call fails."""
        mode = self.mode
        if drop:
            self.mode = "reset"
            self.drop_connections()
        await asyncio.sleep(away)
        lost = [(table, key, value) for (table, key), (_, version, value) in self.written.items()
                if version > copy[1] and table in ("op", "servers")]
        async with self.changed:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.history, self.forgotten = list(copy[2]), copy[3]
            self.era += 1
            self.mode = mode
        return lost

    async def write_again(self, lost):
        for table, key, value in lost:
            await self.put(table, key, value)

    def document(self, table, key):
        row = self.rows.get((table, key))
        return base64.b64decode(row["value"]) if row else None

    async def serve(self, reader, writer):
        self.readers[writer] = reader
        try:
            await self.serve_calls(reader, writer)
        finally:
            del self.readers[writer]

    async def serve_calls(self, reader, writer):
        while True:
            line, fields = await read_head(reader)
            body = await read_body(reader, fields)
            self.note_call(writer, line, body)
            if self.mode == "reset":
                reset(writer)
                return
            if self.mode == "silent":
                await asyncio.sleep(3600)
            if self.mode in ("busy", "many"):
                self.answer(writer, 503 if self.mode == "busy" else 429, {})
                continue
            await asyncio.sleep(0.002 + self.slow)
            await self.call(writer, line, body)

    def note_call(self, writer, line, body):
        self.calls += 1
        url = urlsplit(line.split(" ")[1])
        table = parse_qs(url.query).get("table", [""])[0]
        if url.path == "/rows-tx":
            table = ",".join(sorted({r["table"] for r in json.loads(body)["puts"]}))
        port = writer.get_extra_info("peername")[1]
        self.log.append((time.monotonic(), url.path, table, port))

    async def call(self, writer, line, body):
        method, target, _ = line.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if method == "POST" and url.path == "/rows-tx":
            status, answer = 429, {}
            if not self.refuse_writes:
                status, answer = await self.transact(json.loads(body))
            if self.random.random() < self.lose:
                await asyncio.sleep(3600)
        elif url.path == "/rows-get":
            rows = [r for (t, _), r in sorted(self.rows.items()) if t == query["table"]]
            rows = [r for r in rows if r["key"] >= unquote(query.get("from", ""))]
            status, answer = 200, {"rows": rows[:500], "more-pages": len(rows) > 500}
        elif url.path == "/rows-feed":
            if query["table"] in self.silent_feeds:
                await asyncio.sleep(3600)
            status, answer = await self.feed(query)
        else:
            status, answer = 404, {}
        self.answer(writer, status, answer)

    async def feed(self, query):
        after = int(query["after-rev"])
        if after > self.version:
            return 410, {}
        if after < self.version and not any(r["ver"] <= after + 1 for r in self.history):
            if any(r["ver"] > after for r in self.rows.values()):
                return 410, {}

        def fresh():
            return [r for r in self.history if r["ver"] > after and r["table"] == query["table"]]

        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: bool(fresh())), int(query["wait-ms"]) / 1000
                )
            except asyncio.TimeoutError:
                pass
            rows = fresh()
        if not rows and after < self.forgotten and any(r["ver"] > after for r in self.rows.values()):
            return 410, {}
        if self.mode == "silent":
            await asyncio.sleep(3600)
        return 200, {"rows": rows}

    async def transact(self, call):
        for condition in call["expected-rev"]:
            row = self.rows.get((condition["table"], condition["key"]))
            if (row["ver"] if row else 0) != condition["ver"]:
                return 412, {"rows": [row] if row else []}
        for row in call["puts"]:
            if row["table"] in ("op", "servers"):
                return 403, {}
        await self.put_all([(row["table"], row["key"], base64.b64decode(row["value"]))
                            for row in call["puts"]])
        return 200, {}

    def answer(self, writer, status, document):
        body = json.dumps({**document, "ver": self.version, "now-ms": self.now_ms()}).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        reader = self.readers[writer]
        heard = not (writer.is_closing() or reader.at_eof() or reader.exception())
        era = self.odd_eras.pop(0) if heard and self.odd_eras else self.era
        if era is not None:
            head += f"Store-Era: {era}\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)


FAULTS = ("error", "shed", "reset", "lost", "cut", "cut_reset", "garbage", "extra", "hang")
# Further ones, which draw from the random numbers only while they are in use.
RARE = ("later", "again", "unframed", "unframed_cut", "status")
# Faults after which the upstream has broken its answer off, or gives none.
BREAKING = ("reset", "lost", "cut", "cut_reset", "garbage", "hang", "unframed_cut", "status")
# What stands where a status is due, with the fault "status".
NO_STATUS = ("000", "0", "007", "20", "099", "600", "999", "0200", "2000")
# Bytes without end, until the other side closes: in a head, between heads, in a
# body, behind a refusal, under another request's id, and in a stream without
# events, or without an event that says anything.
ENDLESS = ("endless_head", "endless_interim", "endless_length", "endless_chunks", "endless_trailer",
           "endless_refusal", "endless_crossed", "endless_event", "endless_comments", "drip")


class Request:
    """One request at an upstream, for scripts."""

    def __init__(self, upstream, writer, line, fields, body, ident):
        self.upstream, self.writer, self.line = upstream, writer, line
        self.fields, self.body, self.ident = fields, body, ident

    def run(self):
        self.upstream.runs.setdefault(self.ident, []).append(
            (self.upstream.name, self.line, self.fields, self.body))

    async def write(self, *parts, pause=0.0):
        """Write the parts, with a pause behind each."""
        for part in parts:
            self.writer.write(part)
            await self.writer.drain()
            if pause:
                await asyncio.sleep(pause)


class Upstream(Server):
    """An upstream. Each request id's runs are counted; faults come with the
    probabilities in `faults`, by the names in FAULTS, ENDLESS and RARE.

    later: refuses with Retry-After, and everything until that time has passed;
    again: writes the connection's last refusal once more before its answer;
    unframed: an answer without length or chunks, which ends with its connection;
    unframed_cut: such an answer that is broken off;
    status: an answer with a number that is no status.
    """

    def __init__(self, name, service, zone, random, runs, version="v1"):
        super().__init__()
        self.name, self.service, self.zone, self.version = name, service, zone, version
        self.random = random
        self.runs = runs
        self.faults = {}
        self.arrivals = []
        self.cold_ms = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.failing = 0.0
        # Called with each request in place of the faults; see serve().
        self.script = None
        # Time between the events of a stream, seconds.
        self.pace = 0.01
        # Endless answers that are left, shared by upstreams.
        self.endless_left = [1 << 30]
        self.never_closed = []
        # Requests in progress by connection, and those whose answer was broken
        # off by an upstream; the latter is shared by upstreams.
        self.current = {}
        self.harmed = set()
        # The upstream writes nothing until this time. Requests that it held
        # meanwhile, and those that the router let go: (id, time, age).
        self.silent_until = 0.0
        self.held, self.let_go = set(), []
        # (event, seconds): the next stream that comes to this event makes the
        # upstream silent for so long; event 0 stands for an answer that is no
        # stream.
        self.silence_at = None
        # Streams begin with a comment, before their first event.
        self.comments = False
        # Prompt parts that crash the upstream (shared by upstreams), and what
        # to do then.
        self.deadly = set()
        self.on_crash = None
        # Refusals with Retry-After: (time, id, end). Requests are refused
        # until refuse_until.
        self.refuse_until = 0.0
        self.refusals = []
        # Answers state that the upstream is about to leave; those that did:
        # (time, id).
        self.leaving = False
        self.said_leaving = []
        # Answers state this limit of requests per second; those that did:
        # (time, id).
        self.limit = None
        self.said_limit = []
        # Times at which its processes ended.
        self.ends = []

    def drop_connections(self):
        self.harmed.update(self.current.values())
        super().drop_connections()

    def end(self):
        """The process is gone, with its listener and all connections."""
        self.ends.append(time.monotonic())
        self.drop_connections()
        self.server.close()

    async def begin(self):
        """Start again at the same address, as a process that knows nothing."""
        self.born, self.sequence = int(time.time() * 1000), 0
        self.leaving, self.faults, self.limit = False, {}, None
        self.silent_until = self.refuse_until = 0.0
        while True:
            try:
                return await self.start(port=self.port)
            except OSError:
                # A connection has the port as its local one.
                await asyncio.sleep(0.1)

    async def hold(self, reader, ident, number):
        """Wait until the upstream is no longer silent."""
        if self.silence_at and self.silence_at[0] == number:
            self.silent_until = time.monotonic() + self.silence_at[1]
            self.silence_at = None
        began = time.monotonic()
        if began < self.silent_until:
            self.held.add(ident)
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(0.02)
            if reader.at_eof() or reader.exception():
                now = time.monotonic()
                self.let_go.append((ident, now, now - began))
                raise Closed

    def entry(self, state="ready"):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": state,
            "cold-remaining-ms": self.cold_ms,
            "sequence": self.sequence,
            "born": self.born,
        }

    def draw(self):
        rare = tuple(fault for fault in RARE if fault in self.faults)
        for fault in FAULTS + ENDLESS + rare:
            if self.random.random() < self.faults.get(fault, 0):
                return fault
        return None

    def parts(self, fields):
        listed = fields.get((P + "Prompt-Prefix").lower(), "")
        return [part.split(":")[0] for part in listed.split(",")]

    def refuse(self, writer, ident, more=""):
        """Returns the bytes of the refusal."""
        more += f"{P}Not-Executed: 1\r\nContent-Length: 0\r\n"
        refusal = self.head(503, ident, more, sealed=False)
        writer.write(refusal)
        return refusal

    async def serve(self, reader, writer):
        try:
            await self.serve_requests(reader, writer)
        finally:
            self.current.pop(writer, None)

    async def serve_requests(self, reader, writer):
        refusal = b""
        while True:
            self.current.pop(writer, None)
            line, fields = await read_head(reader)
            body = await read_body(reader, fields)
            fault = self.draw()
            ident = fields.get((P + "Request-Attempt").lower(), "")
            if fields.get((P + "Expect-Instance").lower()) != self.name:
                self.plain(writer, 421, ident, b"", sealed=False)
                continue
            now = time.monotonic()
            self.arrivals.append((now, ident, line))
            self.current[writer] = ident
            if self.script is not None:
                # True keeps the connection, False ends it, None answers as usual.
                keep = await self.script(Request(self, writer, line, fields, body, ident))
                if keep is False:
                    return
                if keep:
                    continue
            if fault in BREAKING:
                self.harmed.add(ident)
            if fault == "reset":
                reset(writer)
                return
            if fault == "later" and now >= self.refuse_until:
                self.refuse_until = now + self.random.uniform(1, 3)
            if now < self.refuse_until:
                self.refusals.append((now, ident, self.refuse_until))
                refusal = self.refuse(
                    writer, ident, f"Retry-After: {self.refuse_until - now:.2f}\r\n")
                continue
            if fault == "shed" or (fault == "again" and not refusal):
                refusal = self.refuse(writer, ident)
                continue
            self.runs.setdefault(ident, []).append((self.name, line, fields, body))
            if self.deadly.intersection(self.parts(fields)):
                self.harmed.add(ident)
                await asyncio.sleep(0.01)
                self.on_crash(self)
                return
            if fault == "again":
                writer.write(refusal)
            if fault == "status":
                self.plain(writer, self.random.choice(NO_STATUS), ident, whole_answer(ident, body))
                continue
            if fault == "hang":
                # Until the caller lets go, as an engine that stalls.
                await reader.read(1)
                return
            if fault == "lost":
                reset(writer)
                return
            if fault == "error" or self.random.random() < self.failing:
                self.plain(writer, 500, ident, b"failed")
                continue
            if fault in ENDLESS and self.endless_left[0] > 0:
                await self.endless(writer, fields, ident, fault)
                return
            if not await self.answer(reader, writer, line, fields, body, ident, fault):
                return

    async def answer(self, reader, writer, line, fields, body, ident, fault):
        """Returns False when the connection has ended."""
        if fault == "garbage":
            writer.write(b"\x00\x01 this is not an answer\r\n\r\n")
            return False
        if "/stream/" in line or "/prompt/" in line:
            return await self.stream(reader, writer, fields, ident, fault)
        await asyncio.sleep(self.random.uniform(0.002, 0.02))
        await self.hold(reader, ident, 0)
        content = whole_answer(ident, body)
        if fault in ("unframed", "unframed_cut"):
            whole = len(content) if fault == "unframed" else len(content) // 2
            writer.write(self.head(200, ident, "Connection: close\r\n") + content[:whole])
            await writer.drain()
            if fault == "unframed_cut":
                reset(writer)
            return False
        if fault in ("cut", "cut_reset"):
            # Without a length, so that only the end tells whole from cut.
            length = f"Content-Length: {len(content)}\r\n" if fault == "cut" else ""
            writer.write(self.head(200, ident, length) + content[: len(content) // 2])
            await writer.drain()
            if fault == "cut_reset":
                reset(writer)
            return False
        self.plain(writer, 200, ident, content)
        if fault == "extra":
            self.plain(writer, 200, "someone-else", b"not yours")
        return True

    async def endless(self, writer, fields, ident, fault):
        """Write until the connection is closed, at most ten seconds long."""
        chunked = "Transfer-Encoding: chunked\r\n"
        events = "Content-Type: text/event-stream\r\n" + chunked
        begin = {
            "endless_head": b"HTTP/1.1 200 X\r\n",
            "endless_interim": b"",
            "endless_length": self.head(200, ident, f"Content-Length: {1 << 40}\r\n"),
            "endless_chunks": self.head(200, ident, chunked),
            "endless_trailer": self.head(200, ident, chunked) + b"0\r\n",
            "endless_refusal": self.head(503, ident, f"{P}Not-Executed: 1\r\n" + chunked, False),
            "endless_crossed": self.head(200, "someone-else", chunked),
            "endless_event": self.head(200, ident, events),
            "endless_comments": self.head(200, ident, events),
            "drip": self.head(200, ident, events),
        }[fault]
        first = int(fields.get("last-event-id", 0)) + 1
        if fault in ("endless_comments", "drip"):
            begin += chunk(event_of(ident, first))
        more = {
            "endless_head": b"X-More: " + b"y" * 2000 + b"\r\n",
            "endless_interim": b"HTTP/1.1 102 Processing\r\n\r\n" * 50,
            "endless_length": b"z" * 16384,
            "endless_trailer": b"X-More: " + b"y" * 2000 + b"\r\n",
            "endless_comments": chunk(b": still here\n\n"),
            "drip": chunk(b"d"),
        }.get(fault, chunk(b"z" * 16384))
        self.endless_left[0] -= 1
        writer.write(begin)
        end = time.monotonic() + 10
        while time.monotonic() < end:
            writer.write(more)
            await writer.drain()
            await asyncio.sleep(0.1 if fault in ("endless_comments", "drip") else 0.0005)
        self.never_closed.append(fault)

    async def stream(self, reader, writer, fields, ident, fault):
        last = int(fields.get("last-event-id", 0))
        count = events_of(ident)
        framed = fault not in ("unframed", "unframed_cut")
        framing = "Transfer-Encoding: chunked\r\n" if framed else "Connection: close\r\n"
        frame = chunk if framed else bytes
        await self.hold(reader, ident, None)
        writer.write(self.head(200, ident, "Content-Type: text/event-stream\r\n" + framing))
        if self.comments:
            writer.write(frame(b": begun\n\n"))
        cut = fault in ("cut", "cut_reset", "unframed_cut")
        stop = self.random.randint(last, count) if cut else count + 1
        for number in range(last + 1, count + 1):
            event = event_of(ident, number)
            await self.hold(reader, ident, number)
            if number >= stop:
                writer.write(frame(event[: len(event) // 2]))
                await writer.drain()
                if fault == "cut_reset":
                    reset(writer)
                return False
            writer.write(frame(event))
            await asyncio.sleep(self.pace)
        if framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return framed

    def head(self, status, ident, more, sealed=True):
        text = f"HTTP/1.1 {status} X\r\n{P}Request-Attempt: {ident}\r\n"
        # What cannot be passed on states nothing.
        valid = status not in NO_STATUS
        if self.leaving and valid:
            text += "Server-Leaving: 1\r\n"
            self.said_leaving.append((time.monotonic(), ident))
        if self.limit is not None and valid:
            text += f"Server-Limit: {self.limit:.2f}\r\n"
            self.said_limit.append((time.monotonic(), ident))
        if sealed:
            text += f"{P}Server-Seal: {self.name}.{ident}\r\n"
        return (text + more + "\r\n").encode()

    def plain(self, writer, status, ident, content, more="", sealed=True):
        more += f"Content-Length: {len(content)}\r\n"
        writer.write(self.head(status, ident, more, sealed) + content)


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def whole_answer(ident, body):
    """The answer of an upstream to a request that is no stream."""
    return f"answer to {ident}, {len(body)} bytes: ".encode() + body[:200] + b"x" * 300


def events_of(ident):
    return 3 + sum(ident.encode()) % 12


def event_of(ident, number):
    return f"id: {number}\ndata: {ident}-{number}\n\n".encode()


def stream_of(ident):
    """The whole stream of a request."""
    return b"".join(event_of(ident, n) for n in range(1, events_of(ident) + 1))


class Proxy(Server):
    """Passes a port on, and can delay, cut one way, silence or reset."""

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.delay = 0.0
        self.silent_up = self.silent_down = False
        self.refuse = False
        # Ports from which it has called its target.
        self.ports = set()

    async def serve(self, reader, writer):
        if self.refuse:
            reset(writer)
            return
        up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
        self.writers.add(up_writer)
        self.ports.add(up_writer.get_extra_info("sockname")[1])
        try:
            await asyncio.gather(
                self.pump(reader, up_writer, lambda: self.silent_up),
                self.pump(up_reader, writer, lambda: self.silent_down),
            )
        finally:
            self.writers.discard(up_writer)
            up_writer.close()

    async def pump(self, reader, writer, silent):
        while True:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                reset(writer)
                return
            if not data:
                writer.close()
                return
            if self.delay:
                await asyncio.sleep(self.delay)
            if not silent():
                writer.write(data)
