"""Common parts of the cases 6 to 10: machines that run the project's program with the
command and the template of the deploy file, the platform around them, and a record.

Store and servers are the project's own stand-ins (tests/edge/standins.py).
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "edge"))

# pylint: disable=wrong-import-position
from standins import P, Closed, Store, Upstream, read_body, read_head  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "tickets.example"
KEY = "key-of-tenant-1"
# The sheet of the site bkw-tickets.
ZONES = {"nq-ayr": "nq", "seq-bne": "seq", "nq-hom": "nq"}
MEMORY_MB, DESCRIPTORS = 110, 4100
BOUNDS = {
    "contact-ms": 4000, "drain-ms": 3000, "grace-s": 8, "config-apply-ms": 3000, "budget-ratio": 0.9,
    "budget-window-s": 10, "budget-slack": 56, "session-s": 5,
}
TIMES = {
    "settlement-summary": (25000, 4000), "sort-note": (20000, 2000), "docket-tag": (5000, 2000),
    "ticket-issue": (2500, 400), "ticket-lookup": (2500, 400),
}


class CannotRun(Exception):
    """The case could not run."""


def routing(version):
    """The operator's configuration, with the routes of the site."""
    routes = []
    for name, (timeout, aim) in TIMES.items():
        route = {
            "name": f"r-{name}", "host": HOST, "prefix": f"/{name}/", "kind": "streaming",
            "service": "kernel-model", "timeout-ms": timeout, "target-latency-ms": aim, "priority": 1,
            "max-attempts": 3, "anonymous": False, "session-affinity": True, "stream-resume": True,
            "gap-aim-ms": 1200, "allowed-regions": [],
        }
        if name.startswith("ticket"):
            unsafe = name == "ticket-issue"
            route.update({
                "kind": "unsafe" if unsafe else "safe", "service": "ticket-ledger",
                "max-attempts": 1 if unsafe else 2, "session-affinity": False, "stream-resume": False})
        routes.append(route)
    services = [
        {"name": "kernel-model", "health-path": "/health", "max-connections": 370,
         "cold-start-s": 3.0, "cold-per-s": 12.0},
        {"name": "ticket-ledger", "health-path": "/health", "max-connections": 110,
         "cold-start-s": 0.0, "cold-per-s": 0.0},
    ]
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "tenant-1", "api-keys": [KEY], "priority": 1, "allowed-regions": []}],
    }


def lookup(names, context):
    for name in names.split("."):
        if isinstance(context, list):
            context = context[int(name)]
        elif isinstance(context, dict):
            context = context.get(name)
        else:
            return None
    return context


def plain(value):
    """Lists are joined by commas, tables are rendered as JSON; nothing is escaped."""
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(v) for v in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, fields):
    """The part of the platform's templates that deploy/edge.yaml.in uses."""
    def section(match):
        out = ""
        for key, value in (lookup(match[1], fields) or {}).items():
            out += match[2].replace("{{@}}", str(key)).replace("{{.}}", plain(value))
        return out

    def value(match):
        found = lookup(match[1], fields)
        return json.dumps(found) if match[2] else plain(found)

    text = re.sub(r"\{\{#([\w.-]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", value, text)


class Platform(Store):
    """The store; the rows of one transaction have one version, as the pages say."""

    async def write(self, rows):
        """One transaction of the operator: (table, key, value) each, value None removes."""
        return await self.commit([(t, k, None if v is None else json.dumps(v).encode())
                                  for t, k, v in rows])

    async def commit(self, rows):
        async with self.changed:
            self.version += 1
            for table, key, value in rows:
                row = {"table": table, "part": "", "key": key, "ver": self.version}
                if value is None:
                    self.rows.pop((table, key), None)
                    row["tombstone"] = True
                else:
                    row["value"] = base64.b64encode(value).decode()
                    self.rows[(table, key)] = row
                self.history.append(row)
            self.changed.notify_all()
        return time.monotonic()

    async def transact(self, call):
        for condition in call["expected-rev"]:
            row = self.rows.get((condition["table"], condition["key"]))
            if (row["ver"] if row else 0) != condition["ver"]:
                return 412, {"rows": [row] if row else []}
        if any(row["table"] in ("op", "servers") for row in call["puts"]):
            return 403, {}
        await self.commit([(r["table"], r["key"], base64.b64decode(r["value"]))
                           for r in call["puts"]])
        return 200, {}


class Machine:
    """A machine with one process of the role that serves `front`."""

    def __init__(self, site, index, zone):
        self.site, self.zone = site, zone
        self.name = f"front-{zone}-{index + 1}"
        self.ip = f"127.{site.net}.0.{index + 1}"
        self.process = None
        self.peak_mb = 0.0
        self.killed = False
        # Fields that stand under [limits] beside those of the pages.
        self.limits = {}

    def fields(self):
        return {
            "node-name": self.name, "zone": self.zone, "region": ZONES[self.zone], "ip": self.ip,
            "zones": ZONES, "listen": {"front": f"{self.ip}:8227", "ready": f"{self.ip}:8220"},
            "internal-ports": [7340, 7355], "bounds": BOUNDS,
            "provider": {"address": f"127.0.0.1:{self.site.store.port}"},
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": MEMORY_MB, "max-fds": DESCRIPTORS,
                       "link-mbps": 1000.0, "disk-mb": 0, **self.limits},
        }

    def write_settings(self):
        """The platform fills in the template of the role; returns the role and the path."""
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = next(r for r in tomllib.load(file)["roles"].values() if "front" in r["serves"])
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.fields())
        path = os.path.join(self.site.folder, self.name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return role, path

    async def start(self):
        role, path = self.write_settings()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PISTACHIORACK_BOOT"] = path
        words = role["run"].split(" ")
        program = os.path.join(ROOT, words[0])
        if not os.access(program, os.X_OK):
            raise CannotRun(f"no program {words[0]}; run the build of the deploy file")
        with open(path + ".log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *words[1:], cwd=ROOT, env=env, stdout=log, stderr=log)

    def runs(self):
        return self.process is not None and self.process.returncode is None

    def memory_mb(self):
        """Resident memory of the process."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                kb = next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))
        except (OSError, StopIteration):
            return 0.0
        self.peak_mb = max(self.peak_mb, kb / 1024)
        return kb / 1024

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8220)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            return line.split(" ")[1] == "200"
        except (OSError, Closed, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def stop(self):
        if self.runs():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


class Site:
    """Store, servers and machines on loopback addresses that are free."""

    def __init__(self, machines=3, per_zone=2):
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.net = free_net()
        self.folder = tempfile.mkdtemp(prefix="pr-review-")
        self.store = Platform(self.random)
        # Runs at the servers by request id.
        self.runs = {}
        self.servers = []
        zones = list(ZONES)
        self.machines = [Machine(self, n, zones[n % len(zones)]) for n in range(machines)]
        self.per_zone = per_zone

    async def start(self):
        await self.store.start()
        for zone in ZONES:
            for service, count in (("kernel-model", self.per_zone), ("ticket-ledger", 1)):
                for _ in range(count):
                    name = f"i-{len(self.servers):08x}"
                    server = Upstream(name, service, zone, self.random, self.runs)
                    await server.start()
                    self.servers.append(server)
                    await self.store.put("servers", name, server.entry())
        await self.store.put("op", "config", routing(7))
        for machine in self.machines:
            await machine.start()
        end = time.monotonic() + 10
        for machine in self.machines:
            while not await machine.ready():
                if time.monotonic() > end or not machine.runs():
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(4)

    def of(self, service):
        return [s for s in self.servers if s.service == service]

    async def stop(self):
        for machine in self.machines:
            await machine.stop()
        for server in [self.store, *self.servers]:
            if server.server is not None:
                await server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_net():
    """Second number of loopback addresses on which nothing listens."""
    for net in random.sample(range(100, 250), 100):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{net}.0.1", 8227))
                return net
            except OSError:
                continue
    raise CannotRun("no free loopback addresses")


class Client:
    """One request on a connection of its own, and what came of it."""

    def __init__(self, ident, route, deadline_ms, method="POST", body=b"", fields=()):
        self.ident, self.route, self.deadline_ms = ident, route, deadline_ms
        self.method, self.body, self.more = method, body, fields
        self.status, self.fields, self.content = 0, {}, b""
        self.complete = False
        # How long it stays, which may be longer than the deadline that it states.
        self.wait_s = deadline_ms / 1000
        # Why there is no complete answer.
        self.fault = ""
        self.sent = self.ended = 0.0

    async def run(self, machine):
        writer = None
        self.sent = time.monotonic()
        try:
            async with asyncio.timeout(self.wait_s):
                reader, writer = await asyncio.open_connection(machine.ip, 8227, limit=1 << 20)
                writer.write(self.head() + self.body)
                line, self.fields = await read_head(reader)
                self.status = int(line.split(" ")[1])
                self.content = await read_body(reader, self.fields)
                self.complete = True
        except TimeoutError:
            self.fault = "deadline"
        except (OSError, Closed):
            self.fault = "connection ended"
        finally:
            self.ended = time.monotonic()
            if writer is not None:
                writer.transport.abort()
        return self

    def head(self):
        fields = [
            ("Host", HOST), (P + "Request-Attempt", self.ident),
            (P + "Deadline-Ms", str(self.deadline_ms)), (P + "Credential", KEY),
            ("Content-Length", str(len(self.body))), *self.more]
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
        return f"{self.method} /{self.route}/2f HTTP/1.1\r\n{lines}\r\n".encode()


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text):
        line = f"{time.monotonic() - self.began:7.2f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)

    def only(self, text):
        """A line that is not shown."""
        print(f"{time.monotonic() - self.began:7.2f} {text}", file=self.file, flush=True)


# Status with which a case ends that found the rule broken; run.sh makes it 1, so that an error
# of the script itself is not taken for it.
BROKEN = 41


def play(folder, case, **size):
    """Run case(site, record), which returns True when the rule was broken."""
    async def run():
        record = Record(folder)
        site = Site(**size)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                await site.start()
                broken = await case(site, record)
                record.note("BROKEN" if broken else "held")
                return BROKEN if broken else 0
        except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
            record.note(f"cannot run: {error!r}")
            return 2
        finally:
            await site.stop()

    sys.exit(asyncio.run(run()))
