"""The fold: every reader of the log comes to the same configuration.

A publication is accepted if its ``base_version`` is the version in force and
the result validates; its offset becomes the version. The rule needs nothing but
the records, so it needs no lock, lease or leader.
"""

import attrs
from returns.result import Failure, Result, Success

from ..errors import MessageMalformedError
from ..faults import Fault
from ..platform.records import LogRecord
from .changes import apply_change
from .delta import Delta, apply_delta
from .document import Document
from .model import Configuration
from .records import (
    RECORD_FORMAT,
    Checkpoint,
    Publication,
    decode_record,
    document_from,
    format_of,
)
from .validate import validate

BUFFER_MAXIMUM_RECORDS = 10_000


@attrs.frozen
class Accepted:
    """A publication is the new version; ``version`` is its offset."""

    version: int
    id: str
    operator: str
    time_ms: int
    preset: str


@attrs.frozen
class Refused:
    """A publication changed nothing, and why."""

    offset: int
    id: str
    operator: str
    reason: str
    faults: tuple[Fault, ...] = ()


@attrs.frozen
class Adopted:
    """A version was taken over whole, from a checkpoint or from a peer."""

    version: int


@attrs.frozen
class CheckpointRead:
    """A checkpoint of the configuration was read."""

    offset: int
    as_of: int


@attrs.frozen
class Mismatched:
    """A checkpoint contradicts the folded configuration."""

    offset: int


@attrs.frozen
class Regressed:
    """The log ends before records that were read earlier."""

    next_offset: int
    as_of: int


@attrs.frozen
class GapFound:
    """Records were dropped by retention before they were read."""

    first_offset: int
    as_of: int


@attrs.frozen
class Unsupported:
    """A record asks for a newer program; the fold halts before it."""

    offset: int
    format: int


FoldEvent = (
    Accepted
    | Refused
    | Adopted
    | CheckpointRead
    | Mismatched
    | Regressed
    | GapFound
    | Unsupported
)


@attrs.frozen
class FoldState:
    """What a node knows of the configuration.

    Attributes
    ----------
    as_of : int
        Offset of the last record folded.
    version : int
        Offset of the publication in force; 0 before the first.
    document : Document
        The configuration in force.
    configuration : Configuration or None
        Its structured form; None before the first version.
    """

    as_of: int = 0
    version: int = 0
    document: Document = attrs.field(factory=Document)
    configuration: Configuration | None = None


class ConfigurationFold:
    """Folds records of the configuration stream in the order of the log.

    A reader that starts in mid-stream, or that lost records to retention, is
    *seeking*: it buffers the records it reads until a checkpoint whose
    ``as_of`` reaches back to them, adopts it and replays what followed.
    """

    def __init__(self) -> None:
        self.state = FoldState()
        self._seeking_from: int | None = None
        self._buffer: list[LogRecord] = []
        self._halted_at: int | None = None
        self._regressed_at: int | None = None

    @property
    def next_offset(self) -> int:
        """Offset to read from next."""
        if self._seeking_from is None:
            return self.state.as_of + 1
        if self._buffer:
            return self._buffer[-1].offset + 1
        return self._seeking_from

    @property
    def is_seeking(self) -> bool:
        """Whether a checkpoint or a peer's snapshot is needed to go on."""
        return self._seeking_from is not None

    def take(
        self, first_offset: int, next_offset: int, records: list[LogRecord]
    ) -> list[FoldEvent]:
        """Take one answer of the log.

        Parameters
        ----------
        first_offset : int
            Earliest offset that the log still holds.
        next_offset : int
            Offset that the next append will get.
        records : list of LogRecord
            Records from ``self.next_offset`` on.
        """
        if next_offset <= self.state.as_of:
            return self._note_regression(next_offset)
        self._regressed_at = None
        events: list[FoldEvent] = []
        if first_offset > self.next_offset:
            events.append(GapFound(first_offset, self.state.as_of))
            self._seeking_from = first_offset
            self._buffer = []
        for record in records:
            if self._halted_at is not None and self._halted_at <= record.offset:
                break
            if record.offset == self.next_offset:
                events.extend(self._take_record(record))
        return events

    def _note_regression(self, next_offset: int) -> list[FoldEvent]:
        if self._regressed_at == next_offset:
            return []
        self._regressed_at = next_offset
        return [Regressed(next_offset, self.state.as_of)]

    def adopt(self, delta: Delta) -> Result[Adopted, str]:
        """Take over a newer version from a peer.

        Returns
        -------
        Result
            The version, or why nothing was changed; a version that is not newer
            is never taken.
        """
        if delta.version <= self.state.version:
            return Failure("the version is not newer")
        applied = apply_delta(self.state.document, delta)
        if isinstance(applied, Failure):
            return Failure(applied.failure())
        document = applied.unwrap()
        validated = validate(document)
        if isinstance(validated, Failure):
            return Failure("the version does not validate here")
        as_of = max(delta.as_of, delta.version, self.state.as_of)
        self.state = FoldState(as_of, delta.version, document, validated.unwrap())
        if self._halted_at is not None and self._halted_at <= as_of:
            self._halted_at = None
        self._leave_seeking()
        return Success(Adopted(delta.version))

    def _leave_seeking(self) -> None:
        buffered = self._buffer
        if self._seeking_from is not None and self._seeking_from > self.state.as_of + 1:
            return
        self._seeking_from = None
        self._buffer = []
        for record in buffered:
            if record.offset == self.next_offset:
                self._take_record(record)

    def _take_record(self, record: LogRecord) -> list[FoldEvent]:
        if format_of(record.value) > RECORD_FORMAT:
            self._halted_at = record.offset
            return [Unsupported(record.offset, format_of(record.value))]
        if self._seeking_from is not None:
            return self._seek(record)
        return self._fold(record)

    def _fold(self, record: LogRecord) -> list[FoldEvent]:
        self.state = attrs.evolve(self.state, as_of=record.offset)
        try:
            decoded = decode_record(record.value)
        except MessageMalformedError as error:
            return [Refused(record.offset, "", "", str(error))]
        if isinstance(decoded, Checkpoint):
            return self._compare(record, decoded)
        return [self._decide(record, decoded)]

    def _decide(self, record: LogRecord, publication: Publication) -> FoldEvent:
        current = self.state.version
        if publication.base_version != current:
            reason = (
                f"made against version {publication.base_version} while "
                f"{current} is in force"
            )
            return Refused(record.offset, publication.id, publication.operator, reason)
        try:
            document = apply_change(publication.change, self.state.document)
        except ValueError as error:
            return Refused(
                record.offset, publication.id, publication.operator, str(error)
            )
        result = validate(document)
        if isinstance(result, Failure):
            return Refused(
                record.offset,
                publication.id,
                publication.operator,
                "the result does not validate",
                result.failure(),
            )
        configuration = result.unwrap()
        self.state = FoldState(record.offset, record.offset, document, configuration)
        return Accepted(
            record.offset,
            publication.id,
            publication.operator,
            record.time_ms,
            configuration.active_preset,
        )

    def _compare(self, record: LogRecord, checkpoint: Checkpoint) -> list[FoldEvent]:
        read = CheckpointRead(record.offset, checkpoint.as_of)
        if checkpoint.version != self.state.version:
            return [read]
        if document_from(checkpoint.entries).hash == self.state.document.hash:
            return [read]
        return [read, Mismatched(record.offset)]

    def _seek(self, record: LogRecord) -> list[FoldEvent]:
        self._buffer.append(record)
        if len(self._buffer) > BUFFER_MAXIMUM_RECORDS:
            del self._buffer[0]
            self._seeking_from = self._buffer[0].offset
        try:
            decoded = decode_record(record.value)
        except MessageMalformedError:
            return []
        if not isinstance(decoded, Checkpoint):
            return []
        return self._adopt_checkpoint(decoded)

    def _adopt_checkpoint(self, checkpoint: Checkpoint) -> list[FoldEvent]:
        seeking_from = self._seeking_from
        if seeking_from is None or checkpoint.as_of + 1 < seeking_from:
            return []
        if checkpoint.version < self.state.version:
            return []
        document = document_from(checkpoint.entries)
        result = validate(document)
        if isinstance(result, Failure):
            return []
        replayed = [r for r in self._buffer if r.offset > checkpoint.as_of]
        self._seeking_from = None
        self._buffer = []
        self.state = FoldState(
            checkpoint.as_of, checkpoint.version, document, result.unwrap()
        )
        events: list[FoldEvent] = [Adopted(checkpoint.version)]
        for record in replayed:
            events.extend(self._take_record(record))
        return events
