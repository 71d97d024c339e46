"""Compares plain JSON data with the attrs class that it is meant for.

Every fault is found in one pass, so that an operator corrects a file once. The
bounds of a number come from its field's metadata, or else from the unit that
its name ends with.
"""

import difflib
import types
import typing
from collections.abc import Iterator
from enum import StrEnum
from functools import lru_cache
from typing import Any

import attrs

from .faults import Fault

SHAPE = "azurestep_shape"
SHOWN_MAXIMUM_LENGTH = 40
FAULTS_MAXIMUM = 200
TYPE_NAMES: dict[type, str] = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


@attrs.frozen
class Bounds:
    """Least and greatest value of a number, both allowed."""

    low: float
    high: float


@attrs.frozen
class Shape:
    """What a value must satisfy beyond its type.

    Attributes
    ----------
    bounds : Bounds or None
        Range of a number.
    choices : tuple of str
        Values that are allowed; empty allows any.
    """

    bounds: Bounds | None = None
    choices: tuple[str, ...] = ()


HOUR_MS = 3_600_000
SUFFIX_BOUNDS: dict[str, Bounds] = {
    "_ms": Bounds(1, HOUR_MS),
    "_s": Bounds(1, HOUR_MS // 1000),
    "port": Bounds(1, 65_535),
    "_ratio": Bounds(0, 1),
    "_bytes": Bounds(1, 2**31),
}


def shaped(
    low: float | None = None,
    high: float | None = None,
    choices: tuple[str, ...] = (),
) -> dict[str, Shape]:
    """Return field metadata that bounds a value."""
    bounds = None if low is None or high is None else Bounds(low, high)
    return {SHAPE: Shape(bounds, choices)}


def shape_of(field: "attrs.Attribute[Any]") -> Shape:
    """Return what a field must satisfy, from its metadata or its unit."""
    named: Shape = field.metadata.get(SHAPE, Shape())
    if named.bounds is not None:
        return named
    for suffix, bounds in SUFFIX_BOUNDS.items():
        if field.name.endswith(suffix) and not field.name.endswith("_per_s"):
            return attrs.evolve(named, bounds=bounds)
    return named


def find_faults(plain: Any, kind: type, path: str = "$") -> list[Fault]:
    """Return the faults of plain data, ``FAULTS_MAXIMUM`` at most.

    Parameters
    ----------
    plain : Any
        JSON data.
    kind : type
        The attrs class that it is meant for.
    path : str
        JSON path of the data.
    """
    found: list[Fault] = []
    for fault in _check(plain, kind, path, Shape()):
        found.append(fault)
        if len(found) >= FAULTS_MAXIMUM:
            break
    return found


def _check(plain: Any, kind: Any, path: str, shape: Shape) -> Iterator[Fault]:
    origin = typing.get_origin(kind)
    if origin in (types.UnionType, typing.Union):
        yield from _check_union(plain, kind, path, shape)
    elif origin is list or origin is tuple:
        yield from _check_list(plain, typing.get_args(kind)[0], path)
    elif isinstance(kind, type) and attrs.has(kind):
        yield from _check_object(plain, kind, path)
    elif isinstance(kind, type) and issubclass(kind, StrEnum):
        choices = tuple(item.value for item in kind)
        yield from _check_scalar(plain, str, path, Shape(choices=choices))
    elif kind in TYPE_NAMES:
        yield from _check_scalar(plain, kind, path, shape)


def _check_union(plain: Any, kind: Any, path: str, shape: Shape) -> Iterator[Fault]:
    arms = [arm for arm in typing.get_args(kind) if arm is not type(None)]
    if plain is None and len(arms) < len(typing.get_args(kind)):
        return
    if len(arms) == 1:
        yield from _check(plain, arms[0], path, shape)


def _check_list(plain: Any, item_kind: Any, path: str) -> Iterator[Fault]:
    if not isinstance(plain, list):
        yield Fault(path, f"{show(plain)} is no list", "write it as [...]")
        return
    for index, item in enumerate(plain):
        yield from _check(item, item_kind, f"{path}[{index}]", Shape())


def _check_object(plain: Any, kind: type, path: str) -> Iterator[Fault]:
    if not isinstance(plain, dict):
        yield Fault(path, f"{show(plain)} is no object", "write it as {...}")
        return
    fields = _fields_of(kind)
    for name in plain:
        if name not in fields:
            yield Fault(
                f"{path}.{show_name(name)}",
                "is no known field",
                suggestion(name, list(fields)),
            )
    for name, field in fields.items():
        if name in plain:
            place = f"{path}.{name}"
            yield from _check(plain[name], field.type, place, shape_of(field))
        elif field.default is attrs.NOTHING:
            yield Fault(f"{path}.{name}", "is missing", "add the field")


@lru_cache(maxsize=256)
def _fields_of(kind: type) -> "dict[str, attrs.Attribute[Any]]":
    return {field.name: field for field in attrs.fields(attrs.resolve_types(kind))}


def _check_scalar(plain: Any, kind: type, path: str, shape: Shape) -> Iterator[Fault]:
    if not _is_of(plain, kind):
        yield Fault(path, f"{show(plain)} is not {TYPE_NAMES[kind]}", "correct it")
        return
    if shape.choices and plain not in shape.choices:
        remedy = suggestion(plain, list(shape.choices))
        yield Fault(path, f"{show(plain)} is not allowed", remedy)
    if kind in (int, float) and shape.bounds is not None:
        yield from _check_bounds(plain, path, shape.bounds)


def _check_bounds(plain: float, path: str, bounds: Bounds) -> Iterator[Fault]:
    if bounds.low <= plain <= bounds.high:
        return
    remedy = f"use {bounds.low:g} to {bounds.high:.10g}"
    yield Fault(path, f"{show(plain)} is out of range", remedy)


def _is_of(plain: Any, kind: type) -> bool:
    if isinstance(plain, bool):
        return kind is bool
    if kind is float:
        return isinstance(plain, int | float)
    return isinstance(plain, kind)


def suggestion(name: str, known: list[str]) -> str:
    """Return the remedy for a word that is not among the known ones.

    Examples
    --------
    >>> suggestion("timeout", ["name", "timeout_ms"])
    "write 'timeout_ms'"
    >>> suggestion("colour", ["json", "human"])
    'use one of human, json'
    """
    near = difflib.get_close_matches(name[:64], known, 1)
    if near:
        return f"write {near[0]!r}"
    return f"use one of {', '.join(sorted(known))}"


def show(value: Any) -> str:
    """Return a value as text that is short enough for a message."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    text = ascii(value)
    if len(text) <= SHOWN_MAXIMUM_LENGTH:
        return text
    return f"{text[:SHOWN_MAXIMUM_LENGTH]}..."


def show_name(name: str) -> str:
    """Return a field's name as text that is short and fits on a line."""
    return name if name.isidentifier() and len(name) <= 64 else f"[{show(name)}]"
