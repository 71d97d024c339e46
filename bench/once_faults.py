"""Generated faults and payments of one history."""

from enum import StrEnum
from random import Random

import attrs

INSTANCES = 6
DATA_CENTRES = 3
HISTORY_MS = 90_000
MAX_PAYMENTS = 60
EARLIEST_MS = 4000
LATEST_MS = HISTORY_MS - 20_000
NEAR_FAULT_RATIO = 0.6


class FaultKind(StrEnum):
    """What goes wrong."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    PARTITION = "partition"
    OUTAGE = "outage"
    CUT_OFF = "cut_off"
    CLOCK = "clock"


HERD_RATIO = 0.4
HERD_MS = 15_000
HERDS = (
    (FaultKind.STOP,),
    (FaultKind.KILL,),
    (FaultKind.STOP, FaultKind.KILL),
    (FaultKind.STOP, FaultKind.PARTITION),
    (FaultKind.PAUSE, FaultKind.STOP),
    (FaultKind.OUTAGE, FaultKind.STOP, FaultKind.PAUSE),
)


@attrs.frozen
class Fault:
    """One fault.

    Attributes
    ----------
    target : int
        Index of the instance, or of the data centre for ``PARTITION`` and
        ``CUT_OFF`` (from the platform only).
    clock_ms : int
        Change of the wall clock for ``CLOCK``.
    """

    kind: FaultKind
    at_ms: int
    duration_ms: int
    target: int
    clock_ms: int = 0


@attrs.frozen
class Payment:
    """One payment that a caller wants.

    Attributes
    ----------
    clock_ms : int
        Error of the caller's clock.
    declares : bool
        Whether it sends ``Azurestep-Attempt`` and waits for one copy at a time.
    """

    name: str
    at_ms: int
    data_centre: int
    clock_ms: int
    declares: bool


@attrs.frozen
class History:
    """What happens in one run of the model."""

    seed: int
    duration_ms: int
    faults: tuple[Fault, ...]
    payments: tuple[Payment, ...]


def generate(seed: int) -> History:
    """Return the history of a seed."""
    source = Random(seed)
    faults = _faults(source)
    count = source.randint(20, MAX_PAYMENTS)
    payments = tuple(_payment(source, index, faults) for index in range(count))
    return History(seed, HISTORY_MS, faults, payments)


def _faults(source: Random) -> tuple[Fault, ...]:
    count = source.randint(1, 9)
    if source.random() >= HERD_RATIO:
        return tuple(_fault(source) for _ in range(count))
    kinds = source.choice(HERDS)
    start_ms = source.randint(0, LATEST_MS - HERD_MS)
    return tuple(
        attrs.evolve(
            _fault(source, source.choice(kinds)),
            at_ms=start_ms + source.randint(0, HERD_MS),
        )
        for _ in range(count)
    )


def _fault(source: Random, kind: FaultKind | None = None) -> Fault:
    kind = kind or source.choice(list(FaultKind))
    is_wide = kind in (FaultKind.PARTITION, FaultKind.CUT_OFF)
    return Fault(
        kind,
        at_ms=source.randint(0, HISTORY_MS - 10_000),
        duration_ms=source.choice([200, 2000, 6000, 15_000, 40_000]),
        target=source.randrange(DATA_CENTRES if is_wide else INSTANCES),
        clock_ms=source.choice([-60_000, -5000, 3000, 8000, 40_000]),
    )


def _payment(source: Random, index: int, faults: tuple[Fault, ...]) -> Payment:
    at_ms = source.randint(EARLIEST_MS, LATEST_MS)
    if source.random() < NEAR_FAULT_RATIO:
        near_ms = source.choice(faults).at_ms + source.randint(-500, 2500)
        at_ms = min(max(near_ms, EARLIEST_MS), LATEST_MS)
    return Payment(
        name=f"p{index}",
        at_ms=at_ms,
        data_centre=source.randrange(DATA_CENTRES),
        clock_ms=source.choice([0, 0, 0, -200, 300, -4000, 5000, -120_000, 60_000]),
        declares=source.random() < 0.5,
    )
