"""Which request bodies are received, in which pieces, and how long one would wait.

Load pattern: large bodies arrive faster than a narrow link carries them. Sent at once,
they would delay calls, probes and answers behind them; held back by slots, they would
keep the slots from requests that need no link. So bodies are received before their
requests get a slot, in pieces, with no more bytes under way than keep the link busy.
"""

import math
from collections.abc import Iterator

import attrs

from ...values import Value

PIECE_BYTES = 8192
"""Size of the pieces in which bodies are received."""
WINDOW_MS = 50.0
"""Time that the requested pieces may occupy the link: the longest delay of a small
message behind them, and more than a round trip."""
STALLED_AFTER_MS = 300.0
"""Time without a piece after which other bodies are received meanwhile."""
RATE_WEIGHT = 0.05
"""Weight of a new piece in the mean time of a byte, of about the last forty."""
MIN_RATE_RATIO = 0.25
"""Lowest rate that is learned, relative to the link's: other messages use the rest."""
UNKNOWN_LENGTH_BYTES = 65_536
"""Length assumed for a body that names none, until it is longer."""


@attrs.frozen(slots=True, eq=False, repr=False)
class Grant(Value):
    """Bytes of a body that its sender may send now.

    Attributes
    ----------
    is_first : bool
        Whether the body is asked for with this.
    """

    owner: object
    size_bytes: int
    is_first: bool


@attrs.define(slots=True, eq=False, repr=False)
class Transfer:
    """The transfer of one body.

    Attributes
    ----------
    in_pieces : bool
        Whether the sender waits for grants; otherwise it sends all when asked.
    ungranted_bytes, unreceived_bytes : int
        Bytes not granted yet, and granted ones that have not arrived.
    progress_ms : float
        When the last piece was granted to an idle transfer, or arrived.
    """

    owner: object
    in_pieces: bool
    ungranted_bytes: int
    unreceived_bytes: int = 0
    started: bool = False
    progress_ms: float = 0.0

    def is_stalled(self, now_ms: float) -> bool:
        """Whether granted bytes are overdue."""
        overdue = now_ms - self.progress_ms > STALLED_AFTER_MS
        return self.unreceived_bytes > 0 and overdue

    def next_piece_bytes(self) -> int:
        """Return the size of the next grant."""
        if not self.in_pieces:
            return self.ungranted_bytes
        return min(PIECE_BYTES, self.ungranted_bytes)


@attrs.define(slots=True, eq=False, repr=False)
class BodyTransfers:
    """Bodies that are received or wait for it, in the order of their arrival.

    Attributes
    ----------
    link_bytes_per_ms : float
        Rate of the link; infinite if unknown.

    Examples
    --------
    >>> transfers = BodyTransfers(link_bytes_per_ms=400.0)
    >>> transfers.add("a", 60_000, in_pieces=True)
    >>> transfers.add("b", 20_000, in_pieces=True)
    >>> [(one.owner, one.size_bytes) for one in transfers.grant(0.0)]
    [('a', 8192), ('a', 8192), ('a', 8192)]
    >>> transfers.record_received("a", 8192, 20.0)
    >>> [(one.owner, one.size_bytes) for one in transfers.grant(20.0)]
    [('a', 8192)]
    >>> transfers.wait_ms()
    179.52
    """

    link_bytes_per_ms: float = math.inf
    _transfers: dict[object, Transfer] = attrs.field(factory=dict)
    _ms_per_byte: float = 0.0
    _received_ms: float = -math.inf

    def __iter__(self) -> Iterator[object]:
        """Iterate over the owners."""
        return iter(list(self._transfers))

    def __contains__(self, owner: object) -> bool:
        """Whether an owner's body is received or waits for it."""
        return owner in self._transfers

    @property
    def window_bytes(self) -> float:
        """Bytes that may be granted before they arrive."""
        return max(2 * PIECE_BYTES, self.link_bytes_per_ms * WINDOW_MS)

    def wait_ms(self) -> float:
        """Return the time that the link needs for all bodies."""
        left_bytes = sum(
            one.ungranted_bytes + max(0, one.unreceived_bytes)
            for one in self._transfers.values()
        )
        return left_bytes / self.rate_bytes_per_ms

    @property
    def rate_bytes_per_ms(self) -> float:
        """Rate at which bodies arrive, as learned; at first that of the link."""
        if not self._ms_per_byte:
            return self.link_bytes_per_ms
        lowest = self.link_bytes_per_ms * MIN_RATE_RATIO
        return min(self.link_bytes_per_ms, max(lowest, 1 / self._ms_per_byte))

    def transfer_ms(self, size_bytes: int) -> float:
        """Return the time that the link needs for one body."""
        known = size_bytes if size_bytes >= 0 else UNKNOWN_LENGTH_BYTES
        return known / self.rate_bytes_per_ms

    def add(self, owner: object, size_bytes: int, in_pieces: bool) -> None:
        """Queue a body; a negative size is unknown."""
        known = size_bytes if size_bytes >= 0 else UNKNOWN_LENGTH_BYTES
        if not self._transfers:
            self._received_ms = -math.inf
        self._transfers[owner] = Transfer(owner, in_pieces, known)

    def _learn_rate(self, size_bytes: int, now_ms: float) -> None:
        """Add the time since the piece before, if the link was in use all the while."""
        since_ms, self._received_ms = now_ms - self._received_ms, now_ms
        if since_ms > STALLED_AFTER_MS or math.isinf(self.link_bytes_per_ms):
            return
        known = self._ms_per_byte or 1 / self.link_bytes_per_ms
        self._ms_per_byte = known + RATE_WEIGHT * (since_ms / size_bytes - known)

    def remove(self, owner: object) -> None:
        """Remove a body that is whole or no longer needed."""
        self._transfers.pop(owner, None)

    def record_received(self, owner: object, size_bytes: int, now_ms: float) -> None:
        """Record a piece that has arrived."""
        self._learn_rate(size_bytes, now_ms)
        transfer = self._transfers.get(owner)
        if transfer is None:
            return
        transfer.unreceived_bytes -= size_bytes
        transfer.progress_ms = now_ms
        if transfer.unreceived_bytes <= 0 and not transfer.ungranted_bytes:
            transfer.ungranted_bytes = UNKNOWN_LENGTH_BYTES

    def grant(self, now_ms: float) -> list[Grant]:
        """Return what may be sent now, as much as the window has room for."""
        grants = []
        room_bytes = self.window_bytes - sum(
            one.unreceived_bytes
            for one in self._transfers.values()
            if not one.is_stalled(now_ms)
        )
        for transfer in self._transfers.values():
            while transfer.ungranted_bytes and room_bytes > 0:
                size_bytes = transfer.next_piece_bytes()
                if transfer.unreceived_bytes <= 0:
                    transfer.progress_ms = now_ms
                transfer.ungranted_bytes -= size_bytes
                transfer.unreceived_bytes += size_bytes
                room_bytes -= size_bytes
                grants.append(Grant(transfer.owner, size_bytes, not transfer.started))
                transfer.started = True
        return grants
