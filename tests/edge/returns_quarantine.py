"""The store returns from a copy that lacks the list of quarantined prompt parts, with
real processes: hosts that start later would have to learn them again from crashes.

usage: returns_quarantine.py BINARY NET
"""

import asyncio
import logging
import random
import sys
import time

from checks import FAILURES, check
from fleet import Caller, Fleet
from standins import P

DEADLY = "dead"
# Time in which the part is found, and in which a list is written again, seconds.
FIND_S, WRITE_S = 12.0, 10.0


async def ask(fleet, number, path, part):
    """Send a prompt to a host in turn; returns the answer."""
    router = fleet.routers[number % len(fleet.routers)]
    caller = Caller(router.address)
    ident = f"{path[1:4]}-{part}-{number}"
    answer = await caller.request(ident, path, budget_ms=3000, **{
        P + "Model": "model-1", P + "Token-Count": "500,20",
        P + "Prompt-Prefix": f"{part}:400,{number + 0x1000:x}:100"})
    caller.close()
    return answer


async def find_part(fleet):
    """Send prompts until the list in the store has the part."""
    fleet.deadly.add(DEADLY)
    end, number = time.monotonic() + FIND_S, 0
    while time.monotonic() < end and not fleet.store.document("status", "quarantine"):
        number += 1
        await asyncio.gather(ask(fleet, number, "/prompt/x", f"a{number % 3}"),
                             ask(fleet, number, "/prompt/x", DEADLY))
        await asyncio.sleep(0.1)
    return number


async def main():
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(11), hosts=6, per_zone=3)
    try:
        await fleet.start()
        # The readers of the regions have been chosen.
        await asyncio.sleep(4)
        copy = fleet.store.copy()
        number = await find_part(fleet)
        found = fleet.store.document("status", "quarantine")
        check("the list has the part", found, len(fleet.crashes))
        # Upstreams that crashed are back.
        await asyncio.sleep(4)
        lost = await fleet.store.go_back(copy)
        await fleet.store.write_again(lost)
        end = time.monotonic() + WRITE_S
        while time.monotonic() < end and not fleet.store.document("status", "quarantine"):
            await asyncio.sleep(0.1)
        check("the list is written again", fleet.store.document("status", "quarantine"))
        crashes = len(fleet.crashes)
        answers = [await ask(fleet, number + 1 + i, "/prompt/x", DEADLY) for i in range(6)]
        check("no host sends the part to an upstream",
              len(fleet.crashes) == crashes and all(a.status == 503 for a in answers),
              (len(fleet.crashes) - crashes, [a.status for a in answers]))
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
