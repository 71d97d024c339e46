"""A node's own audit items, kept until they are on the log."""

from collections import deque

import attrs

from .records import Entry, Gap, Item

OUTBOX_MAXIMUM_ENTRIES = 1000
SEND_MAXIMUM_ENTRIES = 200
RESEND_MS = 3000
OVERFLOW = "the platform's log could not be reached for too long"


class Outbox:
    """Numbers items, hands them to the writer and forgets what it wrote.

    It is bounded: when it is full the oldest item is lost, and a gap that
    counts the lost ones goes out as soon as there is room.

    Parameters
    ----------
    origin, run : str
        Instance, and the random name of this run of its node.
    """

    def __init__(self, origin: str, run: str) -> None:
        self._origin = origin
        self._run = run
        self._entries: deque[Entry] = deque()
        self._times_ms: deque[int] = deque()
        self._number = 0
        self._gap: Gap | None = None
        self._writer: str | None = None
        self._sent_number = 0
        self._sent_ms = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, item: Item, wall_ms: int) -> None:
        """Keep an item under the next number."""
        if len(self._entries) >= OUTBOX_MAXIMUM_ENTRIES:
            self._lose_oldest()
        self._number += 1
        self._entries.append(Entry(item, self._origin, self._run, self._number))
        self._times_ms.append(wall_ms)

    def _lose_oldest(self) -> None:
        self._entries.popleft()
        lost_ms = self._times_ms.popleft()
        gap = self._gap or Gap(self._origin, lost_ms, lost_ms, 0, OVERFLOW)
        self._gap = attrs.evolve(gap, to_ms=lost_ms, count=gap.count + 1)

    def take(self, writer: str, now_ms: float, wall_ms: int) -> list[Entry]:
        """Return what to send to the writer now.

        What was sent and not receipted is sent again after ``RESEND_MS``, or at
        once to another writer.
        """
        if writer != self._writer or now_ms - self._sent_ms >= RESEND_MS:
            self._writer = writer
            self._sent_number = 0
        self._release_gap(wall_ms)
        unsent = [e for e in self._entries if e.number > self._sent_number]
        chosen = unsent[:SEND_MAXIMUM_ENTRIES]
        if chosen:
            self._sent_number = chosen[-1].number
            self._sent_ms = now_ms
        return chosen

    def _release_gap(self, wall_ms: int) -> None:
        if self._gap is None or len(self._entries) >= OUTBOX_MAXIMUM_ENTRIES:
            return
        gap, self._gap = self._gap, None
        self.add(gap, wall_ms)

    def receipt(self, number: int) -> None:
        """Forget the items up to a number: they are on the log."""
        while self._entries and self._entries[0].number <= number:
            self._entries.popleft()
            self._times_ms.popleft()
