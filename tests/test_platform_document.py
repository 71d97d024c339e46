"""Versions of a configuration are parsed the same whatever was read before them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurestep.errors import ConfigurationError
from azurestep.platform import document as parsing
from azurestep.platform.document import DocumentReader, read_document
from azurestep.routing.model import Document

from .fixtures_mesh import document

SERVICES = ("shop", "bank")
ROUTES = st.fixed_dictionaries(
    {
        "host": st.just("shop.example"),
        "path_prefix": st.sampled_from(("/read/", "/pay/", "no slash")),
        "route_kind": st.sampled_from(("safe", "unsafe")),
        "timeout": st.sampled_from(("100ms", "2s", "soon")),
        "service": st.sampled_from((*SERVICES, "unknown")),
    }
)
VERSIONS = st.tuples(
    st.dictionaries(st.sampled_from("abcd"), ROUTES, max_size=4),
    st.sets(st.sampled_from(SERVICES)),
)


def outcome(reader: DocumentReader, content: bytes) -> Document | str:
    try:
        return reader.read(content)
    except ConfigurationError as error:
        return error.problem


@given(st.lists(VERSIONS, max_size=8))
def test_versions_are_read_as_if_each_were_the_first(
    versions: list[tuple[dict[str, object], set[str]]],
) -> None:
    reader = DocumentReader()
    for number, (routes, services) in enumerate(versions, 1):
        content = document(number, routes=routes, services=dict.fromkeys(services, {}))
        assert outcome(reader, content) == outcome(DocumentReader(), content)


@pytest.fixture
def routes() -> dict[str, dict[str, str]]:
    return {
        f"route-{index}": {
            "host": "shop.example",
            "path_prefix": f"/{index}/",
            "route_kind": "safe",
            "service": "shop",
        }
        for index in range(50)
    }


def test_only_changed_routes_are_parsed_again(
    routes: dict[str, dict[str, str]], monkeypatch: pytest.MonkeyPatch
) -> None:
    reader = DocumentReader()
    first = reader.read(document(1, routes=routes))
    parsed: list[str] = []
    original = parsing._route

    def counting(name: str, fields: parsing._Route) -> object:
        parsed.append(name)
        return original(name, fields)

    monkeypatch.setattr(parsing, "_route", counting)
    routes["route-7"]["path_prefix"] = "/other/"
    second = reader.read(document(2, routes=routes))
    assert parsed == ["route-7"]
    assert second == read_document(document(2, routes=routes))
    assert sum(a is b for a, b in zip(first.routes, second.routes, strict=True)) == 49


def test_a_kept_route_is_refused_when_its_service_goes(
    routes: dict[str, dict[str, str]],
) -> None:
    reader = DocumentReader()
    reader.read(document(1, routes=routes))
    with pytest.raises(ConfigurationError, match="unknown service"):
        reader.read(document(2, routes=routes, services={}))
