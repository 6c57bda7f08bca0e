"""Case 7: a request with an id of 96 characters or more runs and is never answered."""

import asyncio
import collections
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

# pylint: disable=wrong-import-position
from lab2 import TROUBLE, Client, play  # noqa: E402

# Length of the ids, and requests of each route.
LENGTH = 128 if TROUBLE else 32
EACH = 10
ROUTES = ("ticket-issue", "ticket-lookup", "sort-note")


async def case(site, record):
    machine = site.machines[0]
    for server in site.of("kernel-model"):
        server.pace = 0.05
    clients, number = [], 0
    for route in ROUTES:
        for _ in range(EACH):
            number += 1
            ident = f"{number:016x}".rjust(LENGTH, "c")
            method = "GET" if route == "ticket-lookup" else "POST"
            # The time of a sort-note is cut to what the run has.
            clients.append(Client(ident, route, 2500 if route[0] == "t" else 20000, method))
    for at in range(0, len(clients), EACH):
        await asyncio.gather(*(c.run(machine) for c in clients[at:at + EACH]))
    lost = 0
    for client in clients:
        runs = len(site.runs.get(client.ident, []))
        served = client.status == 200 and client.complete
        lost += runs > 0 and not served
        record.only(f"{client.route} {client.ident}: status={client.status} "
                    f"complete={client.complete} fault={client.fault or '-'} runs={runs} "
                    f"after {client.ended - client.sent:.2f} s")
    for route in ROUTES:
        found = collections.Counter(
            (c.status, c.complete, c.fault, len(site.runs.get(c.ident, [])))
            for c in clients if c.route == route)
        record.note(f"{route}: (status, complete, fault, runs): {dict(found)}")
    record.note(f"ids of {LENGTH} characters: {lost} of {len(clients)} requests ran to their end "
                f"and got no answer of a server")
    return lost > 0


play(FOLDER, case, machines=8, per_zone=2)
