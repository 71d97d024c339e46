"""A short seeded run of the soak with real processes."""

import pytest

from soak.plan import KINDS, draw
from soak.report import write
from soak.run import play

SEED = 1
REGRESSIONS: list[tuple[int, int, int]] = []
"""Seed, nodes and faults of each run that ever broke a promise, with its cause."""


async def test_a_short_run_keeps_every_promise() -> None:
    result = await play(draw(SEED, instances=3, faults=3), slot=1)
    assert result.broken == {}
    assert len(result.seen.calls) > 100
    assert "<svg" in write([result])


@pytest.mark.parametrize(("seed", "nodes", "faults"), REGRESSIONS)
async def test_what_once_failed_stays_mended(
    seed: int, nodes: int, faults: int
) -> None:
    result = await play(draw(seed, nodes, faults), slot=2)
    assert result.broken == {}


def test_plans_come_from_their_seed_alone() -> None:
    assert draw(5, 4, 30) == draw(5, 4, 30)
    assert draw(5, 4, 30) != draw(6, 4, 30)
    kinds = {type(fault) for seed in range(40) for fault in draw(seed, 4, 10).faults}
    assert kinds == set(KINDS)
