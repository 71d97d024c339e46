"""Configuration computed from the log, the same for every reader.

A publication is accepted if its ``base_version`` is the version in force and
the resulting configuration is valid. Its offset becomes the version. The
decision depends on the records alone, so no lock, lease or leader is needed.
"""

import attrs
from returns.result import Failure, Result, Success

from ..errors import MessageMalformedError
from ..platform.records import LogRecord, Page
from .changes import apply_change
from .delta import Delta, apply_delta
from .document import Document
from .fold_events import (
    Accepted,
    Adopted,
    CheckpointRead,
    FoldEvent,
    GapFound,
    Mismatched,
    Refused,
    Regressed,
    Unsupported,
)
from .model import Configuration
from .records import (
    RECORD_FORMAT,
    Checkpoint,
    Filler,
    Publication,
    decode_record,
    document_from_entries,
    format_of,
)
from .validate import validate

MAX_BUFFERED_RECORDS = 10_000
MAX_REMEMBERED_IDS = 1024


@attrs.frozen
class FoldState:
    """Configuration after a record of the log.

    Attributes
    ----------
    as_of : int
        Offset of the last record applied.
    version : int
        Offset of the publication in force; 0 before the first.
    document : Document
        The configuration in force.
    configuration : Configuration or None
        Structured form of the document; None before the first version.
    """

    as_of: int = 0
    version: int = 0
    document: Document = attrs.field(factory=Document)
    configuration: Configuration | None = None


class ConfigurationFold:
    """Applies records of the configuration stream in the order of the log.

    A fold that missed records dropped by retention is incomplete: it buffers
    records until it reads a checkpoint that covers the missing ones. It then
    adopts the checkpoint and replays the buffered records after ``as_of``.
    """

    def __init__(self) -> None:
        self.state = FoldState()
        self._buffer_start: int | None = None
        self._buffer: list[LogRecord] = []
        self._halted_at: int | None = None
        self._regressed_at: int | None = None
        self._accepted_ids: dict[str, None] = {}

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read."""
        if self._buffer_start is None:
            return self.state.as_of + 1
        if self._buffer:
            return self._buffer[-1].offset + 1
        return self._buffer_start

    @property
    def is_halted(self) -> bool:
        """Whether the next record requires a newer program."""
        return self._halted_at == self.next_offset

    @property
    def is_incomplete(self) -> bool:
        """Whether a checkpoint or a peer's snapshot is needed to continue."""
        return self._buffer_start is not None

    def apply_page(self, page: Page) -> list[FoldEvent]:
        """Apply the log's answer to a read from ``self.next_offset``."""
        if page.next_offset < page.from_offset:
            return self._record_regression(page.next_offset)
        self._regressed_at = None
        events: list[FoldEvent] = []
        if page.first_offset > self.next_offset:
            events.append(self._mark_incomplete(page.first_offset))
        for record in page.records:
            if self.is_halted:
                break
            if record.offset == self.next_offset:
                events.extend(self._apply_record(record))
        return events

    def _record_regression(self, next_offset: int) -> list[FoldEvent]:
        # Records after the restored end may differ from the buffered ones.
        self._buffer = []
        if self._regressed_at == next_offset:
            return []
        self._regressed_at = next_offset
        return [Regressed(next_offset, self.state.as_of)]

    def _mark_incomplete(self, offset: int) -> GapFound:
        self._buffer_start = offset
        self._buffer = []
        return GapFound(offset, self.state.as_of)

    def adopt(self, delta: Delta) -> Result[list[FoldEvent], str]:
        """Apply a delta from a peer if its version is newer.

        Returns
        -------
        Result
            ``Adopted`` and the events of the buffered records, or the reason why
            nothing changed.
        """
        if delta.version <= self.state.version:
            return Failure("the version is not newer")
        applied = apply_delta(self.state.document, delta)
        if isinstance(applied, Failure):
            return Failure(applied.failure())
        document = applied.unwrap()
        validated = validate(document)
        if isinstance(validated, Failure):
            return Failure("the version is not valid for this program")
        as_of = max(delta.as_of, delta.version, self.state.as_of)
        self.state = FoldState(as_of, delta.version, document, validated.unwrap())
        if self._halted_at is not None and self._halted_at <= as_of:
            self._halted_at = None
        return Success([Adopted(delta.version), *self._replay_if_complete()])

    def _replay_if_complete(self) -> list[FoldEvent]:
        if self._buffer_start is None or self._buffer_start > self.state.as_of + 1:
            return []
        return self._replay(self._buffer)

    def _replay(self, records: list[LogRecord]) -> list[FoldEvent]:
        self._buffer_start = None
        self._buffer = []
        events: list[FoldEvent] = []
        for record in records:
            if record.offset == self.next_offset:
                events.extend(self._apply_record(record))
        return events

    def _apply_record(self, record: LogRecord) -> list[FoldEvent]:
        if format_of(record.value) > RECORD_FORMAT:
            self._halted_at = record.offset
            return [Unsupported(record.offset, format_of(record.value))]
        if self._buffer_start is not None:
            return self._buffer_record(record)
        return self._fold(record)

    def _fold(self, record: LogRecord) -> list[FoldEvent]:
        self.state = attrs.evolve(self.state, as_of=record.offset)
        try:
            decoded = decode_record(record.value)
        except MessageMalformedError as error:
            return [Refused(record.offset, "", "", str(error))]
        if isinstance(decoded, Filler):
            return []
        if isinstance(decoded, Checkpoint):
            return self._compare_checkpoint(record, decoded)
        if decoded.id in self._accepted_ids:
            return []
        return [self._decide(record, decoded)]

    def _record_accepted_id(self, id: str) -> None:
        self._accepted_ids[id] = None
        if len(self._accepted_ids) > MAX_REMEMBERED_IDS:
            del self._accepted_ids[next(iter(self._accepted_ids))]

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
        self._record_accepted_id(publication.id)
        self.state = FoldState(record.offset, record.offset, document, configuration)
        return Accepted(
            record.offset,
            publication.id,
            publication.operator,
            record.time_ms,
            configuration.active_preset,
        )

    def _compare_checkpoint(
        self, record: LogRecord, checkpoint: Checkpoint
    ) -> list[FoldEvent]:
        read = CheckpointRead(record.offset, checkpoint.as_of)
        folded = _state_of(checkpoint, record.offset)
        if folded is None:
            return [read]
        if checkpoint.version > self.state.version:
            # The log was restored and lost publications that are in force.
            return [read, self._mark_incomplete(checkpoint.as_of + 1)]
        if self._has_other_hash(folded):
            return [read, Mismatched(record.offset)]
        return [read]

    def _has_other_hash(self, folded: FoldState) -> bool:
        if folded.version != self.state.version:
            return False
        return folded.document.hash != self.state.document.hash

    def _buffer_record(self, record: LogRecord) -> list[FoldEvent]:
        self._buffer.append(record)
        if len(self._buffer) > MAX_BUFFERED_RECORDS:
            del self._buffer[0]
            self._buffer_start = self._buffer[0].offset
        try:
            decoded = decode_record(record.value)
        except MessageMalformedError:
            return []
        if not isinstance(decoded, Checkpoint):
            return []
        return self._adopt_checkpoint(record, decoded)

    def _adopt_checkpoint(
        self, record: LogRecord, checkpoint: Checkpoint
    ) -> list[FoldEvent]:
        buffer_start = self._buffer_start
        if buffer_start is None or checkpoint.as_of + 1 < buffer_start:
            return []
        if checkpoint.version < self.state.version:
            return []
        folded = _state_of(checkpoint, record.offset)
        if folded is None:
            return []
        if self._has_other_hash(folded):
            return [Mismatched(record.offset)]
        self.state = folded
        return [Adopted(checkpoint.version), *self._replay(self._buffer)]


def _state_of(checkpoint: Checkpoint, offset: int) -> FoldState | None:
    if not checkpoint.version <= checkpoint.as_of < offset:
        return None
    try:
        document = document_from_entries(checkpoint.entries)
    except ValueError:
        return None
    result = validate(document)
    if isinstance(result, Failure):
        return None
    return FoldState(checkpoint.as_of, checkpoint.version, document, result.unwrap())
