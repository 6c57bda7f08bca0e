"""A relay of an earlier release, which states no era, beside hosts of this one: during
a restart in turn nobody may rely on it for what the store holds.

usage: returns_mixed.py BINARY NET
"""

import asyncio
import random
import socket
import struct
import sys

from checks import FAILURES, check
from fleet import ZONES, Fleet

APPLY_S = 3.0
PERIOD_S = 0.2


def pack(fields):
    """A flat msgpack map of texts and numbers."""
    out = bytes([0x80 + len(fields)])
    for name, value in fields.items():
        out += bytes([0xA0 + len(name)]) + name.encode()
        if isinstance(value, str):
            out += bytes([0xD9, len(value)]) + value.encode()
        else:
            out += b"\xcf" + struct.pack(">Q", value)
    return out


class OldRelay:
    """Sends digests as the reader of its region, and rows to nobody."""

    def __init__(self, fleet, net, zone):
        self.fleet, self.name = fleet, f"old-{zone}"
        self.address = f"127.{net}.0.{200 + list(ZONES).index(zone)}"
        self.zone = zone
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((self.address, 8083))
        self.sock.setblocking(False)

    async def begin(self):
        # More capacity than the others ranks it first.
        row = f"{self.address}:8083 {self.zone} 9000"
        await self.fleet.store.put("status", f"host/{self.name}", row.encode())

    async def run(self):
        version = self.fleet.store.version
        while True:
            digest = {"host": self.name, "loads": "", "fed": 1, "age": 50, "reads": 1,
                      "clock": self.fleet.store.now_ms(), "unsettled": 0}
            for table in ("orders", "upstreams", "shared"):
                digest[table] = digest[table + "_to"] = version
            for router in self.fleet.routers:
                self.sock.sendto(pack(digest), (router.address, 8083))
            await asyncio.sleep(PERIOD_S)


async def main():
    net = int(sys.argv[2])
    fleet = Fleet(sys.argv[1], net, random.Random(5), hosts=3, per_zone=1)
    relays, tasks = [OldRelay(fleet, net, zone) for zone in ZONES], []
    try:
        await fleet.start()
        await asyncio.sleep(4)
        for relay in relays:
            await relay.begin()
        await asyncio.sleep(2)
        tasks = [asyncio.create_task(relay.run()) for relay in relays]
        # The hosts have chosen them as relays and readers.
        await asyncio.sleep(5)
        for name in ("first", "second"):
            await fleet.apply(extra_routes=(name,))
            await asyncio.sleep(APPLY_S)
            added = await fleet.statuses(f"/{name}/x")
            check(f"every host serves the {name} new route", set(added) == {200}, added)
        check("no host stops", all(r.process.returncode is None for r in fleet.routers))
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
