"""A deployment of router processes on loopback, with stand-ins around them."""

import asyncio
import os
import re
import signal
import tempfile
import time

from standins import P, Closed, Proxy, Store, Upstream, read_body, read_head

ZONES = {"east": "home", "west": "home", "far": "abroad"}
HOST = "api.example"
# Time in which hosts stop using an upstream that is leaving or was removed, seconds.
DRAIN_S = 3.0


def routing(version, extra_routes=(), keys=("key-1", "key-2")):
    """The operator's document."""
    def route(name, kind, service, **more):
        return {
            "name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "service": service,
            "timeout-ms": 8000, "target-latency-ms": 1000, "priority": 1, "max-attempts": 3,
            "anonymous": False, "session-affinity": False, "stream-resume": False,
            "allowed-regions": [], **more,
        }

    routes = [
        route("safe", "safe", "ledger"),
        route("once", "unsafe", "ledger", **{"max-attempts": 1}),
        route("stream", "streaming", "model", **{"stream-resume": True, "gap-aim-ms": 1200}),
        route("live", "streaming", "model", **{"max-attempts": 1}),
    ]
    routes.append(route("prompt", "streaming", "model", **{
        "stream-resume": True, "gap-aim-ms": 1200, "session-affinity": True}))
    routes += [route(name, "safe", "ledger") for name in extra_routes]
    service = {"health-path": "/health", "max-connections": 400, "cold-start-s": 0.5, "cold-per-s": 20}
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "ledger", **service}, {"name": "model", **service}],
        "limits": {
            "max-header-bytes": 8192, "max-body-bytes": 100000,
            "header-timeout-ms": 2000, "idle-timeout-ms": 5000,
        },
        "tenants": [{"name": "tenant-1", "api-keys": list(keys), "priority": 1, "allowed-regions": []}],
    }


class Router:
    """One router process."""

    def __init__(self, fleet, index, zone):
        self.fleet, self.index, self.zone = fleet, index, zone
        self.name = f"host-{index}"
        self.address = f"127.{fleet.net}.0.{index + 1}"
        self.process = None
        self.began = 0.0
        # Beside those of the fleet.
        self.bounds = {}
        self.log = open(os.path.join(fleet.folder, self.name + ".log"), "ab")

    def settings(self):
        lines = [f"host: {self.name}", f"zone: {self.zone}", f"region: {ZONES[self.zone]}", "zones:"]
        lines += [f"  - {{ name: {z}, region: {r} }}" for z, r in ZONES.items()]
        for field, port in (("listen", 8080), ("ready", 8081), ("metrics", 8082), ("peer", 8083)):
            lines.append(f'{field}: "{self.address}:{port}"')
        lines.append(f'store: "127.0.0.1:{self.fleet.store_proxies[self.index].port}"')
        lines += [f"{k}: {v}" for k, v in self.fleet.settings.items()]
        bounds = {**self.fleet.bounds, **self.bounds}
        lines += ["bounds:"] + [f"  {k}: {v}" for k, v in bounds.items()]
        return "\n".join(lines) + "\n"

    def write_settings(self):
        path = os.path.join(self.fleet.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self.settings())
        return path

    async def start(self):
        path = self.write_settings()
        self.began = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            self.fleet.binary, "--settings", path, stdout=self.log, stderr=self.log
        )

    def signal(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def ready(self):
        """Status of the readiness path; 0 without an answer."""
        try:
            status, _, _ = await asyncio.wait_for(get(self.address, 8081, "/ready"), 1)
            return status
        except (OSError, Closed, asyncio.TimeoutError):
            return 0

    def reads_store(self):
        """Whether the log says that the host reads the store for its region."""
        reads = False
        with open(self.log.name, encoding="ascii", errors="replace") as log:
            for line in log:
                found = re.search(r"event=reading_(began|ended)", line)
                reads = found[1] == "began" if found else reads
        return reads

    async def wait_ready(self, seconds=8.0):
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            if await self.ready() == 200:
                return True
            await asyncio.sleep(0.05)
        return False


async def get(address, port, path):
    reader, writer = await asyncio.open_connection(address, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        line, fields = await read_head(reader)
        return int(line.split(" ")[1]), fields, await read_body(reader, fields)
    finally:
        writer.close()


class Fleet:
    """Store, upstreams behind proxies, and router processes."""

    def __init__(self, binary, net, random, hosts=3, per_zone=1):
        self.binary, self.net, self.random = binary, net, random
        self.folder = tempfile.mkdtemp(prefix="pr-edge-")
        self.store = Store(random)
        self.store_proxies = []
        # Those that have left for good are in `gone`.
        self.upstreams, self.gone = [], []
        self.runs = {}
        # Shared by the upstreams.
        self.harmed, self.deadly = set(), set()
        # (time, upstream) of crashes by a part of a prompt, and the restarts.
        self.crashes, self.restarts = [], set()
        self.routers = []
        # State of the store before the hosts have started.
        self.first_copy = None
        self.hosts, self.per_zone = hosts, per_zone
        self.version = 1
        # Further settings of the hosts, and a change of the first document.
        self.settings, self.edit = {}, None
        self.bounds = {"grace_s": 6, "repeats_ratio": 0.9, "repeats_slack": 56, "session_s": 3}

    async def start(self):
        await self.store.start()
        for _ in range(self.hosts + 1):
            proxy = Proxy(self.store.port)
            await proxy.start()
            self.store_proxies.append(proxy)
        for zone in ZONES:
            for _ in range(self.per_zone):
                for service in ("ledger", "model"):
                    await self.add_upstream(service, zone)
        document = routing(self.version)
        if self.edit:
            self.edit(document)
        await self.store.put("op", "config", document)
        self.first_copy = self.store.copy()
        zones = list(ZONES)
        for index in range(self.hosts):
            router = Router(self, index, zones[index % len(zones)])
            self.routers.append(router)
            await router.start()
        for router in self.routers:
            if not await router.wait_ready():
                raise RuntimeError(f"{router.name} is not ready; see {self.folder}")

    async def add_upstream(self, service, zone, version="v1"):
        name = f"u-{len(self.upstreams) + len(self.gone)}"
        upstream = Upstream(name, service, zone, self.random, self.runs, version)
        upstream.harmed, upstream.deadly = self.harmed, self.deadly
        upstream.on_crash = self.crash
        await upstream.start()
        self.upstreams.append(upstream)
        await self.store.put("servers", name, upstream.entry())
        return upstream

    def crash(self, upstream):
        """The upstream is gone at once and comes back after about three seconds."""
        if self.restart(upstream, away=3.0):
            self.crashes.append((time.monotonic(), upstream.name))

    def restart(self, upstream, away):
        """Returns False when the upstream is gone already."""
        if not upstream.server.is_serving():
            return False
        upstream.end()
        task = asyncio.create_task(self._begin(upstream, away))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)
        return True

    async def _begin(self, upstream, away):
        # Its entry lapses meanwhile.
        await asyncio.sleep(away / 2)
        await self.store.put("servers", upstream.name, None)
        await asyncio.sleep(away / 2)
        await upstream.begin()
        await self.store.put("servers", upstream.name, upstream.entry())

    async def apply(self, edit=None, **changes):
        """Write a new routing document, after edit() has changed it; returns
        the time it was acknowledged."""
        self.version += 1
        document = routing(self.version, **changes)
        if edit:
            edit(document)
        return await self.store.put("op", "config", document)

    def document(self, **changes):
        """The next version of the routing document."""
        self.version += 1
        return routing(self.version, **changes)

    def logged(self, router, text):
        """Whether a line of the router's log has the text."""
        with open(f"{self.folder}/{router.name}.log", encoding="ascii", errors="replace") as log:
            return any(text in line for line in log)

    def evacuates(self, router, zone):
        """Whether a router evacuates a zone by its log."""
        with open(f"{self.folder}/{router.name}.log", encoding="ascii", errors="replace") as log:
            lines = [line for line in log if "event=zone_" in line and f"zone={zone} " in line]
        return bool(lines) and "event=zone_evacuated" in lines[-1]

    async def statuses(self, path, key="key-1"):
        """Status of the same request at each host."""
        async def ask(router):
            caller = Caller(router.address)
            answer = await caller.request(f"ask-{router.name}-{time.monotonic()}", path, key=key,
                                          budget_ms=1000)
            caller.close()
            return answer.status

        return await asyncio.gather(*(ask(router) for router in self.routers))

    async def stop(self):
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
            if router.process:
                await router.process.wait()
            router.log.close()
        for server in [self.store, *self.store_proxies, *self.upstreams, *self.gone]:
            await server.stop()


class Answer:
    """What a caller got; `sent` is when the request was written, or None."""

    def __init__(self):
        self.status, self.fields, self.body = 0, {}, b""
        self.complete = self.timed_out = False
        self.sent, self.ended = None, 0.0


class Caller:
    """A caller with one kept connection to one router."""

    def __init__(self, address, port=8080):
        self.address, self.port = address, port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.address, self.port, limit=1 << 20
        )

    async def request(self, ident, path, body=b"", key="key-1", budget_ms=5000, method="POST", **more):
        answer = Answer()
        try:
            await asyncio.wait_for(
                self._request(answer, ident, path, body, key, budget_ms, method, more),
                budget_ms / 1000
            )
        except asyncio.TimeoutError:
            answer.timed_out = True
            self.close()
        except (OSError, Closed):
            self.close()
        answer.ended = time.monotonic()
        return answer

    async def _request(self, answer, ident, path, body, key, budget_ms, method, more):
        if self.writer is None:
            await self.connect()
        fields = {
            "Host": HOST, P + "Request-Attempt": ident, P + "Deadline-Ms": str(budget_ms),
            P + "Credential": key, "Content-Length": str(len(body)), **more,
        }
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        self.writer.write(head.encode() + b"\r\n" + body)
        answer.sent = time.monotonic()
        line, got = await read_head(self.reader)
        answer.status, answer.fields = int(line.split(" ")[1]), got
        if method == "HEAD":
            answer.complete = True
        else:
            await self._read_body(answer)
        if got.get("connection", "") == "close":
            self.close()

    async def _read_body(self, answer):
        if answer.fields.get("transfer-encoding") == "chunked":
            await self._read_chunks(answer)
        elif "content-length" in answer.fields:
            answer.body = await read_body(self.reader, answer.fields)
        else:
            while data := await self.reader.read(65536):
                answer.body += data
            self.close()
        answer.complete = True

    async def _read_chunks(self, answer):
        while True:
            try:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                data = await self.reader.readexactly(size + 2)
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                raise Closed from error
            if not size:
                return
            answer.body += data[:-2]

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Traffic:
    """Requests to every host in turn until the end."""

    def __init__(self, fleet, name):
        self.fleet, self.name, self.running, self.sent = fleet, name, True, {}
        self.tasks = [asyncio.create_task(self.send(router)) for router in fleet.routers]

    async def send(self, router):
        caller, number = Caller(router.address), 0
        while self.running:
            ident = f"{self.name}-{router.name}-{number}"
            number += 1
            self.sent[ident] = time.monotonic()
            await caller.request(ident, "/safe/x", budget_ms=2000)
            await asyncio.sleep(0.03)
        caller.close()

    async def stop(self):
        self.running = False
        await asyncio.gather(*self.tasks)

    def late(self, upstream, removed):
        """Requests that were sent too late and reached the upstream."""
        return [ident for _, ident, _ in upstream.arrivals
                if self.sent.get(ident, 0) > removed + DRAIN_S]
