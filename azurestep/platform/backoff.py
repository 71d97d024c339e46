"""Exponential backoff with full jitter."""

import random

import attrs


@attrs.define
class Backoff:
    """Delays between attempts.

    Each delay is random between zero and a bound that doubles, so that processes
    that failed at the same time don't retry at the same time.

    Parameters
    ----------
    source : random.Random
        Random generator of the jitter.
    first_ms, maximum_ms : float
        Initial and largest bound of a delay.

    Examples
    --------
    >>> backoff = Backoff(random.Random(1), first_ms=100, maximum_ms=400)
    >>> [backoff.next_ms() <= bound for bound in (100, 200, 400, 400)]
    [True, True, True, True]
    """

    source: random.Random
    first_ms: float = 100
    maximum_ms: float = 10_000
    _bound_ms: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._bound_ms = self.first_ms

    def next_ms(self) -> float:
        """Return the next delay and double the bound."""
        bound = self._bound_ms
        self._bound_ms = min(bound * 2, self.maximum_ms)
        return self.source.uniform(0, bound)

    def reset(self) -> None:
        """Reset the bound after a success."""
        self._bound_ms = self.first_ms
