"""Verdicts of roll-outs over histories of a model of the nodes that decide them."""

from random import Random
from unittest import mock

import attrs
import pytest
from hypothesis import Phase as HypothesisPhase
from hypothesis import given, settings
from hypothesis import strategies as st

from azurestep.mesh.rollouts import statuses
from azurestep.platform.rollout import RolloutState

from .rollout_model import RolloutFleet

DURATION_MS = 8000.0
ORDER_MS = 1500.0
END_MS = 22_000.0
RACE_MS = 1100.0
"""Time in which a completion may overtake the news of a stop: it counts on reports of
the last 1,000 ms, and its write is on its way for up to 60 ms."""

NO_SHRINKING = (
    HypothesisPhase.explicit,
    HypothesisPhase.reuse,
    HypothesisPhase.generate,
)
"""A failing history is reported as found; a smaller one takes minutes to find."""

Fault = tuple[str, float, int, float]
"""Kind, time, number that selects nodes, duration."""

faults = st.lists(
    st.tuples(
        st.sampled_from(
            ["pause", "pause first", "pause two", "kill", "kill first"]
            + ["cut", "store refuses", "store away", "store refuses first"]
            + ["store refuses all but first", "store loses answers", "store lags"]
            + ["pause completing"]
        ),
        st.floats(1000, 11_000),
        st.integers(0, 1000),
        st.floats(100, 5000),
    ),
    max_size=6,
)


@attrs.frozen
class History:
    """What happens to a fleet.

    Attributes
    ----------
    bad_from_ms : float or None
        When the runs of ``v2`` begin to fail; None for a good version.
    second_ms : float or None
        When another version is ordered; None for one order.
    """

    seed: int
    bad_from_ms: float | None
    second_ms: float | None
    faults: list[Fault]


histories = st.builds(
    History,
    seed=st.integers(0, 2**32),
    bad_from_ms=st.one_of(st.none(), st.just(0.0), st.floats(1500, 8000)),
    second_ms=st.one_of(st.none(), st.floats(1600, 9000)),
    faults=faults,
)


def play(history: History) -> RolloutFleet:
    """Play a history."""
    random = Random(history.seed)
    versions = ["v1"] * 3 + ["v2"] * 3
    if history.second_ms is not None:
        versions += ["v3"] * 3
    random.shuffle(versions)
    bad = {} if history.bad_from_ms is None else {"v2": history.bad_from_ms}
    fleet = RolloutFleet(versions, random, bad)
    fleet.after(ORDER_MS, lambda: fleet.store.order("v2", DURATION_MS))
    if history.second_ms is not None:
        fleet.after(history.second_ms, lambda: fleet.store.order("v3", DURATION_MS))
    for fault in history.faults:
        schedule(fleet, fault)
    with mock.patch.object(statuses, "time", fleet):
        fleet.run_until(END_MS)
    return fleet


def schedule(fleet: RolloutFleet, fault: Fault) -> None:
    """Let a fault come at its time."""
    kind, time_ms, number, for_ms = fault
    count = len(fleet.nodes)
    index = number % count
    begin = {
        "pause": lambda: fleet.pause(index, for_ms),
        "pause first": lambda: fleet.pause(0, for_ms),
        "pause two": lambda: [fleet.pause(one, for_ms) for one in (0, 1 + number % 3)],
        "kill": lambda: fleet.kill(index, for_ms),
        "kill first": lambda: fleet.kill(number % 2, for_ms),
        "cut": lambda: fleet.cut(
            {one: one % 2 if number % 2 else number >> one & 1 for one in range(count)},
            for_ms,
        ),
        "pause completing": lambda: setattr(fleet, "completing_pause_ms", for_ms),
        "store refuses": lambda: fleet.refuse({index, (index + 1) % count}, for_ms),
        "store refuses first": lambda: fleet.refuse({0, 1}, for_ms),
        "store refuses all but first": lambda: fleet.refuse(
            set(range(1, count)), for_ms
        ),
        "store away": lambda: fleet.refuse(set(range(count)), for_ms),
        "store loses answers": lambda: fleet.lose_answers(for_ms),
        "store lags": lambda: fleet.lag(1 + number % 2, for_ms),
    }[kind]
    fleet.after(time_ms, begin)


def check(fleet: RolloutFleet, history: History) -> None:
    """Assert what holds in all histories."""
    verdicts: dict[tuple[str, int], RolloutState] = {}
    latest = -1
    for time_ms, status, writer in fleet.store.written:
        told = f"node {writer} wrote {status} at {time_ms:.0f} ms"
        order = status.new_version, status.order_offset
        assert status.order_offset >= latest, f"{told} over a later order"
        latest = status.order_offset
        assert order not in verdicts, f"{told} after {verdicts.get(order)}"
        if status.state is not RolloutState.RUNNING:
            verdicts[order] = status.state
        if status.state is RolloutState.COMPLETED:
            stopped_ms = fleet.stopped_ms.get(status.new_version, time_ms)
            assert time_ms - stopped_ms <= RACE_MS, f"{told}, stopped at {stopped_ms}"
            bad = status.new_version == "v2" and history.bad_from_ms == 0.0
            assert not bad, f"{told} of a bad version"
    assert not fleet.unaware, fleet.unaware
    last = "v2" if history.second_ms is None else "v3"
    assert fleet.verdict_on(last) is not None, "the last order has no verdict"
    states = {node.phase_of(last) for node in fleet.nodes}
    assert len(states) == 1, states


@settings(max_examples=40, phases=NO_SHRINKING)
@given(histories)
def test_verdicts_hold_in_all_histories(history: History) -> None:
    """Guards against a verdict that is undone, doubled, or written before its stop."""
    check(play(history), history)


@pytest.mark.parametrize(
    "history",
    [
        History(
            seed=19,
            bad_from_ms=None,
            second_ms=8132.980909833691,
            faults=[
                ("store lags", 8075.108555994768, 151, 2501.4985141604448),
                ("pause first", 8023.038602082933, 335, 3881.628519976661),
                ("store loses answers", 7748.010741758703, 333, 3619.6453411202187),
            ],
        ),
        History(
            seed=2005,
            bad_from_ms=None,
            second_ms=5201.514775678631,
            faults=[
                ("store refuses", 1970.233994449634, 456, 4764.500408199819),
                ("cut", 5002.615434777052, 944, 4122.359151852857),
                ("kill first", 2204.227267679201, 960, 113.90501919351273),
                ("kill first", 2635.4774980911457, 252, 254.70495231119347),
                ("store away", 10475.799587479121, 772, 2316.257648228451),
            ],
        ),
    ],
)
def test_a_late_decider_keeps_the_status_of_a_later_order(history: History) -> None:
    """Guards against a node that has not read the later order writing over its status.

    A restarted fleet would then find no verdict on the later order and try it again.
    """
    check(play(history), history)


@pytest.mark.parametrize("pause_ms", [700.0, 1500.0, 3000.0])
def test_a_paused_decider_does_not_undo_a_stop(pause_ms: float) -> None:
    """Guards against a completion that a pause delayed until the version was stopped.

    The store refuses all other nodes, so that it doesn't hold the stop by then.
    """
    history = History(0, None, None, [("pause completing", 1000.0, 0, pause_ms)])
    fleet = play(history)
    assert "v2" in fleet.stopped_ms
    check(fleet, history)


@pytest.mark.parametrize(
    ("seed", "bad_from_ms", "cut"),
    [
        (28, 2225.9143403523262, ("cut", 2422.192590707475, 611, 513.3203646416962)),
        (48, 3096.3156568326594, ("cut", 3294.152851896473, 728, 435.30698875330404)),
        (192, 2746.6723744955234, ("cut", 3195.717839865307, 477, 335.08886586994527)),
    ],
)
def test_a_stop_is_known_everywhere_before_its_status(
    seed: int, bad_from_ms: float, cut: Fault
) -> None:
    """Guards against a status that overtakes the stop at nodes with a slow link."""
    history = History(seed, bad_from_ms, None, [cut])
    fleet = play(history)
    assert fleet.verdict_on("v2") is RolloutState.ROLLED_BACK
    check(fleet, history)
