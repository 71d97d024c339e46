"""Small discrete-event model of backend servers behind several nodes.

It drives the decision code unchanged. The backend servers are fakes with slots,
a bounded queue and drawn service times; nothing else of a cluster is modelled.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable

import attrs

from azurestep.balancing import Endpoint, EndpointKey, OutcomeKind
from azurestep.config.model import Priority

LOCAL_ONE_WAY_MS = 0.5
REMOTE_ONE_WAY_MS = 1.5
FAST_ERROR_MS = 1.0


class Timeline:
    """Events in order of time."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = itertools.count()

    def at(self, time_ms: float, action: Callable[..., None], *arguments) -> None:
        """Run the action at a time, never before the present."""
        time_ms = max(time_ms, self.now_ms)
        entry = (time_ms, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self, until_ms: float) -> None:
        """Run all events up to a time."""
        events = self._events
        while events and events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(events)
            action(*arguments)


@attrs.define(eq=False)
class CallerRequest:
    """One request of a caller and what became of it.

    Attributes
    ----------
    arrived_ms, deadline_ms : float
        When it came and when the caller gives up.
    priority : Priority
        Its class.
    idempotent : bool
        Whether it may run more than once.
    result : str
        ``good``, ``late``, ``error`` or ``refused``; empty while open.
    ended_ms : float
        When the caller learnt of it.
    attempts : int
        Attempts sent to backend servers.
    tried : tuple of EndpointKey
        Backend servers that they went to.
    """

    arrived_ms: float
    deadline_ms: float
    priority: Priority
    idempotent: bool
    result: str = ""
    ended_ms: float = 0.0
    attempts: int = 0
    tried: tuple[EndpointKey, ...] = ()


@attrs.define(eq=False)
class Job:
    """One attempt at one backend server."""

    answer: Callable[["Job", OutcomeKind], None]
    one_way_ms: float
    sent_ms: float
    done: bool = False
    running: bool = False


@attrs.define(eq=False)
class FakeBackendServer:
    """Backend server with slots, a bounded queue and cancellation.

    Attributes
    ----------
    slowness : float
        Factor on the service times.
    error_ratio : float
        Share of requests answered with a fast error.
    """

    timeline: Timeline
    endpoint: Endpoint
    source: random.Random
    service_ms: float
    queue_length: int
    slowness: float = 1.0
    error_ratio: float = 0.0
    running: int = 0
    served: int = 0
    waiting: deque[Job] = attrs.field(factory=deque)

    def send(self, job: Job) -> None:
        """Accept an attempt after its way through the network."""
        self.timeline.at(self.timeline.now_ms + job.one_way_ms, self._arrive, job)

    def _arrive(self, job: Job) -> None:
        if job.done:
            return
        if self.error_ratio and self.source.random() < self.error_ratio:
            now_ms = self.timeline.now_ms
            self.timeline.at(now_ms + FAST_ERROR_MS, self._reply, job, "error")
        elif self.running < self.endpoint.slots:
            self._start(job)
        elif len(self.waiting) < self.queue_length:
            self.waiting.append(job)
        else:
            self._reply(job, "shed")

    def _start(self, job: Job) -> None:
        job.running = True
        self.running += 1
        mean_ms = self.service_ms * self.slowness
        duration_ms = mean_ms * self.source.gammavariate(4.0, 0.25)
        self.timeline.at(self.timeline.now_ms + duration_ms, self._complete, job)

    def _complete(self, job: Job) -> None:
        if job.done:
            return
        self.served += 1
        self._reply(job, "success")
        self._free(job)

    def _free(self, job: Job) -> None:
        if not job.running:
            return
        job.running = False
        self.running -= 1
        while self.waiting and self.running < self.endpoint.slots:
            following = self.waiting.popleft()
            if not following.done:
                self._start(following)

    def _reply(self, job: Job, kind: str) -> None:
        if job.done:
            return
        when_ms = self.timeline.now_ms + job.one_way_ms
        self.timeline.at(when_ms, job.answer, job, OutcomeKind(kind))

    def cancel(self, job: Job) -> None:
        """Stop an attempt that nobody waits for any more."""
        job.done = True
        self._free(job)

    @property
    def load(self) -> float:
        """Share of the slots in use, as a truthful report would say."""
        return self.running / self.endpoint.slots
