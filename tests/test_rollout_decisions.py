"""Shares, roles and phases of a roll-out."""

import math
from random import Random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurestep.mesh.decisions.rollout import Phase, VersionRole
from azurestep.mesh.decisions.rollout_plan import RolloutView, next_phase
from azurestep.mesh.decisions.rollout_table import (
    FIRST_VERSIONS_MS,
    UNEXPLAINED_HOLD_MS,
    RolloutTable,
)
from azurestep.mesh.link_messages import RolloutUpdate

ORDER = RolloutUpdate("shop", "v2", 1, 7, int(Phase.CANARY), 12_000.0, 12_000.0)
READY = RolloutView(
    new_slots=50,
    old_slots=50,
    new_runs=40,
    is_bad=False,
    old_is_idle=True,
    sees_all=True,
)


@pytest.fixture
def table() -> RolloutTable:
    """Return a table with one roll-out that began at 0."""
    table = RolloutTable(exposure_share=0.1)
    table.role_of("shop", "v1", 0.0)
    table.apply(ORDER, 0.0)
    table.role_of("shop", "v1", 0.0)
    return table


def update(phase: Phase, **changes: object) -> RolloutUpdate:
    return attrs.evolve(ORDER, phase=int(phase), **changes)


def roles(table: RolloutTable, now_ms: float = 5000.0) -> tuple[str, ...]:
    found = [table.role_of("shop", one, now_ms) for one in ("v1", "v2", "")]
    return tuple(one.value for one in found)


@pytest.mark.parametrize(
    ("phase", "expected"),
    [
        (Phase.CANARY, ("current", "canary", "withheld")),
        (Phase.SHIFTING, ("current", "canary", "withheld")),
        (Phase.NEW_ONLY, ("withheld", "current", "withheld")),
        (Phase.STOPPED, ("current", "withheld", "withheld")),
        (Phase.ROLLED_BACK, ("current", "withheld", "current")),
        (Phase.COMPLETED, ("withheld", "current", "current")),
    ],
)
def test_roles_of_versions(
    table: RolloutTable, phase: Phase, expected: tuple[str, ...]
) -> None:
    table.apply(update(phase), 100.0)
    assert roles(table) == expected


def test_an_order_whose_progress_is_unknown_withholds_the_new_version() -> None:
    table = RolloutTable()
    table.apply(update(Phase.PENDING), 0.0)
    assert roles(table) == ("current", "withheld", "withheld")


@given(st.integers(0, 2**32), st.floats(0.01, 0.3), st.floats(0, 0.5))
def test_no_node_exceeds_its_share_while_most_requests_are_refused(
    seed: int, exposure_share: float, reached_ratio: float
) -> None:
    table = RolloutTable(exposure_share=exposure_share)
    table.apply(ORDER, 0.0)
    random = Random(seed)
    canaries = arrivals = 0
    for _ in range(3000):
        canary = table.try_canary("shop")
        if random.random() < reached_ratio:
            table.record_arrival("shop")
            arrivals += 1
            canaries += canary
        elif canary:
            table.give_back_canary("shop")
    assert canaries <= exposure_share * arrivals


def test_the_extra_exposure_is_shared_by_the_nodes() -> None:
    sent = 0
    for _ in range(40):
        table = RolloutTable(exposure_share=0.1, exposure_extra=50.0)
        table.apply(ORDER, 0.0, members=40)
        sent += sum(table.try_canary("shop") for _ in range(10))
    assert sent <= 50


def test_a_version_without_an_order_waits_for_its_explanation() -> None:
    table = RolloutTable()
    assert table.role_of("shop", "v1", 0.0) is VersionRole.CURRENT
    early_ms = FIRST_VERSIONS_MS + 1
    assert table.role_of("shop", "v2", early_ms) is VersionRole.WITHHELD
    late_ms = early_ms + UNEXPLAINED_HOLD_MS
    assert table.has_due_change(late_ms)
    assert table.role_of("shop", "v2", late_ms) is VersionRole.CURRENT


def test_a_version_without_an_order_waits_while_nobody_reads_orders() -> None:
    table = RolloutTable(store_reachable=lambda: False)
    table.role_of("shop", "v1", 0.0)
    table.role_of("shop", "v2", 10_000.0)
    assert table.role_of("shop", "v2", 60_000.0) is VersionRole.WITHHELD


def test_versions_of_a_fleet_that_starts_are_all_known() -> None:
    table = RolloutTable()
    assert table.role_of("shop", "v2", 0.0) is VersionRole.CURRENT
    assert table.role_of("shop", "v1", FIRST_VERSIONS_MS) is VersionRole.CURRENT


def test_a_verdict_is_never_replaced_by_another_one(table: RolloutTable) -> None:
    table.apply(update(Phase.ROLLED_BACK), 100.0)
    assert not table.apply(update(Phase.COMPLETED), 200.0)
    assert not table.apply(update(Phase.COMPLETED, era=2, offset=1), 300.0)
    assert table.role_of("shop", "v2", 400.0) is VersionRole.WITHHELD


def test_an_order_that_is_written_again_in_a_later_era_is_the_same(
    table: RolloutTable,
) -> None:
    table.apply(update(Phase.STOPPED), 100.0)
    assert not table.apply(update(Phase.CANARY, era=2, offset=3), 200.0)
    rollout = table.get("shop")
    assert rollout is not None
    assert (rollout.phase, rollout.era, rollout.offset) == (Phase.STOPPED, 2, 3)


def test_a_version_after_a_completed_one_is_explained_by_time(
    table: RolloutTable,
) -> None:
    table.apply(update(Phase.COMPLETED), 100.0)
    assert table.role_of("shop", "v3", 20_000.0) is VersionRole.WITHHELD
    assert table.role_of("shop", "v3", 30_000.0) is VersionRole.CURRENT


def test_a_second_order_withholds_the_version_of_the_first(
    table: RolloutTable,
) -> None:
    assert table.apply(update(Phase.CANARY, new_version="v3", offset=9), 100.0)
    found = [table.role_of("shop", one, 200.0).value for one in ("v1", "v2", "v3")]
    assert found == ["current", "withheld", "canary"]
    assert not table.apply(ORDER, 300.0)


def test_an_order_may_return_to_the_version_in_service(table: RolloutTable) -> None:
    table.apply(update(Phase.CANARY, new_version="v1", offset=9), 60_000.0)
    found = [table.role_of("shop", one, 60_100.0).value for one in ("v1", "v2")]
    assert found == ["current", "withheld"]


def test_a_new_version_is_not_taken_for_the_one_in_service() -> None:
    table = RolloutTable()
    table.role_of("shop", "v1", 0.0)
    table.role_of("shop", "v2", 20_000.0)
    table.apply(ORDER, 60_000.0)
    assert table.role_of("shop", "v2", 60_100.0) is VersionRole.CANARY


def test_the_same_version_may_be_ordered_again(table: RolloutTable) -> None:
    table.apply(update(Phase.ROLLED_BACK), 100.0)
    assert table.apply(update(Phase.CANARY, offset=9), 200.0)
    assert table.role_of("shop", "v2", 300.0) is VersionRole.CANARY


def phase_after(table: RolloutTable, now_ms: float, **changes: object) -> Phase | None:
    rollout = table.get("shop")
    assert rollout is not None
    return next_phase(rollout, attrs.evolve(READY, **changes), now_ms)


def test_a_good_version_is_completed_in_time(table: RolloutTable) -> None:
    rollout = table.get("shop")
    assert rollout is not None
    seen = []
    for now_ms in range(0, 12_000, 100):
        phase = next_phase(rollout, READY, now_ms)
        if phase is not None:
            table.advance(rollout, phase, now_ms)
            seen.append((phase, now_ms))
    assert [phase for phase, _ in seen] == [
        Phase.SHIFTING,
        Phase.NEW_ONLY,
        Phase.COMPLETED,
    ]
    assert seen[-1][1] < 10_000


@pytest.mark.parametrize("phase", [Phase.CANARY, Phase.SHIFTING, Phase.NEW_ONLY])
def test_a_bad_version_is_stopped_in_each_phase(
    table: RolloutTable, phase: Phase
) -> None:
    table.apply(update(phase), 100.0)
    assert phase_after(table, 200.0, is_bad=True) is Phase.STOPPED


@pytest.mark.parametrize(
    "change", [{"new_slots": 30}, {"new_runs": 3}, {"sees_all": False}]
)
def test_traffic_is_not_shifted_to_a_version_in_doubt(
    table: RolloutTable, change: dict[str, object]
) -> None:
    assert phase_after(table, 8000.0) is Phase.SHIFTING
    assert phase_after(table, 8000.0, **change) is None
    assert phase_after(table, 11_000.0, **change) is Phase.STOPPED


@pytest.mark.parametrize("change", [{"old_is_idle": False}, {"sees_all": False}])
def test_nothing_is_completed_while_old_servers_may_run_requests(
    table: RolloutTable, change: dict[str, object]
) -> None:
    table.apply(update(Phase.NEW_ONLY), 8000.0)
    assert phase_after(table, 13_000.0) is Phase.COMPLETED
    assert phase_after(table, 13_000.0, **change) is None


def test_a_roll_out_before_any_news_has_no_due_change() -> None:
    table = RolloutTable()
    assert not table.has_due_change(1e12)
    assert table.next_change_ms == math.inf
