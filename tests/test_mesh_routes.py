"""Routes, splits and the operator's document."""

import orjson
import pytest

from azurestep.errors import ConfigurationError
from azurestep.mesh.configuration import Configuration
from azurestep.mesh.routes import Part, Split
from azurestep.platform.document import read_document

from .fixtures_mesh import document


def with_route(**fields: object) -> bytes:
    plain = orjson.loads(document(7))
    plain["routes"]["more"] = {**plain["routes"]["read"], **fields}
    return orjson.dumps(plain)


def test_the_longest_prefix_wins() -> None:
    table = read_document(with_route(path_prefix="/read/deep/", service="shop"))
    assert table.match(b"shop.example", b"/read/deep/1").name == "more"  # type: ignore[union-attr]
    assert table.match(b"shop.example", b"/read/deep?x=/").name == "read"  # type: ignore[union-attr]
    assert table.match(b"shop.example", b"/reader/1") is None
    assert table.match(b"other.example", b"/read/1") is None


def test_a_split_deals_by_weight() -> None:
    split = Split((Part("a", 90), Part("b", 10)))
    taken = [split.take() for _ in range(100)]
    assert taken.count("b") == 10


@pytest.mark.parametrize(
    "content",
    [b"{", b"[]", b'{"version": 1}', with_route(timeout="5 minutes")],
)
def test_an_unreadable_document_is_refused_and_the_former_one_stays(
    content: bytes,
) -> None:
    configuration = Configuration(lambda table: None)
    configuration.offer(document(3), "test")
    with pytest.raises(ConfigurationError):
        read_document(content)
    assert not configuration.offer(content, "test")
    assert configuration.version == 3


def test_versions_never_go_back() -> None:
    seen: list[int] = []
    configuration = Configuration(lambda table: seen.append(table.version))
    for version in (3, 7, 5, 7, 9):
        configuration.offer(document(version), "test")
    assert seen == [3, 7, 9]
