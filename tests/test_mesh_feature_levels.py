"""Messages to nodes of the release before, which reject fields that they don't know."""

import asyncio
from typing import Any

import msgpack
import pytest

from azurestep.mesh.link_messages import Credit
from azurestep.mesh.links.connection import PeerConnection
from azurestep.mesh.links.decoding import INCOMING_LINK_SCHEMAS, Decoder
from azurestep.mesh.messages import (
    DELTA_FEATURE_LEVEL,
    FEATURE_LEVEL,
    REQUEST_FIELDS_AT_LEVEL_0,
    Hello,
    Kind,
    encode,
)
from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC

from .fixtures_mesh import MeshFleet, caller_headers, document
from .test_mesh_uploads import BODY

FIELDS_AT_LEVEL_2 = 21
"""Fields of a request that nodes of the former release send."""


@pytest.fixture
def sent_requests(monkeypatch: pytest.MonkeyPatch) -> list[tuple[Any, ...]]:
    """Return the fields of all requests that nodes send to one another."""
    sent: list[tuple[Any, ...]] = []
    original = PeerConnection.send

    def recording(self: PeerConnection, kind: Kind, *fields: object) -> None:
        if kind is Kind.REQUEST:
            sent.append(fields[1:])
        original(self, kind, *fields)

    monkeypatch.setattr(PeerConnection, "send", recording)
    return sent


def set_levels(mesh: MeshFleet, level: int) -> None:
    for instance in mesh.instances:
        for link in instance.node.members.links.values():
            assert link.connection is not None
            link.connection.feature_level = level


async def test_a_request_without_a_team_is_sent_as_by_the_former_release(
    mesh: MeshFleet, sent_requests: list[tuple[Any, ...]]
) -> None:
    set_levels(mesh, FEATURE_LEVEL)
    for number in range(30):
        await mesh.get(mesh.instances[0], "/read/1", f"q{number}")
    assert {len(fields) for fields in sent_requests} == {FIELDS_AT_LEVEL_2}


async def test_only_nodes_that_know_teams_are_sent_one(
    mesh: MeshFleet, sent_requests: list[tuple[Any, ...]]
) -> None:
    set_levels(mesh, DELTA_FEATURE_LEVEL)
    tenants = {"riggers": {"api_keys": ["k3y"]}}
    content = document(4, tenants=tenants)
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)
    async with asyncio.timeout(5):
        while any(one.node.configuration.version != 4 for one in mesh.instances):
            await asyncio.sleep(0.02)
    lengths = {}
    for level in (DELTA_FEATURE_LEVEL, FEATURE_LEVEL):
        sent_requests.clear()
        set_levels(mesh, level)
        for number in range(30):
            headers = {
                **caller_headers(f"q{level}-{number}"),
                "Authorization": "Token k3y",
            }
            url = mesh.instances[0].url("/read/1")
            async with mesh.session.get(url, headers=headers) as answer:
                assert answer.status == 200
        lengths[level] = {len(fields) for fields in sent_requests}
    assert lengths == {
        DELTA_FEATURE_LEVEL: {FIELDS_AT_LEVEL_2},
        FEATURE_LEVEL: {FIELDS_AT_LEVEL_2 + 1},
    }


@pytest.mark.parametrize("level", [0, FEATURE_LEVEL])
async def test_a_former_node_gets_no_field_that_it_rejects(
    mesh: MeshFleet, sent_requests: list[tuple[Any, ...]], level: int
) -> None:
    set_levels(mesh, level)
    for number in range(30):
        status, _ = await mesh.get(mesh.instances[0], "/read/1", f"q{number}")
        assert status == 200
    assert sent_requests
    lengths = {len(fields) for fields in sent_requests}
    if level == 0:
        assert lengths == {REQUEST_FIELDS_AT_LEVEL_0}
    else:
        assert min(lengths) > REQUEST_FIELDS_AT_LEVEL_0


async def test_a_former_node_gets_a_large_body_at_once(mesh: MeshFleet) -> None:
    set_levels(mesh, 0)
    for instance in mesh.instances:
        instance.node.inbound.transfers.link_bytes_per_ms = 400.0
    for number in range(6):
        async with mesh.session.post(
            mesh.instances[0].url("/pay/1"),
            data=BODY,
            headers=caller_headers(f"u{number}"),
        ) as answer:
            assert answer.status == 200
    received = [one for item in mesh.instances for one in item.server.received]
    assert [one.body for one in received] == [BODY] * 6


def test_a_greeting_of_a_later_release_is_read() -> None:
    decoder = Decoder(INCOMING_LINK_SCHEMAS)
    fields = [2, ("10.0.0.1", 7102), "dc-0", 1700, 5, 9, "later"]
    found = decoder.feed(encode(Kind.HELLO, *fields))
    assert found == [(0, Hello(2, ("10.0.0.1", 7102), "dc-0", 1700, 5, 9))]


def test_unknown_kinds_and_fields_keep_the_link() -> None:
    decoder = Decoder(INCOMING_LINK_SCHEMAS)
    later = msgpack.packb([99, "later"]) + msgpack.packb([12, 7, 500, "later"])
    assert decoder.feed(later) == [(7, Credit(500))]
    assert not decoder.fault
