"""The books beside a backend server agree, whatever callers and receivers do."""

import contextlib
from collections.abc import Callable

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from azurestep.mesh.backend.run import Run
from azurestep.mesh.backend.transfers import MAX_CONCURRENT_TRANSFERS
from azurestep.platform.announcement import Heartbeat

from .fixtures_inbound import (
    BEAT,
    DRAIN_MS,
    Beside,
    Listener,
    OpenRuntime,
    answer,
    make_beside,
)

SLOTS = 3
BODY = b"u" * 20_000
LONGEST_MS = 3000.0
ENOUGH = 4
"""Requests before the server may leave or the node may stop, which take no more."""
budgets_ms = st.sampled_from([0.0, 400.0, 1200.0, 1200.0, LONGEST_MS])
reactions = st.sampled_from(["none", "none", "submit", "cancel", "withdraw", "fail"])
numbers = st.integers(0, 7)


class ReceiverFailedError(Exception):
    """Raised by a receiver on purpose."""


@attrs.define(eq=False)
class Sent:
    """One request, and what is known of it to whoever sent it.

    Attributes
    ----------
    raised : bool
        Whether it ended with a raised error in place of an outcome.
    failed_at : str
        News at which its receiver failed.
    """

    listener: Listener
    run: Run | None = None
    cancelled: bool = False
    raised: bool = False
    failed_at: str = ""

    def expected(self, ended: bool) -> int:
        """Return how many outcomes its receiver hears.

        One that failed as it was told the answer hears of that fault in the end.
        """
        if not ended or self.cancelled or self.raised:
            return 0
        return 2 if self.failed_at == "answer" else 1


class BooksBesideServer(RuleBasedStateMachine):
    """Requests that come, end and interfere with one another in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.beside: Beside = make_beside(SLOTS, OpenRuntime)
        self.sent: list[Sent] = []
        self.failures = 0
        self.beats = 1

    # What callers, the server and time do.

    @initialize(
        bulk=st.booleans(), waiting=st.lists(st.tuples(reactions, numbers), max_size=5)
    )
    def fill(self, bulk: bool, waiting: list[tuple[str, int]]) -> None:
        """Begin with all slots taken, and some requests behind them."""
        self.learn(50.0)
        for _ in range(SLOTS):
            self.submit(LONGEST_MS, bulk, False, "none", 0)
        for reaction, other in waiting:
            self.submit(1200.0, bulk, False, reaction, other)

    @rule(
        budget_ms=budgets_ms,
        bulk=st.booleans(),
        held=st.booleans(),
        reaction=reactions,
        other=numbers,
    )
    def submit(
        self, budget_ms: float, bulk: bool, held: bool, reaction: str, other: int
    ) -> None:
        sent = Sent(Listener())
        self.sent.append(sent)
        if reaction != "none":
            sent.listener.react = self.once(sent, reaction, other)
        body_bytes = len(BODY) if bulk else 0
        try:
            self.beside.submit(sent.listener, budget_ms, held or bulk, body_bytes)
        except ReceiverFailedError:
            sent.raised = not sent.listener.outcomes
        sent.run = self.find(sent)

    def find(self, sent: Sent) -> Run | None:
        """Return a request's run; None once it ended, as its sender knows."""
        runs = self.beside.inbound._runs.values()
        return next((run for run in runs if run.receiver is sent.listener), None)

    @rule(number=numbers)
    def cancel(self, number: int) -> None:
        sent = self.pick(number)
        if sent is not None and sent.run is not None and not sent.run.done:
            sent.cancelled = True
            with self.failing_receivers():
                sent.run.cancel()

    @rule(number=numbers)
    def withdraw(self, number: int) -> None:
        self.act(number, Run.withdraw)

    @rule(number=numbers)
    def go(self, number: int) -> None:
        self.act(number, Run.proceed)

    @rule(number=numbers)
    def send_body(self, number: int) -> None:
        self.act(number, self.send_body_of)

    def send_body_of(self, run: Run) -> None:
        if run._awaits_body and run._ready_ms and not run._held:
            run.body(BODY, True)

    @rule(number=numbers)
    def serve(self, number: int) -> None:
        self.act(number, lambda run: answer(run) if run._connection else None)

    @rule(number=numbers)
    def break_off(self, number: int) -> None:
        self.act(number, self.break_off_run)

    def break_off_run(self, run: Run) -> None:
        if run._connection is not None:
            run._connection.connection_lost(None)

    @rule(run_ms=st.sampled_from([1.0, 50.0, 300.0, 2000.0, 2000.0]))
    def learn(self, run_ms: float) -> None:
        self.beside.inbound.admission.forget()
        self.beside.inbound.admission.learn("read", run_ms)

    @rule()
    def announce(self) -> None:
        self.announce_as(leaving=False)

    @precondition(lambda self: len(self.sent) > ENOUGH)
    @rule()
    def leave(self) -> None:
        self.announce_as(leaving=True)

    def announce_as(self, leaving: bool) -> None:
        self.beats += 1
        beat: Heartbeat = attrs.evolve(
            BEAT, sequence=self.beats, slots=SLOTS, leaving=leaving
        )
        now_ms = self.beside.loop.now_ms - DRAIN_MS
        self.beside.inbound.backend.apply_heartbeat(beat, now_ms)

    @precondition(lambda self: len(self.sent) > ENOUGH)
    @rule(left_ms=st.sampled_from([100.0, 600.0, 2500.0]))
    def stop(self, left_ms: float) -> None:
        if not self.beside.inbound.stopping:
            self.beside.inbound.stop(self.beside.loop.now_ms + left_ms)

    @rule()
    def take_one_turn(self) -> None:
        loop = self.beside.loop
        if loop.due:
            act, arguments = loop.due.popleft()
            with self.failing_receivers():
                act(*arguments)

    @rule(pause_ms=st.sampled_from([0.0, 10.0, 100.0, 500.0]))
    def pass_time(self, pause_ms: float) -> None:
        self.beside.loop.now_ms += pause_ms
        self.settle()
        admission = self.beside.inbound.admission
        assert not admission._waiting or len(admission.running) == SLOTS
        transfers = self.beside.inbound.transfers
        assert (
            not transfers._waiting
            or len(transfers._fetching) == MAX_CONCURRENT_TRANSFERS
        )
        now_ms = self.beside.loop.now_ms
        assert not admission.late(now_ms)
        for run in transfers.waiting:
            assert isinstance(run, Run)
            assert admission.ends_in_time(run.ticket, now_ms)

    def settle(self) -> None:
        """Look at everything until no receiver failed meanwhile."""
        failures = -1
        while failures != self.failures:
            failures = self.failures
            with self.failing_receivers():
                self.beside.inbound.tick()
            while self.beside.loop.due:
                self.take_one_turn()

    # What receivers do at the first news.

    def once(self, sent: Sent, reaction: str, other: int) -> Callable[[str], None]:
        acts = {
            "submit": lambda _: self.submit(1200.0, False, False, "none", 0),
            "cancel": lambda _: self.cancel(other),
            "withdraw": lambda _: self.withdraw(other),
            "fail": lambda news: self.fail(sent, news),
        }
        due = [acts[reaction]]

        def react(news: str) -> None:
            if due:
                due.pop()(news)

        return react

    def fail(self, sent: Sent, news: str) -> None:
        self.failures += 1
        sent.failed_at = news
        raise ReceiverFailedError

    @contextlib.contextmanager
    def failing_receivers(self):  # type: ignore[no-untyped-def]
        with contextlib.suppress(ReceiverFailedError):
            yield

    def pick(self, number: int) -> Sent | None:
        return self.sent[-1 - number % len(self.sent)] if self.sent else None

    def act(self, number: int, what: Callable[[Run], object]) -> None:
        sent = self.pick(number)
        if sent is not None and sent.run is not None:
            with self.failing_receivers():
                what(sent.run)

    # What holds after each step.

    @invariant()
    def queue_and_runs_hold_the_same_tickets(self) -> None:
        admission, runs = self.beside.inbound.admission, self.beside.inbound._runs
        waiting = admission._waiting
        assert len(waiting) == len(set(waiting))
        assert not admission.running & set(waiting)
        assert admission.running | set(waiting) == set(runs)
        assert len(admission.running) <= SLOTS
        assert not any(run.done for run in runs.values())

    @invariant()
    def only_live_runs_with_a_slot_are_sent_bodies(self) -> None:
        transfers = self.beside.inbound.transfers
        assert len(transfers._fetching) <= MAX_CONCURRENT_TRANSFERS
        for run in (*transfers._fetching, *transfers._waiting):
            assert isinstance(run, Run)
            assert not run.done
            assert run.ticket in self.beside.inbound.admission.running

    @invariant()
    def each_request_has_one_outcome_or_was_cancelled(self) -> None:
        for sent in self.sent:
            ended = self.find(sent) is None
            outcomes = sent.listener.outcomes
            assert len(outcomes) == sent.expected(ended), outcomes
            assert outcomes[1:] in ([], ["failed FAULT"])
            assert sent.listener.asked <= 1

    @invariant()
    def all_that_failed_were_receivers(self) -> None:
        runtime = self.beside.inbound.runtime
        assert isinstance(runtime, OpenRuntime)
        for error in runtime.errors:
            assert isinstance(error, ReceiverFailedError), error

    def teardown(self) -> None:
        for sent in self.sent:
            sent.listener.react = lambda news: None
        self.beside.loop.now_ms += 2 * LONGEST_MS
        self.settle()
        self.each_request_has_one_outcome_or_was_cancelled()
        self.all_that_failed_were_receivers()
        assert not self.beside.inbound.busy
        assert self.beside.inbound.admission.in_flight == 0


TestBooksBesideServer = BooksBesideServer.TestCase
TestBooksBesideServer.settings = settings(stateful_step_count=50)
