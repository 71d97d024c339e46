"""State transitions of one slot, as pure functions.

Intervals of one slot never overlap: a claim starts at or after the end of the
last interval, and only the owner of the last interval can extend it.
"""

import attrs

from .records import Claim, Extend, Interval, IntervalState, Release
from .settings import MAX_INTERVAL_MS

MAX_INTERVALS = 8


@attrs.frozen
class SlotState:
    """Intervals of one slot.

    Attributes
    ----------
    horizon_ms : int
        Key time below which the owners are unknown.
    intervals : tuple of Interval
        Disjoint intervals, oldest first.
    """

    horizon_ms: int = 0
    intervals: tuple[Interval, ...] = ()

    @property
    def last(self) -> Interval | None:
        """The last interval."""
        return self.intervals[-1] if self.intervals else None

    @property
    def last_end_ms(self) -> int:
        """Key time from which on the slot can be claimed."""
        return self.intervals[-1].end_ms if self.intervals else self.horizon_ms

    def covering(self, time_ms: int) -> Interval | None:
        """Return the interval that covers a key time."""
        for interval in reversed(self.intervals):
            if interval.covers(time_ms):
                return interval
        return None

    def is_gap(self, time_ms: int) -> bool:
        """Return whether no node owns this key time or ever can.

        No later record lets a node own this time, so the state may be outdated.
        """
        if not self.horizon_ms <= time_ms < self.last_end_ms:
            return False
        return self.covering(time_ms) is None


def claim(state: SlotState, record: Claim) -> SlotState:
    """Return the state after a claim; unchanged if the claim is invalid."""
    length_ms = record.end_ms - record.start_ms
    if not 0 < length_ms <= MAX_INTERVAL_MS:
        return state
    if record.start_ms < state.last_end_ms:
        return state
    interval = Interval(
        record.node,
        record.start_ms,
        record.end_ms,
        tenure=record.id,
        cut_ms=record.start_ms,
    )
    return _drop_oldest(SlotState(state.horizon_ms, (*state.intervals, interval)))


def extend(state: SlotState, record: Extend) -> SlotState:
    """Return the state after an extension; unchanged if it is invalid."""
    last = state.last
    if last is None or not _is_held_by(last, record.node):
        return state
    if not last.end_ms < record.end_ms <= last.end_ms + MAX_INTERVAL_MS:
        return state
    return _with_last(state, attrs.evolve(last, end_ms=record.end_ms))


def release(state: SlotState, record: Release, tenure: str) -> SlotState:
    """Return the state after a release of a tenure; unchanged if it is invalid."""
    last = state.last
    if last is None or not _is_held_by(last, record.node) or last.tenure != tenure:
        return state
    cut_ms = max(record.cut_ms, last.cut_ms, last.start_ms + 1)
    cut_ms = min(cut_ms, last.end_ms)
    if record.successor is None:
        released = attrs.evolve(last, end_ms=cut_ms, state=IntervalState.RELEASED)
        return _with_last(state, released)
    moved = attrs.evolve(
        last,
        node=record.successor,
        tenure=record.id,
        cut_ms=cut_ms,
        digest=record.digest,
    )
    return _with_last(state, moved)


def _is_held_by(interval: Interval, node: object) -> bool:
    return interval.node == node and interval.state is IntervalState.HELD


def _with_last(state: SlotState, interval: Interval) -> SlotState:
    return attrs.evolve(state, intervals=(*state.intervals[:-1], interval))


def _drop_oldest(state: SlotState) -> SlotState:
    if len(state.intervals) <= MAX_INTERVALS:
        return state
    dropped, *kept = state.intervals
    return SlotState(dropped.end_ms, tuple(kept))
