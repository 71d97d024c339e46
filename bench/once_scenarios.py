"""Planned histories: a platform outage, and a crash for good."""

import statistics
from random import Random

import attrs

from azurestep.once import OnceDecision, OnceSettings
from azurestep.once.fold import SlotId

from .once_callers import PayingCallers
from .once_faults import DATA_CENTRES, Fault, FaultKind, History, Payment
from .once_model import EPOCH_MS, SERVICE, Model, Process, Tally, Way
from .once_ways import owned_intervals

WARM_UP_MS = 60_000
PAYMENT_EVERY_MS = 400
PROBE_EVERY_MS = 500
FOREVER_MS = 10_000_000


@attrs.frozen
class Outage:
    """What became of payments that were sent during an outage.

    Attributes
    ----------
    served_ratio : float
        Share that ran and was answered.
    path_appends_per_payment : float
        Appends that a payment waited for, before the outage.
    median_ms : float
        Median time to the answer in the model, before the outage.
    """

    way: str
    outage_ms: int
    payments: int
    served_ratio: float
    path_appends_per_payment: float
    median_ms: float


@attrs.frozen
class Trade:
    """What one length of the ownership interval gives and costs.

    Attributes
    ----------
    survived_ms : list of int
        For each phase, how long all slots stay open without the platform.
    blocked_ms : list of int
        For each phase, how long a crash of one of six nodes closes a slot.
    served_ratio : float
        Share of the payments sent in the 60 s after the crash that was served,
        by callers that declare attempts and take the hint of open slots.
    appends_per_node_hour : float
        Ownership records of a node in quiet times.
    """

    interval_ms: int
    survived_ms: list[int]
    blocked_ms: list[int]
    served_ratio: float
    appends_per_node_hour: float


def run_outage(way: Way, outage_ms: int, seed: int) -> Outage:
    """Send payments through an outage of the platform."""
    start_ms = 2 * WARM_UP_MS
    fault = Fault(FaultKind.OUTAGE, start_ms, outage_ms, 0)
    payments = _payments(WARM_UP_MS, start_ms + outage_ms - 2000)
    history = History(seed, start_ms + outage_ms, (fault,), payments)
    tally = _run(_model(way, history))
    inside = [item.name for item in payments if item.at_ms >= start_ms]
    before = [
        tally.served_after_ms[item.name]
        for item in payments
        if item.at_ms < start_ms and item.name in tally.served
    ]
    served = sum(name in tally.served for name in inside)
    quiet = attrs.evolve(history, faults=(), duration_ms=start_ms)
    path_appends = _run(_model(way, quiet)).path_appends
    return Outage(
        way.name,
        outage_ms,
        len(inside),
        served / len(inside),
        path_appends / max(1, len(payments) - len(inside)),
        statistics.median(before),
    )


def run_trade(interval_ms: int, phases: int) -> Trade:
    """Measure an interval length, with the fault at several phases of it."""
    settings = OnceSettings(
        ownership_interval_ms=interval_ms, claim_ahead_ms=interval_ms // 10
    )
    way = owned_intervals(settings)
    survived = []
    blocked = []
    served = []
    for phase in range(phases):
        at_ms = WARM_UP_MS + interval_ms * (phases + phase) // phases
        survived.append(_survived_ms(way, at_ms, interval_ms, phase))
        crash = Crash(way, at_ms, interval_ms, phase)
        blocked.append(crash.blocked_ms())
        served.append(crash.served_ratio())
    quiet = History(0, WARM_UP_MS + 6 * interval_ms, (), ())
    model = _model(way, quiet)
    appends = _run(model).appends / len(model.processes)
    hours = quiet.duration_ms / 3_600_000
    return Trade(
        interval_ms, survived, blocked, statistics.mean(served), appends / hours
    )


@attrs.frozen
class Crash:
    """A node that dies and does not come back."""

    way: Way
    at_ms: int
    interval_ms: int
    seed: int

    def blocked_ms(self) -> int:
        """Return how long some slot takes no key of the present."""
        model = _model(self.way, self._history(2 * self.interval_ms, ()))
        return _closed_ms(model, self.at_ms)[1]

    def served_ratio(self) -> float:
        """Return the share of payments after the crash that was served."""
        payments = _payments(self.at_ms, self.at_ms + 60_000)
        model = _model(self.way, self._history(75_000, payments))
        return len(_run(model).served) / len(payments)

    def _history(self, more_ms: int, payments: tuple[Payment, ...]) -> History:
        fault = Fault(FaultKind.KILL, self.at_ms, FOREVER_MS, 0)
        return History(self.seed, self.at_ms + more_ms, (fault,), payments)


def _survived_ms(way: Way, at_ms: int, interval_ms: int, seed: int) -> int:
    fault = Fault(FaultKind.OUTAGE, at_ms, FOREVER_MS, 0)
    history = History(seed, at_ms + 2 * interval_ms, (fault,), ())
    return _closed_ms(_model(way, history), at_ms)[0]


def _closed_ms(model: Model, since_ms: int) -> tuple[int, int]:
    """Return when the first slot closed and the last one opened again."""
    closed: list[int] = []

    def probe() -> None:
        if not _all_slots_open(model):
            closed.append(model.now_ms)
        model.after(PROBE_EVERY_MS, probe)

    model.at(since_ms, probe)
    _run(model)
    if not closed:
        return model.history.duration_ms - since_ms, 0
    return closed[0] - since_ms, closed[-1] + PROBE_EVERY_MS - since_ms


def _all_slots_open(model: Model) -> bool:
    open_slots = set()
    for process in model.processes:
        if process.alive:
            open_slots |= _own_open_slots(process, model.now_ms)
    return len(open_slots) == OnceSettings().slot_count


def _own_open_slots(process: Process, now_ms: int) -> set[SlotId]:
    policy = process.policy
    assert isinstance(policy, OnceDecision)
    return {
        SlotId(SERVICE, slot_id.slot)
        for slot_id in policy.owner.slot_ids
        if policy.owner.tenure_at(slot_id, EPOCH_MS + now_ms)
    }


def _payments(start_ms: int, end_ms: int) -> tuple[Payment, ...]:
    return tuple(
        Payment(f"p{index}", at_ms, index % DATA_CENTRES, 0, True)
        for index, at_ms in enumerate(range(start_ms, end_ms, PAYMENT_EVERY_MS))
    )


def _model(way: Way, history: History) -> Model:
    return Model(way, history, is_calm=True)


def _run(model: Model) -> Tally:
    model.callers = PayingCallers(model, Random(model.history.seed + 1))
    return model.run()
