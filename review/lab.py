"""What the scripts of the cases share: machines of the deployment as processes,
started as deploy/system.toml says, with the project's stand-ins around them.

Everything is on loopback addresses. Settings are made from deploy/edge.yaml.in,
as the platform does, with the figures of sites/bkw-tickets.toml.
"""

import asyncio
import json
import logging
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

from fleet import HOST, Caller, get  # noqa: E402,F401
from standins import P, Closed, Proxy, Store, Upstream  # noqa: E402,F401

# Writes to connections that the other side has closed are no news.
logging.getLogger("asyncio").setLevel(logging.ERROR)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"nq-ayr": "nq", "nq-hom": "nq", "seq-bne": "seq"}
BOUNDS = {
    "grace-s": 8.0, "budget-window-s": 10, "budget-ratio": 0.9, "budget-slack": 56, "session-s": 5,
}
CONTACT_S = 4.0
MEMORY_MB = 110


def render(text, fields):
    """The part of the template language that deploy/edge.yaml.in uses."""
    def value(path, scope):
        found = scope
        for name in path.split("."):
            found = found[name]
        return found

    def section(match):
        items = fields[match[1]].items()
        return "".join(
            match[2].replace("{{@}}", str(key)).replace("{{.}}", str(item)) for key, item in items)

    def place(match):
        found = value(match[1], fields)
        return json.dumps(found) if match[2] else str(found)

    text = re.sub(r"\{\{#([\w-]+)\}\}\n(.*?)\{\{/\1\}\}\n", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", place, text)


def free_net():
    """Second number of loopback addresses on which no machine runs."""
    for net in random.sample(range(64, 250), 100):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{net}.0.1", 7340))
                return net
            except OSError:
                continue
    raise OSError("no free loopback addresses")


class Machine:
    """One machine with its process."""

    def __init__(self, lab, index, zone):
        self.lab, self.name, self.zone = lab, f"front-{zone}-{index + 1}", zone
        self.address = f"127.{lab.net}.0.{index + 1}"
        self.process = None
        self.killed_for_memory = []
        self.peak_kb = 0
        self.reads = False

    def settings(self, store_port):
        with open(os.path.join(ROOT, "deploy", "edge.yaml.in"), encoding="utf-8") as template:
            return render(template.read(), {
                "node-name": self.name, "zone": self.zone, "region": ZONES[self.zone],
                "zones": ZONES, "ip": self.address,
                "listen": {"front": f"{self.address}:8080", "ready": f"{self.address}:8081"},
                "internal-ports": {"0": 7340}, "provider": {"address": f"127.0.0.1:{store_port}"},
                "limits": {"cpu-share": 0.25}, "bounds": BOUNDS,
            })

    async def start(self):
        path = os.path.join(self.lab.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self.settings(self.lab.store_port))
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            command = tomllib.load(deploy)["roles"]["edge"]["run"].split(" ")
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "PISTACHIORACK_BOOT": path})
        log.close()

    async def wait_ready(self, seconds=15.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                status, _, _ = await asyncio.wait_for(get(self.address, 8081, "/ready"), 1)
                if status == 200:
                    return True
            except (OSError, Closed, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def resident_kb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                return next((int(line.split()[1]) for line in status if line.startswith("VmRSS")), 0)
        except OSError:
            return 0

    def kill(self):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, signal.SIGKILL)


class Lab:
    """Store, engines and machines."""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.net = free_net()
        self.store, self.machines, self.engines, self.runs = Store(self.random), [], [], {}
        self.store_port = 0
        self.tasks = []
        self.note(f"trouble {int(TROUBLE)}")

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.record.write(line + "\n")
        self.record.flush()

    async def add_engine(self, service, zone, version="v1"):
        engine = Upstream(
            f"i-{len(self.engines)}", service, zone, self.random, self.runs, version)
        engine.on_crash = lambda crashed: None
        await engine.start()
        self.engines.append(engine)
        await self.store.put("servers", engine.name, engine.entry())
        return engine

    async def start(self, document, machines, engines):
        """machines: zones; engines: (service, zone)."""
        await self.store.start()
        self.store_port = self.store.port
        for service, zone in engines:
            await self.add_engine(service, zone)
        await self.store.put("op", "config", document)
        for index, zone in enumerate(machines):
            self.machines.append(Machine(self, index, zone))
            await self.machines[-1].start()
        for machine in self.machines:
            if not await machine.wait_ready():
                raise RuntimeError(f"{machine.name} does not become ready")

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))
        return self.tasks[-1]

    def reader(self, region):
        """The machine of a region that began last to read the store's feeds."""
        began = []
        for machine in self.machines:
            with open(os.path.join(self.folder, machine.name + ".log"), encoding="utf-8") as log:
                for line in log:
                    found = re.match(r".*\bt=(\d+) .*event=reading_(began|ended)", line)
                    if found:
                        machine.reads = found[2] == "began"
            if ZONES[machine.zone] == region and machine.reads:
                began.append(machine)
        return began[0]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.kill()
            if machine.process:
                await machine.process.wait()
        for server in [self.store, *self.engines]:
            if server.server:
                await server.stop()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def document(routes, services=("kernel-model", "ticket-ledger"), version=1):
    """The operator's configuration; routes: {name: fields}."""
    route = {
        "host": HOST, "timeout-ms": 2500, "target-latency-ms": 400, "priority": 2,
        "max-attempts": 3, "anonymous": False, "session-affinity": False,
        "stream-resume": False, "allowed-regions": [],
    }
    service = {"health-path": "/health", "max-connections": 370, "cold-start-s": 0.5,
               "cold-per-s": 12}
    return {
        "version": version,
        "routes": [{**route, "name": name, "prefix": f"/{name}/", **fields}
                   for name, fields in routes.items()],
        "services": [{"name": name, **service} for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "tenant-1", "api-keys": ["key-1"], "priority": 1,
                     "allowed-regions": []}],
    }


def main(case):
    """Run a case: returns True when the rule was broken."""
    async def run():
        lab = Lab(os.path.dirname(os.path.abspath(sys.argv[0])))
        try:
            broken = await asyncio.wait_for(case(lab), 110)
            lab.note("rule broken" if broken else "rule held")
            return 1 if broken else 0
        except Exception as error:  # The case could not run.
            lab.note(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await lab.stop()

    sys.exit(asyncio.run(run()))
