"""Recognition of client retries, whose objective counts from the first attempt.

Callers that were refused retry. If a retry got a new objective, it would be queued
ahead of requests that can still meet theirs.

A caller keeps its deadline when it retries, so a retry is matched by its request key
and deadline. A retry at another node counts as a new request.
"""

import attrs

from ...values import Value

DEADLINE_TOLERANCE_MS = 25.0
"""Largest difference between the deadlines of two attempts of one caller.

Exceeds the differences in transit times, which are 3 to 8 ms, and the rounding to whole
milliseconds.
"""
MAX_WAIT_SHARE = 1 / 3
"""Share of the time left that a caller waits at most when it is told to.

Told to wait longer, it asks at a time of its own, so the wait says nothing to it.
"""
MIN_RUN_SHARE = 0.5
"""Share of the mean run time that must be left for a request to be sent at all.

Half, since the mean may be too high, and only runs can correct it.
"""
MAX_TRACKED_ATTEMPTS = 4096
"""Bounds the memory used, to some 0.5 MB.

Twice the refusals of a node in 7 s at 300 requests a second.
"""


def limit_wait_ms(wait_ms: float, left_ms: float, jitter: float) -> float:
    """Return a wait that the caller keeps to, also after jitter was added.

    Examples
    --------
    >>> limit_wait_ms(400.0, 900.0, jitter=0.5), limit_wait_ms(100.0, 900.0, jitter=0.5)
    (200.0, 100.0)
    """
    return min(wait_ms, left_ms * MAX_WAIT_SHARE / (1 + jitter))


def can_complete(left_ms: float, mean_run_ms: float) -> bool:
    """Whether a request may still be answered by its deadline.

    Examples
    --------
    >>> can_complete(left_ms=60.0, mean_run_ms=200.0)
    False
    """
    return left_ms >= mean_run_ms * MIN_RUN_SHARE


@attrs.frozen(slots=True, eq=False, repr=False)
class Attempt(Value):
    """One attempt of a caller.

    Attributes
    ----------
    request_key : tuple of bytes
        Method, host and target of the request.
    first_attempt_ms : float
        When the caller's first attempt arrived, as far as known.
    deadline_ms : float
        When the caller gives up.
    is_retry : bool
        Whether an earlier attempt of the caller is known.
    """

    request_key: tuple[bytes, ...]
    first_attempt_ms: float
    deadline_ms: float
    is_retry: bool = False


@attrs.define(slots=True, eq=False, repr=False)
class ReturningCallers:
    """Unsuccessful attempts that may be retried before their deadlines.

    Examples
    --------
    >>> returning = ReturningCallers()
    >>> request_key = (b"GET", b"shop.example", b"/read/1")
    >>> returning.add(Attempt(request_key, 0.0, 1200.0))
    >>> returning.pop_first_attempt_ms(request_key, 100.0, 1203.0)
    0.0
    >>> returning.pop_first_attempt_ms(request_key, 100.0, 1300.0)
    100.0
    """

    _attempts: dict[tuple[bytes, ...], list[Attempt]] = attrs.field(factory=dict)
    _count: int = 0

    def add(self, attempt: Attempt) -> None:
        """Add an attempt that ended without success."""
        if self._count < MAX_TRACKED_ATTEMPTS:
            self._attempts.setdefault(attempt.request_key, []).append(attempt)
            self._count += 1

    def pop_first_attempt_ms(
        self, request_key: tuple[bytes, ...], now_ms: float, deadline_ms: float
    ) -> float:
        """Return when the first attempt arrived, and remove the matched attempt."""
        attempts = self._attempts.get(request_key)
        if attempts is None:
            return now_ms
        for index, attempt in enumerate(attempts):
            if abs(attempt.deadline_ms - deadline_ms) <= DEADLINE_TOLERANCE_MS:
                self._remove(request_key, index)
                return attempt.first_attempt_ms
        return now_ms

    def expire(self, now_ms: float) -> None:
        """Drop attempts whose deadline has passed."""
        for request_key, attempts in list(self._attempts.items()):
            kept = [one for one in attempts if one.deadline_ms > now_ms]
            self._count -= len(attempts) - len(kept)
            if kept:
                self._attempts[request_key] = kept
            else:
                del self._attempts[request_key]

    def _remove(self, request_key: tuple[bytes, ...], index: int) -> None:
        attempts = self._attempts[request_key]
        del attempts[index]
        self._count -= 1
        if not attempts:
            del self._attempts[request_key]
