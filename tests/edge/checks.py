"""Checks of the process tests: each prints its result and keeps its failure; memory of a
process."""

FAILURES = []


def check(name, good, detail=""):
    print(("ok   " if good else "FAIL ") + name + ("" if good else f": {detail}"))
    if not good:
        FAILURES.append(name)


def memory_kb(process, field):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith(field))


def has_own_allocator(process):
    """A sanitizer's allocator keeps freed memory and pads blocks: the resident memory
    says nothing of the program's."""
    with open(f"/proc/{process.pid}/maps", encoding="ascii", errors="replace") as maps:
        return "libasan" in maps.read()
