"""Requests in flight, and their end in a graceful shutdown."""

import asyncio

import attrs

from .answers import GATEWAY_TIMEOUT, CallOutcome, ErrorAnswer, not_run
from .call import Call

STOPPING_ANSWER = not_run(503, "stopping", 500.0)
CALLER_END_DELAY_S = 0.05
"""Delay between the end of runs and of callers' requests at a shutdown; the outcome of
an ended run reaches its caller in this time."""


@attrs.define(eq=False)
class InFlightRequest:
    """One request in flight.

    Attributes
    ----------
    timeout : asyncio.Timeout
        Without a deadline until the shutdown ends the request.
    call : Call or None
        The request, once its route is known.
    is_owner_run : bool
        Whether this node runs the request as the owner of its key.
    is_sent_to_owner : bool
        Whether the request was sent to the owner of its key.
    """

    timeout: asyncio.Timeout = attrs.field(factory=lambda: asyncio.timeout(None))
    call: Call | None = None
    is_owner_run: bool = False
    is_sent_to_owner: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run the request."""
        return self.is_sent_to_owner or (
            self.call is not None and self.call.may_have_run
        )

    def make_shutdown_answer(self) -> ErrorAnswer:
        """Return the error answer of a request that the shutdown ended."""
        if not self.may_have_run:
            return STOPPING_ANSWER
        return ErrorAnswer(
            GATEWAY_TIMEOUT,
            CallOutcome.MAY_HAVE_RUN,
            STOPPING_ANSWER.reason,
            forbids_retry=True,
        )


class InFlightRequests:
    """All requests in flight."""

    def __init__(self) -> None:
        self._requests: set[InFlightRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: InFlightRequest) -> None:
        """Add a request, inside its timeout context."""
        self._requests.add(request)

    def remove(self, request: InFlightRequest) -> None:
        """Remove a request that ended."""
        self._requests.discard(request)

    def end_requests(self) -> int:
        """Expire the timeouts of all requests; return their number."""
        now_s = asyncio.get_running_loop().time()
        for request in self._requests:
            wait_s = 0.0 if request.is_owner_run else CALLER_END_DELAY_S
            request.timeout.reschedule(now_s + wait_s)
        return len(self._requests)
