"""Requests that have no whole answer yet, and how a stop brings them to one."""

import asyncio

import attrs

from .answers import GATEWAY_TIMEOUT, CallOutcome, Refusal, not_run
from .call import Call

STOPPING = not_run(503, "stopping", 500.0)
CALLER_DELAY_S = 0.05
"""Time between the end of runs and that of callers: a payment that waits for its run
is told what became of it."""


@attrs.define(eq=False)
class InFlightRequest:
    """One request on its way.

    Attributes
    ----------
    timeout : asyncio.Timeout
        Without a time until the node gives the request up.
    call : Call or None
        The request, once its route is known.
    is_owner_run : bool
        Whether this is the run of a request that its owner accepted.
    is_at_owner : bool
        Whether the owner of its key has the request.
    """

    timeout: asyncio.Timeout = attrs.field(factory=lambda: asyncio.timeout(None))
    call: Call | None = None
    is_owner_run: bool = False
    is_at_owner: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run the request."""
        return self.is_at_owner or (self.call is not None and self.call.may_have_run)

    def final_refusal(self) -> Refusal:
        """Return the final answer to a request that was given up."""
        if not self.may_have_run:
            return STOPPING
        return Refusal(
            GATEWAY_TIMEOUT, CallOutcome.MAY_HAVE_RUN, STOPPING.reason, is_final=True
        )


class InFlightRequests:
    """All requests on their way."""

    def __init__(self) -> None:
        self._requests: set[InFlightRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: InFlightRequest) -> None:
        """Note a request whose limit was entered."""
        self._requests.add(request)

    def remove(self, request: InFlightRequest) -> None:
        """Forget a request that has its answer."""
        self._requests.discard(request)

    def end_requests(self) -> int:
        """End the time of all requests; return how many there were."""
        now_s = asyncio.get_running_loop().time()
        for request in self._requests:
            wait_s = 0.0 if request.is_owner_run else CALLER_DELAY_S
            request.timeout.reschedule(now_s + wait_s)
        return len(self._requests)
