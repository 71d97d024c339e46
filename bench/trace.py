"""Traces: what went into a decision and what came out, as JSON lines.

The first line names the decision and its parameters. Each further line holds a
time, an input and the outputs that it must bring. A trace can be recorded from
a running decision and replayed against a later version of the program.
"""

import pathlib
import random
from collections.abc import Iterator
from typing import Any, Protocol

import attrs
import cattrs
import orjson

from azurestep.config.fold import ConfigurationFold
from azurestep.events import Event
from azurestep.once import NodeId, OnceDecision, OnceSettings
from azurestep.once import messages as once_messages
from azurestep.once.fold import LogEntry
from azurestep.platform.records import LogRecord, Page

MONOTONIC = "monotonic_ms"
WALL = "wall_ms"


@attrs.frozen
class Step:
    """One line of a trace.

    Attributes
    ----------
    wall_ms, monotonic_ms : int, float
        Time of the input.
    kind : str
        Class of the input.
    fields : dict
        Its fields.
    outputs : list of dict
        Outputs stated for it, each with its ``kind``.
    """

    wall_ms: int
    monotonic_ms: float
    kind: str
    fields: dict[str, Any]
    outputs: list[dict[str, Any]]


class Driver(Protocol):
    """A decision that can be driven by the lines of a trace."""

    def apply(self, step: Step) -> list[dict[str, Any]]:
        """Take the input of a step and return the outputs as plain data."""
        ...


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    converter.register_unstructure_hook(bytes, lambda value: value.decode())
    converter.register_structure_hook(bytes, lambda value, _type: value.encode())
    converter.register_unstructure_hook(Event, lambda event: event.number)
    return converter


CONVERTER = _make_converter()


def _plain(output: Any) -> dict[str, Any]:
    fields = CONVERTER.unstructure(output)
    return {"kind": type(output).__name__, **orjson.loads(orjson.dumps(fields))}


class OnceDriver:
    """Drives the at-most-once decision of one node."""

    def __init__(self, parameters: dict[str, Any]) -> None:
        node = NodeId(parameters["instance"], parameters["incarnation"])
        settings = OnceSettings(**parameters.get("settings", {}))
        source = random.Random(parameters.get("seed", 0))
        self._decision = OnceDecision(node, parameters["service"], settings, source)

    def apply(self, step: Step) -> list[dict[str, Any]]:
        """Take the input of a step and return the outputs as plain data."""
        message = self._message_of(step)
        moment = once_messages.Moment(step.wall_ms, step.monotonic_ms)
        outputs = self._decision.handle(message, moment)
        return [_plain(output) for output in outputs]

    def _message_of(self, step: Step) -> Any:
        if step.kind == "LogRecordsRead":
            fields = dict(step.fields)
            entries = tuple(
                LogEntry(entry["offset"], orjson.dumps(entry["record"]))
                for entry in fields.pop("entries")
            )
            return once_messages.LogRecordsRead(entries=entries, **fields)
        if step.kind == "PeerSent":
            message = dict(step.fields["message"])
            inner = getattr(once_messages, message.pop("kind"))
            sender = CONVERTER.structure(step.fields["sender"], NodeId)
            return once_messages.PeerSent(sender, CONVERTER.structure(message, inner))
        kind = getattr(once_messages, step.kind)
        return CONVERTER.structure(step.fields, kind)


class FoldDriver:
    """Drives the fold of the configuration stream."""

    def __init__(self, parameters: dict[str, Any]) -> None:
        self._fold = ConfigurationFold()

    def apply(self, step: Step) -> list[dict[str, Any]]:
        """Take a page of the log and return the events as plain data."""
        asked = {"from_offset": self._fold.next_offset, **step.fields}
        page = CONVERTER.structure(asked, Page)
        records = [LogRecord(r.offset, r.time_ms, r.value) for r in page.records]
        events = self._fold.apply_page(attrs.evolve(page, records=records))
        state = self._fold.state
        outputs = [_plain(event) for event in events]
        return [*outputs, {"kind": "State", "version": state.version}]


DRIVERS: dict[str, type[OnceDriver] | type[FoldDriver]] = {
    "once": OnceDriver,
    "fold": FoldDriver,
}


@attrs.frozen
class Mismatch:
    """A step whose outputs differ from the stated ones."""

    line: int
    stated: list[dict[str, Any]]
    found: list[dict[str, Any]]


def read_trace(path: pathlib.Path) -> tuple[dict[str, Any], list[Step]]:
    """Return the header and the steps of a trace."""
    header, *lines = (orjson.loads(line) for line in path.read_bytes().splitlines())
    return header, [cattrs.structure(line, Step) for line in lines]


def replay(path: pathlib.Path) -> Iterator[Mismatch]:
    """Drive a decision with a trace and yield what differs from it."""
    header, steps = read_trace(path)
    driver: Driver = DRIVERS[header["decision"]](header)
    for line, step in enumerate(steps, start=2):
        found = driver.apply(step)
        if found != step.outputs:
            yield Mismatch(line, step.outputs, found)


def record(path: pathlib.Path, header: dict[str, Any], steps: list[Step]) -> None:
    """Drive a decision with inputs and write the trace with its outputs."""
    driver: Driver = DRIVERS[header["decision"]](header)
    lines = [orjson.dumps(header)]
    for step in steps:
        outputs = driver.apply(step)
        lines.append(orjson.dumps(attrs.asdict(attrs.evolve(step, outputs=outputs))))
    path.write_bytes(b"\n".join(lines) + b"\n")
