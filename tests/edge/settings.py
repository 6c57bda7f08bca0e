"""Settings that the platform renders from the deployment's template, with fields that
are new there or missing.

usage: settings.py BINARY NET
"""

import asyncio
import copy
import os
import random
import re
import signal
import subprocess
import sys

from answers import EARLIER, ask, earlier_answer, set_script
from checks import FAILURES, check
from fleet import ZONES, Fleet, get
from template import render

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
with open(os.path.join(ROOT, "deploy", "edge.yaml.in"), encoding="utf-8") as source:
    TEMPLATE = source.read()

MEMORY_MB = 110
# Values of a field that the program does not know.
FORMS = {
    "a table": {"cores": 2, "for-s": 5},
    "a table of tables": {"a": {"b": [1, {"c": "\""}]}},
    "an empty table": {},
    "a list": [1, "two", [3], {"four": 4}],
    "an empty list": [],
    "a quote": 'a "quoted" text',
    "apostrophes": "it's 'quoted'",
    "a backslash": "C:\\new\\table\\",
    "a newline": "one\ntwo: 2\n- three\n",
    "a number sign": "one # two",
    "YAML indicators": "a: [b, {c}] & *d | > % @ `",
    "braces": "{{ip}}",
    "a NUL": "a\0b",
    "text beyond ASCII": "Größe \U0001f600",
    "characters that YAML refuses": "\x7f \x80 \x9f \ufeff \uffff",
    "characters that end a line in YAML": "\x85 a: b \u2028 \u2029",
    "a long text": "x" * 5000,
    "an empty text": "",
    "a boolean": True,
    "a number": 1e300,
    "none": None,
}
TABLES = ("", "zones", "listen", "limits", "bounds", "fault-tolerance", "provider")


def fields_of(router):
    """The platform's fields of a machine."""
    return {
        "node-name": router.name, "zone": router.zone, "region": ZONES[router.zone],
        "ip": router.address, "zones": dict(ZONES), "internal-ports": [7340, 7355],
        "listen": {"front": f"{router.address}:8080", "ready": f"{router.address}:8081"},
        "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": MEMORY_MB, "max-fds": 4100},
        "fault-tolerance": {"machines": 2},
        "bounds": {"grace-s": 6, "budget-window-s": 10, "budget-ratio": 0.9, "budget-slack": 56,
                   "session-s": 3},
        "provider": {"address": f"127.0.0.1:{router.fleet.store_proxies[router.index].port}"},
    }


def add(fields, table, name, value):
    (fields[table] if table else fields)[name] = value


def is_accepted(router, fields):
    """Returns whether the program accepts the settings, and what it says."""
    path = os.path.join(router.fleet.folder, "checked.yaml")
    with open(path, "w", encoding="utf-8") as out:
        out.write(render(TEMPLATE, fields))
    done = subprocess.run([router.fleet.binary, "--check", "--settings", path],
                          capture_output=True, timeout=20, check=False)
    return done.returncode == 0, done.stderr


def check_new_fields(router):
    """A new field in the platform's tables kept the program from starting."""
    for table in TABLES:
        refused = {}
        for form, value in FORMS.items():
            fields = fields_of(router)
            add(fields, table, "new", value)
            accepted, said = is_accepted(router, fields)
            if not accepted:
                refused[form] = said
        check(f"a new field of any form is accepted, {table or 'outside of tables'}",
              not refused, refused)
    fields = fields_of(router)
    fields["limits"].update({f"new-{n}": n for n in range(300)})
    check("many new fields are accepted", *is_accepted(router, fields))


def check_missing_fields(router):
    """A field that a deployment does not have was refused, though it has a default."""
    refused = {}
    for table in ("bounds", "limits"):
        whole = fields_of(router)
        for name in [None, *whole[table]]:
            fields = copy.deepcopy(whole)
            if name is None:
                del fields[table]
            else:
                del fields[table][name]
            accepted, said = is_accepted(router, fields)
            if not accepted:
                refused[table, name] = said
    check("a missing field takes its default", not refused, refused)


def log_of(router):
    with open(f"{router.fleet.folder}/{router.name}.log", encoding="utf-8", errors="replace") as log:
        return log.read()


async def check_no_repeats(fleet):
    """A stated budget of no repeats was taken for none stated, and requests were repeated."""
    router, arrivals = fleet.routers[0], []

    async def refuse(request):
        arrivals.append(request.ident)
        await request.write(earlier_answer(EARLIER[0], request.ident, b""))
        return True

    fields = fields_of(router)
    fields["bounds"].update({"budget-ratio": 0, "budget-slack": 0})
    router.settings = lambda: render(TEMPLATE, fields)
    router.signal(signal.SIGTERM)
    await router.process.wait()
    await router.start()
    check("a host starts without repeats", await router.wait_ready(), log_of(router)[-300:])
    ledgers = [u for u in fleet.upstreams if u.service == "ledger"]
    set_script(ledgers, refuse)
    await ask(router.address, "no-repeats", "/safe/x")
    check("no request is repeated", len(arrivals) == 1, arrivals)
    set_script(ledgers, None)


async def check_process(router):
    """The known fields are in effect beside the new ones, at the start and after SIGHUP."""
    def settings(grace_s):
        fields = fields_of(router)
        fields["bounds"]["grace-s"] = grace_s
        for number, (form, value) in enumerate(FORMS.items()):
            for table in TABLES:
                add(fields, table, f"new-{number}", value)
        return lambda: render(TEMPLATE, fields)

    router.signal(signal.SIGTERM)
    await router.process.wait()
    router.settings = settings(6)
    await router.start()
    check("a host starts with new fields", await router.wait_ready(), log_of(router)[-300:])
    if router.process.returncode is not None:
        return
    answer = await ask(router.address, "new-fields", "/safe/x")
    check("it serves", answer.status == 200 and answer.complete, answer.status)
    _, _, metrics = await get(router.address, 9464, "/metrics")
    limit = re.search(rb"edge_memory_limit_bytes (\d+)", metrics)
    check("the platform's memory is its limit",
          limit and 0 < int(limit[1]) < MEMORY_MB << 20, limit)
    router.settings = settings(7)
    router.write_settings()
    router.signal(signal.SIGHUP)
    await asyncio.sleep(0.5)
    check("SIGHUP reads settings with new fields",
          "event=reloaded" in log_of(router) and "reload_refused" not in log_of(router),
          log_of(router)[-300:])
    router.signal(signal.SIGTERM)
    await router.process.wait()
    check("a bound that SIGHUP read is in effect", " grace_s=7\n" in log_of(router),
          log_of(router)[-300:])


async def main():
    fleet = Fleet(sys.argv[1], int(sys.argv[2]), random.Random(7), hosts=1)
    try:
        await fleet.start()
        check_new_fields(fleet.routers[0])
        check_missing_fields(fleet.routers[0])
        await check_no_repeats(fleet)
        await check_process(fleet.routers[0])
    finally:
        await fleet.stop()
    if FAILURES:
        print(f"logs: {fleet.folder}")
    print(f"{len(FAILURES)} failed")
    return bool(FAILURES)


sys.exit(asyncio.run(main()))
