"""A small model of nodes, log and network that drives a policy.

It has no threads, no sockets and no wall clock; a seed fixes everything.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from functools import singledispatchmethod
from itertools import count
from random import Random
from typing import Any, Protocol

import attrs

from azurestep.once import messages as m
from azurestep.once.fold import LogEntry
from azurestep.once.records import NodeId

from .once_faults import DATA_CENTRES, INSTANCES, Fault, FaultKind, History

SERVICE = "licensing"
EPOCH_MS = 1_800_000_000_000
TICK_MS = 500
MEMBERS_MS = 1000
PAUSE_NOTICED_MS = 2000
RETAINED_RECORDS = 60
CALLER_TIMEOUT_MS = 1500


class Policy(Protocol):
    """What decides at one node process."""

    node: NodeId

    @property
    def next_offset(self) -> int:
        """Offset of the stream to read next."""
        ...

    def handle(self, message: Any, now: m.Moment) -> list[Any]:
        """Take an input and return outputs."""
        ...


@attrs.frozen
class Way:
    """One way to keep payments from running twice."""

    name: str
    make: Callable[[NodeId, Random], Policy]
    encode: Callable[[Any], bytes]
    retained_records: int = RETAINED_RECORDS


@attrs.define
class Process:
    """One node process."""

    index: int
    policy: Policy
    clock_ms: int = 0
    alive: bool = True
    stopping: bool = False
    paused_until_ms: int = 0
    paused_at_ms: int = 0
    waiting: list[Any] = attrs.field(factory=list)

    @property
    def data_centre(self) -> int:
        """Index of the data centre."""
        return self.index % DATA_CENTRES


@attrs.define
class Tally:
    """What a history showed.

    Attributes
    ----------
    runs : Counter
        Executions per key.
    untrue_not_run : int
        Statements "not run" of a key that had run as they were made.
    path_appends : int
        Appends that a request had to wait for.
    overtaken_not_run : int
        Statements that were true as the owner made them, while another copy
        of the request ran before they reached the accepting node.
    final_keys : set of str
        Keys of which an answer said that they never run.
    """

    runs: Counter[str] = attrs.field(factory=Counter)
    untrue_not_run: int = 0
    overtaken_not_run: int = 0
    not_run: int = 0
    may_have_run: int = 0
    appends: int = 0
    path_appends: int = 0
    final_keys: set[str] = attrs.field(factory=set)
    payment_runs: Counter[str] = attrs.field(factory=Counter)
    served: set[str] = attrs.field(factory=set)
    served_after_ms: dict[str, int] = attrs.field(factory=dict)

    @property
    def runs_over_one(self) -> int:
        """Executions beyond the first of each key."""
        return sum(number - 1 for number in self.runs.values())

    @property
    def payments_over_one(self) -> int:
        """Executions beyond the first of each payment, over all its keys."""
        return sum(number - 1 for number in self.payment_runs.values())

    @property
    def untrue(self) -> int:
        """All untrue statements, the final ones checked at the end."""
        return self.untrue_not_run + sum(self.runs[key] > 0 for key in self.final_keys)


class Callers(Protocol):
    """The callers of a model."""

    def start(self) -> None:
        """Schedule the payments."""
        ...

    def answered(self, answer: m.AnswerCaller) -> None:
        """Take an answer."""
        ...

    def payment_of(self, key: str) -> str:
        """Return the payment that a key belongs to."""
        ...

    def is_heard(self, request_id: str) -> bool:
        """Return whether the caller still waits for this copy."""
        ...


@attrs.define
class Model:
    """Runs one history under one way.

    Attributes
    ----------
    is_calm : bool
        Whether messages, appends and backend servers never fail by chance.
    """

    way: Way
    history: History
    is_calm: bool = False
    now_ms: int = 0
    tally: Tally = attrs.field(factory=Tally)
    processes: list[Process] = attrs.field(factory=list)
    callers: Callers | None = None
    log: list[LogEntry] = attrs.field(factory=list)
    random: Random = attrs.field(init=False)
    _queue: list[tuple[int, int, Callable[[], None]]] = attrs.field(factory=list)
    _sequence: count = attrs.field(factory=count)  # type: ignore[type-arg]
    _incarnations: count = attrs.field(factory=count)  # type: ignore[type-arg]
    _request_keys: dict[str, str] = attrs.field(factory=dict)
    _stated: set[str] = attrs.field(factory=set)
    _down_until_ms: dict[tuple[FaultKind, int], int] = attrs.field(
        factory=lambda: defaultdict(int)
    )

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.history.seed)

    def run(self) -> Tally:
        """Run the history to its end."""
        for index in range(INSTANCES):
            self.processes.append(self._start(index))
        for fault in self.history.faults:
            self.at(fault.at_ms, lambda fault=fault: self._strike(fault))
        if self.callers is not None:
            self.callers.start()
        self.at(0, self._tick)
        self.at(0, self._report_members)
        while self._queue and self._queue[0][0] <= self.history.duration_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        return self.tally

    def at(self, time_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._queue, (time_ms, next(self._sequence), action))

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action from now."""
        self.at(self.now_ms + delay_ms, action)

    def give(self, process: Process, message: Any) -> None:
        """Hand an input to a process, when it runs."""
        if not process.alive:
            return
        if process.paused_until_ms > self.now_ms:
            process.waiting.append(message)
            return
        wall_ms = EPOCH_MS + self.now_ms + process.clock_ms
        outputs = process.policy.handle(message, m.Moment(wall_ms, self.now_ms))
        if isinstance(message, m.RequestArrived):
            appends = sum(isinstance(output, m.AppendRecord) for output in outputs)
            self.tally.path_appends += appends
        for output in outputs:
            self._carry_out(output, process)

    def request(self, process: Process, request: m.RequestArrived) -> None:
        """Let a caller's request arrive."""
        self._request_keys[request.request_id] = request.key
        self.give(process, request)

    def delay_ms(self) -> int:
        """Return the delay of a message; a few are very late."""
        if not self.is_calm and self.random.random() < 0.04:
            return self.random.randint(500, 9000)
        return self.random.randint(1, 40)

    # Faults

    def _start(self, index: int, clock_ms: int = 0) -> Process:
        node = NodeId(f"i{index}", f"{index}-{next(self._incarnations)}")
        policy = self.way.make(node, Random(self.random.random()))
        return Process(index, policy, clock_ms)

    def _strike(self, fault: Fault) -> None:
        if fault.kind in (FaultKind.PARTITION, FaultKind.OUTAGE, FaultKind.CUT_OFF):
            target = 0 if fault.kind is FaultKind.OUTAGE else fault.target
            until_ms = self.now_ms + fault.duration_ms
            known_ms = self._down_until_ms[fault.kind, target]
            self._down_until_ms[fault.kind, target] = max(until_ms, known_ms)
            return
        process = self.processes[fault.target]
        if not process.alive:
            return
        if fault.kind is FaultKind.CLOCK:
            process.clock_ms += fault.clock_ms
        elif fault.kind is FaultKind.PAUSE:
            self._pause(process, fault.duration_ms)
        elif fault.kind is FaultKind.KILL:
            self._kill(process, fault.duration_ms)
        else:
            process.stopping = True
            self.give(process, m.StopRequested())
            self.after(12_000, lambda: self._kill(process, 500))

    def _pause(self, process: Process, duration_ms: int) -> None:
        if process.paused_until_ms <= self.now_ms:
            process.paused_at_ms = self.now_ms
        until_ms = max(process.paused_until_ms, self.now_ms + duration_ms)
        process.paused_until_ms = until_ms
        self.at(until_ms, lambda: self._resume(process))

    def _resume(self, process: Process) -> None:
        if process.paused_until_ms > self.now_ms:
            return
        waiting, process.waiting = process.waiting, []
        for message in waiting:
            self.give(process, message)

    def _kill(self, process: Process, duration_ms: int) -> None:
        if not process.alive:
            return
        process.alive = False
        self.after(duration_ms, lambda: self._restart(process))

    def _restart(self, dead: Process) -> None:
        self.processes[dead.index] = self._start(dead.index, dead.clock_ms)

    def _is_down(self, kind: FaultKind, target: int) -> bool:
        return self._down_until_ms[kind, target] > self.now_ms

    def platform_reached(self, process: Process) -> bool:
        """Return whether a process reaches the log."""
        if self._is_down(FaultKind.OUTAGE, 0):
            return False
        return not self._is_down(FaultKind.CUT_OFF, process.data_centre)

    def reaches(self, data_centre: int, other: int) -> bool:
        """Return whether two data centres reach each other."""
        if data_centre == other:
            return True
        is_cut = (self._is_down(FaultKind.PARTITION, dc) for dc in (data_centre, other))
        return not any(is_cut)

    # Periodic inputs

    def _tick(self) -> None:
        for process in self.processes:
            self._read(process)
            self.give(process, m.Tick())
        self.after(TICK_MS, self._tick)

    def _report_members(self) -> None:
        for process in self.processes:
            live = tuple(
                other.policy.node
                for other in self.processes
                if self._seems_alive(process, other)
            )
            self.give(process, m.MembersChanged(SERVICE, live))
        self.after(MEMBERS_MS, self._report_members)

    def _seems_alive(self, process: Process, other: Process) -> bool:
        if other is process:
            return True
        if not other.alive or other.stopping:
            return False
        paused_ms = self.now_ms - other.paused_at_ms
        if other.paused_until_ms > self.now_ms and paused_ms > PAUSE_NOTICED_MS:
            return False
        if not self.reaches(process.data_centre, other.data_centre):
            return False
        return self.is_calm or self.random.random() > 0.01

    def _read(self, process: Process) -> None:
        if not process.alive or not self.platform_reached(process):
            return
        if process.paused_until_ms > self.now_ms:
            return
        oldest = max(0, len(self.log) - self.way.retained_records)
        start = max(process.policy.next_offset, oldest)
        entries = tuple(self.log[start:])
        self.give(process, m.LogRecordsRead(start, entries, len(self.log)))

    # Outputs

    @singledispatchmethod
    def _carry_out(self, output: object, process: Process) -> None:
        """Ignore what needs nothing done: events and the end of a stop."""

    @_carry_out.register
    def _(self, output: m.RunHere, process: Process) -> None:
        self._request_keys.setdefault(output.request_id, output.key)
        self.after(self.delay_ms(), lambda: self._dispatch(output, process))

    def _dispatch(self, output: m.RunHere, process: Process) -> None:
        if not process.alive:
            return
        if process.paused_until_ms > self.now_ms:
            self.at(process.paused_until_ms, lambda: self._dispatch(output, process))
            return
        draw = 1.0 if self.is_calm else self.random.random()
        if draw < 0.08:
            self.give(process, m.DispatchFailed(output.run_id, bytes_sent=False))
            return
        if draw < 0.12:
            self.give(process, m.DispatchFailed(output.run_id, bytes_sent=True))
            return
        self.tally.runs[output.key] += 1
        if self.callers is not None:
            self.tally.payment_runs[self.callers.payment_of(output.key)] += 1
        report: Any = m.BackendServerAnswered(output.run_id, m.KeptAnswer(200))
        if draw < 0.2:
            report = m.DispatchFailed(output.run_id, bytes_sent=True)
        self.after(self.delay_ms(), lambda: self.give(process, report))

    @_carry_out.register
    def _(self, output: m.SendToPeer, process: Process) -> None:
        message = output.message
        if isinstance(message, m.OwnerAnswer):
            self._check(message.request_id, message.outcome)
        index = int(output.receiver.instance[1:])
        receiver = self.processes[index]
        is_same = receiver.policy.node == output.receiver and receiver.alive
        if is_same and self.reaches(process.data_centre, receiver.data_centre):
            sent = m.PeerSent(process.policy.node, message)
            self.after(self.delay_ms(), lambda: self.give(receiver, sent))
            return
        if isinstance(message, m.ForwardedRequest) and self.random.random() < 0.5:
            failed = m.ForwardFailed(message.request_id, bytes_sent=False)
            self.after(10, lambda: self.give(process, failed))

    @_carry_out.register
    def _(self, output: m.AnswerCaller, process: Process) -> None:
        self._request_keys[output.request_id] = output.key
        self._check(output.request_id, output.outcome)
        if output.outcome is m.Outcome.NOT_RUN and output.final:
            self.tally.final_keys.add(output.key)
        if self.callers is not None:
            callers = self.callers
            self.after(self.delay_ms(), lambda: callers.answered(output))

    @_carry_out.register
    def _(self, output: m.AppendRecord, process: Process) -> None:
        self.tally.appends += 1
        failed = m.AppendFailed(output.append_id, may_have_taken_effect=False)
        lost = m.AppendFailed(output.append_id, may_have_taken_effect=True)
        payload = self.way.encode(output.record)
        if not self.platform_reached(process):
            answer = self.random.choice([failed, lost])
            self.after(50, lambda: self.give(process, answer))
            return
        if not self.is_calm and self.random.random() < 0.06:
            late_ms = self.random.randint(500, 15_000)
            self.after(late_ms, lambda: self._append(payload, process, None))
            self.after(300, lambda: self.give(process, lost))
            return
        self.after(
            self.random.randint(3, 25),
            lambda: self._append(payload, process, output.append_id),
        )

    def _append(self, payload: bytes, process: Process, append_id: str | None) -> None:
        offset = len(self.log)
        self.log.append(LogEntry(offset, payload))
        for reader in self.processes:
            self.after(self.random.randint(2, 20), lambda p=reader: self._read(p))
        if append_id is None:
            return
        answer: Any = m.AppendDone(append_id, offset)
        if not self.is_calm and self.random.random() < 0.06:
            answer = m.AppendFailed(append_id, may_have_taken_effect=True)
        self.after(5, lambda: self.give(process, answer))

    def _check(self, request_id: str, outcome: m.Outcome) -> None:
        if outcome is not m.Outcome.NOT_RUN:
            self.tally.may_have_run += outcome is m.Outcome.MAY_HAVE_RUN
            return
        if self.callers is not None and not self.callers.is_heard(request_id):
            return
        is_relayed = request_id in self._stated
        self._stated.add(request_id)
        self.tally.not_run += not is_relayed
        if self.tally.runs[self._request_keys.get(request_id, "")] == 0:
            return
        if is_relayed:
            self.tally.overtaken_not_run += 1
        else:
            self.tally.untrue_not_run += 1
