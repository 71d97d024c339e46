"""Malformed announcements and store records are rejected without side effects."""

import asyncio
import json

import orjson
import pytest
from aiohttp import ClientSession
from hypothesis import given
from hypothesis import strategies as st

from azurestep.errors import MessageMalformedError
from azurestep.platform.announcement import Heartbeat, LeavingNotice, read_announcement
from azurestep.platform.topics import CONFIGURATION_KEY, MEMBERS_TOPIC, OPERATOR_TOPIC
from standins.store import StoreStandIn

from .fixtures_mesh import ANNOUNCE_PORT, MeshFleet, document
from .test_mesh_faults import eventually

TARGET = "/v1/instances/i-1/heartbeat"
HEARTBEAT = {
    "address": "10.1.0.4:8080",
    "information": {"service": "shop", "version": "v1", "zone": "dc-1", "slots": 4},
    "status": {"state": "ready", "sequence": 7, "cold_remaining": "0ms"},
    "born": 1_764_000_000_000,
}
FIELDS = [
    ("address",),
    ("information",),
    ("information", "service"),
    ("information", "version"),
    ("information", "zone"),
    ("information", "slots"),
    ("status",),
    ("status", "state"),
    ("status", "sequence"),
    ("status", "cold_remaining"),
]
INVALID_VALUES = [True, None, [], {}, 1.5, -3, 10**30, "", "12", "\u0000"]


def with_field(path: tuple[str, ...], value: object) -> bytes:
    beat = json.loads(json.dumps(HEARTBEAT))
    holder = beat
    for name in path[:-1]:
        holder = holder[name]
    if value is KeyError:
        del holder[path[-1]]
    else:
        holder[path[-1]] = value
    return json.dumps(beat).encode()


def test_valid_heartbeat_is_parsed() -> None:
    found = read_announcement(TARGET, json.dumps(HEARTBEAT).encode())
    assert found == Heartbeat("i-1", "shop", 7, 4, False, 0.0, 1_764_000_000_000, "v1")


def test_unknown_fields_are_ignored() -> None:
    body = json.dumps({**HEARTBEAT, "more": {"a": [1]}}).encode()
    assert read_announcement(TARGET, body).instance_id == "i-1"


@pytest.mark.parametrize("path", FIELDS)
def test_missing_field_is_rejected(path: tuple[str, ...]) -> None:
    with pytest.raises(MessageMalformedError):
        read_announcement(TARGET, with_field(path, KeyError))


@pytest.mark.parametrize("path", [*FIELDS, ("born",)])
@pytest.mark.parametrize("value", INVALID_VALUES, ids=repr)
def test_field_of_wrong_type_is_rejected(path: tuple[str, ...], value: object) -> None:
    if path[-1] in ("version", "zone") and isinstance(value, str):
        return
    if path[-1] == "service" and value in ("12", "\u0000"):
        return
    with pytest.raises(MessageMalformedError):
        read_announcement(TARGET, with_field(path, value))


@pytest.mark.parametrize("state", ["Ready", "leaving", "draining "])
def test_unknown_state_is_rejected(state: str) -> None:
    with pytest.raises(MessageMalformedError):
        read_announcement(TARGET, with_field(("status", "state"), state))


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\xfe",
        b"{",
        b"[]",
        b"null",
        b'{"born": NaN}',
        b"[" * 90_000 + b"]" * 90_000,
    ],
    ids=["bytes", "cut", "list", "null", "NaN", "deep"],
)
@pytest.mark.parametrize("verb", ["heartbeat", "deregister"])
def test_malformed_body_is_rejected(verb: str, body: bytes) -> None:
    with pytest.raises(MessageMalformedError):
        read_announcement(f"/v1/instances/i-1/{verb}", body)


def test_start_time_of_leaving_notice_is_optional() -> None:
    target = "/v1/instances/i-1/deregister"
    assert read_announcement(target, b"") == LeavingNotice("i-1")
    assert read_announcement(target, b"{}") == LeavingNotice("i-1")
    assert read_announcement(target, b'{"born": 5}') == LeavingNotice("i-1", 5)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["state", "slots", "born", "x"]), inner)
    ),
    max_leaves=8,
)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_parsed_or_rejected(body: bytes) -> None:
    for verb in ("heartbeat", "deregister"):
        try:
            read_announcement(f"/v1/instances/i-1/{verb}", body)
        except MessageMalformedError:
            continue


@given(st.sampled_from([*FIELDS, ("born",)]), JSON_VALUES)
def test_accepted_values_have_the_declared_types(
    path: tuple[str, ...], value: object
) -> None:
    try:
        found = read_announcement(TARGET, with_field(path, value))
    except MessageMalformedError:
        return
    assert isinstance(found, Heartbeat)
    assert type(found.slots) is int and found.slots >= 1
    assert type(found.sequence) is int and found.sequence >= 0
    assert type(found.service) is str and found.service
    assert found.started_ms is None or type(found.started_ms) is int


async def announce(session: ClientSession, host: str, name: str, body: bytes) -> int:
    address = f"http://{host}:{ANNOUNCE_PORT}/v1/instances/{name}/heartbeat"
    async with session.post(address, data=body) as answer:
        return answer.status


async def test_malformed_announcements_do_not_affect_the_backend_server(
    mesh: MeshFleet,
) -> None:
    instance = mesh.instances[0]
    unknown_service = with_field(("information", "service"), "elsewhere")
    unknown_state = with_field(("status", "state"), "zombie")
    for body in (b"\xff", unknown_service, unknown_state):
        for name in ("i-1", "i-9"):
            assert await announce(mesh.session, instance.host, name, body) == 400
    backend = instance.node.backend
    assert backend.instance_id == "i-1"
    assert not backend.conflicting_id


async def test_backend_server_can_leave_after_its_service_was_removed(
    mesh: MeshFleet,
) -> None:
    instance = mesh.instances[0]
    plain = orjson.loads(document(9))
    plain["services"] = {"other": {}}
    for route in plain["routes"].values():
        route["service"] = "other"
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, orjson.dumps(plain))
    await eventually(lambda: instance.node.configuration.version == 9)
    assert await instance.beat(mesh.session, "draining") == 200
    assert instance.node.backend.is_leaving()


MALFORMED_MEMBERS = [
    ("10.9.9.1", b"\xff\xfe"),
    ("10.9.9.2", b"[]"),
    ("10.9.9.3", b'{"format": 1}'),
    ("10.9.9.4", b'{"format": 1, "port": "7102"}'),
    ("10.9.9.5", b'{"format": 1, "port": true}'),
    ("10.9.9.6", b'{"format": 1, "port": 70000}'),
    ("no-address", b'{"format": 1, "port": 7102}'),
    ("10.9.9.8", b'{"format": "1", "port": 7102}'),
    ("10.9.9.9", b"[" * 50_000 + b"]" * 50_000),
]


async def test_malformed_member_records_do_not_hide_other_nodes(
    mesh_store: StoreStandIn, mesh: MeshFleet
) -> None:
    for key, value in MALFORMED_MEMBERS:
        mesh_store.put(MEMBERS_TOPIC, key, value)
    mesh_store.raw_items.append({"key": 5, "value": "eA==", "offset": 1})
    mesh_store.raw_items.append({"key": "10.9.9.10", "value": "*", "offset": 1})
    mesh_store.raw_items.append({"offset": 1})
    mesh_store.raw_items.append("no item")
    instance = mesh.instances[2]
    assert instance.task is not None
    instance.task.cancel()
    instance.node.abort()
    await asyncio.sleep(0.05)
    instance.node = mesh.new_node(instance)
    mesh.start_node(instance)
    await eventually(lambda: instance.node.discovery.done)
    known = {host for host, _ in instance.node.members.links}
    assert known == {item.host for item in mesh.instances[:2]}


async def test_malformed_configuration_records_are_skipped(
    mesh_store: StoreStandIn, mesh: MeshFleet
) -> None:
    topic = mesh_store.topic(OPERATOR_TOPIC)
    for raw in (b"", b"\x09ab", b"\x02\xff\xfe", b"\x06config{", b"\x06config[]"):
        topic.append_raw(raw)
    await asyncio.sleep(0.3)
    assert all(item.node.configuration.version == 3 for item in mesh.instances)
    mesh_store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, document(8))
    await eventually(
        lambda: all(item.node.configuration.version == 8 for item in mesh.instances), 2
    )


async def test_valid_version_before_a_malformed_record_is_applied(
    mesh_store: StoreStandIn, mesh: MeshFleet
) -> None:
    mesh_store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, document(8))
    mesh_store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, b"no document")
    await eventually(
        lambda: all(item.node.configuration.version == 8 for item in mesh.instances), 2
    )
