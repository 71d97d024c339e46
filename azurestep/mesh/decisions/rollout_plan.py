"""When a roll-out moves to its next phase.

Load pattern: the canary must be compared long enough to find faults that begin late,
and the new version must carry all requests, with the old one at rest, by the deadline.
"""

import attrs

from ...values import Value
from .rollout import Phase, Rollout

CANARY_PART = 0.5
"""Part of the duration after which the traffic is shifted to a good version."""
SHIFTING_PART = 0.08
"""Part of the duration for which both versions share the traffic."""
SETTLING_PART = 0.08
"""Shortest part of the duration for which the new version alone gets requests."""
LAST_SHIFT_PART = 0.8
"""Part of the duration after which a roll-out still in trial is rolled back."""
MIN_NEW_RUNS = 15
"""Fewest runs of the new version that can show that it is good."""
MIN_CAPACITY_RATIO = 0.8
"""Slots of the new version, relative to the old one, that can carry its requests."""
STOP_SPREAD_MS = 700.0
"""Time from a stop to its status in the store.

By then each peer has heard of the stop or has lost its link, which it does after 650 ms
without an answer. Operators may end the servers of a version that is rolled back.
"""
STOP_SPREAD_PART = 0.1
"""Longest such time as a part of the duration, so that the status is not late."""


@attrs.frozen(slots=True, eq=False, repr=False)
class RolloutView(Value):
    """What the deciding node sees of a roll-out.

    Attributes
    ----------
    new_slots, old_slots : int
        Slots of the usable backend servers of both versions.
    new_runs : int
        Runs of the new version so far.
    is_bad : bool
        Whether the new version was found to be worse.
    old_is_idle : bool
        Whether all servers of the old version reported no request in flight since the
        last change of the phase.
    sees_all : bool
        Whether all nodes of the fleet answer.
    """

    new_slots: int
    old_slots: int
    new_runs: int
    is_bad: bool
    old_is_idle: bool
    sees_all: bool


def next_phase(rollout: Rollout, view: RolloutView, now_ms: float) -> Phase | None:
    """Return the phase that a roll-out enters now; None if it stays.

    ``COMPLETED`` is to be written to the store before it holds.
    """
    if not rollout.in_trial:
        return None
    if view.is_bad:
        return Phase.STOPPED
    if rollout.phase is Phase.CANARY:
        return _after_canary(rollout, view, now_ms)
    phase_part = (now_ms - rollout.phase_since_ms) / max(1.0, rollout.duration_ms)
    if rollout.phase is Phase.SHIFTING:
        return Phase.NEW_ONLY if phase_part >= SHIFTING_PART else None
    at_rest = view.old_is_idle and view.sees_all and phase_part >= SETTLING_PART
    return Phase.COMPLETED if at_rest else None


def _after_canary(rollout: Rollout, view: RolloutView, now_ms: float) -> Phase | None:
    part = (now_ms - rollout.started_ms) / max(1.0, rollout.duration_ms)
    proven = view.new_runs >= MIN_NEW_RUNS
    carries = view.new_slots >= view.old_slots * MIN_CAPACITY_RATIO
    if part >= LAST_SHIFT_PART:
        return Phase.STOPPED
    if part >= CANARY_PART and proven and carries and view.sees_all:
        return Phase.SHIFTING
    return None


def is_spreading(rollout: Rollout, now_ms: float) -> bool:
    """Whether a stop may not have reached all peers yet; its status waits for that."""
    spread_ms = min(STOP_SPREAD_MS, STOP_SPREAD_PART * rollout.duration_ms)
    is_recent = now_ms - rollout.phase_since_ms < spread_ms
    return rollout.phase is Phase.STOPPED and is_recent
