"""The time of a choice doesn't grow with the number of backend servers."""

from collections import Counter
from collections.abc import Iterator
from random import Random
from typing import Any

import pytest

from azurestep.mesh.decisions.choice import (
    Endpoint,
    EndpointGroup,
    SelectionCriteria,
    choose_endpoint,
    choose_from_group,
)

from .test_mesh_choice import endpoint

CRITERIA = SelectionCriteria("shop", "read", 400.0, 150.0, 1.5, "dc-1")
CHOICES = 4000


class Unlisted(list[Endpoint]):
    """A list that may be drawn from but not walked."""

    def __iter__(self) -> Iterator[Any]:
        raise AssertionError("all backend servers were listed")


@pytest.fixture
def random() -> Random:
    return Random(11)


def group_of(local: int, remote: int) -> EndpointGroup:
    return EndpointGroup(
        [endpoint(f"n{index}") for index in range(local)],
        [endpoint(f"f{index}", "dc-2") for index in range(remote)],
    )


def choose(group: EndpointGroup, random: Random) -> str:
    found = choose_from_group(group, CRITERIA, set(), 0.0, random)
    assert found is not None
    return str(found.key)


def test_a_choice_among_a_thousand_lists_none(random: Random) -> None:
    group = group_of(200, 800)
    group = EndpointGroup(Unlisted(group.local), Unlisted(group.remote))
    picks = Counter(choose(group, random) for _ in range(CHOICES))
    assert set(picks) <= {f"n{index}" for index in range(200)}
    assert len(picks) > 190


def test_drawn_candidates_are_spread_like_listed_ones(random: Random) -> None:
    group = group_of(40, 60)
    for index in range(0, 40, 2):
        group.local[index].in_flight = 8
    drawn = Counter(choose(group, random) for _ in range(CHOICES))
    listed: Counter[str] = Counter()
    for _ in range(CHOICES):
        found = choose_endpoint(group, CRITERIA, set(), 0.0, random)
        assert found is not None
        listed[str(found.key)] += 1
    for name in drawn | listed:
        assert abs(drawn[name] - listed[name]) < 0.02 * CHOICES


@pytest.mark.parametrize("open_servers", [0, 1, 3])
def test_the_few_usable_ones_among_many_are_found(
    open_servers: int, random: Random
) -> None:
    group = group_of(100, 100)
    for one in group:
        one.open = False
    for one in group.remote[:open_servers]:
        one.open = True
    chosen = [choose_from_group(group, CRITERIA, set(), 0.0, random) for _ in range(50)]
    assert {one and one.key for one in chosen} <= {None, "f0", "f1", "f2"}
    assert all(one is not None for one in chosen) == bool(open_servers)


def test_excluded_servers_are_not_drawn(random: Random) -> None:
    group = group_of(60, 60)
    excluded: set[object] = {f"n{index}" for index in range(59)}
    for _ in range(50):
        found = choose_from_group(group, CRITERIA, excluded, 0.0, random)
        assert found is not None and found.key not in excluded
