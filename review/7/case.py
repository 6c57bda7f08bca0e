"""Case 7: a new field in the settings file keeps the program from starting."""

import asyncio
import collections
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

# pylint: disable=wrong-import-position
from lab2 import TROUBLE, Client, play  # noqa: E402

GRACE_S, GAP_S = 8, 1.0
# The field that is new under [limits].
NEW = {"burst": {"cores": 2, "for-s": 5}} if TROUBLE else {"burst-cores": 2}


async def restart(machine, record):
    """SIGTERM, SIGKILL after grace-s, and a start with the settings in effect then. A
    process that exits is started again, three times here."""
    machine.process.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(machine.process.wait(), GRACE_S)
    except asyncio.TimeoutError:
        machine.process.kill()
        await machine.process.wait()
    for attempt in range(1, 4):
        await machine.start()
        end = time.monotonic() + 3
        while machine.runs() and time.monotonic() < end:
            if await machine.ready():
                record.note(f"{machine.name}: ready after start {attempt}")
                return
            await asyncio.sleep(0.05)
        if not machine.runs():
            record.note(f"{machine.name}: start {attempt} ended with status "
                        f"{machine.process.returncode}")
        await asyncio.sleep(0.5)


async def case(site, record):
    clients = []

    async def callers():
        """As the balancer sends them: to machines that are ready, to all when none is."""
        while True:
            ready = [m for m in site.machines if m.runs() and await m.ready()]
            client = Client(f"{len(clients):016x}", "ticket-lookup", 2500, "GET")
            clients.append(client)
            asyncio.create_task(client.run(site.random.choice(ready or site.machines)))
            await asyncio.sleep(0.2)

    calls = asyncio.create_task(callers())
    await asyncio.sleep(2)
    for machine in site.machines:
        machine.limits = NEW
        machine.write_settings()
        machine.process.send_signal(signal.SIGHUP)
    record.note(f"the settings files have a new field under [limits]: {NEW}; SIGHUP")
    await asyncio.sleep(2)
    record.note("machines are stopped and started in turn")
    for machine in site.machines:
        await restart(machine, record)
        await asyncio.sleep(GAP_S)
    back = time.monotonic()
    await asyncio.sleep(5)
    calls.cancel()
    await asyncio.sleep(0.5)
    for client in clients:
        record.only(f"{client.ident}: status={client.status} complete={client.complete} "
                    f"fault={client.fault or '-'} runs={len(site.runs.get(client.ident, []))}")
    for name, found in (("before", [c for c in clients if c.sent < back]),
                        ("since", [c for c in clients if c.sent >= back])):
        statuses = collections.Counter((c.status, c.fault) for c in found)
        record.note(f"lookups {name} the last restart: {dict(statuses)}")
    down = [m.name for m in site.machines if not m.runs()]
    record.note(f"machines without a process: {len(down)} of {len(site.machines)}")
    return bool(down)


play(FOLDER, case, machines=8, per_zone=1)
