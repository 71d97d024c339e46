"""Answers of the audit trail, as programs get them with ``--json``."""

import attrs

from .records import (
    DrainBegun,
    DrainEnded,
    Gap,
    MissingInstance,
    PublicationAccepted,
    PublicationRefused,
    RequestRun,
)


@attrs.frozen
class DataCentreVersion:
    """A version in one data centre.

    Attributes
    ----------
    state : str
        ``complete``; ``partial``; ``superseded`` if a later version replaced it
        before its instances were counted; ``unknown`` if the trail says nothing.
    in_force, members : int
        Instances that had applied it, and live instances, in the first complete
        record, or in the newest one if none is complete.
    first_ms, last_ms : int or None
        First and last application, in that record.
    duration_ms : int or None
        From the acceptance to the last application; None if not complete.
    amendments : int
        Records after the first.
    instances : list of str
        Everyone who applied it, by all records.
    missing : list of MissingInstance
        Who never did, by the newest record, and why.
    """

    data_centre: str
    state: str
    in_force: int = 0
    members: int = 0
    first_ms: int | None = None
    last_ms: int | None = None
    duration_ms: int | None = None
    amendments: int = 0
    instances: list[str] = attrs.field(factory=list)
    missing: list[MissingInstance] = attrs.field(factory=list)


@attrs.frozen
class VersionHistory:
    """A version and where it was in force.

    Attributes
    ----------
    accepted_ms : int or None
        When the platform's log took it; None if the trail no longer says.
    preset : str
        Preset in force with it.
    """

    version: int
    operator: str
    preset: str
    accepted_ms: int | None
    data_centres: list[DataCentreVersion]


@attrs.frozen
class VersionsAnswer:
    """Which versions were in force where.

    Attributes
    ----------
    at_ms : int or None
        Moment that was asked for.
    gaps : list of Gap
        Losses; what they cover may be missing from the answer.
    """

    versions: list[VersionHistory]
    gaps: list[Gap]
    at_ms: int | None = None
    instance: str | None = None


@attrs.frozen
class PublicationsAnswer:
    """What was published, and what became of it."""

    accepted: list[PublicationAccepted]
    refused: list[PublicationRefused]
    gaps: list[Gap]


@attrs.frozen
class Drain:
    """A graceful stop; ``ended`` is None if the trail holds no end."""

    begun: DrainBegun
    ended: DrainEnded | None


@attrs.frozen
class DrainsAnswer:
    """The graceful stops, and how many requests they cut."""

    drains: list[Drain]
    gaps: list[Gap]


@attrs.frozen
class SlotOwner:
    """Who owned the slot of a key at the time of the key.

    Attributes
    ----------
    state : str
        ``owned``, ``never_owned`` if no node ever could accept the key, or
        ``unknown``.
    """

    service: str
    slot: int
    state: str
    instance: str = ""
    run: str = ""
    start_ms: int = 0
    end_ms: int = 0


@attrs.frozen
class RequestAnswer:
    """What the log proves of a request that must not repeat.

    Attributes
    ----------
    key_ms : int
        Creation time of the key, by the caller's clock.
    conclusion : str
        One sentence for people.
    """

    key: str
    key_ms: int
    conclusion: str
    runs: list[RequestRun]
    owners: list[SlotOwner]
    gaps: list[Gap]


@attrs.frozen
class GapsAnswer:
    """Every known loss of audit items."""

    gaps: list[Gap]
