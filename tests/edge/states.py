"""What upstreams state about themselves in their answers."""

import asyncio
import time

from answers import NOT_RUN, ask, earlier_answer, head, own_answer, set_script
from checks import check
from standins import chunk, reset, stream_of
from streams import CHUNKED, events, long_ident

LEAVING = "Server-Leaving: 1\r\n"


async def renew(fleet, upstream, born=0):
    """Write the upstream's row again, for a new instance when born is not 0."""
    if born:
        upstream.born += born
        upstream.drop_connections()
    await fleet.store.put("servers", upstream.name, upstream.entry())
    # The time of a cold start for a new one.
    await asyncio.sleep(2.2 if born else 1.0)


async def leave_with_answer(request):
    request.run()
    body = own_answer(request)
    await request.write(body.replace(b"Content-Length", LEAVING.encode() + b"Content-Length", 1))
    return True


async def leave_with_refusal(request):
    await request.write(earlier_answer((503, NOT_RUN + LEAVING, False), request.ident))
    return True


async def leave_with_421(request):
    await request.write(earlier_answer((421, LEAVING, False), request.ident))
    return True


async def leave_with_error(request):
    request.run()
    await request.write(earlier_answer((500, LEAVING, True), request.ident))
    return True


async def leave_broken_off(request):
    request.run()
    await request.write(head(200, request.ident, LEAVING + "Transfer-Encoding: chunked\r\n")
                        + chunk(b"some"), pause=0.02)
    reset(request.writer)
    return False


async def check_leaving_answers(fleet):
    """An upstream that states in any answer that it leaves gets no further request,
    whatever its row says, until a new instance takes its place."""
    router = fleet.routers[1]
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
    near = next(u for u in ledgers if u.zone == router.zone)
    # A new instance, on which no failure of an earlier check is held.
    await renew(fleet, near, 1)
    for script in (leave_with_answer, leave_with_refusal, leave_with_421, leave_with_error,
                   leave_broken_off):
        name = script.__name__
        # More connections than the answers below close themselves.
        await asyncio.gather(*(ask(router.address, f"{name}-before-{n}", "/safe/x")
                               for n in range(24)))
        kept = len(near.writers)
        near.script = script
        before = len(near.arrivals)
        await asyncio.gather(*(ask(router.address, f"{name}-{n}", "/safe/x") for n in range(8)))
        check(f"{name}: the upstream was used before", len(near.arrivals) > before and kept)
        await asyncio.sleep(0.1)
        check(f"{name}: idle connections are closed", not near.writers, len(near.writers))
        near.script = None
        for step in ("at once", "after a row that says ready", "after a renewed entry"):
            if step == "after a row that says ready":
                await renew(fleet, near)
            elif step == "after a renewed entry":
                await fleet.store.put("servers", near.name, None)
                await asyncio.sleep(1.0)
                await renew(fleet, near)
            before = len(near.arrivals)
            answers = [await ask(router.address, f"{name}-{step[-5:]}-{n}", "/safe/x")
                       for n in range(10)]
            check(f"{name}: no request {step}", len(near.arrivals) == before
                  and all(a.status == 200 for a in answers), len(near.arrivals) - before)
        await renew(fleet, near, 1)
        before = len(near.arrivals)
        for number in range(10):
            await ask(router.address, f"{name}-new-{number}", "/safe/x")
        check(f"{name}: a new instance is used", len(near.arrivals) > before)
    with open(router.log.name, encoding="utf-8") as log:
        told = sum("event=upstream_leaving" in line for line in log)
    check("each leaving is logged once", told == 5, told)
    await asyncio.sleep(2.1)


def refusal(request, pause):
    return earlier_answer((503, f"{NOT_RUN}Retry-After: {pause}\r\n", False), request.ident)


class Pauses:
    """Script of engines: refuses the first requests, each with its own Retry-After."""

    def __init__(self, *pauses):
        self.pauses = list(pauses)
        self.refused_at = []

    async def __call__(self, request):
        if not self.pauses:
            return None
        pause = self.pauses.pop(0)
        await asyncio.sleep(0.02)
        self.refused_at.append(time.monotonic())
        await request.write(refusal(request, pause))
        return True


async def load(router, name, seconds):
    """Requests one after the other on four connections."""
    end = time.monotonic() + seconds
    answers = []

    async def calls(part):
        number = 0
        while time.monotonic() < end:
            number += 1
            answers.append(await ask(router.address, f"{name}-{part}-{number}",
                                     "/once/x" if part % 2 else "/safe/x"))
            await asyncio.sleep(0.01)

    await asyncio.gather(*(calls(part) for part in range(4)))
    return answers


async def check_pauses(fleet):
    """An upstream that refuses with Retry-After gets no requests for that long, and
    is used again afterwards."""
    router = fleet.routers[1]
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
    near = next(u for u in ledgers if u.zone == router.zone)
    for name, pauses in (("whole", ("2",)), ("fraction", ("1.75",)),
                         ("shorter later", ("2", "0.1", "0", "0.3")),
                         ("longer later", ("0.2", "2"))):
        near.script = script = Pauses(*pauses)
        task = asyncio.create_task(load(router, f"pause-{name[:6]}-{pauses[0]}", 3.5))
        answers = await task
        check(f"pause, {name}: refused as planned", not script.pauses, script.pauses)
        longest = max(zip(map(float, pauses), script.refused_at))
        begin, end = longest[1] + 0.5, longest[1] + longest[0]
        inside = sum(begin < at < end for at, _, _ in near.arrivals)
        after = sum(at >= end for at, _, _ in near.arrivals)
        check(f"pause, {name}: no request until its end", inside == 0, inside)
        check(f"pause, {name}: used afterwards", after > 0)
        check(f"pause, {name}: other upstreams serve",
              answers and all(a.status == 200 for a in answers), [a.status for a in answers][:9])
    near.script = Pauses("Sat, 05 Dec 2026 00:00:00 GMT", "-3", "soon")
    await load(router, "pause-no-time", 0.5)
    before = len(near.arrivals)
    await load(router, "pause-no-time-after", 0.5)
    check("pause: what states no seconds is ignored", len(near.arrivals) > before)
    near.script = None


async def check_other_statuses(fleet):
    """Only 503 asks for a pause; another status with Retry-After left sound upstreams idle."""
    router = fleet.routers[1]
    near = next(u for u in fleet.upstreams if u.service == "ledger" and u.zone == router.zone)

    async def refuse(request):
        await request.write(earlier_answer((429, NOT_RUN + "Retry-After: 2\r\n", False),
                                           request.ident))
        return True

    near.script = refuse
    before = len(near.arrivals)
    await ask(router.address, "pause-429", "/safe/x")
    refused = len(near.arrivals) > before
    near.script = None
    await load(router, "pause-429-after", 1.5)
    check("a 429 with Retry-After is no pause", refused and len(near.arrivals) > before + 1,
          len(near.arrivals) - before)


async def check_resumed_after_pause(fleet):
    """A stream that broke off was reset when all upstreams asked for a pause that ends
    long before its deadline."""
    router = fleet.routers[1]
    models = [u for u in fleet.upstreams if u.service == "model"]
    ident = long_ident("resumed-after-pause")

    async def cut(request):
        if request.ident != ident:
            return None
        if ident not in fleet.runs:
            request.run()
            await request.write(head(200, ident, CHUNKED) + chunk(events(ident, 1, 2)), pause=0.03)
            reset(request.writer)
            return False
        if request.upstream in refused:
            return None
        refused.append(request.upstream)
        await request.write(refusal(request, "1.2"))
        return True

    refused = []
    set_script(models, cut)
    await load(router, "resumed-before", 0.3)
    answer = await ask(router.address, ident, "/stream/x", budget_ms=7000)
    check("a stream is resumed after a pause of the other upstreams",
          answer.complete and answer.body == stream_of(ident) and len(refused) == len(models),
          (answer.status, answer.body[-40:], len(refused)))
    set_script(models, None)


async def check_pause_beside_restart(fleet):
    """A new instance asked for no requests before its row had come; with the row this
    was forgotten."""
    router = fleet.routers[1]
    near = next(u for u in fleet.upstreams if u.service == "ledger" and u.zone == router.zone)
    await load(router, "restart-before", 0.3)
    near.born += 1
    near.drop_connections()
    near.script = script = Pauses("3")
    await load(router, "restart-pause", 0.4)
    await fleet.store.put("servers", near.name, near.entry())
    await load(router, "restart-after", 3.2)
    check("a pause beside a restart is asked for", not script.pauses)
    begin, end = script.refused_at[0] + 0.5, script.refused_at[0] + 3
    inside = sum(begin < at < end for at, _, _ in near.arrivals)
    check("a pause outlasts the row of a new instance", inside <= 2, inside)
    near.script = None


async def check_all_paused(fleet):
    """A request that no upstream takes in time is refused at once, and told when the
    first of them returns."""
    router = fleet.routers[1]
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
    for upstream, pause in zip(ledgers, ("5.33", "4.33", "3.33")):
        upstream.script = Pauses(pause)
    told = await ask(router.address, "all-paused-first", "/once/x", budget_ms=30000)
    began = time.monotonic()
    before = sum(len(u.arrivals) for u in ledgers)
    for path in ("/once/x", "/safe/x"):
        for budget_ms, least, most in ((30000, 2.0, 4.4), (4000, 2.0, 4.4)):
            name = f"all-paused-{path[1:3]}-{budget_ms}"
            at = time.monotonic()
            answer = await ask(router.address, name, path, budget_ms=budget_ms)
            took = time.monotonic() - at
            wait = float(answer.fields.get("retry-after", 0))
            check(f"all paused, {path}, {budget_ms} ms: refused at once", answer.status == 503
                  and b"upstreams_paused" in answer.body and b"not_run" in answer.body
                  and took < 0.1, (answer.status, answer.body, took))
            check(f"all paused, {path}, {budget_ms} ms: told when to return",
                  least <= wait <= most, wait)
    check("all paused: the first is told as well", told.status == 503
          and 3.0 < float(told.fields["retry-after"]) < 4.4, (told.status, told.fields))
    check("all paused: no request reaches them",
          sum(len(u.arrivals) for u in ledgers) == before)
    await asyncio.sleep(3.6 - (time.monotonic() - began))
    answer = await ask(router.address, "all-paused-back", "/once/x")
    check("all paused: served after the first return", answer.status == 200, answer.status)
    await asyncio.sleep(2.5)
    set_script(ledgers, None)


async def check_others_paused(fleet):
    """A request that one upstream refused waited for it although it is not asked again,
    and the others do not return in time."""
    router = fleet.routers[1]
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]

    async def refuse(request):
        more = "" if request.upstream is near else "Retry-After: 2\r\n"
        await request.write(earlier_answer((503, NOT_RUN + more, False), request.ident))
        return True

    near = next(u for u in ledgers if u.zone == router.zone)
    set_script(ledgers, refuse)
    await ask(router.address, "others-paused-first", "/safe/x")
    before = len(near.arrivals)
    began = time.monotonic()
    answer = await ask(router.address, "others-paused", "/safe/x")
    took = time.monotonic() - began
    check("others paused: refused at once, after one refusal", b"upstreams_paused" in answer.body
          and answer.status == 503 and took < 0.1 and len(near.arrivals) == before + 1,
          (answer.status, answer.body, took, len(near.arrivals) - before))
    set_script(ledgers, None)
    await asyncio.sleep(2.1)


async def check_upstream_states(fleet):
    await check_leaving_answers(fleet)
    await check_pauses(fleet)
    await check_other_statuses(fleet)
    await check_resumed_after_pause(fleet)
    await check_pause_beside_restart(fleet)
    await check_all_paused(fleet)
    await check_others_paused(fleet)
