"""Validation of a configuration, which reports every fault.

Unknown fields are faults in an operator's file, where they are usually typing
errors. In records of the log they are kept, because a newer program may have
written them.
"""

from collections.abc import Iterator
from typing import Any

import cattrs
import orjson
from returns.result import Failure, Result, Success

from ..faults import Fault
from ..shape import find_faults, show
from .document import (
    LIST_SECTIONS,
    Document,
    EntryKey,
    Section,
    document_from_dict,
    document_to_dict,
)
from .model import Configuration
from .rules import check_configuration

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 16
MAX_ENTRIES = 20_000

STRICT = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
TOLERANT = cattrs.Converter(forbid_extra_keys=False, detailed_validation=True)

Faults = tuple[Fault, ...]


def read_document(raw: bytes) -> Result[Document, Faults]:
    """Validate an operator's JSON text and return its document.

    Returns
    -------
    Result
        The document, or all faults with JSON path and remedy.
    """
    parsed = parse_json(raw)
    if isinstance(parsed, Failure):
        return Failure(parsed.failure())
    plain = parsed.unwrap()
    faults = find_faults(plain, Configuration)
    if faults:
        return Failure(tuple(faults))
    document = document_from_dict(plain)
    result = _structure(plain, STRICT)
    if isinstance(result, Failure):
        return Failure(result.failure())
    found = tuple(check_configuration(result.unwrap()))
    return Failure(found) if found else Success(document)


def parse_json(raw: bytes) -> Result[dict[str, Any], Faults]:
    """Parse JSON text of limited size and depth whose root is an object."""
    if len(raw) > MAX_DOCUMENT_BYTES:
        return _failure(
            "$",
            f"{len(raw)} bytes are more than {MAX_DOCUMENT_BYTES}",
            "publish the parts as separate edits",
        )
    try:
        plain = orjson.loads(raw)
    except (orjson.JSONDecodeError, RecursionError) as error:
        return _failure("$", f"is not JSON: {error}", "correct the text at that place")
    if not isinstance(plain, dict):
        return _failure("$", "is not an object", "write the configuration as {...}")
    if _depth(plain) > MAX_DEPTH:
        return _failure(
            "$", f"is nested deeper than {MAX_DEPTH}", "remove the extra nesting"
        )
    return Success(plain)


def _failure(path: str, problem: str, remedy: str) -> Failure[Faults]:
    return Failure((Fault(path, problem, remedy),))


def _depth(value: Any) -> int:
    depth = 0
    level = [value]
    while level and depth <= MAX_DEPTH:
        depth += 1
        level = [
            item
            for container in level
            for item in (
                container.values() if isinstance(container, dict) else container
            )
            if isinstance(item, dict | list)
        ]
    return depth


def validate(document: Document) -> Result[Configuration, Faults]:
    """Structure a document from the log and check it."""
    if len(document.entries) > MAX_ENTRIES:
        return _failure(
            "$", f"has more than {MAX_ENTRIES} entries", "remove unused entries"
        )
    malformed = tuple(_check_entries(document))
    if malformed:
        return Failure(malformed)
    result = _structure(document_to_dict(document), TOLERANT)
    if isinstance(result, Failure):
        return result
    faults = tuple(check_configuration(result.unwrap()))
    return Failure(faults) if faults else result


def _check_entries(document: Document) -> Iterator[Fault]:
    """Yield the faults of entries that don't match their section and name."""
    for key, body in document.entries.items():
        path = _path_of(key)
        try:
            plain = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            yield Fault(path, f"is not JSON: {error}", "publish the entry again")
            continue
        if not isinstance(plain, dict):
            yield Fault(path, f"{show(plain)} is not an object", "write it as {...}")
        elif key.section is Section.FLEET:
            yield from _check_fleet(key, plain)
        elif plain.get("name") != key.name:
            yield Fault(
                path,
                f"holds the name {show(plain.get('name'))}",
                "give the entry and its key the same name",
            )


def _check_fleet(key: EntryKey, plain: dict[str, Any]) -> Iterator[Fault]:
    if key.name:
        yield Fault(_path_of(key), "is an extra entry of the fleet", "remove it")
    for section in LIST_SECTIONS:
        if section.field in plain:
            yield Fault(
                f"$.{section.field}",
                "is part of the fleet's entry",
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
