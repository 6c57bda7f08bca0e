"""What upstreams state about themselves in their answers."""

import asyncio

from answers import NOT_RUN, ask, earlier_answer, head, own_answer, set_script
from checks import check
from standins import chunk, reset

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
    for script in (leave_with_answer, leave_with_refusal, leave_with_421, leave_with_error,
                   leave_broken_off):
        name = script.__name__
        await renew(fleet, near, 1)
        for number in range(4):
            await ask(router.address, f"{name}-before-{number}", "/safe/x")
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
