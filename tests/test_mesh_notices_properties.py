"""Limits and leaving hold, however answers, announcements and restarts interleave."""

import math

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from azurestep.mesh.backend.run import Run

from .fixtures_inbound import (
    DRAIN_MS,
    HEARTBEAT,
    ErrorRecordingRuntime,
    InboundHarness,
    RecordingReceiver,
    make_inbound_harness,
)

LIMITS = ("0", "0.5", "4", "25.5", None)
BURST_S, MIN_BURST = 0.1, 1.0
SLOTS = 4
RARELY = st.integers(0, 3).map(lambda drawn: drawn == 0)
RUN_MS = 40.0


@attrs.define
class ToldModel:
    """What one incarnation told the node, by the rules alone.

    Attributes
    ----------
    limit_per_s : float
        Its latest limit.
    allowed : float
        Requests that it may have got since it named one.
    """

    limit_per_s: float = math.inf
    leaving_since_ms: float = math.inf
    allowed: float = math.inf
    sent: int = 0

    def hear(self, limit_per_s: float, leaving: bool, now_ms: float) -> None:
        """Apply an answer."""
        if self.limit_per_s == math.inf:
            self.allowed, self.sent = 0.0, 0
        self.limit_per_s = limit_per_s
        if limit_per_s == math.inf:
            self.allowed = math.inf
        if leaving:
            self.leaving_since_ms = min(self.leaving_since_ms, now_ms)

    def pass_time(self, pause_ms: float) -> None:
        """Add what the limit allows in a span of time."""
        if self.limit_per_s != math.inf:
            burst = max(MIN_BURST, self.limit_per_s * BURST_S)
            added = pause_ms / 1000 * self.limit_per_s
            self.allowed = min(self.allowed + added, self.sent + burst)


class NoticesMachine(RuleBasedStateMachine):
    """One backend server and the node beside it, either of which may restart."""

    def __init__(self) -> None:
        super().__init__()
        self.beside: InboundHarness = make_inbound_harness(SLOTS, ErrorRecordingRuntime)
        self.runs: list[Run] = []
        self.sequence = 1
        self.started_ms = 0
        self.limit: str | None = None
        self.leaving = False
        self.told = ToldModel()
        self.restarted_while_leaving = False
        self.beside.inbound.admission.record_run("read", RUN_MS)
        self.announce()

    def announce(self, leaving: bool = False, step: int = 1) -> None:
        self.sequence += step
        beat = attrs.evolve(
            HEARTBEAT,
            sequence=self.sequence,
            started_ms=self.started_ms,
            leaving=leaving,
        )
        now_ms = self.beside.loop.now_ms
        self.beside.inbound.backend.apply_heartbeat(beat, now_ms)
        if leaving:
            self.told.leaving_since_ms = min(self.told.leaving_since_ms, now_ms)
            self.leaving = True

    @rule(limit=st.sampled_from(LIMITS), leaves=RARELY)
    def change_server(self, limit: str | None, leaves: bool) -> None:
        self.limit = limit
        self.leaving |= leaves

    @rule(count=st.integers(1, 6))
    def read(self, count: int) -> None:
        for _ in range(count):
            self.runs.append(self.beside.submit(RecordingReceiver()))
            self.settle()

    @rule(number=st.integers(0, 7), spoilt=RARELY)
    def answer(self, number: int, spoilt: bool) -> None:
        running = [run for run in self.runs if run._connection is not None]
        if not running:
            return
        run = running[number % len(running)]
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\n" % run.request.request_id
        if not spoilt:
            head += b"Response-Signature: s1\r\n"
            limit = math.inf if self.limit is None else float(self.limit)
            self.told.hear(limit, self.leaving, self.beside.loop.now_ms)
        if self.limit is not None:
            head += b"Server-Limit: %b\r\n" % self.limit.encode()
        if self.leaving:
            head += b"Server-Leaving: 1\r\n"
        assert run._connection is not None
        run._connection.data_received(head + b"Content-Length: 0\r\n\r\n")
        self.settle()

    @rule(leaves=RARELY, late=st.booleans())
    def beat(self, leaves: bool, late: bool) -> None:
        self.announce(leaves, step=-1 if late else 1)
        self.settle()

    @rule(happens=RARELY)
    def restart_server(self, happens: bool) -> None:
        if not happens:
            return
        for run in list(self.runs):
            if run._connection is not None:
                run._connection.connection_lost(None)
        self.started_ms += 1
        self.sequence = 0
        self.limit, self.leaving = None, False
        self.told, self.restarted_while_leaving = ToldModel(), False
        self.announce()
        self.settle()

    @rule(happens=RARELY, beats_first=st.booleans())
    def restart_node(self, happens: bool, beats_first: bool) -> None:
        if not happens:
            return
        known = self.beside.inbound.condition()
        now_ms = self.beside.loop.now_ms
        self.beside = make_inbound_harness(SLOTS, ErrorRecordingRuntime)
        inbound = self.beside.inbound
        self.beside.loop.now_ms = now_ms
        inbound.backend._records.clear()
        inbound.backend.instance_id = ""
        inbound.admission.record_run("read", RUN_MS)
        self.runs = []
        if beats_first:
            self.announce()
        if known is not None:
            inbound.apply_peer_condition(known)
            self.restarted_while_leaving |= known.leaving
        if not beats_first:
            self.announce()
        self.told.sent, self.told.allowed = 0, 0.0
        if self.told.limit_per_s == math.inf:
            self.told.allowed = math.inf
        self.settle()

    @rule(pause_ms=st.sampled_from([1.0, 30.0, 400.0, 1100.0, 2100.0]))
    def pass_time(self, pause_ms: float) -> None:
        self.told.pass_time(pause_ms)
        self.beside.after(pause_ms)
        self.settle()

    def settle(self) -> None:
        """Process what is due, and check each request that was sent meanwhile."""
        self.beside.loop.run_due()
        for run in self.runs:
            if run.may_have_run and run.ticket.owner is None:
                run.ticket.owner = "counted"
                self.told.sent += 1
                self.check_sent()
        self.runs = [run for run in self.runs if not run.done]

    def check_sent(self) -> None:
        assert not self.restarted_while_leaving
        assert self.beside.loop.now_ms - self.told.leaving_since_ms <= DRAIN_MS
        assert self.told.sent <= self.told.allowed + 1e-3

    @invariant()
    def a_leaving_server_is_not_offered(self) -> None:
        if self.told.leaving_since_ms != math.inf:
            assert not self.beside.inbound.open

    @invariant()
    def what_may_start_does_not_wait(self) -> None:
        admission, now_ms = self.beside.inbound.admission, self.beside.loop.now_ms
        if admission.waiting and len(admission.running) < SLOTS:
            assert admission.limiter.wait_ms(now_ms) > 0

    @invariant()
    def there_are_no_faults(self) -> None:
        runtime = self.beside.inbound.runtime
        assert isinstance(runtime, ErrorRecordingRuntime)
        assert not runtime.errors


TestNotices = NoticesMachine.TestCase
TestNotices.settings = settings(stateful_step_count=60, max_examples=200)
