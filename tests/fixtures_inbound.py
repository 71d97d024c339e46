"""The inbound path of one backend server, with a clock and loop driven by tests."""

from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import pytest

from azurestep.http.client import ClientConnection
from azurestep.mesh.backend.connections import BackendConnections
from azurestep.mesh.backend.crashes import CrashTracker
from azurestep.mesh.backend.inbound import Inbound
from azurestep.mesh.backend.run import Run
from azurestep.mesh.backend.state import LocalBackend
from azurestep.mesh.messages import Answer, Failure, Reason, Refusal, Request
from azurestep.mesh.runtime import Runtime
from azurestep.platform.announcement import Heartbeat

DRAIN_MS = 2000.0
HEARTBEAT = Heartbeat("i-1", "shop", 1, 4, False, 0.0)
ROUTE = "read"


@attrs.define(eq=False)
class ManualTimer:
    """A callback that is due at a time, unless it is cancelled before."""

    at_ms: float
    act: Callable[..., object]
    arguments: tuple[Any, ...]
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


@attrs.define(eq=False)
class ManualLoop:
    """Keeps callbacks until a test runs them."""

    now_ms: float = 1000.0
    timers: list[ManualTimer] = attrs.field(factory=list)
    due: deque[tuple[Callable[..., object], tuple[Any, ...]]] = attrs.field(
        factory=deque
    )

    def time(self) -> float:
        return self.now_ms / 1000

    def call_soon(self, act: Callable[..., object], *arguments: Any) -> None:
        self.due.append((act, arguments))

    def call_later(
        self, delay_s: float, act: Callable[..., object], *arguments: Any
    ) -> ManualTimer:
        timer = ManualTimer(self.now_ms + delay_s * 1000, act, arguments)
        self.timers.append(timer)
        return timer

    def fire_timers(self) -> None:
        """Move the callbacks of timers that are due to those that run next."""
        for timer in [one for one in self.timers if one.at_ms <= self.now_ms]:
            self.timers.remove(timer)
            if not timer.cancelled:
                self.due.append((timer.act, timer.arguments))

    def run_due(self) -> None:
        """Run all callbacks, including those that are added meanwhile."""
        while self.due:
            act, arguments = self.due.popleft()
            act(*arguments)


class ManualRuntime(Runtime):
    """A runtime whose clock is set by tests."""

    loop: ManualLoop  # type: ignore[assignment]

    def now_ms(self) -> float:
        return self.loop.now_ms

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self.loop.call_soon(_run_to_completion, work)


@attrs.define(eq=False)
class ErrorRecordingRuntime(ManualRuntime):
    """Records internal errors, and lets those of callbacks reach the test."""

    errors: list[BaseException] = attrs.field(factory=list)

    def report_fault(
        self, place: str, error: BaseException, *_: Any, **fields: Any
    ) -> None:
        self.errors.append(error)

    def call_soon(self, act: Callable[[], None]) -> None:
        self.loop.call_soon(act)


def _run_to_completion(work: Coroutine[Any, Any, None]) -> None:
    try:
        work.send(None)
    except StopIteration:
        return
    raise AssertionError("coroutines must not wait in these tests")


class ManualConnections(BackendConnections):
    """Opens connections without a server; tests answer on them."""

    async def connect(self) -> ClientConnection | None:
        return ClientConnection()


@attrs.define(eq=False)
class RecordingReceiver:
    """Records the outcome of one request, and reacts as a test defines.

    Attributes
    ----------
    outcomes : list of str
        Names of the final outcomes, with the reason if there is one.
    react : Callable
        Called with the name of each event.
    """

    outcomes: list[str] = attrs.field(factory=list)
    asked: int = 0
    credits: list[int] = attrs.field(factory=list)
    wanted: bool = True
    react: Callable[[str], None] = lambda event: None

    def on_answer(self, answer: Answer) -> None:
        if answer.whole:
            self.outcomes.append("answer")
        self.react("answer")

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        if whole:
            self.outcomes.append("answer")
        self.react("data")

    def on_refusal(self, refusal: Refusal) -> None:
        self.outcomes.append(Reason(refusal.reason).name)
        self.react("refusal")

    def on_failure(self, failure: Failure) -> None:
        self.outcomes.append(f"failed {Reason(failure.reason).name}")
        self.react("failure")

    def on_credit(self, size: int) -> None:
        self.credits.append(size)
        self.react("credit")

    def on_slot_ready(self) -> None:
        self.asked += 1
        self.react("ready")

    def is_wanted(self) -> bool:
        return self.wanted


@attrs.define(eq=False)
class InboundHarness:
    """One backend server with its inbound path."""

    loop: ManualLoop
    inbound: Inbound
    number: int = 0

    def submit(
        self,
        receiver: RecordingReceiver,
        remaining_ms: float = 1200.0,
        needs_confirmation: bool = False,
        body_bytes: int = 0,
        *,
        may_wait: bool = True,
        body_in_pieces: bool = False,
        late_ms: float = 0.0,
        confirms_again: bool = False,
    ) -> Run:
        """Submit a read, or a request whose body comes later."""
        self.number += 1
        request = Request(
            b"POST" if body_bytes else b"GET",
            b"/read/1",
            [],
            "shop",
            b"i-1",
            ROUTE,
            b"r%d" % self.number,
            b"",
            True,
            2,
            remaining_ms,
            remaining_ms,
            self.loop.now_ms,
            body_bytes,
            not body_bytes,
            b"",
            needs_confirmation=needs_confirmation,
            may_wait=may_wait,
            body_in_pieces=body_in_pieces,
        )
        return self.inbound.submit(request, receiver, late_ms, confirms_again)

    def leave(self) -> None:
        """Announce leaving and advance the clock past the drain time."""
        leaving = attrs.evolve(HEARTBEAT, sequence=2, leaving=True)
        self.inbound.backend.apply_heartbeat(leaving, self.loop.now_ms)
        self.loop.now_ms += DRAIN_MS

    def after(self, pause_ms: float) -> None:
        """Advance the clock, then tick."""
        self.loop.now_ms += pause_ms
        self.loop.fire_timers()
        self.inbound.tick()
        self.loop.run_due()


def answer(run: Run) -> None:
    """Answer a request that was sent to the server."""
    connection = run._connection
    assert connection is not None
    connection.data_received(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Signature: s1\r\n"
        b"Content-Length: 0\r\n\r\n" % run.request.request_id
    )


def make_inbound_harness(
    slots: int = 4, runtime: type[ManualRuntime] = ManualRuntime
) -> InboundHarness:
    """Return a backend server that has just announced itself."""
    loop = ManualLoop()
    backend = LocalBackend(DRAIN_MS)
    backend.apply_heartbeat(attrs.evolve(HEARTBEAT, slots=slots), 0.0)
    inbound = Inbound(
        runtime(loop),  # type: ignore[arg-type]
        ("127.0.0.1", 1),
        backend,
        lambda: None,
        CrashTracker("127.0.0.1"),
    )
    inbound.connections = ManualConnections(
        inbound.runtime, inbound.address, backend, inbound.crashes, inbound.on_change
    )
    inbound.tick()
    return InboundHarness(loop, inbound)


@pytest.fixture
def harness() -> InboundHarness:
    """Return a backend server with four slots."""
    return make_inbound_harness()
