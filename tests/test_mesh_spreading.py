"""The trees on which versions are passed on, and versions as deltas."""

from collections import deque

import pytest
import zstandard
from hypothesis import given
from hypothesis import strategies as st

from azurestep.mesh.decisions.spreading import (
    FAN_OUT,
    GATEWAYS,
    choose_gateways,
    choose_receivers,
)
from azurestep.mesh.deltas import decode_delta, encode_delta
from azurestep.mesh.settings import Address
from bench.version_spreading import (
    BYTES_PER_MS_AT_1_MBPS,
    NODES,
    ROUTES_BYTES,
    simulate_trees,
)

from .fixtures_mesh import document, large_document

SIZES = st.integers(min_value=1, max_value=300)
TARGET_SIZE = 1100
PROPAGATION_MS = 2500.0


def addresses(size: int) -> list[Address]:
    return [(f"10.0.{number // 250}.{number % 250}", 7102) for number in range(size)]


def reached(
    members: list[Address], root: Address, silent: Address | None = None
) -> set[Address]:
    """Return the nodes that hear of a version if one of them passes nothing on."""
    found = {root}
    waiting = deque([root])
    while waiting:
        own = waiting.popleft()
        if own == silent:
            continue
        for receiver in choose_receivers(members, root, own):
            if receiver not in found:
                found.add(receiver)
                waiting.append(receiver)
    return found


@given(size=SIZES, data=st.data())
def test_all_nodes_hear_of_a_version_though_one_is_silent(
    size: int, data: st.DataObject
) -> None:
    members = addresses(size)
    root = data.draw(st.sampled_from(members))
    silent = data.draw(st.sampled_from(members))
    assert reached(members, root) == set(members)
    if silent != root:
        assert reached(members, root, silent) == set(members)


@given(size=st.integers(min_value=1, max_value=TARGET_SIZE), data=st.data())
def test_a_node_passes_a_version_on_to_few_nodes_in_any_fleet(
    size: int, data: st.DataObject
) -> None:
    members = addresses(size)
    root = data.draw(st.sampled_from(members))
    own = data.draw(st.sampled_from(members))
    receivers = choose_receivers(members, root, own)
    assert len(receivers) <= (2 * FAN_OUT if own == root else FAN_OUT)
    assert len(set(receivers)) == len(receivers)
    assert own not in receivers
    assert root not in receivers


@pytest.mark.parametrize("size", [1, 30, 183, TARGET_SIZE])
def test_a_version_takes_few_hops(size: int) -> None:
    members = addresses(size)
    hops = {members[0]: 0}
    waiting = deque([members[0]])
    while waiting:
        own = waiting.popleft()
        for receiver in choose_receivers(members, members[0], own):
            if receiver not in hops:
                hops[receiver] = hops[own] + 1
                waiting.append(receiver)
    assert size <= FAN_OUT ** max(hops.values()) * 2 * FAN_OUT
    assert max(hops.values()) <= {1: 0, 30: 3, 183: 5, TARGET_SIZE: 6}[size]


def test_a_node_that_knows_other_members_still_passes_a_version_on() -> None:
    members = addresses(10)
    for root in members:
        for own in members:
            others = [one for one in members if one not in (root, own)]
            assert choose_receivers(others, root, own) == choose_receivers(
                members, root, own
            )


def test_few_nodes_of_other_data_centres_hear_of_a_version() -> None:
    groups = {f"dc-{number}": addresses(200) for number in range(5)}
    assert len(choose_gateways(groups)) == 5 * GATEWAYS


@given(base=st.binary(max_size=400), content=st.binary(max_size=400))
def test_a_delta_yields_the_same_document(base: bytes, content: bytes) -> None:
    assert decode_delta(base, encode_delta(base, content)) == content


def test_a_change_of_one_route_takes_few_bytes() -> None:
    base = large_document(7, 450_000)
    half = len(base) // 2
    content = base[:half] + base[half:].replace(b"1200ms", b"900ms", 1)
    content = content.replace(b'"version":7', b'"version":8')
    assert len(encode_delta(base, content)) * 100 < len(encode_delta(b"", content))


@pytest.mark.parametrize("data", [b"", b"no zstd", encode_delta(b"", b"x" * 99)[:-3]])
def test_a_malformed_delta_is_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match="configuration"):
        decode_delta(b"", data)


def test_a_delta_to_another_document_is_rejected() -> None:
    base = document(7)
    delta = encode_delta(base, document(8))
    with pytest.raises(ValueError, match="configuration"):
        decode_delta(base.replace(b"shop", b"shoe"), delta)


def test_a_delta_that_would_grow_beyond_the_limit_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("azurestep.mesh.deltas.MAX_MESSAGE_BYTES", 1000)
    delta = zstandard.ZstdCompressor().compress(b"x" * 1001)
    with pytest.raises(ValueError, match="too long"):
        decode_delta(b"", delta)


@pytest.mark.parametrize("nodes", NODES)
@pytest.mark.parametrize("silent_ratio", [0.0, 0.2])
def test_added_routes_reach_a_data_centre_of_narrow_links_in_time(
    nodes: int, silent_ratio: float
) -> None:
    """The rest of the bound is left for the way from the store."""
    found = simulate_trees(nodes, 3.5, ROUTES_BYTES, silent_ratio)
    read_ms = 450_000 / (3.5 * BYTES_PER_MS_AT_1_MBPS)
    assert found.last_ms < PROPAGATION_MS - read_ms
    assert found.most_sent_bytes <= 2 * FAN_OUT * ROUTES_BYTES
