"""Answers whose status is no status of HTTP, with real processes.

usage: statuses.py BINARY NET
"""

import asyncio
import random
import sys

from answers import ask, set_script
from checks import FAILURES, check
from fleet import Fleet
from standins import P, whole_answer

# What stands where a status is due. http_parser reads a number of any length there.
NO_STATUS = ("000", "0")
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


async def check_runs(fleet):
    """An answer with the status 0 counted as the statement that the request did not run:
    it was sent to every upstream, and the caller was told that it had not run."""
    for number, status in enumerate(NO_STATUS):
        set_script(fleet.upstreams, answer_with(status))
        for name, (path, most) in PATHS.items():
            ident = f"runs-{number}-{path[1:3]}"
            answer = await ask(fleet.routers[0].address, ident, path)
            runs = len(fleet.runs[ident])
            check(f"an answer with status {status} is a run of {name}",
                  runs <= most and b"not_run" not in answer.body
                  and answer.status not in (408, 421, 429, 503),
                  (runs, answer.status, answer.body[:80]))
    set_script(fleet.upstreams, None)


async def main():
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(7), hosts=1, per_zone=4)
    try:
        await fleet.start()
        await check_runs(fleet)
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
