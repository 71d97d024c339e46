"""Writes the tables of the operators' pages from the code.

Usage:
  python -m tools.pages

Each table stands between two marks in its page; the rest is written by hand.
"""

import logging
import pathlib
import re
import types
import typing
from collections.abc import Iterator
from typing import Any

import attrs
import orjson

from azurestep.events import REGISTRY, REMEDIES
from azurestep.mesh import events as mesh_events
from azurestep.metrics import METRICS
from azurestep.settings import Settings
from azurestep.shape import shape_of

DOCS = pathlib.Path(__file__).parents[1] / "docs"
BEGIN = "<!-- table: written by make pages -->"
END = "<!-- end of table -->"
UNITS = {
    "_ms": "ms",
    "_bytes": "bytes",
    "_records": "records",
    "_ratio": "share",
    "port": "port",
}


EVENT_MODULES = (mesh_events,)
"""Modules that register events of their own when they are imported."""


def events_table() -> str:
    """Return the table of docs/EVENTS.md."""
    lines = ["| number | level | event | what to do |", "|---|---|---|---|"]
    for event in sorted(REGISTRY.values(), key=lambda event: event.number):
        level = logging.getLevelName(event.level).lower()
        remedy = REMEDIES[event.number] or "Nothing."
        lines.append(f"| {event.number} | {level} | {event.summary} | {remedy} |")
    return "\n".join(lines)


def metrics_table() -> str:
    """Return the table of docs/METRICS.md."""
    lines = ["| name | kind | unit | meaning |", "|---|---|---|---|"]
    for metric in METRICS.values():
        cells = [f"`{metric.name}`", metric.kind.value, metric.unit, metric.meaning]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def settings_table() -> str:
    """Return the table of docs/SETTINGS.md."""
    headers = ["field", "type", "unit", "default", "allowed", "meaning"]
    lines = [f"| {' | '.join(headers)} |", "|---" * len(headers) + "|"]
    lines.extend(_settings_rows(Settings, ""))
    return "\n".join(lines)


def _settings_rows(kind: type, prefix: str) -> Iterator[str]:
    meanings = field_meanings(kind)
    for field in attrs.fields(attrs.resolve_types(kind)):
        name = f"{prefix}{field.name}"
        inner = _class_in(field.type)
        cells = [
            f"`{name}`",
            _type_name(field.type),
            _unit_of(field.name, inner),
            _default_of(field, inner),
            _allowed(field),
            meanings.get(field.name, ""),
        ]
        yield f"| {' | '.join(cells)} |"
        if inner is not None:
            suffix = "[]." if typing.get_origin(field.type) is list else "."
            yield from _settings_rows(inner, f"{name}{suffix}")


def _class_in(kind: Any) -> type | None:
    candidates = [kind, *typing.get_args(kind)]
    return next((c for c in candidates if isinstance(c, type) and attrs.has(c)), None)


def _type_name(kind: Any) -> str:
    if typing.get_origin(kind) in (types.UnionType, typing.Union):
        arms = [a for a in typing.get_args(kind) if a is not type(None)]
        return f"{_type_name(arms[0])} or null"
    if typing.get_origin(kind) is list:
        return f"list of {_type_name(typing.get_args(kind)[0])}"
    if attrs.has(kind):
        return "object"
    return {str: "text", int: "whole number", float: "number", bool: "true or false"}[
        kind
    ]


def _unit_of(name: str, inner: type | None) -> str:
    if inner is not None:
        return ""
    return next((unit for end, unit in UNITS.items() if name.endswith(end)), "")


def _default_of(field: "attrs.Attribute[Any]", inner: type | None) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, attrs.Factory):  # type: ignore[arg-type]
        return "see below" if inner and typing.get_origin(field.type) is None else "[]"
    return f"`{orjson.dumps(field.default).decode()}`"


def _allowed(field: "attrs.Attribute[Any]") -> str:
    shape = shape_of(field)
    if shape.choices:
        return ", ".join(f"`{choice}`" for choice in shape.choices)
    if shape.bounds is None or field.type not in (int, float):
        return ""
    return f"{shape.bounds.low:.10g} to {shape.bounds.high:.10g}"


def field_meanings(kind: type) -> dict[str, str]:
    """Return the meaning of each field from the class's documentation."""
    text = kind.__doc__ or ""
    _, _, section = text.partition("----------\n")
    meanings: dict[str, str] = {}
    names: list[str] = []
    for line in section.splitlines():
        header = re.fullmatch(r"    ([a-z_, ]+) : .*", line)
        if header:
            names = header[1].split(", ")
        elif line.startswith("        "):
            for name in names:
                before = meanings.get(name, "")
                meanings[name] = f"{before} {line.strip()}".strip()
    return meanings


TABLES = {
    "EVENTS.md": events_table,
    "METRICS.md": metrics_table,
    "SETTINGS.md": settings_table,
}


def replace_table(page: str, table: str) -> str:
    """Return a page with the text between its marks replaced."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n\n{table}\n\n{END}{after}"


def main() -> None:
    """Write every table."""
    for name, table in TABLES.items():
        path = DOCS / name
        path.write_text(replace_table(path.read_text(), table()))


if __name__ == "__main__":
    main()
