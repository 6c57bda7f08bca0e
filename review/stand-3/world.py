"""A small deployment on loopback for the cases 11 to 15: processes of the deploy file,
the project's stand-in for the store, and engines that follow PROTOCOL.md.

The figures are those of sites/bkw-tickets.toml.
"""

import asyncio
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "edge"))

from standins import Closed, Server, Store, read_body, read_head, reset  # noqa: E402

P = "X-Pistachiorack-"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
ZONES = {"nq-ayr": "nq", "nq-hom": "nq", "seq-bne": "seq"}
CONTACT_S = 4.0
# How often an engine writes its entry, and the silence after which the entry goes.
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
FILES = 4100


def document(version=1):
    """The operator's configuration: the routes of the site that the cases use."""
    def route(prefix, kind, service, **more):
        return {
            "name": prefix.strip("/"), "host": HOST, "prefix": prefix, "kind": kind,
            "service": service, "timeout-ms": 20000, "target-latency-ms": 2000, "priority": 0,
            "max-attempts": 3, "anonymous": False, "session-affinity": False,
            "stream-resume": False, "allowed-regions": [], **more}

    return {
        "version": version,
        "routes": [
            route("/note/", "streaming", "kernel-model", **{
                "session-affinity": True, "stream-resume": True, "gap-aim-ms": 1200}),
            route("/issue/", "unsafe", "ticket-ledger", **{
                "max-attempts": 1, "timeout-ms": 1200, "target-latency-ms": 400}),
            route("/lookup/", "safe", "ticket-ledger", **{
                "max-attempts": 2, "timeout-ms": 1200, "target-latency-ms": 400}),
        ],
        "services": [
            {"name": "kernel-model", "health-path": "/health", "max-connections": 370,
             "cold-start-s": 3.0, "cold-per-s": 12.0},
            {"name": "ticket-ledger", "health-path": "/health", "max-connections": 110,
             "cold-start-s": 0, "cold-per-s": 0},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
        "tenants": [{"name": "hule930", "api-keys": [KEY], "allowed-regions": []}],
    }


def free_net():
    """Second number of loopback addresses on which nothing listens."""
    while True:
        net = random.SystemRandom().randint(20, 250)
        try:
            for port in PORTS:
                with socket.socket() as sock:
                    sock.bind((f"127.{net}.1.1", port))
            return net
        except OSError:
            continue


PORTS = {8227, 8220, 9464, 7340}


def render(template, fields):
    """The deploy file's template, as DEPLOY.md says."""
    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                break
        if match[2]:
            return json.dumps(found)
        return found if isinstance(found, str) else json.dumps(found)

    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", value, template)


class Machine:
    """A machine of the class front and its process."""

    def __init__(self, world, name, zone, address):
        self.world, self.name, self.zone, self.address = world, name, zone, address
        self.process = None

    def settings(self):
        return {
            "node-name": self.name, "role": "edge", "machine-class": "front", "serves": ["front"],
            "ip": self.address, "zone": self.zone, "region": ZONES[self.zone], "zones": ZONES,
            "internal-ports": [7340, 7355],
            "listen": {"front": f"{self.address}:8227", "ready": f"{self.address}:8220"},
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 110, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "bounds": {"grace-s": 8, "budget-window-s": 10, "budget-ratio": 0.9,
                       "budget-slack": 56, "session-s": 5},
            "provider": {"address": f"127.0.0.1:{self.world.store.port}"},
        }

    async def start(self):
        path = os.path.join(self.world.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(render(self.world.template, self.settings()))
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *self.world.command, cwd=ROOT, stdout=log, stderr=log,
            env={**env, "PISTACHIORACK_BOOT": path})
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, 8220)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        except (OSError, Closed, asyncio.TimeoutError):
            return False

    def registered(self):
        return ("status", f"host/{self.name}") in self.world.store.rows

    def log_lines(self, text):
        path = os.path.join(self.world.folder, self.name + ".log")
        with open(path, encoding="ascii", errors="replace") as log:
            return [line.rstrip() for line in log if text in line]


class Engine(Server):
    """A server of a service. A request whose prompt has a part of `deadly` crashes it when it
    begins to write the answer; it is back after some seconds, under a new id."""

    def __init__(self, world, service, zone, version="v1", failing=0.0):
        super().__init__()
        self.world, self.service, self.zone = world, service, zone
        # Part of the requests that it answers with 500.
        self.version, self.failing = version, failing
        self.id, self.born, self.sequence = "", 0, 0
        self.up = False

    def entry(self, cold_ms, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": self.version, "slots": 64 if self.service == "kernel-model" else 6,
                "state": state, "cold-remaining-ms": cold_ms, "sequence": self.sequence,
                "born": self.born}

    async def begin(self, cold_ms=0):
        await self.start()
        self.id = f"i-{self.world.random.getrandbits(40):010x}"
        self.born, self.sequence, self.up = int(time.time() * 1000), 0, True
        await self.world.store.put("servers", self.id, self.entry(cold_ms))

    def crash(self):
        """The process is gone, with its listener and all connections."""
        if not self.up:
            return
        self.up = False
        self.world.note("crash", self.id)
        self.world.crashes.append(time.monotonic())
        self.server.close()
        self.drop_connections()
        self.world.spawn(self.come_back(self.id))

    async def drain(self):
        """Report draining, serve for drain-ms and a little longer, then exit."""
        await self.world.store.put("servers", self.id, self.entry(0, "draining"))
        await asyncio.sleep(4)
        await self.leave()

    async def leave(self):
        self.up = False
        await self.world.store.put("servers", self.id, None)
        self.server.close()
        self.drop_connections()

    async def come_back(self, old):
        await asyncio.sleep(LAPSE_S)
        await self.world.store.put("servers", old, None)
        await asyncio.sleep(0.5)
        await self.begin(cold_ms=3000)

    async def serve(self, reader, writer):
        ident_name = (P + "Request-Attempt").lower()
        while True:
            line, fields = await read_head(reader)
            body = await read_body(reader, fields)
            ident = fields.get(ident_name, "")
            head = f"{P}Request-Attempt: {ident}\r\n"
            if fields.get((P + "Expect-Instance").lower()) != self.id:
                writer.write(f"HTTP/1.1 421 X\r\n{head}Content-Length: 0\r\n\r\n".encode())
                continue
            parts = [p.split(":")[0] for p in
                     fields.get((P + "Prompt-Prefix").lower(), "").split(",")]
            self.world.arrived(self, ident, parts, line, body)
            head += f"{P}Server-Seal: {self.id}.{ident}\r\n"
            if self.service == "kernel-model":
                if self.world.deadly.intersection(parts[:-1]):
                    await asyncio.sleep(0.05)
                    self.crash()
                    raise Closed
                await self.stream(writer, fields, ident, head)
            else:
                await asyncio.sleep(self.world.work_s)
                data = b"x" * 800
                status = "200 OK"
                if self.world.random.random() < self.failing:
                    status, data = "500 Failed", b"failed"
                    self.world.note("fails", ident, "at", self.id, self.version)
                writer.write(f"HTTP/1.1 {status}\r\n{head}Content-Length: {len(data)}\r\n\r\n"
                             .encode() + data)

    async def stream(self, writer, fields, ident, head):
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        await asyncio.sleep(0.04)
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        for number in range(int(fields.get("last-event-id", 0)) + 1, 11):
            event = f"id: {number}\ndata: {ident}-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")


class World:
    """Store, engines and machines; keeps the record."""

    def __init__(self, folder):
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="pr-review-")
        self.random = random.Random(3)
        self.store = Store(self.random)
        self.machines, self.engines, self.tasks = [], [], set()
        self.deadly, self.crashes, self.arrivals = set(), [], []
        self.work_s = 0.06
        self.net = free_net()
        self.began = time.monotonic()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            role = tomllib.load(deploy)["roles"]["edge"]
        self.command = role["run"].split(" ")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as template:
            self.template = template.read()

    def note(self, *words):
        if self.record.closed:
            return
        self.record.write(f"{time.monotonic() - self.began:8.3f} s  "
                          + " ".join(str(w) for w in words) + "\n")
        self.record.flush()

    def say(self, *words):
        print(*words, flush=True)
        self.note(*words)

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def arrived(self, engine, ident, parts, line, body):
        self.arrivals.append((time.monotonic(), engine, ident, parts))
        self.note("arrives", ident, "at", engine.id, "parts", ",".join(parts), len(body), "B")

    async def start(self, models=12, ledgers=3, config=None):
        await self.store.start()
        zones = list(ZONES)
        for service, count in (("kernel-model", models), ("ticket-ledger", ledgers)):
            for n in range(count):
                engine = Engine(self, service, zones[n % len(zones)])
                self.engines.append(engine)
                await engine.begin()
        await self.store.put("op", "config", config or document())

    def machine(self, name, zone):
        used = len(self.machines)
        self.machines.append(
            Machine(self, name, zone, f"127.{self.net}.{1 + used // 250}.{1 + used % 250}"))
        return self.machines[-1]

    async def until(self, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        return False

    async def stop(self):
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
            if machine.process:
                await machine.process.wait()
        for task in list(self.tasks):
            task.cancel()
        for server in [self.store, *(e for e in self.engines if e.server)]:
            await server.stop()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def ask(world, machine, path, ident, method="POST", body=b"", budget_ms=20000, parts="",
              session=""):
    """Send a request on a new connection; returns the status, 0 for none, and whether the
    answer is complete."""
    fields = {"Host": HOST, P + "Request-Attempt": ident, P + "Deadline-Ms": str(budget_ms),
              P + "Credential": KEY, "Content-Length": str(len(body))}
    if parts:
        fields.update({P + "Model": "m0", P + "Token-Count": "500,20", P + "Prompt-Prefix": parts})
    if session:
        fields["Session"] = session
    status, complete, data = 0, False, b""
    writer = None
    try:
        async with asyncio.timeout(budget_ms / 1000):
            reader, writer = await asyncio.open_connection(machine.address, 8227)
            world.note("sent", ident, "to", machine.name, path)
            writer.write((f"{method} {path} HTTP/1.1\r\n"
                          + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
                          + "\r\n").encode() + body)
            line, got = await read_head(reader)
            status = int(line.split(" ")[1])
            data = await read_body(reader, got)
            complete = True
    except (OSError, Closed, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    world.note("answer", ident, status, "complete" if complete else "broken off", len(data), "B")
    return status, complete


def run(case, folder):
    """Exit as the review's page says: 1 broken, 0 held, 2 could not run."""
    # The descriptors of a machine of the sheet, and those of the clients.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < FILES:
        print(f"the case needs {FILES} descriptors", file=sys.stderr)
        return 2
    if soft != resource.RLIM_INFINITY and soft < FILES:
        resource.setrlimit(resource.RLIMIT_NOFILE, (FILES, hard))
    world = World(folder)

    async def whole():
        try:
            return await asyncio.wait_for(case(world), 110)
        finally:
            await world.stop()

    try:
        return asyncio.run(whole())
    except (OSError, RuntimeError, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2
