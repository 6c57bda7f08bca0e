"""Checks of the process tests: each prints its result and keeps its failure."""

FAILURES = []


def check(name, good, detail=""):
    print(("ok   " if good else "FAIL ") + name + ("" if good else f": {detail}"))
    if not good:
        FAILURES.append(name)
