"""Answers that belong to another request, or to none: second copies of earlier
answers on kept connections, and answers to the rest of a stream that broke off.
"""

import asyncio
import random

from checks import check
from fleet import Caller
from standins import P, whole_answer

PROMISES = (408, 421, 429, 503)
NOT_RUN = f"{P}Not-Executed: 1\r\n"
# Earlier answers that may come once more: status, fields, whether with a seal.
EARLIER = (
    (503, NOT_RUN, False),
    (429, NOT_RUN, False),
    (421, "", False),
    (400, NOT_RUN, False),
    (200, "", True),
)
LATER_S = 0.05


def head(status, ident, more="", sealed=True):
    """Head of an answer; without an id when it is None."""
    text = f"HTTP/1.1 {status} X\r\n"
    if ident is not None:
        text += f"{P}Request-Attempt: {ident}\r\n"
    if sealed:
        text += f"{P}Server-Seal: engine.{ident}\r\n"
    return (text + more + "\r\n").encode()


def earlier_answer(kind, ident, body=b"earlier answer"):
    status, more, sealed = kind
    return head(status, ident, f"{more}Content-Length: {len(body)}\r\n", sealed) + body


def own_answer(request):
    body = whole_answer(request.ident, request.body)
    return head(200, request.ident, f"Content-Length: {len(body)}\r\n") + body


class SecondCopies:
    """Script of engines that write an earlier answer once more.

    Requests whose id begins with "earlier" are refused. Any other is run, and on
    a connection that carried a request before, `write` writes the copy and the
    answer, at most `most` times. `same_id` limits that to connections that carried
    the request itself.
    """

    def __init__(self, write, same_id=False, most=1 << 30):
        self.write, self.same_id, self.most = write, same_id, most
        self.carried = {}
        self.copies = 0
        self.refuse = "earlier"

    async def __call__(self, request):
        before = self.carried.setdefault(request.writer, [])
        stale = request.ident in before if self.same_id else bool(before)
        before.append(request.ident)
        if request.ident.startswith(self.refuse):
            await request.write(earlier_answer(EARLIER[0], request.ident, b""))
            return True
        request.run()
        if not stale or self.copies == self.most:
            await request.write(own_answer(request))
            return True
        self.copies += 1
        return await self.write(request, before[0])


async def ask(address, ident, path, **more):
    """One request on a connection of its own."""
    caller = Caller(address)
    answer = await caller.request(ident, path, **more)
    caller.close()
    return answer


def ledgers_of(fleet):
    return [u for u in fleet.upstreams if u.service == "ledger"]


def set_script(upstreams, script):
    for upstream in upstreams:
        upstream.script = script


async def check_copies_without_id(fleet, address):
    """A refusal without an id may be the copy of an earlier one: it proves nothing
    about a request on a connection that carried another one before."""
    ledgers = ledgers_of(fleet)
    for kind in EARLIER:
        async def write(request, _, kind=kind):
            await request.write(earlier_answer(kind, None), own_answer(request), pause=LATER_S)
            return True

        for path in ("/once/x", "/safe/x"):
            script = SecondCopies(write, most=1)
            set_script(ledgers, script)
            ident = f"copy-{kind[0]}-{path[1:3]}"
            await ask(address, f"earlier-{ident}", path)
            answer = await ask(address, ident, path)
            runs = len(fleet.runs.get(ident, []))
            whole = answer.status == 200 and answer.body == whole_answer(ident, b"")
            if path == "/once/x":
                good = runs == 1 and (whole or answer.status in (0, 502, 504))
            else:
                good = whole
            check(f"copy of a {kind[0]} without an id is not believed on {path}",
                  good and script.copies, (answer.status, answer.body[:40], runs, script.copies))


async def check_copies_of_own(fleet, address):
    """A request that is sent again on the connection that refused it could get its
    own earlier refusal once more, although it runs this time."""
    for kind in EARLIER[:4]:
        async def write(request, _, kind=kind):
            await request.write(earlier_answer(kind, request.ident), own_answer(request),
                                pause=LATER_S)
            return True

        for path in ("/once/x", "/safe/x"):
            script = SecondCopies(write, same_id=True)
            set_script(ledgers_of(fleet), script)
            ident = f"again-{kind[0]}-{path[1:3]}"
            script.refuse = ident
            refused = await ask(address, ident, path)
            script.refuse = "earlier"
            answer = await ask(address, ident, path)
            check(f"own earlier {kind[0]} is not taken for the answer on {path}",
                  refused.status == 503 and answer.status == 200
                  and answer.body == whole_answer(ident, b"") and len(fleet.runs[ident]) == 1,
                  (refused.status, answer.status, len(fleet.runs.get(ident, []))))


async def check_copies_with_id(fleet, address):
    """A copy that states the earlier request's id is skipped wherever it comes."""
    async def together(request, before):
        await request.write(earlier_answer(kind, before) + own_answer(request))
        return True

    async def first(request, before):
        await request.write(earlier_answer(kind, before), own_answer(request), pause=LATER_S)
        return True

    async def split(request, before):
        both = earlier_answer(kind, before) + own_answer(request)
        await request.write(*(both[i:i + 31] for i in range(0, len(both), 31)), pause=0.001)
        return True

    async def behind(request, before):
        await request.write(own_answer(request) + earlier_answer(kind, before))
        return True

    async def split_behind(request, before):
        both = own_answer(request) + earlier_answer(kind, before)
        await request.write(both[:-9], both[-9:], pause=LATER_S)
        return True

    async def idle(request, before):
        await request.write(own_answer(request), earlier_answer(kind, before), pause=LATER_S)
        return True

    for kind in EARLIER:
        for write in (together, first, split, behind, split_behind, idle):
            for path in ("/once/x", "/safe/x"):
                script = SecondCopies(write)
                set_script(ledgers_of(fleet), script)
                ident = f"crossed-{kind[0]}-{write.__name__}-{path[1:3]}"
                caller = Caller(address)
                await caller.request(f"earlier-{ident}", path)
                good = []
                for number in range(3):
                    answer = await caller.request(f"{ident}-{number}", path)
                    good.append(answer.status == 200
                                and answer.body == whole_answer(f"{ident}-{number}", b"")
                                and len(fleet.runs[f"{ident}-{number}"]) == 1)
                caller.close()
                check(f"copy of a {kind[0]} for another request, {write.__name__}, on {path}",
                      all(good) and script.copies, (good, script.copies))


async def check_copies_on_reuse(fleet, address):
    """A copy without an id that arrives just as the connection is used again."""
    draw = random.Random(11)

    async def write(request, _):
        await request.write(own_answer(request))
        await asyncio.sleep(draw.uniform(0, 0.003))
        await request.write(earlier_answer(draw.choice(EARLIER), None))
        return True

    script = SecondCopies(write)
    set_script(ledgers_of(fleet), script)
    await ask(address, "earlier-reuse", "/once/x")
    wrong = []

    async def calls(name):
        caller = Caller(address)
        for number in range(60):
            ident = f"reuse-{name}-{number}"
            answer = await caller.request(ident, "/once/x")
            runs = len(fleet.runs.get(ident, []))
            if (runs > 1 or (runs and answer.status in PROMISES)
                    or (answer.status == 200 and answer.body != whole_answer(ident, b""))):
                wrong.append((ident, answer.status, answer.body[:40], runs))
        caller.close()

    await asyncio.gather(*(calls(name) for name in "abcd"))
    check("copies as connections are used again deceive nobody", not wrong and script.copies,
          (len(wrong), wrong[:3], script.copies))


async def check_new_connections(fleet, address):
    """On a new connection, a refusal without an id can only be the request's own."""
    async def refuse(request):
        if request.upstream not in told:
            told.append(request.upstream)
            await request.write(earlier_answer((400, NOT_RUN + "Connection: close\r\n", False),
                                               None, b""))
            return False
        return None

    for upstream in ledgers_of(fleet):
        upstream.drop_connections()
    await asyncio.sleep(0.1)
    set_script(ledgers_of(fleet), refuse)
    told = []
    answer = await ask(address, "unnamed-all", "/once/x")
    check("a refusal without an id on a new connection is believed",
          answer.status == 503 and "unnamed-all" not in fleet.runs and len(told) == 3,
          (answer.status, len(told)))
    told = ledgers_of(fleet)[:2]
    answer = await ask(address, "unnamed-one", "/once/x")
    check("and another upstream runs the request",
          answer.status == 200 and len(fleet.runs["unnamed-one"]) == 1, answer.status)


async def check_answers_without_ids(fleet, address):
    """An upstream that never states ids is served on new connections only."""
    async def unnamed(request):
        request.run()
        body = whole_answer(request.ident, request.body)
        await request.write(head(200, None, f"Content-Length: {len(body)}\r\n") + body)
        return True

    for upstream in ledgers_of(fleet):
        upstream.drop_connections()
    await asyncio.sleep(0.1)
    set_script(ledgers_of(fleet), unnamed)
    for path in ("/once/x", "/safe/x"):
        answers = [await ask(address, f"unnamed-{path[1:3]}-{n}", path) for n in range(6)]
        check(f"answers without ids are the answers on new connections, {path}",
              all(a.status == 200 and a.body == whole_answer(f"unnamed-{path[1:3]}-{n}", b"")
                  for n, a in enumerate(answers)), [a.status for a in answers])


async def check_copies_beside_head(fleet, address):
    """The body of a skipped answer does not follow from the current method."""
    async def write(request, before):
        await request.write(earlier_answer(EARLIER[0], before) + own_answer(request)[:-len(
            whole_answer(request.ident, b""))])
        return True

    script = SecondCopies(write)
    set_script(ledgers_of(fleet), script)
    await ask(address, "earlier-head", "/once/x")
    answer = await ask(address, "head-1", "/once/x", method="HEAD")
    check("HEAD behind the copy of an answer with a body",
          answer.status == 200 and script.copies, (answer.status, script.copies))

    async def answer_head(request):
        before = writers.setdefault(request.writer, [])
        before.append(request.ident)
        own = own_answer(request)
        if request.line.startswith("HEAD"):
            await request.write(own.split(b"\r\n\r\n")[0] + b"\r\n\r\n")
        elif len(before) > 1:
            copy = head(200, before[0], "Content-Length: 300\r\n")
            await request.write(copy + own)
        else:
            await request.write(own)
        request.run()
        return True

    writers = {}
    set_script(ledgers_of(fleet), answer_head)
    await ask(address, "head-2", "/once/x", method="HEAD")
    answer = await ask(address, "head-3", "/once/x")
    check("the copy of an answer to HEAD swallows nothing",
          answer.status == 200 and answer.body == whole_answer("head-3", b""),
          (answer.status, answer.body[:40]))


async def check_unproven_refusals(fleet, address):
    """Callers read 408, 429 and 503 as "not run"; an upstream that answers so after
    a run must not make the router promise it."""
    for status in (408, 429, 503):
        async def refuse(request, status=status):
            request.run()
            await request.write(earlier_answer((status, "", True), request.ident))
            return True

        set_script(ledgers_of(fleet), refuse)
        ident = f"unproven-{status}"
        answer = await ask(address, ident, "/once/x")
        check(f"a {status} after a run is not passed on as a promise",
              answer.status == 502 and len(fleet.runs[ident]) == 1
              and (P + "Server-Seal").lower() not in answer.fields,
              (answer.status, answer.fields))


async def check_second_copies(fleet):
    address = fleet.routers[1].address
    await check_unproven_refusals(fleet, address)
    await check_new_connections(fleet, address)
    await check_answers_without_ids(fleet, address)
    await check_copies_without_id(fleet, address)
    await check_copies_of_own(fleet, address)
    await check_copies_with_id(fleet, address)
    await check_copies_beside_head(fleet, address)
    await check_copies_on_reuse(fleet, address)
    set_script(ledgers_of(fleet), None)
