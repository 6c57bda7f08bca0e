"""Fills in a template of the settings as the platform does: nothing is escaped but JSON."""

import json
import re

SECTION = re.compile(r"\{\{#([\w.-]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.S)
VALUE = re.compile(r"\{\{([\w.@-]+)(\|json)?\}\}")


def find(name, fields):
    for part in name.split("."):
        if isinstance(fields, list) and part.isdigit() and int(part) < len(fields):
            fields = fields[int(part)]
        elif isinstance(fields, dict):
            fields = fields.get(part)
        else:
            return None
    return fields


def as_json(value):
    return json.dumps(value, ensure_ascii=False, separators=(",", ":"))


def plain(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(plain(item) for item in value)
    return value if isinstance(value, str) else as_json(value)


def render(text, fields):
    def section(match):
        table = find(match[1], fields) or {}
        return "".join(
            match[2].replace("{{@}}", key).replace("{{.}}", plain(value))
            for key, value in table.items())

    def value(match):
        found = find(match[1], fields)
        return as_json(found) if match[2] else plain(found)

    return VALUE.sub(value, SECTION.sub(section, text))
