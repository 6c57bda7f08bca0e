"""Streams that break off: what the next upstream answers must not reach the caller
unless it continues the stream, and a broken stream must not look complete.
"""

import asyncio
import socket

from answers import NOT_RUN, ask, earlier_answer, head, set_script
from checks import check
from fleet import HOST
from standins import P, chunk, event_of, events_of, reset, stream_of

EVENTS = "Content-Type: text/event-stream\r\n"
CHUNKED = EVENTS + "Transfer-Encoding: chunked\r\n"
BUDGET_MS = 7000


def long_ident(name):
    """An id whose stream has at least nine events."""
    while events_of(name) < 9:
        name += "+"
    return name


def events(ident, first, last=None):
    return b"".join(event_of(ident, n) for n in range(first, (last or events_of(ident)) + 1))


def rest_of(request):
    """The events that the request asks for."""
    return events(request.ident, int(request.fields.get("last-event-id", 0)) + 1)


async def error_500(request, last):
    await request.write(earlier_answer((500, "", True), request.ident, b"id: 3\ndata: error\n\n"))
    return True


async def refused_503(request, last):
    await request.write(earlier_answer((503, NOT_RUN, False), request.ident, b"id: 3\n\n"))
    return True


async def refused_429(request, last):
    await request.write(earlier_answer((429, NOT_RUN, False), request.ident, b"id: 3\n\n"))
    return True


async def refused_421(request, last):
    await request.write(earlier_answer((421, "", False), request.ident, b"id: 3\n\n"))
    return True


async def refused_without_proof(request, last):
    await request.write(earlier_answer((503, "", True), request.ident, b"id: 3\ndata: busy\n\n"))
    return True


async def other_type(request, last):
    await request.write(earlier_answer((200, "Content-Type: text/plain\r\n", True), request.ident,
                                       events(request.ident, last + 1)))
    return True


async def no_content(request, last):
    await request.write(head(204, request.ident))
    return True


async def no_seal(request, last):
    await request.write(head(200, request.ident, CHUNKED, sealed=False)
                        + chunk(events(request.ident, last + 1)) + b"0\r\n\r\n")
    return True


async def encoded(request, last):
    await request.write(head(200, request.ident, CHUNKED + "Content-Encoding: gzip\r\n")
                        + chunk(b"\x1f\x8b not text") + b"0\r\n\r\n")
    return True


async def gap(request, last):
    await request.write(head(200, request.ident, CHUNKED)
                        + chunk(events(request.ident, last + 2)) + b"0\r\n\r\n")
    return True


async def other_ids(request, last):
    """The whole stream of a run that numbers its events in another way."""
    count = events_of(request.ident)
    await request.write(head(200, request.ident, CHUNKED)
                        + chunk(b"".join(b"id: %d\ndata: x\n\n" % (3 * n + 1)
                                         for n in range(count))) + b"0\r\n\r\n")
    return True


async def far_ids(request, last):
    await request.write(head(200, request.ident, CHUNKED)
                        + chunk(event_of("other", 100) + event_of("other", 101)) + b"0\r\n\r\n")
    return True


async def no_ids(request, last):
    await request.write(head(200, request.ident, CHUNKED)
                        + chunk(b"event: error\ndata: overloaded\n\n") + b"0\r\n\r\n")
    return True


async def garbage(request, last):
    await request.write(b"\x00\x01 this is not an answer\r\n\r\n")
    return False


async def ends_inside_event(request, last):
    await request.write(head(200, request.ident, EVENTS) + events(request.ident, last + 1, last + 2)
                        + event_of(request.ident, last + 3)[:-1])
    return False


async def reset_behind_event(request, last):
    await request.write(head(200, request.ident, EVENTS) + events(request.ident, last + 1, last + 2))
    await asyncio.sleep(0.02)
    reset(request.writer)
    return False


async def from_the_start(request, last):
    await request.write(head(200, request.ident, CHUNKED) + chunk(stream_of(request.ident))
                        + b"0\r\n\r\n")
    return True


async def ends_with_connection(request, last):
    await request.write(head(200, request.ident, EVENTS), rest_of(request), pause=0.01)
    return False


async def interim(request, last):
    await request.write(b"HTTP/1.1 100 Continue\r\n\r\n",
                        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
                        + head(200, request.ident, CHUNKED) + chunk(rest_of(request))
                        + b"0\r\n\r\n", pause=0.01)
    return True


async def crossed(request, last):
    await request.write(head(200, "other", CHUNKED) + chunk(event_of("other", last + 1))
                        + b"0\r\n\r\n" + head(200, request.ident, CHUNKED)
                        + chunk(rest_of(request)) + b"0\r\n\r\n")
    return True


# Answers that do not continue the stream, or not to its end, and those that do.
FAILED = (error_500, refused_503, refused_429, refused_421, refused_without_proof, other_type,
          no_content, no_seal, encoded, gap, other_ids, far_ids, no_ids, garbage, ends_inside_event,
          reset_behind_event)
CONTINUED = (from_the_start, ends_with_connection, interim, crossed)


class BrokenStreams:
    """Script of engines. The first attempt sends two events and half of the third,
    and breaks off. The next `count` attempts answer as planned for the id, later
    ones as usual."""

    def __init__(self, answers, count):
        self.answers, self.count = answers, count
        self.attempts = {}

    async def __call__(self, request):
        answer = self.answers.get(request.ident)
        if answer is None:
            return None
        attempt = self.attempts[request.ident] = self.attempts.get(request.ident, 0) + 1
        request.run()
        if attempt == 1:
            await request.write(head(200, request.ident, CHUNKED)
                                + chunk(events(request.ident, 1, 2) + event_of(request.ident, 3)[:9]),
                                pause=0.03)
            reset(request.writer)
            return False
        if attempt > 1 + self.count:
            return None
        return await answer(request, int(request.fields.get("last-event-id", 0)))


async def raw(address, ident, path, method="POST", version="1.1"):
    """Send one request; returns the head, all bytes behind it, and whether the
    connection ended without a reset."""
    reader, writer = await asyncio.open_connection(address, 8080, limit=1 << 20)
    got, clean = b"", True
    try:
        writer.write((f"{method} {path} HTTP/{version}\r\nHost: {HOST}\r\nConnection: close\r\n"
                      f"{P}Request-Attempt: {ident}\r\n{P}Deadline-Ms: {BUDGET_MS}\r\n"
                      f"{P}Credential: key-1\r\n\r\n").encode())
        while True:
            data = await asyncio.wait_for(reader.read(65536), BUDGET_MS / 1000 + 1)
            if not data:
                break
            got += data
    except (ConnectionError, asyncio.TimeoutError):
        clean = False
    writer.close()
    first, _, rest = got.partition(b"\r\n\r\n")
    return first, rest, clean


async def add_traffic(address):
    """Sound requests, of which the repeat budget allows a part."""
    await asyncio.gather(*(ask(address, f"traffic-{n}", "/live/x") for n in range(40)))


async def check_next_answers(fleet, address, models):
    """The error of the next upstream, its head or its body must not reach a caller in
    the middle of a stream, nor end the stream as if it were complete."""
    await add_traffic(address)
    plan = {long_ident(f"next-{a.__name__}"): a for a in FAILED + CONTINUED}
    set_script(models, BrokenStreams(plan, count=1))
    answers = await asyncio.gather(
        *(ask(address, ident, "/stream/x", budget_ms=BUDGET_MS) for ident in plan))
    for ident, answer in zip(plan, answers):
        check(f"stream is whole after {plan[ident].__name__}",
              answer.complete and answer.body == stream_of(ident), answer.body[-120:])
    await asyncio.sleep(2.1)
    plan = {long_ident(f"all-{a.__name__}"): a for a in FAILED}
    set_script(models, BrokenStreams(plan, count=1 << 30))
    answers = await asyncio.gather(
        *(ask(address, ident, "/stream/x", budget_ms=2500) for ident in plan))
    for ident, answer in zip(plan, answers):
        check(f"stream is a part and not complete after only {plan[ident].__name__}",
              not answer.complete and stream_of(ident).startswith(answer.body)
              and answer.body.startswith(events(ident, 1, 2)), answer.body[-120:])
    await asyncio.sleep(2.1)


async def check_without_chunks(fleet, address, models):
    """A caller of HTTP/1.0 knows the end of a stream only by the end of its
    connection, so a stream that broke off ends with a reset."""
    await add_traffic(address)
    plan = {long_ident("old-whole"): ends_with_connection}
    set_script(models, BrokenStreams(plan, count=1))
    for ident in plan:
        first, body, clean = await raw(address, ident, "/stream/x", version="1.0")
        check("stream to HTTP/1.0 is resumed and ends with its connection",
              clean and body == stream_of(ident) and b"chunked" not in first.lower(),
              (first, body[-60:], clean))
    plan = {long_ident(f"old-{a.__name__}"): a
            for a in (error_500, refused_503, other_type, no_ids, ends_inside_event)}
    set_script(models, BrokenStreams(plan, count=1 << 30))
    answers = await asyncio.gather(
        *(raw(address, ident, "/stream/x", version="1.0") for ident in plan))
    for ident, (_, body, clean) in zip(plan, answers):
        check(f"stream to HTTP/1.0 that broke off is reset after {plan[ident].__name__}",
              not clean and stream_of(ident).startswith(body), (body[-60:], clean))
    await asyncio.sleep(2.1)


async def check_token_ids(fleet, address, models):
    """Streams whose ids increase by six were broken off, also where nothing else was
    wrong. Some of them break off and are resumed."""
    def event(ident, number):
        return b"id: %d\ndata: %s-%d\n\n" % (6 * number, ident.encode(), number)

    async def numbered(request):
        request.run()
        last = int(request.fields.get("last-event-id", 0)) // 6
        parts = [chunk(event(request.ident, n)) for n in range(last + 1, 13)]
        await request.write(head(200, request.ident, CHUNKED))
        if request.ident.startswith("cut") and not last:
            await request.write(*parts[:4], pause=0.02)
            reset(request.writer)
            return False
        await request.write(*parts, b"0\r\n\r\n", pause=0.01)
        return True

    await add_traffic(address)
    set_script(models, numbered)
    idents = [f"{kind}-tokens-{n}" for kind in ("whole", "cut") for n in range(4)]
    answers = await asyncio.gather(
        *(ask(address, ident, "/stream/x", budget_ms=BUDGET_MS) for ident in idents))
    for ident, answer in zip(idents, answers):
        check(f"a stream whose ids are not consecutive is whole, {ident}",
              answer.complete and answer.body == b"".join(event(ident, n) for n in range(1, 13)),
              answer.body[-60:])
    set_script(models, None)
    await asyncio.sleep(2.1)


# Ids of the events of a stream, as their upstream writes them: by tokens with one width or
# several, from 0, across 64 bits, and with zeros in front.
NUMBERINGS = {
    "tokens": [b"%d" % (6 * n) for n in range(1, 13)],
    "uneven": [b"%d" % (n * n + 1) for n in range(1, 13)],
    "zero": [b"%d" % n for n in range(12)],
    "long": [b"%d" % ((1 << 64) - 25 + 6 * n) for n in range(1, 13)],
    "longer": [b"%d" % (10 ** 30 - 3 + n) for n in range(1, 13)],
    "padded": [b"%020d" % n for n in range(1, 13)],
}


def numbered_event(ident, text):
    return b"id: %s\ndata: %s-%s\n\n" % (text, ident.encode(), text)


async def check_resuming_callers(fleet, models):
    """A caller that got a part of a stream at one host resumes at another one. It got
    pieces twice where the id that it stated was too long to be read, or missed those whose
    ids wrapped, and the run of an upstream with other ids was joined to the one before."""
    started = set()

    async def serve(request):
        numbering, manner = request.ident.split("-")[:2]
        ids, last = NUMBERINGS[numbering], request.fields.get("last-event-id")
        request.run()
        await request.write(head(200, request.ident, CHUNKED))
        if request.ident not in started:
            started.add(request.ident)
            for text in ids[:5]:
                await request.write(chunk(numbered_event(request.ident, text)))
            await asyncio.sleep(3)
            return False
        if manner == "other":
            ids = [b"%d" % (max(int(ids[0]) - 1, 0) + 7 * n) for n in range(12)]
        elif manner != "repeat" and last is not None:
            ids = [text for text in ids if int(text) > int(last)]
        parts = [chunk(numbered_event(request.ident, text)) for text in ids]
        if manner == "cut" and len(parts) > 4:
            await request.write(*parts[:3], pause=0.02)
            reset(request.writer)
            return False
        await request.write(*parts, b"0\r\n\r\n", pause=0.005)
        return True

    await add_traffic(fleet.routers[2].address)
    set_script(models, serve)
    idents = [f"{numbering}-{manner}" for numbering in NUMBERINGS
              for manner in ("rest", "repeat", "cut", "other")]
    # The caller leaves at the end of this time, while the upstream is silent.
    begun = await asyncio.gather(*(ask(fleet.routers[1].address, ident, "/stream/x", budget_ms=900)
                                   for ident in idents))
    lasts = [answer.body.split(b"id: ")[-1].split(b"\n")[0].decode() for answer in begun]
    answers = await asyncio.gather(
        *(ask(fleet.routers[2].address, ident, "/stream/x", budget_ms=2500,
              **{"Last-Event-Id": last}) for ident, last in zip(idents, lasts)))
    for ident, first, answer in zip(idents, begun, answers):
        ids = NUMBERINGS[ident.split("-")[0]]
        whole = b"".join(numbered_event(ident, text) for text in ids)
        if ident.endswith("other"):
            check(f"another run is not joined to that of a caller that resumes, {ident}",
                  first.body and not answer.complete and not answer.body
                  or answer.status >= 500, (answer.status, answer.body[:120]))
        else:
            check(f"a caller that resumes at another host has each piece once, {ident}",
                  first.body and not first.complete and answer.complete
                  and first.body + answer.body == whole,
                  (first.body[-60:], answer.status, answer.body[:120]))
    set_script(models, None)
    await asyncio.sleep(2.1)


async def check_not_resumable(fleet, address, models):
    """A stream that may not be resumed ends with a reset where it broke off."""
    async def whole(request):
        request.run()
        await request.write(head(200, request.ident, EVENTS), stream_of(request.ident), pause=0.01)
        return False

    async def cut(request):
        request.run()
        await request.write(head(200, request.ident, EVENTS)
                            + events(request.ident, 1, 3)[:-1], pause=0.02)
        return False

    for version in ("1.0", "1.1"):
        for script in (whole, cut):
            set_script(models, script)
            ident = long_ident(f"live-{script.__name__}-{version}")
            first, body, clean = await raw(address, ident, "/live/x", version=version)
            ended = clean and (version == "1.0" or body.endswith(b"0\r\n\r\n"))
            check(f"stream without a length, {script.__name__}, to HTTP/{version}",
                  ended == (script is whole) and len(fleet.runs[ident]) == 1
                  and b" 200 " in first, (first, body[-60:], clean))


async def check_resumed_at_end(fleet, address, models):
    """A caller that has all events and not the end of its stream asks for the rest: an
    answer without events was taken for broken off."""
    async def rest(request):
        request.run()
        framed = request.ident.startswith("end-framed")
        await request.write(head(200, request.ident, CHUNKED if framed else EVENTS)
                            + (b"0\r\n\r\n" if framed else b""))
        return framed

    set_script(models, rest)
    for ident in ("end-framed", "end-unframed"):
        answer = await ask(address, ident, "/stream/x", budget_ms=2500,
                           **{"Last-Event-Id": str(events_of(ident))})
        runs = len(fleet.runs[ident])
        check(f"a stream that is resumed behind its last event, {ident}",
              (answer.status == 200 and answer.complete and not answer.body and runs == 1)
              if ident == "end-framed" else answer.status != 200, (answer.status, runs))


async def check_head_of_stream(fleet, address, models):
    """The answer to HEAD has no body, also where the answer to GET is a stream."""
    async def only_head(request):
        request.run()
        await request.write(head(200, request.ident, CHUNKED))
        return True

    set_script(models, only_head)
    for version in ("1.0", "1.1"):
        first, body, clean = await raw(address, f"head-stream-{version}", "/stream/x", "HEAD",
                                       version)
        check(f"HEAD of a stream has no body, HTTP/{version}",
              b" 200 " in first and body == b"" and clean, (first, body, clean))


async def read_late(address, ident, pause):
    """Begin to read a stream after a pause, with a small buffer until then."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    got = b""
    try:
        await loop.sock_connect(sock, (address, 8080))
        await loop.sock_sendall(sock, (
            f"POST /live/x HTTP/1.1\r\nHost: {HOST}\r\n{P}Request-Attempt: {ident}\r\n"
            f"{P}Deadline-Ms: {BUDGET_MS}\r\n{P}Credential: key-1\r\n\r\n").encode())
        await asyncio.sleep(pause)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        while not got.endswith(b"0\r\n\r\n"):
            data = await asyncio.wait_for(loop.sock_recv(sock, 1 << 18), BUDGET_MS / 1000)
            if not data:
                break
            got = (got + data)[-8:]
    except (OSError, asyncio.TimeoutError):
        pass
    sock.close()
    return got.endswith(b"0\r\n\r\n")


async def check_slow_callers(fleet, models):
    """Reading from an upstream pauses for a caller that reads slowly. When the answer
    ends just then, the next request on that connection must be read all the same."""
    address = fleet.routers[2].address

    async def large(request):
        if not request.ident.startswith("large"):
            return None
        count = int(request.ident.split("-")[1])
        request.run()
        await request.write(head(200, request.ident, CHUNKED))
        for number in range(1, count + 1):
            event = f"id: {number}\ndata: ".encode() + b"z" * 250000 + b"\n\n"
            end = b"0\r\n\r\n" if number == count else b""
            await request.write(chunk(event) + end, pause=0.002)
        return True

    set_script(models, large)
    whole, answers = [], []
    for part in range(4):
        # Of these sizes, one or two pass what the buffers hold with their last event.
        whole += await asyncio.gather(
            *(read_late(address, f"large-{count}-{part}", 0.7) for count in range(8, 24)))
        answers += await asyncio.gather(
            *(ask(address, f"after-large-{part}-{n}", "/live/x", budget_ms=2000)
              for n in range(24)))
    check("streams to callers that read late are whole", all(whole), whole.count(False))
    check("connections are read after a slow caller", all(a.complete for a in answers),
          sum(not a.complete for a in answers))


async def check_streams(fleet):
    address = fleet.routers[1].address
    models = [u for u in fleet.upstreams if u.service == "model"]
    await check_head_of_stream(fleet, address, models)
    await check_resumed_at_end(fleet, address, models)
    await check_next_answers(fleet, address, models)
    await check_token_ids(fleet, address, models)
    await check_resuming_callers(fleet, models)
    await check_without_chunks(fleet, address, models)
    await check_not_resumable(fleet, address, models)
    await check_slow_callers(fleet, models)
    set_script(models, None)
    await asyncio.sleep(2.1)
