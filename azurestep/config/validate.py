"""Checks of a configuration: every fault is found, not the first alone.

Two strictnesses exist. An operator's file is refused for a field that the
program does not know, since that is nearly always a typing error. A record on
the log may come from a newer program, so unknown fields are kept there.
"""

import re
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

import attrs
import cattrs
import orjson
from returns.result import Failure, Result, Success

from ..faults import Fault
from ..shape import find_faults, show
from .document import LISTS, Document, EntryKey, Section, document_of, plain_of
from .model import (
    FORMAT,
    Configuration,
    LimitRule,
    Preset,
    RetryRule,
    Route,
    SelectionRule,
    Service,
)

DOCUMENT_MAXIMUM_BYTES = 4 * 1024 * 1024
DEPTH_MAXIMUM = 16
ENTRIES_MAXIMUM = 20_000
TIMEOUT_MAXIMUM_MS = 3_600_000
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?")

STRICT = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
TOLERANT = cattrs.Converter(forbid_extra_keys=False, detailed_validation=True)

Faults = tuple[Fault, ...]


def read_document(raw: bytes) -> Result[Document, Faults]:
    """Check an operator's JSON text and return its document.

    Returns
    -------
    Result
        The document, or every fault with its JSON path and remedy.
    """
    parsed = parse_json(raw)
    if isinstance(parsed, Failure):
        return Failure(parsed.failure())
    plain = parsed.unwrap()
    faults = find_faults(plain, Configuration)
    if faults:
        return Failure(tuple(faults))
    document = document_of(plain)
    result = _structure(plain, STRICT)
    if isinstance(result, Failure):
        return Failure(result.failure())
    found = tuple(check_configuration(result.unwrap()))
    return Failure(found) if found else Success(document)


def parse_json(raw: bytes) -> Result[dict[str, Any], Faults]:
    """Parse bounded JSON text whose root is an object."""
    if len(raw) > DOCUMENT_MAXIMUM_BYTES:
        return _failure(
            "$",
            f"{len(raw)} bytes are more than {DOCUMENT_MAXIMUM_BYTES}",
            "publish the parts as separate edits",
        )
    try:
        plain = orjson.loads(raw)
    except (orjson.JSONDecodeError, RecursionError) as error:
        return _failure("$", f"is not JSON: {error}", "correct the text at that place")
    if not isinstance(plain, dict):
        return _failure("$", "is not an object", "write the configuration as {...}")
    if _depth(plain) > DEPTH_MAXIMUM:
        return _failure(
            "$", f"is nested deeper than {DEPTH_MAXIMUM}", "remove the extra nesting"
        )
    return Success(plain)


def _failure(path: str, problem: str, remedy: str) -> Failure[Faults]:
    return Failure((Fault(path, problem, remedy),))


def _depth(value: Any) -> int:
    depth = 0
    level = [value]
    while level and depth <= DEPTH_MAXIMUM:
        depth += 1
        level = [
            item
            for node in level
            for item in (node.values() if isinstance(node, dict) else node)
            if isinstance(item, dict | list)
        ]
    return depth


def validate(document: Document) -> Result[Configuration, Faults]:
    """Structure a document that came from the log and check it whole."""
    if len(document.entries) > ENTRIES_MAXIMUM:
        return _failure(
            "$", f"has more than {ENTRIES_MAXIMUM} entries", "remove unused entries"
        )
    malformed = tuple(_check_entries(document))
    if malformed:
        return Failure(malformed)
    result = _structure(plain_of(document), TOLERANT)
    if isinstance(result, Failure):
        return result
    faults = tuple(check_configuration(result.unwrap()))
    return Failure(faults) if faults else result


def _check_entries(document: Document) -> Iterator[Fault]:
    """Yield the entries that can't be the part of a configuration they claim."""
    for key, body in document.entries.items():
        path = _path_of(key)
        try:
            plain = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            yield Fault(path, f"is not JSON: {error}", "publish the entry again")
            continue
        if not isinstance(plain, dict):
            yield Fault(path, f"{show(plain)} is no object", "write it as {...}")
        elif key.section is Section.FLEET:
            yield from _check_fleet(key, plain)
        elif plain.get("name") != key.name:
            yield Fault(
                path,
                f"holds the name {show(plain.get('name'))}",
                "give the entry and its place the same name",
            )


def _check_fleet(key: EntryKey, plain: dict[str, Any]) -> Iterator[Fault]:
    if key.name:
        yield Fault(_path_of(key), "stands beside the fleet's entry", "remove it")
    for section in LISTS:
        if section.field in plain:
            yield Fault(
                f"$.{section.field}",
                "stands in the fleet's entry",
                "write each item as an entry of its own",
            )


def _path_of(key: EntryKey) -> str:
    if key.section is Section.FLEET:
        return "$"
    return f"$.{key.section.field}[{show(key.name)}]"


def _structure(
    plain: dict[str, Any], converter: cattrs.Converter
) -> Result[Configuration, Faults]:
    try:
        return Success(converter.structure(plain, Configuration))
    except cattrs.BaseValidationError as error:
        lines = cattrs.transform_error(error, path="$")
        return Failure(tuple(_fault_of(line) for line in lines))


def _fault_of(line: str) -> Fault:
    problem, _, path = line.rpartition(" @ ")
    if not problem:
        return Fault("$", line, "correct the field")
    if problem.startswith("extra fields"):
        return Fault(path, problem, "remove the field or correct its name")
    if problem.startswith("required field"):
        return Fault(path, problem, "add the field")
    return Fault(path, problem, "give a value of the right type")


def check_configuration(configuration: Configuration) -> Iterator[Fault]:
    """Yield every fault that the types alone don't show."""
    if configuration.format > FORMAT:
        yield Fault(
            "$.format",
            f"{configuration.format} is newer than {FORMAT}",
            "upgrade this program first",
        )
    yield from _check_names("services", configuration.services)
    yield from _check_names("routes", configuration.routes)
    yield from _check_names("presets", configuration.presets)
    services = {service.name for service in configuration.services}
    routes = {route.name for route in configuration.routes}
    for index, service in enumerate(configuration.services):
        yield from _check_service(f"$.services[{index}]", service)
    for index, route in enumerate(configuration.routes):
        yield from _check_route(f"$.routes[{index}]", route, services)
    for index, preset in enumerate(configuration.presets):
        yield from _check_preset(f"$.presets[{index}]", preset, services, routes)
    if configuration.active_preset not in {p.name for p in configuration.presets}:
        yield Fault(
            "$.active_preset",
            f"{configuration.active_preset!r} is no preset",
            "name one of the presets",
        )


def _check_names(
    field: str, items: Sequence[Service | Route | Preset]
) -> Iterator[Fault]:
    counts = Counter(item.name for item in items)
    for index, item in enumerate(items):
        path = f"$.{field}[{index}].name"
        if not NAME_PATTERN.fullmatch(item.name):
            yield Fault(
                path,
                f"{item.name!r} is no name",
                "use up to 64 of a-z, 0-9, '.', '_' and '-'",
            )
        if counts[item.name] > 1:
            yield Fault(path, f"{item.name!r} stands twice", "rename one of them")


def _check_range(path: str, value: float, low: float, high: float) -> Iterator[Fault]:
    if not low <= value <= high:
        yield Fault(path, f"{value} is out of range", f"use {low} to {high}")


def _check_service(path: str, service: Service) -> Iterator[Fault]:
    yield from _check_range(
        f"{path}.timeout_ms", service.timeout_ms, 1, TIMEOUT_MAXIMUM_MS
    )
    yield from _check_range(
        f"{path}.connect_timeout_ms", service.connect_timeout_ms, 1, service.timeout_ms
    )
    yield from _check_rules(path, service.retry, service.limits, service.selection)


def _check_rules(
    path: str,
    retry: RetryRule | None,
    limits: LimitRule | None,
    selection: SelectionRule | None,
) -> Iterator[Fault]:
    if retry is not None:
        yield from _check_range(f"{path}.retry.max_attempts", retry.max_attempts, 1, 5)
        yield from _check_range(f"{path}.retry.budget_ratio", retry.budget_ratio, 0, 1)
    if limits is not None:
        yield from _check_range(f"{path}.limits.slots", limits.slots, 1, 100_000)
        yield from _check_range(
            f"{path}.limits.queue_length", limits.queue_length, 0, 100_000
        )
        yield from _check_range(
            f"{path}.limits.queue_timeout_ms",
            limits.queue_timeout_ms,
            0,
            TIMEOUT_MAXIMUM_MS,
        )
    if selection is not None:
        for name in ("spill_over_ratio", "ejection_ratio"):
            yield from _check_range(
                f"{path}.selection.{name}", getattr(selection, name), 0, 1
            )
        for name in ("ramp_up_ms", "ejection_ms"):
            yield from _check_range(
                f"{path}.selection.{name}",
                getattr(selection, name),
                0,
                TIMEOUT_MAXIMUM_MS,
            )


def _check_route(path: str, route: Route, services: set[str]) -> Iterator[Fault]:
    if route.service not in services:
        yield Fault(
            f"{path}.service",
            f"{route.service!r} is no service",
            "name one of the services or add it",
        )
    if not route.path_prefix.startswith("/"):
        yield Fault(
            f"{path}.path_prefix",
            f"{route.path_prefix!r} does not begin with '/'",
            "write the whole path",
        )
    for index, method in enumerate(route.methods):
        if not (method.isascii() and method.isalpha() and method.isupper()):
            yield Fault(
                f"{path}.methods[{index}]",
                f"{method!r} is no method",
                "use upper case, for example GET",
            )
    if route.timeout_ms is not None:
        yield from _check_range(
            f"{path}.timeout_ms", route.timeout_ms, 1, TIMEOUT_MAXIMUM_MS
        )


def _check_preset(
    path: str, preset: Preset, services: set[str], routes: set[str]
) -> Iterator[Fault]:
    shares = attrs.asdict(preset.class_shares)
    for name, share in shares.items():
        yield from _check_range(f"{path}.class_shares.{name}", share, 0, 1)
    for index, patch in enumerate(preset.services):
        place = f"{path}.services[{index}]"
        if patch.service not in services:
            yield Fault(
                f"{place}.service",
                f"{patch.service!r} is no service",
                "name one of the services",
            )
        if patch.timeout_ms is not None:
            yield from _check_range(
                f"{place}.timeout_ms", patch.timeout_ms, 1, TIMEOUT_MAXIMUM_MS
            )
        yield from _check_rules(place, patch.retry, patch.limits, patch.selection)
    for index, route_patch in enumerate(preset.routes):
        place = f"{path}.routes[{index}]"
        if route_patch.route not in routes:
            yield Fault(
                f"{place}.route",
                f"{route_patch.route!r} is no route",
                "name one of the routes",
            )
        if route_patch.service is not None and route_patch.service not in services:
            yield Fault(
                f"{place}.service",
                f"{route_patch.service!r} is no service",
                "name one of the services",
            )
