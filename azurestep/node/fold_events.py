"""Which numbered event each decision of the fold is logged as."""

from functools import singledispatch

import attrs

from .. import events
from ..config.fold import (
    Accepted,
    FoldEvent,
    GapFound,
    Mismatched,
    Refused,
    Regressed,
    Unsupported,
)


@singledispatch
def log_fold_event(event: FoldEvent) -> None:
    """Log a decision of the fold; the rest of them is not worth a line."""


@log_fold_event.register
def _(event: Accepted) -> None:
    events.emit(events.PUBLICATION_ACCEPTED, **attrs.asdict(event))


@log_fold_event.register
def _(event: Refused) -> None:
    events.emit(events.PUBLICATION_REFUSED, **attrs.asdict(event))


@log_fold_event.register
def _(event: Mismatched) -> None:
    events.emit(events.CHECKPOINT_MISMATCH, **attrs.asdict(event))


@log_fold_event.register
def _(event: Regressed) -> None:
    events.emit(events.LOG_REGRESSED, **attrs.asdict(event))


@log_fold_event.register
def _(event: GapFound) -> None:
    events.emit(events.RETENTION_GAP, **attrs.asdict(event))


@log_fold_event.register
def _(event: Unsupported) -> None:
    events.emit(events.FORMAT_UNSUPPORTED, **attrs.asdict(event))
