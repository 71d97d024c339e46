"""Records of the audit stream and their JSON form."""

from functools import singledispatch
from typing import Any

import attrs
import cattrs
import orjson
from cattrs.strategies import configure_tagged_union
from returns.result import Failure, Result, Success

STREAM = "audit"
FORMAT = 1


@attrs.frozen
class PublicationAccepted:
    """A publication became a version.

    Attributes
    ----------
    version : int
        Its offset on the configuration stream.
    preset : str
        Preset that it put in force; empty if it names none.
    accepted_ms : int
        Wall-clock time of the platform's log.
    """

    version: int
    id: str
    operator: str
    base_version: int
    change: str
    preset: str
    accepted_ms: int


@attrs.frozen
class PublicationRefused:
    """A publication changed nothing, and why."""

    offset: int
    id: str
    operator: str
    reason: str
    refused_ms: int


@attrs.frozen
class PresetInForce:
    """Another preset is in force from a version on."""

    version: int
    preset: str
    operator: str
    accepted_ms: int


@attrs.frozen
class MissingInstance:
    """An instance that has not applied a version, and the reason."""

    instance: str
    reason: str


@attrs.frozen
class VersionInForce:
    """Which instances of a data centre have a version in force.

    Attributes
    ----------
    members, in_force : int
        Live instances, and those that applied the version.
    instances : list of str
        Who applied it.
    missing : list of MissingInstance
        Some of those that have not.
    first_ms, last_ms : int
        Wall-clock time of the first and the last application known.
    amendment : int
        0 for the first record of a version, then counted by its writer.
    """

    data_centre: str
    version: int
    hash: str
    members: int
    in_force: int
    instances: list[str]
    missing: list[MissingInstance]
    first_ms: int
    last_ms: int
    amendment: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether every live instance had the version in force."""
        return self.members > 0 and self.in_force >= self.members


@attrs.frozen
class DrainBegun:
    """An instance began to stop gracefully."""

    instance: str
    begun_ms: int
    in_flight: int


@attrs.frozen
class DrainEnded:
    """An instance ended its graceful stop.

    Attributes
    ----------
    requests_cut : int
        Requests that had no whole answer when the node gave up on them.
    handed_over : bool
        Whether every slot went to a successor.
    """

    instance: str
    begun_ms: int
    ended_ms: int
    requests_cut: int
    handed_over: bool = True


@attrs.frozen
class RequestRun:
    """A request that must not repeat was sent to a backend server once.

    Attributes
    ----------
    outcome : str
        ``ran``, ``not_run`` or ``may_have_run``.
    """

    key: str
    service: str
    instance: str
    run: str
    outcome: str
    at_ms: int


@attrs.frozen
class Gap:
    """Audit items that were lost, as far as that is known.

    Attributes
    ----------
    origin : str
        Whose items they were: an instance or a data centre.
    from_ms, to_ms : int
        Wall-clock times between which they arose.
    count : int
        How many were lost; 0 if that is not known.
    reason : str
        Why.
    """

    origin: str
    from_ms: int
    to_ms: int
    count: int
    reason: str


Item = (
    PublicationAccepted
    | PublicationRefused
    | PresetInForce
    | VersionInForce
    | DrainBegun
    | DrainEnded
    | RequestRun
    | Gap
)


@attrs.frozen
class Entry:
    """An item with its number.

    Attributes
    ----------
    origin, run : str
        Instance that numbered it, and the random name of that run of its node;
        empty for what a writer derives, which any writer derives alike.
    number : int
        Counts the items of the run from 1 without holes; 0 if derived.
    """

    item: Item
    origin: str = ""
    run: str = ""
    number: int = 0


@attrs.frozen
class Batch:
    """One record of the audit stream.

    Attributes
    ----------
    id : str
        Unique name; a repeated append keeps it.
    data_centre, writer : str
        Who wrote it, and for which data centre.
    covers : int
        Offset of the configuration stream up to which this data centre's
        trail holds every publication.
    """

    id: str
    data_centre: str
    writer: str
    covers: int
    entries: list[Entry]
    format: int = FORMAT


CONVERTER = cattrs.Converter(omit_if_default=True)
configure_tagged_union(Item, CONVERTER, tag_name="kind")


def encode_entry(entry: Entry) -> bytes:
    """Return the JSON text of an entry."""
    return orjson.dumps(CONVERTER.unstructure(entry))


def decode_entry(raw: bytes) -> Result[Entry, str]:
    """Read an entry from its JSON text; the failure says why it is none."""
    try:
        return Success(CONVERTER.structure(orjson.loads(raw), Entry))
    except Exception as error:
        return Failure(f"{type(error).__name__}: {error}")


def encode_batch(batch: Batch) -> bytes:
    """Return the JSON text of a batch."""
    return orjson.dumps(CONVERTER.unstructure(batch))


def decode_batch(value: Any) -> Result[Batch, str]:
    """Read a batch from the JSON value that the log returned."""
    try:
        return Success(CONVERTER.structure(value, Batch))
    except Exception as error:
        return Failure(f"{type(error).__name__}: {error}")


def identity_of(entry: Entry) -> tuple[object, ...]:
    """Return what is equal for copies of one entry, whoever wrote them."""
    if entry.number:
        return (entry.origin, entry.run, entry.number)
    return (type(entry.item).__name__, *_identity(entry.item))


@singledispatch
def _identity(item: Item) -> tuple[object, ...]:
    return (item,)


@_identity.register
def _(item: PublicationAccepted) -> tuple[object, ...]:
    return (item.version,)


@_identity.register
def _(item: PublicationRefused) -> tuple[object, ...]:
    return (item.offset,)


@_identity.register
def _(item: PresetInForce) -> tuple[object, ...]:
    return (item.version,)


@_identity.register
def _(item: VersionInForce) -> tuple[object, ...]:
    counts = (item.members, item.in_force, item.last_ms)
    return (item.data_centre, item.version, *counts)


@_identity.register
def _(item: Gap) -> tuple[object, ...]:
    return (item.origin, item.from_ms, item.to_ms, item.count, item.reason)
