"""Answers whose status is no status of HTTP, with real processes.

usage: statuses.py BINARY NET
"""

import asyncio
import random
import sys

from answers import ask, set_script
from checks import FAILURES, check
from fleet import Fleet
from standins import NO_STATUS, P, whole_answer

PATHS = {"what may run once": ("/once/x", 1), "what may be repeated": ("/safe/x", 3),
         "a stream": ("/stream/x", 3)}


def answer_with(status):
    """Script of engines that run the request and answer it with the status."""
    async def script(request):
        request.run()
        body = whole_answer(request.ident, request.body)
        await request.write(
            f"HTTP/1.1 {status} X\r\n{P}Request-Attempt: {request.ident}\r\n"
            f"{P}Server-Seal: engine.{request.ident}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return True
    return script


async def recover(fleet):
    """Failures eject an upstream for a while; a sound answer ends that."""
    set_script(fleet.upstreams, None)
    await asyncio.sleep(0.7)
    await asyncio.gather(*(ask(fleet.routers[0].address, f"sound-{n}", path)
                           for n in range(8) for path in ("/safe/x", "/stream/x")))


async def check_statuses(fleet):
    """An answer with the status 0 counted as the statement that the request did not run:
    it was sent to every upstream, and the caller was told that it had not run. Other
    numbers reached the caller, or counted as another status: 0200 as 200."""
    for number, status in enumerate(NO_STATUS):
        for name, (path, most) in PATHS.items():
            ident = f"status-{number}-{path[1:3]}"
            set_script(fleet.upstreams, answer_with(status))
            answer = await ask(fleet.routers[0].address, ident, path)
            runs = len(fleet.runs.get(ident, []))
            check(f"an answer with status {status} is a run of {name}",
                  1 <= runs <= most and b"not_run" not in answer.body
                  and answer.status not in (408, 421, 429, 503),
                  (runs, answer.status, answer.body[:80]))
            check(f"an answer with status {status} does not reach the caller of {name}",
                  answer.status == 502 and b"may_have_run" in answer.body,
                  (answer.status, answer.body[:80]))
            await recover(fleet)


async def check_others(fleet):
    """What may be repeated is served by another upstream."""
    served = []
    for number in range(12):
        bad = fleet.upstreams[::2][number]
        bad.script = answer_with(NO_STATUS[number % len(NO_STATUS)])
        ident = f"others-{number}"
        answer = await ask(fleet.routers[0].address, ident, "/safe/x")
        served.append(answer.status == 200 and answer.body == whole_answer(ident, b""))
        bad.script = None
        await recover(fleet)
    check("another upstream serves what may be repeated", all(served), served)


def check_log(fleet):
    """The log did not tell an answer that cannot be read from a broken connection."""
    with open(f"{fleet.folder}/host-0.log", encoding="utf-8", errors="replace") as log:
        lines = [line for line in log if "event=response_malformed" in line]
    check("the log names answers that are none",
          any("request=status-0-on " in line and "reason=not_http" in line for line in lines),
          len(lines))


async def main():
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(7), hosts=1, per_zone=4)
    try:
        await fleet.start()
        await check_statuses(fleet)
        await check_others(fleet)
        check_log(fleet)
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
