"""Measures what a return of the store costs: the time from the return until the last
host has a configuration that is written right after it, and the calls to the store in the
seconds after it, beside those of the same change without a return. Not a test.

usage: returns_measure.py BINARY NET [HOSTS] [RETURNS]
"""

import asyncio
import collections
import random
import re
import statistics
import sys
import time

from fleet import Fleet

WINDOW_S = 5.0
# Writes that each return loses.
LOST = 30


def applied(fleet, version):
    """When each host applied the configuration, by the steady clock, seconds."""
    pattern = re.compile(rf"^t=(\d+) .*event=routing_applied version={version} ")
    times = {}
    for router in fleet.routers:
        with open(router.log.name, encoding="ascii", errors="replace") as log:
            for line in log:
                found = pattern.match(line)
                if found:
                    times[router.name] = int(found[1]) / 1000
    return times


def count_calls(fleet, since):
    """Calls in the window, by path."""
    return collections.Counter(path for at, path, _, _ in fleet.store.log
                               if since <= at < since + WINDOW_S)


async def measure(fleet, is_return):
    """Returns the delay of each host, and the calls."""
    store = fleet.store
    copy = store.copy()
    for number in range(LOST):
        upstream = fleet.upstreams[number % len(fleet.upstreams)]
        await store.put("servers", upstream.name, upstream.entry())
    await asyncio.sleep(2)
    lost = await store.go_back(copy, random.uniform(0.2, 1.5)) if is_return else []
    began = time.monotonic()
    await store.write_again(lost)
    await fleet.apply(extra_routes=(f"r{fleet.version}",))
    await asyncio.sleep(WINDOW_S + 1)
    times = applied(fleet, fleet.version)
    late = len(fleet.routers) - len(times)
    return [at - began for at in times.values()] + [float("inf")] * late, count_calls(fleet, began)


def print_delays(text, runs):
    last = [max(delays) for delays, _ in runs]
    print(f"{text}: last host after {statistics.median(last):.2f} s in the middle, "
          f"{max(last):.2f} s at worst; all of {len(last)}: "
          + " ".join(f"{at:.2f}" for at in last))
    totals = [sum(calls.values()) for _, calls in runs]
    print(f"{text}: calls in {WINDOW_S:.0f} s: {statistics.median(totals):.0f} in the middle, "
          f"{max(totals)} at most")
    for path in sorted({path for _, calls in runs for path in calls}):
        counts = [calls[path] for _, calls in runs]
        print(f"{text}: {path}: {statistics.median(counts):.0f} in the middle, {max(counts)} at most")


async def main():
    hosts = int(sys.argv[3]) if len(sys.argv) > 3 else 9
    returns = int(sys.argv[4]) if len(sys.argv) > 4 else 20
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(5), hosts=hosts, per_zone=2)
    try:
        await fleet.start()
        # The readers of the regions have been chosen.
        await asyncio.sleep(8)
        print(f"{hosts} hosts, {len(fleet.upstreams)} upstreams, {returns} returns that lose "
              f"{LOST} writes")
        print_delays("calm", [await measure(fleet, False) for _ in range(5)])
        print_delays("return", [await measure(fleet, True) for _ in range(returns)])
    finally:
        await fleet.stop()


asyncio.run(main())
