"""Requests that have no whole answer yet, and how a stop brings them to one."""

import asyncio

import attrs

from .answers import GATEWAY_TIMEOUT, CallOutcome, Refusal, not_run
from .call import Call

STOPPING = not_run(503, "stopping", 500.0)
RUNS_FIRST_S = 0.05
"""Time between the end of runs and that of callers: a payment that waits for its run
is told what became of it."""


@attrs.define(eq=False)
class Passage:
    """One request on its way.

    Attributes
    ----------
    limit : asyncio.Timeout
        Without a time until the node gives the request up.
    call : Call or None
        The request, once its route is known.
    is_run : bool
        Whether this is the run of a request that its owner accepted.
    is_at_owner : bool
        Whether the owner of its key has the request.
    """

    limit: asyncio.Timeout = attrs.field(factory=lambda: asyncio.timeout(None))
    call: Call | None = None
    is_run: bool = False
    is_at_owner: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run the request."""
        return self.is_at_owner or (self.call is not None and self.call.may_have_run)

    def last_answer(self) -> Refusal:
        """Return the final answer to a request that was given up."""
        if not self.may_have_run:
            return STOPPING
        return Refusal(
            GATEWAY_TIMEOUT, CallOutcome.MAY_HAVE_RUN, STOPPING.reason, is_final=True
        )


class UnderWay:
    """All requests on their way."""

    def __init__(self) -> None:
        self._passages: set[Passage] = set()

    def __len__(self) -> int:
        return len(self._passages)

    def add(self, passage: Passage) -> None:
        """Note a request whose limit was entered."""
        self._passages.add(passage)

    def remove(self, passage: Passage) -> None:
        """Forget a request that has its answer."""
        self._passages.discard(passage)

    def end_requests(self) -> int:
        """End the time of all requests; return how many there were."""
        now_s = asyncio.get_running_loop().time()
        for passage in self._passages:
            wait_s = 0.0 if passage.is_run else RUNS_FIRST_S
            passage.limit.reschedule(now_s + wait_s)
        return len(self._passages)
