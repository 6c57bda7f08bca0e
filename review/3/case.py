"""The machine that reads the store's feeds is killed as an engine's entry goes."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from lab import CONTACT_S, TROUBLE, Caller, document, main

DRAIN_S = 3.0
# Pause between the kill and the removal, and between kill and restart.
BEFORE_S = float(os.environ.get("BEFORE_S", "0.1"))
RESTART_S = float(os.environ.get("RESTART_S", "0.5"))
ROUNDS = 3
# An engine whose entry is gone serves on for drain-ms and some seconds more.
SERVES_S = 8.0


class Traffic:
    def __init__(self, lab):
        self.lab, self.running, self.sent, self.status = lab, True, {}, {}

    async def client(self, index, machine):
        """Sends small requests to one machine on a kept connection."""
        caller, number = Caller(machine.address), 0
        while self.running:
            ident = f"c{index}-{number}"
            number += 1
            self.sent[ident] = (time.monotonic(), machine)
            answer = await caller.request(ident, "/ticket-issue/x", b"t" * 600, budget_ms=2500)
            self.status[ident] = answer.status
            await asyncio.sleep(0.1 if answer.status else 0.3)
        caller.close()


async def work(request):
    """An engine takes 0.15 s for a request."""
    await asyncio.sleep(0.15)


async def case(lab):
    zones = ["nq-ayr", "nq-ayr", "nq-ayr", "seq-bne", "seq-bne", "seq-bne", "nq-hom", "nq-hom"]
    engines = [("ticket-ledger", zone) for zone in ("nq-ayr", "nq-hom", "seq-bne") for _ in range(3)]
    await lab.start(document({"ticket-issue": {
        "kind": "unsafe", "service": "ticket-ledger", "max-attempts": 1}}), zones, engines)
    for engine in lab.engines:
        engine.script = work
    traffic = Traffic(lab)
    tasks = [lab.spawn(traffic.client(index, lab.machines[index % 8])) for index in range(24)]
    await asyncio.sleep(16)
    broken = []
    for number in range(ROUNDS):
        engine = lab.engines[number]
        reader = lab.reader("nq")
        lab.note(f"round {number}: {reader.name} reads the list for its region")
        began = time.monotonic()
        if TROUBLE:
            lab.note(f"{reader.name} is killed")
            reader.kill()
            await reader.process.wait()
            await asyncio.sleep(BEFORE_S)
        acked = await lab.store.put("servers", engine.name, None)
        lab.note(f"{engine.name} is leaving: the store has removed its entry")
        if TROUBLE:
            await asyncio.sleep(max(began + RESTART_S - time.monotonic(), 0))
            await reader.start()
            lab.note(f"{reader.name} is started again")
        await asyncio.sleep(max(acked + SERVES_S - time.monotonic(), 0))
        engine.end()
        lab.note(f"{engine.name} has ended")
        await asyncio.sleep(9)
        late = [(at, ident) for at, ident, _ in engine.arrivals
                if ident in traffic.sent and traffic.sent[ident][0] > acked + DRAIN_S
                and (not TROUBLE or traffic.sent[ident][1] is not reader)]
        by = sorted({traffic.sent[ident][1].name for _, ident in late})
        lab.note(f"{engine.name}: {len(late)} requests, sent by clients later than {DRAIN_S} s after "
                 f"that, reached it, from {' '.join(by) or 'none'}")
        lost = [ident for _, ident in late if ident in lab.runs and traffic.status.get(ident) != 200]
        lab.note(f"of these, unsafe requests that it ran and whose clients got no answer of it: "
                 f"{len(lost)}")
        broken += late
    traffic.running = False
    await asyncio.gather(*tasks)
    lab.note(f"contact-ms {CONTACT_S}; {len(traffic.status)} requests, "
             f"{sum(s == 200 for s in traffic.status.values())} served; too late: {len(broken)}")
    return bool(broken)


main(case)
