"""Routes, traffic splits and decoding of the configuration document."""

from random import Random

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurestep.errors import ConfigurationError
from azurestep.mesh.knowledge.configuration import Applied, Configuration, Origin
from azurestep.platform.document import read_document
from azurestep.routing.model import WeightedService
from azurestep.routing.table import RoutingTable, WeightedRoundRobin

from .fixtures_mesh import document


def with_route(**fields: object) -> bytes:
    plain = orjson.loads(document(7))
    plain["routes"]["more"] = {**plain["routes"]["read"], **fields}
    return orjson.dumps(plain)


def test_longest_prefix_matches() -> None:
    document = read_document(with_route(path_prefix="/read/deep/", service="shop"))
    table = RoutingTable(document, Random(1))
    assert table.match(b"shop.example", b"/read/deep/1").name == "more"  # type: ignore[union-attr]
    assert table.match(b"shop.example", b"/read/deep?x=/").name == "read"  # type: ignore[union-attr]
    assert table.match(b"shop.example", b"/reader/1") is None
    assert table.match(b"other.example", b"/read/1") is None


def test_split_follows_the_weights() -> None:
    split = WeightedRoundRobin((WeightedService("a", 90), WeightedService("b", 10)))
    taken = [split.next_service() for _ in range(100)]
    assert taken.count("b") == 10


def with_split(version: int, a: float = 90, b: float = 10) -> bytes:
    plain = orjson.loads(document(version))
    plain["services"] = {"shop": {}, "a": {}, "b": {}}
    plain["routes"]["split"] = {
        **plain["routes"]["read"],
        "path_prefix": "/split/",
        "traffic_split": [{"service": "a", "weight": a}, {"service": "b", "weight": b}],
    }
    return orjson.dumps(plain)


def split_share(nodes: int, requests: int, a: float, b: float, seed: int) -> float:
    """Return the share of service ``b`` over nodes with few requests each.

    Each request is followed by a new version, which must not reset the splits.
    """
    taken = []
    for index in range(nodes):
        configuration = Configuration(lambda table: None, random=Random(seed + index))
        for version in range(1, requests + 1):
            configuration.apply(with_split(version, a, b), Origin.STORE)
            table = configuration.table
            assert table is not None
            route = table.match(b"shop.example", b"/split/1")
            assert route is not None
            taken.append(table.choose_service(route))
    return taken.count("b") / len(taken)


@pytest.mark.parametrize(("nodes", "requests"), [(61, 5), (13, 24), (25, 12)])
@pytest.mark.parametrize(("a", "b"), [(90, 10), (70, 30), (1, 1)])
@pytest.mark.parametrize("seed", [1, 1000, 2000])
def test_shares_match_weights_with_few_requests_at_each_node(
    nodes: int, requests: int, a: float, b: float, seed: int
) -> None:
    share = split_share(nodes, requests, a, b, seed)
    assert abs(share - b / (a + b)) < 0.1


def test_shares_of_one_node_match_weights_after_ten_requests() -> None:
    for seed in range(50):
        assert abs(split_share(1, 10, 70, 30, seed) - 0.3) < 0.11


def test_service_with_zero_weight_gets_no_requests() -> None:
    split = WeightedRoundRobin.with_random_start(
        (WeightedService("a", 1), WeightedService("b", 0)), Random(3)
    )
    assert {split.next_service() for _ in range(200)} == {"a"}


INVALID_FIELDS = {
    "version of another type": {"version": "7"},
    "version is a bool": {"version": True},
    "a route without a host": {"routes": {"r": {"path_prefix": "/", "service": "s"}}},
    "services is not an object": {"services": []},
    "an unknown service": {"services": {"other": {}}},
    "limits of another type": {"limits": {"max_header_bytes": 1.5}},
}


@pytest.mark.parametrize("change", INVALID_FIELDS.values(), ids=INVALID_FIELDS.keys())
def test_document_with_an_invalid_field_is_rejected(change: dict[str, object]) -> None:
    with pytest.raises(ConfigurationError):
        read_document(orjson.dumps({**orjson.loads(document(7)), **change}))


@pytest.mark.parametrize(
    "fields",
    [
        {"route_kind": 3},
        {"priority": True},
        {"max_attempts": 0},
        {"max_attempts": "2"},
        {"path_prefix": "no-slash"},
        {"timeout": 1200},
        {"aim": "1_000ms"},
        {"service": None},
        {"traffic_split": [{"service": "shop"}]},
        {"traffic_split": [{"service": "shop", "weight": -1}]},
        {"traffic_split": [{"service": "shop", "weight": 0}]},
        {"traffic_split": [{"service": "nowhere", "weight": 1}]},
    ],
)
def test_document_with_an_invalid_route_is_rejected(fields: dict[str, object]) -> None:
    with pytest.raises(ConfigurationError):
        read_document(with_route(**fields))


def test_version_out_of_range_is_rejected() -> None:
    with pytest.raises(ConfigurationError):
        read_document(document(7).replace(b'"version":7', b'"version":1%030d' % 0))


@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_arbitrary_bytes_are_rejected(content: bytes) -> None:
    with pytest.raises(ConfigurationError):
        read_document(content)


def test_deep_nesting_is_rejected() -> None:
    deep = b"[" * 100_000 + b"]" * 100_000
    with pytest.raises(ConfigurationError):
        read_document(document(7)[:-1] + b',"x":' + deep + b"}")


def test_unknown_fields_are_ignored() -> None:
    assert read_document(document(7, more={"a": [1]})).version == 7


@pytest.mark.parametrize(
    ("kind", "idempotent"),
    [("safe", True), ("download", True), ("unsafe", False), ("upload", False)],
)
def test_only_reads_and_downloads_are_idempotent(kind: str, idempotent: bool) -> None:
    table = RoutingTable(
        read_document(with_route(route_kind=kind, path_prefix="/more/")), Random(1)
    )
    route = table.match(b"shop.example", b"/more/1")
    assert route is not None
    assert route.idempotent is idempotent


@pytest.mark.parametrize(
    "content",
    [b"{", b"[]", b'{"version": 1}', with_route(timeout="5 minutes")],
)
def test_invalid_document_is_rejected_and_the_previous_one_kept(
    content: bytes,
) -> None:
    configuration = Configuration(lambda table: None)
    configuration.apply(document(3), Origin.STORE)
    with pytest.raises(ConfigurationError):
        read_document(content)
    assert configuration.apply(content, Origin.STORE) is Applied.INVALID
    assert configuration.version == 3


def test_older_versions_are_ignored() -> None:
    versions: list[int] = []
    configuration = Configuration(lambda table: versions.append(table.version))
    for version in (3, 7, 5, 7, 9):
        configuration.apply(document(version), Origin.STORE)
    assert versions == [3, 7, 9]
