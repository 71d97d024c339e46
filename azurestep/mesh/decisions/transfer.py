"""How long answers of a route take from a node to this one, beyond their run. Pure.

Load pattern: long answers on narrow links. A link that is full of them delays each by
as much as a queue of slots does, and the node beside the backend server can't see it.
The node that asked can: what an answer took beyond waiting and running is its way.
"""

import math

import attrs

TRANSFER_GAIN = 0.2
"""Weight of a new answer in the mean: about the last ten, a tenth of a second of
answers on a busy link."""
TRANSFER_FADE_MS = 3000.0
"""Time in which what was seen of a link fades to a third, so that one which was full is
asked again; the queues that were seen last as long as the load that made them, some
seconds."""


@attrs.define(slots=True)
class TransferTimes:
    """Mean time of each route's answers on their way from one node.

    Examples
    --------
    >>> times = TransferTimes()
    >>> times.learn("download", 500.0, 0.0)
    >>> times.ms("download", 0.0), round(times.ms("download", 3000.0))
    (500.0, 184)
    >>> times.ms("read", 0.0)
    0.0
    """

    _mean_ms: dict[str, float] = attrs.field(factory=dict)
    _learned_ms: dict[str, float] = attrs.field(factory=dict)

    def ms(self, route: str, now_ms: float) -> float:
        """Return the mean of a route, faded since it was learned."""
        mean_ms = self._mean_ms.get(route)
        if mean_ms is None:
            return 0.0
        age_ms = now_ms - self._learned_ms[route]
        return mean_ms * math.exp(-age_ms / TRANSFER_FADE_MS)

    def learn(self, route: str, transfer_ms: float, now_ms: float) -> None:
        """Take in how long an answer was on its way."""
        known = self.ms(route, now_ms) if route in self._mean_ms else transfer_ms
        self._mean_ms[route] = known + TRANSFER_GAIN * (transfer_ms - known)
        self._learned_ms[route] = now_ms

    def clear(self) -> None:
        """Forget all; another backend server is there."""
        self._mean_ms.clear()
        self._learned_ms.clear()
