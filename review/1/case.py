"""A part of long prompts crashes engines; it is not among the first 32 parts."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from lab import CONTACT_S, P, TROUBLE, Caller, document, main

# Parts of a prompt, the last one included. PARTS=4 shows a short prompt.
PARTS = int(os.environ.get("PARTS", "40"))
DEADLY = "dead01"
SHARED = [f"{0x5C1E0000 + number:x}" for number in range(60)]
SOUND_PER_S, DEADLY_PER_S = 16, 1.0
BEFORE_S, WITH_S = 8, 35
AWAY_S = 3.0
PATH = "/settlement-summary/prompt/x"


class Day:
    def __init__(self, lab):
        self.lab, self.crashes, self.number = lab, [], 0
        # Answers to sound requests: (time, whether it was served).
        self.sound = []

    def crash(self, engine):
        """The engine is gone at once and starts again some seconds later."""
        if not engine.server.is_serving():
            return
        self.crashes.append(time.monotonic())
        self.lab.note(f"crash {len(self.crashes)}: {engine.name}")
        engine.end()
        self.lab.spawn(self.begin(engine))

    async def begin(self, engine):
        await asyncio.sleep(AWAY_S / 2)
        await self.lab.store.put("servers", engine.name, None)
        await asyncio.sleep(AWAY_S / 2)
        await engine.begin()
        await self.lab.store.put("servers", engine.name, engine.entry())

    async def request(self, deadly):
        """No two requests are alike: the shared parts are drawn from the same
        ones for all, in the same order."""
        self.number += 1
        ident = f"{'deadly' if deadly else 'sound'}-{self.number}"
        parts = self.lab.random.sample(SHARED, PARTS - 1)
        parts.sort()
        if deadly:
            parts[-1] = DEADLY
        parts.append(f"own{self.number:x}")
        machine = self.lab.random.choice(self.lab.machines)
        caller = Caller(machine.address)
        began = time.monotonic()
        answer = await caller.request(ident, PATH, b"p" * 200, budget_ms=8000, **{
            P + "Model": "model-1", P + "Token-Count": f"{PARTS * 40},20",
            P + "Prompt-Prefix": ",".join(part + ":40" for part in parts)})
        caller.close()
        good = answer.status == 200 and answer.complete
        if not deadly:
            self.sound.append((began, good))
        self.lab.note(f"{ident} at {machine.name} status {answer.status} complete {answer.complete}")

    async def send(self, deadly, per_s, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.lab.spawn(self.request(deadly))
            await asyncio.sleep(1 / per_s)


def share(answers):
    return sum(good for _, good in answers) / max(len(answers), 1)


async def case(lab):
    zones = ("nq-ayr", "nq-hom", "seq-bne")
    await lab.start(document({"settlement-summary": {
        "kind": "streaming", "service": "kernel-model", "stream-resume": True,
        "gap-aim-ms": 1200, "session-affinity": True, "timeout-ms": 25000,
        "target-latency-ms": 4000, "priority": 1}}),
        zones, [("kernel-model", zone) for zone in zones for _ in range(4)])
    day = Day(lab)
    for engine in lab.engines:
        engine.on_crash = day.crash
        engine.deadly = {DEADLY} if TROUBLE else set()
    sound = lab.spawn(day.send(False, SOUND_PER_S, BEFORE_S + WITH_S))
    await asyncio.sleep(BEFORE_S)
    lab.note("requests with the deadly part begin")
    began = time.monotonic()
    await day.send(True, DEADLY_PER_S, WITH_S)
    await sound
    await asyncio.sleep(9)
    fifth = day.crashes[4] if len(day.crashes) > 4 else float("inf")
    late = [(at, ident) for engine in lab.engines for at, ident, _ in engine.arrivals
            if ident.startswith("deadly") and at > fifth + CONTACT_S]
    before = [a for a in day.sound if a[0] < began]
    after = [a for a in day.sound if a[0] > fifth + 2 * CONTACT_S]
    lab.note(f"{PARTS} parts, {len(day.crashes)} crashes; sound requests served: {share(before):.3f} "
             f"of {len(before)} before, {share(after):.3f} of {len(after)} after")
    lab.note(f"requests with the deadly part that reached engines later than {CONTACT_S} s after "
             f"the fifth crash: {len(late)}")
    return len(late) > 3


main(case)
