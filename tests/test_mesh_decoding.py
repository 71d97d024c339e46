"""Bytes of peers are validated before they are handled, whatever they are."""

import types
import typing
from typing import Any
from unittest.mock import Mock

import attrs
import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurestep.mesh.decisions.pressure import CALLS_PRIORITY
from azurestep.mesh.decisions.rollout import Phase
from azurestep.mesh.deltas import encode_delta
from azurestep.mesh.links import decoding
from azurestep.mesh.links.connection import HANDLERS as CONNECTION_HANDLERS
from azurestep.mesh.links.connection import PeerConnection, RemoteStream
from azurestep.mesh.links.decoding import (
    INCOMING_LINK_SCHEMAS,
    PEER_CONNECTION_SCHEMAS,
    Decoder,
)
from azurestep.mesh.links.server import HANDLERS as INCOMING_HANDLERS
from azurestep.mesh.links.server import IncomingLink
from azurestep.mesh.messages import (
    PROTOCOL_VERSION,
    Answer,
    Failure,
    Hello,
    Kind,
    Reason,
    State,
    compress,
    encode,
    fields_of,
)
from azurestep.mesh.runtime import Runtime

from .test_mesh_crashes import request

STREAM = 3
HELLO = Hello(PROTOCOL_VERSION, ("10.0.0.1", 7), "dc-0", 5, 3)
STATE = State("shop", b"i-1", 9, True, 4, 2, 0.5, 3, True, False, 0.0, (("read", 4),))
ANSWER = Answer(200, [(b"a", b"b")], True, 1, True, b"x", 0, 5.0)
CRASHES = [[7, [["10.0.0.1", 80, 3]], 5.0]]
VALID_FIELDS: dict[Kind, list[Any]] = {
    Kind.HELLO: fields_of(HELLO),
    Kind.STATE: fields_of(STATE),
    Kind.PING: [5.0],
    Kind.PONG: [],
    Kind.REQUEST: [STREAM, *fields_of(request())],
    Kind.BODY: [STREAM, b"x", True],
    Kind.CANCEL: [STREAM],
    Kind.ANSWER: [STREAM, *fields_of(ANSWER)],
    Kind.ANSWER_DATA: [STREAM, b"x", False],
    Kind.ANSWER_PART: [STREAM, b"x"],
    Kind.REFUSAL: [STREAM, int(Reason.OVERLOADED), 3, 100.0],
    Kind.FAILURE: [STREAM, int(Reason.RESET), 0],
    Kind.CREDIT: [STREAM, 500],
    Kind.CONFIGURATION: [4, compress(b"{}")],
    Kind.CONFIGURATION_QUERY: [],
    Kind.CONFIGURATION_DELTA: [4, 0, encode_delta(b"", b"{}")],
    Kind.VERSION_NOTICE: [4, ["10.0.0.1", 7]],
    Kind.QUOTA_USAGE: [[["riggers", 3, 1]]],
    Kind.QUOTA_GRANT: [[["riggers", 2.5, 1000.0]]],
    Kind.QUOTA_HANDOVER: [["10.0.0.2", 7], [["riggers", -2.5]], False, 1],
    Kind.SLOT_READY: [STREAM],
    Kind.PROCEED: [STREAM],
    Kind.CRASHES: ["shop", CRASHES],
    Kind.WITHDRAW: [STREAM],
    Kind.SERVER_CONDITION: [b"i-1", 5, 47.9, True],
    Kind.STORE_ERA: [4],
    Kind.STORE_CONTACT: [7],
    Kind.SERVER_VERSION: ["shop", "v2"],
    Kind.ROLLOUT: ["shop", "v2", 1, 7, int(Phase.CANARY), 12_000.0, 9000.0],
    Kind.CALLED_ROUTES: [["read"]],
    Kind.BODY_BACKLOG: [300.0, 2.5],
    Kind.SERVER_SPEED: [2.5, 40.0],
    Kind.TRIAL_COUNTS: ["shop", "v2", 1, 7, 3, [["read", 20, 1]]],
}
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=12,
)


class FakeTransport:
    """Replaces the transport of a connection."""

    def __init__(self) -> None:
        self.aborted = False

    def is_closing(self) -> bool:
        return self.aborted

    def write(self, data: bytes) -> None:
        """Ignore the data."""

    def get_extra_info(self, name: str) -> Mock:
        return Mock()

    def abort(self) -> None:
        self.aborted = True


class RecordingEnd:
    """One end of a link whose handlers only record the messages they get."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, called: bool) -> None:
        self.handled: list[Any] = []
        self.runtime = Runtime(None)  # type: ignore[arg-type]
        self.fleet_listener = self
        self.inbound = None
        self.connection = None
        self.called = called
        table = INCOMING_HANDLERS if called else CONNECTION_HANDLERS
        for kind in table:
            monkeypatch.setitem(table, kind, self._record)

    def _record(self, end: object, stream: object, message: Any) -> None:
        self.handled.append(message)

    def receive(self, *pieces: bytes) -> FakeTransport:
        """Feed bytes to a new link."""
        transport = FakeTransport()
        end: Any
        if self.called:
            end = IncomingLink(self)  # type: ignore[arg-type]
        else:
            end = PeerConnection(self)  # type: ignore[arg-type]
            stream = RemoteStream(end, STREAM, self, True, True)  # type: ignore[arg-type]
            end.streams = {number: stream for number in range(8)}
        end._transport = transport
        self.handled.clear()
        for piece in pieces:
            end.data_received(piece)
        return transport


@pytest.fixture(scope="module", params=[True, False], ids=["called", "calling"])
def end(request: pytest.FixtureRequest) -> typing.Iterator[RecordingEnd]:
    with pytest.MonkeyPatch.context() as monkeypatch:
        yield RecordingEnd(monkeypatch, request.param)


def is_typed(value: object, kind: Any) -> bool:
    """Whether a value has the type that a class declares."""
    origin, inner = typing.get_origin(kind), typing.get_args(kind)
    if origin is not None:
        return type(value) is origin and items_are_typed(value, inner)
    if attrs.has(kind):
        return type(value) is kind and fields_are_typed(value)
    if kind is int:
        return isinstance(value, int) and not isinstance(value, bool)
    return type(value) is kind


def items_are_typed(values: Any, kinds: tuple[Any, ...]) -> bool:
    if len(kinds) == 1 or kinds[-1] is Ellipsis:
        return all(is_typed(value, kinds[0]) for value in values)
    return len(values) == len(kinds) and all(map(is_typed, values, kinds))


def fields_are_typed(message: Any) -> bool:
    fields = attrs.fields(attrs.resolve_types(type(message)))
    return all(is_typed(getattr(message, one.name), one.type) for one in fields)


def check(end: RecordingEnd, *pieces: bytes) -> FakeTransport:
    transport = end.receive(*pieces)
    assert all(map(fields_are_typed, end.handled)), end.handled
    # A request that is cancelled in the same read is counted, and not handled.
    assert {name for name, _ in end.runtime.metrics.counters} <= {"cancelled_here"}
    return transport


def link_still_serves(end: RecordingEnd) -> None:
    kind = Kind.CREDIT
    transport = check(end, encode(kind, *VALID_FIELDS[kind]))
    assert len(end.handled) == 1
    assert not transport.aborted


@given(st.lists(st.binary(max_size=60), max_size=4))
def test_no_bytes_reach_a_handler_unvalidated(
    end: RecordingEnd, pieces: list[bytes]
) -> None:
    check(end, *pieces)
    link_still_serves(end)


@given(st.integers(-2, 30) | LEAVES, st.lists(VALUES, max_size=22))
def test_no_message_reaches_a_handler_unvalidated(
    end: RecordingEnd, kind: object, fields: list[Any]
) -> None:
    check(end, msgpack.packb([kind, *fields], use_bin_type=True))
    link_still_serves(end)


@given(st.sampled_from(sorted(VALID_FIELDS)), st.data())
def test_no_message_with_one_field_changed_reaches_a_handler_unvalidated(
    end: RecordingEnd, kind: Kind, data: st.DataObject
) -> None:
    fields = list(VALID_FIELDS[kind])
    if fields:
        fields[data.draw(st.integers(0, len(fields) - 1))] = data.draw(VALUES)
    check(end, msgpack.packb([int(kind), *fields], use_bin_type=True))
    link_still_serves(end)


@given(st.lists(st.sampled_from(sorted(VALID_FIELDS)), max_size=6), st.data())
def test_messages_are_decoded_wherever_their_bytes_are_split(
    end: RecordingEnd, kinds: list[Kind], data: st.DataObject
) -> None:
    accepted = INCOMING_LINK_SCHEMAS if end.called else PEER_CONNECTION_SCHEMAS
    text = b"".join(encode(kind, *VALID_FIELDS[kind]) for kind in kinds)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(text)), max_size=4)))
    edges = [0, *cuts, len(text)]
    pieces = [text[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    counters = end.runtime.metrics.counters
    before = counters["cancelled_here", "waiting"]
    assert not check(end, *pieces).aborted
    handled, skipped = [], 0
    for read in kinds_by_read(kinds, edges):
        known = [kind for kind in read if kind in accepted]
        is_cancelled = Kind.CANCEL in known
        for kind in known:
            of_stream = accepted[kind].has_stream_id and kind is not Kind.CANCEL
            if not (is_cancelled and of_stream):
                handled.append(kind)
            elif kind is Kind.REQUEST:
                skipped += 1
    assert len(end.handled) == len(handled)
    assert counters["cancelled_here", "waiting"] - before == skipped


def kinds_by_read(kinds: list[Kind], edges: list[int]) -> list[list[Kind]]:
    """Return the kinds of the messages that each read completes."""
    reads: list[list[Kind]] = [[] for _ in edges[1:]]
    end = 0
    for kind in kinds:
        end += len(encode(kind, *VALID_FIELDS[kind]))
        first = next(index for index, edge in enumerate(edges[1:]) if edge >= end)
        reads[first].append(kind)
    return reads


def test_every_kind_of_message_has_a_handler_and_a_schema() -> None:
    assert (
        set(INCOMING_LINK_SCHEMAS) | set(PEER_CONNECTION_SCHEMAS)
        == set(Kind)
        == set(VALID_FIELDS)
    )
    made = {*INCOMING_HANDLERS, *CONNECTION_HANDLERS}
    assert isinstance(decoding.Message, types.UnionType)
    assert made == set(typing.get_args(decoding.Message))


def test_messages_before_a_malformed_one_are_handled(end: RecordingEnd) -> None:
    credit = encode(Kind.CREDIT, *VALID_FIELDS[Kind.CREDIT])
    transport = check(end, credit + credit + b"\xc1" + credit, credit)
    assert transport.aborted
    assert len(end.handled) == 2


@pytest.mark.parametrize(
    "fields",
    [(0.0, 5.0), (-1.0, 5.0), (float("nan"), 5.0), (2.5, -1.0), (2.5, float("inf"))],
)
def test_a_speed_that_would_spoil_estimates_is_rejected(
    fields: tuple[float, float],
) -> None:
    decoder = Decoder(PEER_CONNECTION_SCHEMAS)
    assert decoder.feed(encode(Kind.SERVER_SPEED, *fields)) == []
    assert decoder.fault


@pytest.mark.parametrize("reason", [0, 99])
def test_unknown_reason_is_rejected(reason: int) -> None:
    decoder = Decoder(PEER_CONNECTION_SCHEMAS)
    assert decoder.feed(encode(Kind.FAILURE, STREAM, reason, 0)) == []
    assert decoder.fault
    decoder = Decoder(PEER_CONNECTION_SCHEMAS)
    found = decoder.feed(encode(Kind.FAILURE, STREAM, 9, 0))
    assert found == [(STREAM, Failure(Reason.RESET, 0))]


def test_hello_of_a_newer_version_may_have_more_fields() -> None:
    decoder = Decoder(PEER_CONNECTION_SCHEMAS)
    (found,) = decoder.feed(encode(Kind.HELLO, *fields_of(HELLO), "more"))
    assert found == (decoding.NO_STREAM, HELLO)


def test_other_protocol_version_is_rejected() -> None:
    decoder = Decoder(PEER_CONNECTION_SCHEMAS)
    other = attrs.evolve(HELLO, protocol_version=PROTOCOL_VERSION + 1)
    assert decoder.feed(encode(Kind.HELLO, *fields_of(other))) == []
    assert "format" in decoder.fault


def test_unknown_kinds_are_skipped() -> None:
    decoder = Decoder(INCOMING_LINK_SCHEMAS)
    assert decoder.feed(msgpack.packb([99, {"a": 1}]) + encode(Kind.PROCEED, 7))
    assert not decoder.fault


def test_no_memory_is_allocated_for_items_that_never_arrive() -> None:
    decoder = Decoder(INCOMING_LINK_SCHEMAS)
    assert decoder.feed(b"\xdd\x05\xff\xff\xff") == []
    assert decoder.fault


def test_a_state_with_calls_that_lack_capacity_is_read() -> None:
    """Its priority is negative, so as not to be that of a route."""
    lacking = attrs.evolve(STATE, refusals=(("shop", CALLS_PRIORITY, 0.5),))
    decoder = Decoder(PEER_CONNECTION_SCHEMAS)
    messages = list(decoder.feed(encode(Kind.STATE, *fields_of(lacking))))
    assert [message for _, message in messages] == [lacking]
