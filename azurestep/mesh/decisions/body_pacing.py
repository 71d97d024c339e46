"""When a node may send the next piece of a body, so that its link stays responsive.

Load pattern: several peers ask one node for bodies at the same time, each for as much
as its own link takes, or long answers of its backend server end together. Sent at once
over a narrow link, they delay everything behind them: cancels, confirmations, probes,
and requests and answers that are short.
"""

import math

import attrs

from .transfers import PIECE_BYTES, WINDOW_MS

BODY_SHARE = 0.8
"""Share of the link that long bodies use; all other messages need the rest."""
PIECE_MS = 10.0
"""Time for which one piece occupies a wide link."""


@attrs.define(slots=True, eq=False, repr=False)
class BodyPacer:
    """Token bucket of the bytes that a node's link carries.

    Attributes
    ----------
    link_bytes_per_ms : float
        Rate of the link; infinite if unknown.

    Examples
    --------
    >>> pacer = BodyPacer(link_bytes_per_ms=500.0)
    >>> [pacer.try_take(8192, 0.0) for _ in range(5)]
    [True, True, True, True, False]
    >>> pacer.next_ms(0.0)
    19.42
    >>> pacer.try_take(8192, 20.0)
    True
    """

    link_bytes_per_ms: float = math.inf
    _used_bytes: float = 0.0
    _updated_ms: float = 0.0

    @property
    def _rate_bytes_per_ms(self) -> float:
        return self.link_bytes_per_ms * BODY_SHARE

    @property
    def _window_bytes(self) -> float:
        """Bytes that may be ahead of another message on the link."""
        return max(2 * PIECE_BYTES, self.link_bytes_per_ms * WINDOW_MS)

    @property
    def piece_bytes(self) -> float:
        """Size up to which bodies are sent in one piece; infinite if not paced."""
        return max(PIECE_BYTES, self.link_bytes_per_ms * PIECE_MS)

    @property
    def paces(self) -> bool:
        """Whether the link is known to have a limit."""
        return math.isfinite(self.link_bytes_per_ms)

    def try_take(self, size_bytes: int, now_ms: float) -> bool:
        """Return whether a piece may be sent now, and count it if so."""
        if not self.paces:
            return True
        elapsed_ms, self._updated_ms = now_ms - self._updated_ms, now_ms
        left_bytes = self._used_bytes - elapsed_ms * self._rate_bytes_per_ms
        self._used_bytes = max(0.0, left_bytes)
        if self._used_bytes > self._window_bytes:
            return False
        self._used_bytes += size_bytes
        return True

    def next_ms(self, now_ms: float) -> float:
        """Return when the next piece may be sent, after one was held back."""
        excess_bytes = self._used_bytes - self._window_bytes
        return now_ms + max(0.0, excess_bytes / self._rate_bytes_per_ms)
