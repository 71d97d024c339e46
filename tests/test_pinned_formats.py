"""Pins what other programs, files and nodes of other versions see.

Expected values stand in ``pinned/formats.json``; none of them is computed by the
code that is tested.
"""

import ast
import asyncio
import contextlib
import io
import logging
import os
import pathlib
import time
import zlib
from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from enum import Enum
from random import Random
from typing import Any
from unittest.mock import Mock

import aiohttp
import attrs
import msgpack
import orjson
import pytest
from aiohttp import web
from multidict import CIMultiDict

import azurestep
from azurestep import core
from azurestep import events as node_events
from azurestep import metrics as node_metrics
from azurestep import settings as node_settings
from azurestep.audit import (
    answers,
    in_force,
    lost,
    outbox,
    queries,
    verdicts,
    writer,
)
from azurestep.audit import records as audit
from azurestep.balancing import DeadlineBudget, GiveUpReason, RefusalReason
from azurestep.cli.options import AuditQuestion
from azurestep.config import document as documents
from azurestep.config import fold_events as folded
from azurestep.config import model, validate
from azurestep.config import records as configuration
from azurestep.config.delta import Delta, make_delta, make_snapshot
from azurestep.control import codec, messages, packing, ring, roster, updates
from azurestep.control.link import LinkCounters
from azurestep.control.table import UpdateTable, key_hash
from azurestep.endpoint_key import EndpointKey
from azurestep.environment import Environment
from azurestep.errors import MessageMalformedError, SettingsError
from azurestep.faults import Fault
from azurestep.lines import faults, reader, verdict
from azurestep.logs import configure_logs
from azurestep.mesh import events as mesh_events
from azurestep.mesh import link_messages as link
from azurestep.mesh import messages as mesh
from azurestep.mesh import settings as mesh_settings
from azurestep.mesh.backend import crashes
from azurestep.mesh.backend.request_bytes import encode_request
from azurestep.mesh.callers import own_answers
from azurestep.mesh.callers.record import CallRecord
from azurestep.mesh.decisions.returning import Attempt
from azurestep.mesh.incarnation import Incarnation
from azurestep.mesh.knowledge import configuration as knowledge
from azurestep.mesh.line_writer import LineWriter
from azurestep.mesh.links import decoding
from azurestep.mesh.metrics import Metrics
from azurestep.mesh.runtime import Runtime
from azurestep.mesh.team_metrics import SHOWN_TEAMS, TeamOutcome
from azurestep.node import audit as node_audit
from azurestep.node import follow, once, readers
from azurestep.node.announce import PATH as ANNOUNCE_PATH
from azurestep.node.announce import AnnounceService
from azurestep.node.control import ControlService
from azurestep.node.fold_events import log_fold_event
from azurestep.node.leases import Announcement
from azurestep.node.messages import MemberView, NodeStatus
from azurestep.node.operators import CONVERTER as OPERATOR_CONVERTER
from azurestep.node.operators import OperatorService
from azurestep.node.suspects import quarantine_report, suspect_updates
from azurestep.once import messages as deciding
from azurestep.once import records as ownership
from azurestep.once.assignment import preferred_owner
from azurestep.once.fold import SlotId
from azurestep.once.key import generate_key, parse_key
from azurestep.once.settings import KEY_SCOPE
from azurestep.once.table import digest_of
from azurestep.operations import audit_reader, defaults
from azurestep.operations.node_client import NodeClient
from azurestep.output import results
from azurestep.output.writer import write_result
from azurestep.platform import document as platform_document
from azurestep.platform import headers as platform_headers
from azurestep.platform import members, outcomes, topics
from azurestep.platform.announcement import read_announcement
from azurestep.platform.client import LogClient
from azurestep.platform.records import LogRecord, Page, Receipt
from azurestep.platform.store import StoreClient, parse_keyed_record
from azurestep.quarantine import QuarantineUpdate, fingerprint
from azurestep.routing.model import Route as MeshRoute
from azurestep.routing.model import WeightedService
from azurestep.status import ExitStatus
from azurestep.traffic import answers as traffic_answers
from azurestep.traffic import headers as traffic_headers
from azurestep.traffic.call import Call
from azurestep.traffic.directory import endpoint_key
from azurestep.traffic.once_answers import make_http_answer
from azurestep.traffic.packed_call import pack_call, request_digest
from azurestep.traffic.pool import QuarantineReport
from azurestep.traffic.request_head import build_request_head
from azurestep.traffic.table import RoutingTable
from bench.fleet import free_ports

PACKAGE = pathlib.Path(azurestep.__file__).parent
PINNED_FILE = pathlib.Path(__file__).parent / "pinned" / "formats.json"
PINNED: dict[str, Any] = orjson.loads(PINNED_FILE.read_bytes())


def seen(value: Any) -> Any:
    """Return a value as the data file holds it: bytes as Latin-1 text."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if isinstance(value, dict):
        return {str(seen(key)): seen(one) for key, one in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(seen(one) for one in value)
    return [seen(one) for one in value] if isinstance(value, list | tuple) else value


def check(name: str, value: Any) -> None:
    assert seen(value) == PINNED[name]


# Records of the platform's log, encoded by the names of their fields

NODE = ownership.NodeId(instance="licensing-1", incarnation="a1")
OWNERSHIP_RECORDS: dict[str, ownership.OwnershipRecord] = {
    "claim": ownership.Claim(
        id="c1",
        node=NODE,
        service="fleet",
        slot_count=256,
        slots=(0, 7),
        start_ms=1000,
        end_ms=601_000,
    ),
    "extend": ownership.Extend(
        id="e1", node=NODE, service="fleet", slots=(7,), end_ms=901_000
    ),
    "release": ownership.Release(
        id="r1",
        node=NODE,
        service="fleet",
        held=(ownership.HeldSlot(slot=7, tenure="c1"),),
        cut_ms=700_000,
        successor=ownership.NodeId(instance="licensing-2", incarnation="b2"),
        digest="d1",
    ),
    "release_to_nobody": ownership.Release(
        id="r2", node=NODE, service="fleet", held=(), cut_ms=5
    ),
    "checkpoint": ownership.Checkpoint(
        id="k1",
        as_of=41,
        horizon_ms=900,
        services=(ownership.ServiceSlots(service="fleet", slot_count=256),),
        slots=(
            ownership.SlotSnapshot(
                service="fleet",
                slot=7,
                horizon_ms=950,
                intervals=(
                    ownership.Interval(
                        node=NODE,
                        start_ms=1000,
                        end_ms=601_000,
                        tenure="c1",
                        state=ownership.IntervalState.RELEASED,
                        cut_ms=1100,
                        digest="d1",
                    ),
                ),
            ),
        ),
    ),
}

ENTRIES = [
    configuration.Entry(section=0, name="", body='{"active_preset":"day"}'),
    configuration.Entry(section=1, name="songs", body='{"name":"songs"}'),
]
CONFIGURATION_RECORDS: dict[str, configuration.Record] = {
    "replace": configuration.Publication(
        id="p1",
        base_version=3,
        operator="ada",
        change=configuration.ReplaceDocument(entries=ENTRIES),
    ),
    "edit": configuration.Publication(
        id="p2",
        base_version=4,
        operator="ada",
        change=configuration.EditEntries(put=ENTRIES[:1], removed=ENTRIES[1:]),
    ),
    "switch": configuration.Publication(
        id="p3",
        base_version=5,
        operator="ada",
        change=configuration.SwitchPreset(preset="night"),
    ),
    "checkpoint": configuration.Checkpoint(
        id="k1", as_of=9, version=5, entries=ENTRIES, instance="licensing-1"
    ),
    "filler": configuration.Filler(id="f1", operator="ada"),
}

AUDIT_ITEMS: dict[str, audit.Item] = {
    "publication_accepted": audit.PublicationAccepted(
        version=5,
        id="p3",
        operator="ada",
        base_version=4,
        change="SwitchPreset",
        preset="night",
        accepted_ms=17,
    ),
    "publication_refused": audit.PublicationRefused(
        offset=6, id="p4", operator="bob", reason="late", refused_ms=18
    ),
    "preset_in_force": audit.PresetInForce(
        version=5, preset="night", operator="ada", accepted_ms=17
    ),
    "version_in_force": audit.VersionInForce(
        data_centre="kgn1",
        version=5,
        hash="00ff",
        members=3,
        in_force=2,
        instances=["a.1", "a.2"],
        missing=[audit.MissingInstance(instance="a.3", reason="silent")],
        first_ms=19,
        last_ms=23,
        amendment=1,
    ),
    "drain_begun": audit.DrainBegun(instance="a.1", begun_ms=30, in_flight=4),
    "drain_ended": audit.DrainEnded(
        instance="a.1", begun_ms=30, ended_ms=39, requests_cut=1, handed_over=False
    ),
    "request_run": audit.RequestRun(
        key="k",
        service="songs",
        instance="a.1",
        run="r1",
        outcome="may_have_run",
        at_ms=40,
    ),
    "gap": audit.Gap(origin="kgn1", from_ms=1, to_ms=2, count=3, reason="overflow"),
}
BATCH = audit.Batch(
    id="b1",
    data_centre="kgn1",
    writer="a.1",
    covers=12,
    entries=[audit.Entry(item=AUDIT_ITEMS["gap"])],
)


def audit_entry(item: audit.Item) -> audit.Entry:
    return audit.Entry(item=item, origin="a.1", run="r1", number=8)


@pytest.mark.parametrize("name", OWNERSHIP_RECORDS)
def test_ownership_record(name: str) -> None:
    record = OWNERSHIP_RECORDS[name]
    pinned = PINNED["ownership_records"][name]
    assert ownership.encode_record(record).decode() == pinned
    assert ownership.decode_record(pinned.encode()).unwrap() == record


def test_every_kind_of_ownership_record_is_pinned() -> None:
    found = {type(record) for record in OWNERSHIP_RECORDS.values()}
    assert found == set(ownership.KINDS.values())


@pytest.mark.parametrize("name", CONFIGURATION_RECORDS)
def test_configuration_record(name: str) -> None:
    record = CONFIGURATION_RECORDS[name]
    pinned = PINNED["configuration_records"][name]
    assert configuration.encode_record(record).decode() == pinned
    assert configuration.decode_record(orjson.loads(pinned)) == record
    assert configuration.format_of(orjson.loads(pinned)) == 1


def test_every_kind_of_configuration_record_is_pinned() -> None:
    records = CONFIGURATION_RECORDS.values()
    changes = [getattr(record, "change", None) for record in records]
    assert {type(one) for one in records} == set(configuration.Record.__args__)
    assert {type(one) for one in changes if one} == set(configuration.Change.__args__)


@pytest.mark.parametrize("name", AUDIT_ITEMS)
def test_audit_entry(name: str) -> None:
    entry = audit_entry(AUDIT_ITEMS[name])
    pinned = PINNED["audit_entries"][name]
    assert audit.encode_entry(entry).decode() == pinned
    assert audit.decode_entry(pinned.encode()).unwrap() == entry


def test_every_kind_of_audit_item_is_pinned() -> None:
    found = {type(item) for item in AUDIT_ITEMS.values()}
    assert found == set(audit.Item.__args__)


def test_audit_batch() -> None:
    pinned = PINNED["audit_batch"]
    assert audit.encode_batch(BATCH).decode() == pinned
    assert audit.decode_batch(orjson.loads(pinned)).unwrap() == BATCH


def test_publications_as_the_audit_trail_reads_them() -> None:
    pinned = PINNED["configuration_records"]
    values = {name: orjson.loads(text) for name, text in pinned.items()}
    heads = {
        name: verdicts.head_of(LogRecord(5, 17, value))
        for name, value in values.items()
    }
    found = {name: attrs.astuple(one) for name, one in heads.items() if one}
    check("publication_heads", found)
    switch = heads["switch"]
    assert switch is not None
    items = verdicts.derive_verdicts([switch], 5)
    texts = [audit.encode_entry(audit_entry(item)) for item in items]
    check("derived_entries", texts)
    late = heads["replace"]
    assert late is not None
    [refused] = verdicts.derive_verdicts([late], 4)
    check("derived_refusal", attrs.astuple(refused))


def test_reasons_that_the_audit_trail_stores() -> None:
    """A gap is the same for two writers only if its reason is."""
    reasons = (
        in_force.NOT_YET,
        in_force.SUSPECTED,
        lost.DIED,
        outbox.OVERFLOW,
        writer.OVERFLOW,
        verdicts.UNREADABLE,
        verdicts.INVALID,
        node_audit.RETENTION,
    )
    check("audit_reasons", reasons)


# Configuration documents


def configuration_sample() -> model.Configuration:
    retry = model.RetryRule(3, 0.2)
    limits = model.LimitRule(4, 5, 600, False)
    selection = model.SelectionRule(0.7, 800, 0.25, 900)
    songs = model.Service("songs", 1500, 120, retry, limits, selection)
    route = model.Route(
        "get-songs",
        "songs",
        "songs.example",
        "/songs",
        ["GET", "POST"],
        [model.HeaderMatch("X-Kind", "live")],
        False,
        model.Priority.PAYMENT,
        700,
        False,
    )
    patch = model.ServicePatch("songs", 1400, 110, retry, limits, selection)
    route_patch = model.RoutePatch("get-songs", "songs", model.Priority.BULK, 650, True)
    shares = model.ClassShares(0.9, 0.8, 0.4)
    preset = model.Preset("day", shares, [patch], [route_patch])
    return model.Configuration(1, "day", [songs], [route], [preset])


def test_configuration_document_with_all_keys() -> None:
    raw = orjson.dumps(PINNED["configuration_document"])
    document = validate.read_document(raw).unwrap()
    assert validate.validate(document).unwrap() == configuration_sample()
    entries = configuration.entries_of(document)
    check("configuration_entries", [attrs.astuple(one) for one in entries])


def test_configuration_document_keys_and_defaults() -> None:
    raw = orjson.dumps(PINNED["configuration_document_least"])
    document = validate.read_document(raw).unwrap()
    found = validate.STRICT.unstructure(validate.validate(document).unwrap())
    check("configuration_document_defaults", found)


def test_configuration_document_takes_no_other_keys() -> None:
    plain = PINNED["configuration_document_least"]
    raw = orjson.dumps({**plain, "services": [{"name": "songs", "timeout": 5}]})
    fault = validate.read_document(raw).failure()[0]
    assert fault.path == "$.services[0].timeout"


def test_document_hash_and_plain_form() -> None:
    document = configuration.document_from_entries(ENTRIES)
    check("document_hash", document.hash)
    check("document_plain", documents.document_to_dict(document))
    assert configuration.entries_of(document) == ENTRIES


def test_platform_document() -> None:
    raw = orjson.dumps(PINNED["platform_document"])
    found = platform_document.read_document(raw)
    check("platform_document_read", attrs.astuple(found))


def test_platform_document_defaults() -> None:
    raw = orjson.dumps(PINNED["platform_document_least"])
    found = platform_document.read_document(raw)
    check("platform_document_least_read", attrs.astuple(found))


# Messages between nodes of the product, encoded by position

SENDER = messages.Sender("a.1", "kgn1", 1700, "10.0.0.1", 7101)
ADDRESS = node_settings.Address("10.0.0.2", 7102)
HELD = messages.Digest(5, b"\x00\xff")
SERVER = updates.ServerState(
    "songs", "10.0.0.1", 9000, "i1", 12, updates.ServerStatus.LEAVING, "a.1", "r1", 71
)
REPORT = updates.DataCentreReport(
    "kgn1", 6, "a.1", 5, b"\x00\xff", 3, 2, ["a.3"], 19, 23, [ADDRESS]
)
UPDATES: list[updates.Update] = [
    updates.MemberState(
        "a.1", "kgn1", "eu", 1700, 2, 1, "10.0.0.1", 71, 72, [SERVER], False
    ),
    updates.ServiceSummary("kgn1", "songs", 4, "a.1", [SERVER]),
    REPORT,
    updates.SuspectRequest(
        "kgn1",
        "songs",
        99,
        "a.1",
        7,
        [updates.CrashedServer("10.0.0.1", 9000, 3)],
        5000,
    ),
]
KEPT = deciding.KeptAnswer(200, (deciding.Header("ETag", "x"),), b"\xffok", True)
CARRIED = messages.PackedCall(
    "POST", "/pay?x=1", "pay.example", [deciding.Header("A", "b")], b"\x00body"
)


def peer_messages() -> dict[str, deciding.PeerMessage]:
    entry = deciding.TableEntry("fleet", 7, "k", 1000, "f", deciding.KeyState.RAN, KEPT)
    return {
        "forwarded_request": deciding.ForwardedRequest("q1", "fleet", "k", "f", 900),
        "owner_answer": deciding.OwnerAnswer(
            "q1",
            deciding.Outcome.NOT_RUN,
            deciding.Reason.HANDOVER,
            500,
            KEPT,
            True,
        ),
        "table_transfer": deciding.TableTransfer(
            "t1", "fleet", (deciding.TrustedSlot(7, 950),), (entry,), "d1"
        ),
        "table_receipt": deciding.TableReceipt("t1"),
    }


def control_messages() -> dict[str, messages.Message]:
    entry = configuration.Entry(1, "songs", "{}")
    delta = Delta(b"\x01", 6, b"\x02", 8, [entry], [configuration.Entry(2, "r", "")])
    owners = {
        name: messages.OwnerMessage("r2", "r1", message, CARRIED)
        for name, message in peer_messages().items()
    }
    return {
        "probe": messages.Probe(1, HELD, 77, UPDATES),
        "ack": messages.Ack(2, HELD, 78, UPDATES[:1]),
        "probe_request": messages.ProbeRequest(3, ADDRESS),
        "probe_relayed": messages.IndirectAck(4),
        "broadcast": messages.Broadcast("a.1", UPDATES[3:]),
        "sync_request": messages.SyncRequest([messages.ItemStamp(55, [1, 2, 3])]),
        "sync_reply": messages.SyncReply(UPDATES[1:2], [55, 56]),
        "push": messages.Push("a.1", delta),
        "pull": messages.Pull(HELD),
        "pull_reply": messages.PullReply(delta),
        "later": messages.RetryLater(250),
        "applied": messages.AppliedReport(HELD, ["a.1", "a.2"], 19, 23),
        "records_push": messages.RecordsPush("a.1", 3, 5, b"\x00packed", True),
        "records_pull": messages.RecordsPull(5),
        "audit_items": messages.AuditItems([b"{}", b"\xff"]),
        "audit_receipt": messages.AuditReceipt("r1", 8),
        **owners,
    }


@pytest.mark.parametrize("name", control_messages())
def test_control_message(name: str) -> None:
    message = control_messages()[name]
    pinned = bytes.fromhex(PINNED["control_messages"][name])
    assert codec.encode(SENDER, message).hex() == pinned.hex()
    assert codec.decode(pinned) == codec.Envelope(SENDER, message)


def test_every_kind_of_control_message_is_pinned() -> None:
    found = {type(message) for message in control_messages().values()}
    assert found == set(codec.MESSAGE_KINDS.values())
    assert {type(one) for one in UPDATES} == set(codec.UPDATE_KINDS.values())
    owners = {type(message) for message in peer_messages().values()}
    assert owners == set(codec.OWNER_KINDS.values())


def test_missing_fields_of_control_messages_take_their_defaults() -> None:
    short = [1, ["a.1", "kgn1", 1700, "10.0.0.1", 7101], [1, [5, b"\x00\xff"], 77]]
    frame = msgpack.packb(short)
    expected = messages.Probe(1, HELD, 77, [])
    assert codec.decode(frame) == codec.Envelope(SENDER, expected)


def test_packed_records() -> None:
    records = [messages.RelayedRecord(7, b"{}"), messages.RelayedRecord(9, b"\xff")]
    plain = zlib.decompress(packing.pack_records(records))
    check("packed_records_plain", plain)
    packed = bytes.fromhex(PINNED["packed_records"])
    assert packing.unpack_records(packed) == records


def test_deltas() -> None:
    base = configuration.document_from_entries(ENTRIES[:1])
    target = configuration.document_from_entries(ENTRIES[1:])
    check("delta", attrs.astuple(make_delta(base, target, 6, 8)))
    check("snapshot", attrs.astuple(make_snapshot(target, 6, 8)))


def test_hashes_on_which_nodes_agree() -> None:
    table = UpdateTable()
    for update in UPDATES:
        table.merge(update)
    nodes = [ownership.NodeId(name, "r") for name in "abcdef"]
    slots = (deciding.TrustedSlot(7, 950),)
    entries = (deciding.TableEntry("fleet", 7, "k", 1, "f", deciding.KeyState.RAN),)
    names = [f"a.{number}" for number in range(9)]
    check(
        "hashes",
        {
            "table": [table.hash(False), table.hash(True)],
            "key": key_hash("m/a.1"),
            "ring": ring.ring_hash("a.1"),
            "ring order": ring.ring_order(names),
            "readers": ring.rendezvous(readers.READER, names, 2),
            "bridges": ring.rendezvous(roster.BRIDGE, names, 2),
            "owners": [
                attrs.astuple(preferred_owner(SlotId("fleet", slot), nodes) or NODE)
                for slot in range(6)
            ],
            "transfer": digest_of("t1", slots, entries),
            "fingerprint": fingerprint("GET", "get-songs", "/songs?q=a", b"body"),
            "endpoint": attrs.astuple(endpoint_key(SERVER)),
        },
    )


def test_idempotency_key() -> None:
    key = generate_key(1_718_360_049_300, 0x91, Random(1))
    check("minted_key", attrs.astuple(key))
    parsed = parse_key("0190163D-8694-739B-AEA5-966C26F8AD91").unwrap()
    check("parsed_key", [*attrs.astuple(parsed), parsed.slot(64)])


# Messages between nodes on the platform, encoded by position

HELLO = mesh.Hello(2, ("10.0.0.1", 7102), "kgn1", 1700, 5, 1)


def request(whole: bool) -> mesh.Request:
    return mesh.Request(
        b"POST",
        b"/songs?q=a",
        [(b"Host", b"songs.example"), (b"X-A", b"b")],
        "songs",
        b"i-1",
        "get-songs",
        b"q1",
        b"shop",
        True,
        3,
        900.5,
        -20.0,
        1234.5,
        9,
        whole,
        b"\xffbody",
        77,
        12.5,
        True,
        False,
        True,
    )


REQUEST = request(False)
CRASHES = [QuarantineUpdate(99, (EndpointKey("10.0.0.1", 0, 3),), 5000.0)]
WHOLE_LINK = 0


@attrs.frozen
class OnLink:
    """A message on a link: its kind, its request's number, and who sends it."""

    kind: int
    number: int
    from_caller: bool
    message: Any


ON_LINKS = {
    "hello": OnLink(1, WHOLE_LINK, True, HELLO),
    "hello_back": OnLink(1, WHOLE_LINK, False, HELLO),
    "state": OnLink(
        2,
        WHOLE_LINK,
        False,
        mesh.State(
            "songs",
            b"i-1",
            77,
            True,
            12,
            4,
            1500.0,
            5,
            True,
            False,
            0.25,
            (("shop", 3),),
            (("songs", 2, 0.5),),
            False,
        ),
    ),
    "ping": OnLink(3, WHOLE_LINK, True, link.Ping(1234.5)),
    "pong": OnLink(4, WHOLE_LINK, False, link.Pong()),
    "request": OnLink(5, 7, True, REQUEST),
    "body": OnLink(6, 7, True, link.Body(b"\xffmore", True)),
    "cancel": OnLink(7, 7, True, link.Cancel(1234.5)),
    "answer": OnLink(
        8,
        7,
        False,
        mesh.Answer(200, [(b"A", b"b")], True, -1, False, b"\xffx", 4, 8.5, 1.5, 6.5),
    ),
    "answer_data": OnLink(9, 7, False, link.AnswerData(b"\xffmore", True)),
    "answer_part": OnLink(33, 7, False, link.AnswerPart(b"\xffmore")),
    "refusal": OnLink(10, 7, False, mesh.Refusal(mesh.Reason(4), 4, 120.0, True)),
    "failure": OnLink(11, 7, False, mesh.Failure(mesh.Reason(14), 4)),
    "credit": OnLink(12, 7, True, link.Credit(500)),
    "credit_back": OnLink(12, 7, False, link.Credit(501)),
    "configuration_wanted": OnLink(14, WHOLE_LINK, True, link.ConfigurationQuery(7)),
    "ready": OnLink(15, 7, False, link.SlotReady()),
    "go": OnLink(16, 7, True, link.Proceed()),
    "withdraw": OnLink(18, 7, True, link.Withdraw()),
    "store_era": OnLink(20, WHOLE_LINK, False, link.StoreEraUpdate(4)),
    "store_contact": OnLink(31, WHOLE_LINK, False, link.StoreContact(7)),
    "condition": OnLink(
        19, WHOLE_LINK, False, link.ServerCondition(b"i-1", 77, 47.9, True)
    ),
    "server_version": OnLink(21, WHOLE_LINK, False, link.ServerVersion("songs", "v2")),
    "rollout": OnLink(
        22,
        WHOLE_LINK,
        False,
        link.RolloutUpdate("songs", "v2", 1, 7, 2, 12_000.0, 9000.5),
    ),
    "trial_counts": OnLink(
        23,
        WHOLE_LINK,
        False,
        link.TrialCounts("songs", "v2", 1, 7, 3, (("get-songs", 20, 1),)),
    ),
    "body_backlog": OnLink(24, WHOLE_LINK, False, link.BodyBacklog(300.0, 2.5)),
    "server_speed": OnLink(30, WHOLE_LINK, False, link.ServerSpeed(2.5, 40.0)),
    "called_routes": OnLink(25, WHOLE_LINK, False, link.CalledRoutes(("get-songs",))),
    "version_notice": OnLink(
        26, WHOLE_LINK, False, link.VersionNotice(7, ("10.0.0.1", 7102))
    ),
    "configuration_delta": OnLink(
        27, WHOLE_LINK, False, link.ConfigurationDelta(7, 5, b"\xffx")
    ),
    "quota_usage": OnLink(
        28, WHOLE_LINK, True, link.QuotaUsage((("riggers", 3, 1), ("yards", -1, 0)))
    ),
    "quota_grant": OnLink(
        29, WHOLE_LINK, False, link.QuotaGrant((("riggers", 2.5, 1000.0),))
    ),
    "quota_handover": OnLink(
        32,
        WHOLE_LINK,
        True,
        link.QuotaHandover(("10.0.0.2", 7), (("riggers", -2.5),), False, 1),
    ),
    "condition_back": OnLink(
        19, WHOLE_LINK, True, link.ServerCondition(b"i-1", 77, 47.9)
    ),
}


def decoded(raw: bytes, from_caller: bool) -> list[tuple[int, Any]]:
    calling, called = decoding.INCOMING_LINK_SCHEMAS, decoding.PEER_CONNECTION_SCHEMAS
    decoder = decoding.Decoder(calling if from_caller else called)
    found = decoder.feed(raw)
    assert decoder.fault == ""
    return found


@pytest.mark.parametrize("name", ON_LINKS)
def test_link_message(name: str) -> None:
    sample = ON_LINKS[name]
    pinned = bytes.fromhex(PINNED["link_messages"][name])
    number = [sample.number] if sample.number else []
    fields = mesh.fields_of(sample.message)
    raw = mesh.encode(mesh.Kind(sample.kind), *number, *fields)
    assert raw.hex() == pinned.hex()
    found = decoded(pinned, sample.from_caller)
    assert found == [(sample.number, sample.message)]


def test_missing_fields_of_link_messages_take_their_defaults() -> None:
    fields = mesh.fields_of(REQUEST)
    make: Any = mesh.Request
    shortened = make(*fields[:-6], 0, 0.0, False, True, False, "")
    raw = msgpack.packb([5, 7, *fields[:-6]])
    assert decoded(raw, True) == [(7, shortened)]


def test_hello_of_feature_level_0_is_read() -> None:
    pinned = bytes.fromhex(PINNED["hello_of_feature_level_0"])
    expected = attrs.evolve(HELLO, feature_level=0)
    assert decoded(pinned, True) == [(WHOLE_LINK, expected)]
    assert decoded(pinned, False) == [(WHOLE_LINK, expected)]


def test_question_for_a_configuration_of_a_former_node_is_read() -> None:
    pinned = bytes.fromhex(PINNED["configuration_wanted_by_a_former_node"])
    assert decoded(pinned, True) == [(WHOLE_LINK, link.ConfigurationQuery(0))]


def test_cancel_of_a_former_node_is_read() -> None:
    pinned = bytes.fromhex(PINNED["cancel_of_a_former_node"])
    assert decoded(pinned, True) == [(7, link.Cancel(0.0))]


@pytest.mark.parametrize("name", ON_LINKS)
def test_fields_of_a_later_version_are_skipped(name: str) -> None:
    sample = ON_LINKS[name]
    row = msgpack.unpackb(bytes.fromhex(PINNED["link_messages"][name]), raw=False)
    later = msgpack.packb([*row, "later", 5])
    assert decoded(later, sample.from_caller) == [(sample.number, sample.message)]


def test_the_state_of_a_former_version_owns_quotas() -> None:
    """Guards against nodes of both versions that find other owners."""
    sample = ON_LINKS["state"]
    row = msgpack.unpackb(bytes.fromhex(PINNED["link_messages"]["state"]), raw=False)
    former = attrs.evolve(sample.message, owns_quotas=True)
    assert decoded(msgpack.packb(row[:-1]), False) == [(sample.number, former)]


def test_configuration_on_a_link() -> None:
    pinned = bytes.fromhex(PINNED["link_configuration"])
    assert decoded(pinned, False) == [(WHOLE_LINK, link.ConfigurationUpdate(7, b"{}"))]
    packed = msgpack.unpackb(pinned)[2]
    assert mesh.encode(mesh.Kind(13), 7, packed).hex() == pinned.hex()
    assert zlib.decompress(mesh.compress(b"{}")) == b"{}"


def test_crashes_on_a_link() -> None:
    pinned = bytes.fromhex(PINNED["link_crashes"])
    rows = crashes.encode_updates(CRASHES)
    assert mesh.encode(mesh.Kind(17), "songs", rows).hex() == pinned.hex()
    assert decoded(pinned, False) == [(WHOLE_LINK, link.CrashReport("songs", CRASHES))]


def test_every_kind_of_link_message_is_pinned() -> None:
    kinds = {sample.kind for sample in ON_LINKS.values()}
    assert kinds | {13, 17} == {int(kind) for kind in mesh.Kind}


def test_death_of_a_backend_server_as_other_nodes_hear_it() -> None:
    told: list[Any] = []
    tracker = crashes.CrashTracker(
        "10.0.0.1", lambda name, news: told.append([name, news]), lambda service: 5
    )
    tracker.record_connection_loss(request(True), 100.0)
    tracker.record_crash("songs", Incarnation(b"i-1", 77), 110.0)
    [[service, news]] = told
    check("told_crashes", [service, crashes.encode_updates(news)])


def test_suspect_requests_as_nodes_of_the_product_tell_them() -> None:
    news = QuarantineReport("songs", CRASHES)
    own = UPDATES[0]
    assert isinstance(own, updates.MemberState)
    found = list(suspect_updates(news, own, 7))
    check("suspect_updates", [attrs.astuple(one) for one in found])
    assert [quarantine_report(one) for one in found] == [news]


# Headers, requests and answers


FIELDS_WITHOUT_LOAD = 10
"""Fields of an answer before those that were added with the fourth load figure."""


def test_headers_of_the_platform() -> None:
    caller = [
        (b"Host", b"Songs.Example"),
        (b"Attempt-Id", b"q1"),
        (b"Deadline-Milliseconds", b"1500"),
        (b"Expected-Instance", b"i-0"),
        (b"Calling-Service", b"other"),
        (b"Connection", b"close, X-Hop"),
        (b"X-Hop", b"1"),
        (b"Keep-Alive", b"timeout=5"),
        (b"Accept-Encoding", b"gzip"),
        (b"Expect", b"100-continue"),
        (b"TE", b"trailers"),
        (b"X-Kept", b"1"),
    ]
    backend = [
        (b"Attempt-Id", b"q1"),
        (b"Response-Signature", b"s"),
        (b"Not-Executed", b"1"),
        (b"Instance-Id", b"i-1"),
        (b"Server-Load", b"3,0,8"),
        (b"Server-Limit", b"47.9"),
        (b"Server-Leaving", b"1"),
        (b"Connection", b"close"),
        (b"Keep-Alive", b"timeout=5"),
        (b"Content-Encoding", b"gzip"),
        (b"X-Kept", b"1"),
    ]
    lines = platform_headers.to_backend([(b"A", b"b")], 900.5, b"i-1", b"shop")
    check("headers_of_caller", attrs.astuple(platform_headers.read_caller(caller)))
    answer = attrs.astuple(platform_headers.read_answer(backend))
    check("headers_of_answer", answer[:FIELDS_WITHOUT_LOAD])
    check("load_of_answer", answer[FIELDS_WITHOUT_LOAD:])
    slow = platform_headers.read_answer([(b"Server-Load", b"3,1,8,250")])
    check("load_of_slow_server", attrs.astuple(slow)[FIELDS_WITHOUT_LOAD:])
    check("headers_to_backend", lines)
    check("header_of_own_answers", own_answers.request_id_header(b"q1"))
    assert own_answers.request_id_header(b"") == []


def test_refusal_of_a_node_on_the_platform() -> None:
    exchange = Mock()
    runtime = Runtime(Mock(), Random(1))
    own_answers.answer_refused(runtime, exchange, b"q1", 250.0)
    check("own_refusal", list(exchange.mock_calls[0].args))


def test_request_to_a_backend_server_of_the_platform() -> None:
    check("first_bytes", encode_request(REQUEST, b"\xffbody", False, 900.5))


def sample_call() -> Call:
    table = RoutingTable(5, attrs.evolve(configuration_sample(), presets=[PRESET]))
    fields = CIMultiDict({"Host": "songs.example:80", "X-Kind": "live", "TE": "x"})
    match = table.match("songs.example", "/songs", "POST", fields)
    assert match is not None
    budget = DeadlineBudget(600.5, 2)
    return Call("POST", "/songs?q=a", fields, table, match, budget, 10.0, b"body")


PRESET = model.Preset("day", routes=[model.RoutePatch("get-songs", enabled=True)])


def test_request_to_a_backend_server() -> None:
    extra = {traffic_headers.IDEMPOTENCY_KEY: "k"}
    check(
        "request_head",
        build_request_head(sample_call(), DeadlineBudget(550.5, 3), extra),
    )
    check("call_fingerprint", sample_call().fingerprint)


def test_request_carried_to_its_owner() -> None:
    check("request_digest", request_digest(sample_call()))
    check("carried_call", attrs.astuple(pack_call(sample_call(), "k")))


def test_names_of_headers() -> None:
    values = [value for name, value in vars(traffic_headers).items() if name.isupper()]
    names = [value for value in values if isinstance(value, str)]
    check("header_names", sorted(names))
    check("headers_of_one_connection", traffic_headers.HOP_BY_HOP)
    check("headers_of_one_connection_platform", platform_headers.NOT_FORWARDED)


def shown(answer: web.Response) -> Any:
    """Return an answer without the text of its remedy."""
    body = answer.body
    assert isinstance(body, bytes)
    if answer.content_type == "application/json":
        plain = orjson.loads(body)
        body = orjson.dumps({**plain, **({"remedy": ""} if "remedy" in plain else {})})
    return [answer.status, dict(answer.headers), body]


def once_answers() -> dict[str, deciding.AnswerCaller]:
    outcome, reason = deciding.Outcome, deciding.Reason
    slots = (1, 7)
    kept = attrs.evolve(KEPT, body=b"ok")
    answer = deciding.AnswerCaller
    return {
        "ran": answer("q", "k", outcome.RAN, reason.RAN, 0, False, kept, True),
        "not run": answer(
            "q",
            "k",
            outcome.NOT_RUN,
            reason.TABLE_FULL,
            1500,
            True,
            None,
            False,
            slots,
            256,
        ),
        **{
            one.value: answer("q", "k", outcome.MAY_HAVE_RUN, one)
            for one in deciding.Reason
        },
    }


def test_answers_to_requests_that_must_not_repeat() -> None:
    found = {name: shown(make_http_answer(one)) for name, one in once_answers().items()}
    check("once_answers", found)


def test_answers_to_refused_requests() -> None:
    not_run = traffic_answers.not_run(503, "queue_full", 1500.5)
    may_have_run = traffic_answers.ErrorAnswer(
        504, traffic_answers.CallOutcome.MAY_HAVE_RUN, "timeout", None, True
    )
    found = [traffic_answers.make_answer(one) for one in (not_run, may_have_run)]
    check("refusals", [shown(one) for one in found])


# What is written to and read from the platform and the operators' endpoints


@attrs.define
class Recorder:
    """An HTTP server that records requests and gives prepared answers."""

    answers: list[tuple[int, bytes]]
    port: int = 0
    requests: list[bytes] = attrs.field(factory=list)

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    async def serve(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await source.readuntil(b"\r\n\r\n")
                size = 0
                for line in head.lower().split(b"\r\n"):
                    name, _, value = line.partition(b":")
                    size = int(value) if name == b"content-length" else size
                body = await source.readexactly(size)
                self.requests.append(
                    head.replace(b":%d\r\n" % self.port, b":PORT\r\n") + body
                )
                status, content = self.answers.pop(0)
                sink.write(
                    b"HTTP/1.1 %d Any\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(content), content)
                )
        sink.close()

    @property
    def short(self) -> list[bytes]:
        """First line, type and body of each request."""
        found = []
        for request in self.requests:
            head, _, body = request.partition(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            kind = [one for one in lines if one.lower().startswith(b"content-type")]
            found.append(b" | ".join([lines[0], *kind, body]))
        return found


@pytest.fixture
async def recorder() -> AsyncIterator[Recorder]:
    found = Recorder([])
    server = await asyncio.start_server(found.serve, "127.0.0.1", 0)
    found.port = server.sockets[0].getsockname()[1]
    yield found
    server.close()


async def test_writes_to_the_store(recorder: Recorder) -> None:
    kinds: list[str] = []
    address = ("127.0.0.1", recorder.port)
    client = StoreClient(asyncio.get_running_loop(), address, kinds.append)
    producer = outcomes.Producer("node 1", 2, 3)
    recorder.answers = [
        (200, b'{"offset":5,"end_offset":7}'),
        (412, b'{"end_offset":9}'),
        (409, b'{"why":"fenced"}'),
        (409, b'{"why":"order","sequence":4}'),
        (503, b""),
    ]
    topic = topics.MEMBERS_TOPIC
    found = [
        await client.append(topic, [b"ab", b"\xff"], 5, producer),
        await client.append(topic, [b"ab"], 5),
        await client.put(topic, "10.1.0.4", members.write_member(7102), producer),
        await client.put(topic, "10.1.0.4", b""),
        await client.append(topic, []),
    ]
    client.close()
    assert found == [
        outcomes.Appended(5, 7),
        outcomes.Conflict(9),
        outcomes.Fenced(),
        outcomes.OutOfSequence(4),
        outcomes.Refused(503),
    ]
    check("store_writes", recorder.requests)
    check("store_write_kinds", kinds)


async def test_reads_of_the_store(recorder: Recorder) -> None:
    kinds: list[str] = []
    address = ("127.0.0.1", recorder.port)
    client = StoreClient(asyncio.get_running_loop(), address, kinds.append)
    recorder.answers = [
        (200, bytes(16) + b"\x00\x00\x00\x02ab\x00\x00\x00\x01c"),
        (410, b'{"first_offset":3}'),
        (
            200,
            b'{"items":[{"key":"a/b","offset":4,"value":"YWI="},{}],'
            b'"end_offset":6,"has_more":true}',
        ),
        (200, b'{"items":[{"key":"c","offset":5}],"end_offset":7}'),
    ]
    topic = topics.OPERATOR_TOPIC
    found = [
        await client.read(topic, 5, 0),
        await client.read(topic, 1, 1500),
        await client.read_latest(topic),
    ]
    client.close()
    items = [outcomes.KeyedRecord("a/b", b"ab", 4), outcomes.KeyedRecord("c", b"", 5)]
    assert found == [
        outcomes.Records([b"ab", b"c"], 7, 7),
        outcomes.Truncated(3),
        outcomes.LatestRecords(items, 7, 1),
    ]
    check("store_reads", recorder.requests)
    check("store_read_kinds", kinds)


def test_records_of_the_store() -> None:
    check("member_record", members.write_member(7102))
    pinned = PINNED["member_record"].encode()
    assert members.read_member("10.1.0.4", pinned) == ("10.1.0.4", 7102)
    keyed = parse_keyed_record(b"\x02abvalue")
    assert keyed is not None
    assert attrs.astuple(keyed) == ("ab", b"value")


async def test_calls_of_the_log(recorder: Recorder) -> None:
    recorder.answers = [
        (
            200,
            b'{"first_offset":1,"next_offset":9,'
            b'"records":[{"offset":8,"time_ms":17,"value":{"id":"p1"}}]}',
        ),
        (200, b'{"offset":9}'),
    ]
    async with aiohttp.ClientSession() as session:
        client = LogClient(session, recorder.url, Environment())
        page = await client.read(configuration.STREAM, 8, 1500, 20)
        receipt = await client.append_attempt(once.STREAM, b'{"id":"p2"}')
    assert page.unwrap() == Page(1, 9, [LogRecord(8, 17, {"id": "p1"})], 8)
    assert receipt.unwrap() == Receipt(9)
    check("log_calls", recorder.short)


def test_names_of_streams_topics_and_paths() -> None:
    check(
        "names_of_places",
        {
            "streams": [
                configuration.STREAM,
                audit.STREAM,
                once.STREAM,
                follow.OWNERSHIP_STREAM,
                audit_reader.OWNERSHIP_STREAM,
            ],
            "topics": [
                topics.OPERATOR_TOPIC,
                topics.CONFIGURATION_KEY,
                topics.MEMBERS_TOPIC,
            ],
            "scope of keys": KEY_SCOPE,
            "announce": ANNOUNCE_PATH,
            "sources of a configuration": [
                knowledge.Origin.STORE.value,
                knowledge.Origin.LOCAL_PEER.value,
            ],
        },
    )


ANNOUNCED = "/v1/instances/i-1/heartbeat?x=1"


def test_announcements_on_the_platform() -> None:
    beat = PINNED["heartbeat"]
    leaving = {**beat, "status": {**beat["status"], "state": "draining"}}
    calls = [
        (ANNOUNCED, orjson.dumps(beat)),
        (ANNOUNCED, orjson.dumps(leaving)),
        ("/v1/instances/i-1/deregister", b'{"born":78}'),
        ("/v1/instances/i-1/deregister", b""),
    ]
    found = [attrs.astuple(read_announcement(*one)) for one in calls]
    check("announcements_read", found)


@pytest.mark.parametrize("path", PINNED["heartbeat_required"])
def test_heartbeat_without_a_field_is_refused(path: list[str]) -> None:
    beat = orjson.loads(orjson.dumps(PINNED["heartbeat"]))
    within = beat
    for name in path[:-1]:
        within = within[name]
    del within[path[-1]]
    with pytest.raises(MessageMalformedError):
        read_announcement(ANNOUNCED, orjson.dumps(beat))


def settings_for(*ports: int) -> node_settings.Settings:
    plain = {**PINNED["settings_least"]}
    plain["announce_port"], plain["operator_port"] = ports
    return node_settings.parse_settings(orjson.dumps(plain))


async def answers_of(
    service: Any, calls: list[tuple[str, str, bytes]]
) -> list[list[Any]]:
    """Return status and body of each answer of a service that is started here."""
    service.set_loop(asyncio.get_running_loop())
    task = asyncio.create_task(service.start())
    found = []
    async with asyncio.timeout(20), aiohttp.ClientSession() as session:
        while True:
            with contextlib.suppress(aiohttp.ClientConnectorError):
                async with session.get(calls[0][1]):
                    break
            await asyncio.sleep(0.02)
        for method, url, body in calls:
            async with session.request(method, url, data=body) as answer:
                found.append([answer.status, await answer.read()])
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    await service.stop()
    return found


async def test_announcements_to_a_node() -> None:
    ports = free_ports(2)
    service = AnnounceService(settings_for(*ports), Environment(), asyncio.Queue())
    url = f"http://127.0.0.1:{ports[0]}/v1/backend-servers"
    body = orjson.dumps(PINNED["announcement"])
    calls = [
        ("GET", url + "/i1", b""),
        ("POST", url, body),
        ("GET", url + "/i1", b""),
        ("POST", url + "/i1/leave", b""),
    ]
    check("announce_answers", await answers_of(service, calls))
    short = {name: PINNED["announcement"][name] for name in ("service", "host", "port")}
    refused = await answers_of(
        AnnounceService(settings_for(*ports), Environment(), asyncio.Queue()),
        [("POST", url, orjson.dumps(short)), ("POST", url, b"{")],
    )
    assert [one[0] for one in refused] == [400, 400]
    assert [list(orjson.loads(one[1])) for one in refused] == [["error"], ["error"]]


def test_fields_of_an_announcement() -> None:
    taken = Announcement("songs", "10.0.0.1", 9000, "i1", 8, 100, False)
    assert attrs.asdict(taken) == PINNED["announcement"]
    least = Announcement("songs", "10.0.0.1", 9000, "i1")
    check("announcement_least", attrs.asdict(least))


async def test_operators_endpoint() -> None:
    ports = free_ports(2)
    settings = settings_for(*ports)
    control = ControlService(settings, Environment(), asyncio.Queue())
    proxy: Any = Mock(in_flight=3)
    service = OperatorService(settings, control, proxy, asyncio.Event())
    url = f"http://127.0.0.1:{ports[1]}/v1/"
    calls = [
        ("GET", url + "status", b""),
        ("GET", url + "counters", b""),
        ("GET", url + "configuration", b""),
        ("POST", url + "drain", b""),
    ]
    check("operator_answers", await answers_of(service, calls))


STATUS = NodeStatus(
    "a.1",
    "kgn1",
    5,
    "00ff",
    9,
    "night",
    True,
    False,
    3,
    [MemberView("a.2", "alive", 1, True)],
    [REPORT],
)
COUNTERS = LinkCounters(1, 2, 3, 4, 5, 6)


async def test_calls_of_the_operators_command(recorder: Recorder) -> None:
    held = {"version": 5, "as_of": 9, "hash": "00ff"}
    held["entries"] = OPERATOR_CONVERTER.unstructure(ENTRIES)
    check("node_status", OPERATOR_CONVERTER.unstructure(STATUS))
    check("link_counters", OPERATOR_CONVERTER.unstructure(COUNTERS))
    check("held_configuration", held)
    names = ("node_status", "link_counters", "held_configuration")
    recorder.answers = [(200, orjson.dumps(PINNED[name])) for name in names]
    recorder.answers.append((202, b"{}"))
    async with aiohttp.ClientSession() as session:
        client = NodeClient(session, recorder.url)
        assert await client.status() == STATUS
        assert await client.counters() == COUNTERS
        found = await client.configuration()
        await client.drain()
    document = configuration.document_from_entries(ENTRIES)
    assert attrs.astuple(found, recurse=False) == (5, 9, "00ff", document)
    check("operator_calls", recorder.short)


# Results of the commands, as programs get them


def command_results() -> dict[str, Any]:
    fault = Fault("$.a", "is wrong", "correct it")
    gap = audit.Gap("kgn1", 1, 2, 3, "overflow")
    missing = audit.MissingInstance("a.3", "silent")
    place = answers.DataCentreVersion(
        "kgn1", "partial", 2, 3, 19, 23, 6, 1, ["a.1"], [missing]
    )
    history = answers.VersionHistory(5, "ada", "night", 17, [place])
    accepted = audit.PublicationAccepted(5, "p", "ada", 4, "SwitchPreset", "night", 17)
    refused = audit.PublicationRefused(6, "p4", "bob", "late", 18)
    begun, ended = audit.DrainBegun("a.1", 30, 4), audit.DrainEnded("a.1", 30, 39, 1)
    run = audit.RequestRun("k", "songs", "a.1", "r1", "ran", 40)
    owner = answers.SlotOwner("fleet", 7, "owned", "a.1", "r1", 10, 20)
    return {
        "check": results.CheckResult(
            [results.FileChecked("f.json", "settings", [fault])]
        ),
        "publish": results.PublishResult(
            "p3", "accepted", 5, "night", "late", [fault], True, [REPORT]
        ),
        "drain": results.DrainResult("http://node"),
        "keys": results.KeysResult(node_settings.FleetKey("p", "s")),
        "status": STATUS,
        "versions": answers.VersionsAnswer([history], [gap], 16, "a.1"),
        "publications": answers.PublicationsAnswer([accepted], [refused], [gap]),
        "drains": answers.DrainsAnswer([answers.Drain(begun, ended)], [gap]),
        "request": answers.RequestAnswer("k", 15, "It ran.", [run], [owner], [gap]),
        "gaps": answers.GapsAnswer([gap]),
    }


@pytest.mark.parametrize("name", command_results())
def test_result_of_a_command(name: str) -> None:
    output = io.StringIO()
    environment = Environment(stdout=output)
    write_result(command_results()[name], True, environment)
    assert orjson.loads(output.getvalue()) == PINNED["command_results"][name]


def test_error_of_a_command(tmp_path: pathlib.Path) -> None:
    errors = io.StringIO()
    words = ["faults", str(tmp_path / "none.log"), "--json"]
    status = core.main(words, Environment(stderr=errors))
    found = orjson.loads(errors.getvalue())
    check("command_error", [status, found["error"], list(found)])


def test_exit_statuses() -> None:
    found = {error.__name__: int(status) for error, status in core.STATUSES.items()}
    check("exit_statuses", found)
    check("exit_status_numbers", [int(status) for status in ExitStatus])


# Settings


def test_keys_of_the_settings() -> None:
    least = node_settings.parse_settings(orjson.dumps(PINNED["settings_least"]))
    check("settings_defaults", node_settings.unstructure_settings(least))
    full = node_settings.parse_settings(orjson.dumps(PINNED["settings_full"]))
    check("settings_full", node_settings.unstructure_settings(full))


@pytest.mark.parametrize("name", PINNED["settings_least"])
def test_required_setting(name: str) -> None:
    plain = {**PINNED["settings_least"]}
    del plain[name]
    fault = node_settings.settings_of(orjson.dumps(plain)).failure()[0]
    assert name in str(fault)


def paths_of(plain: Any, path: str = "$") -> Iterator[str]:
    if isinstance(plain, dict):
        for name, value in plain.items():
            yield from paths_of(value, f"{path}.{name}")
    elif isinstance(plain, list):
        yield from paths_of(plain[0], f"{path}[0]")
    else:
        yield path


def replaced(plain: Any, path: str, value: Any) -> Any:
    copied = orjson.loads(orjson.dumps(plain))
    within = copied
    names = path.replace("[0]", ".0").split(".")[1:]
    steps: list[Any] = [int(name) if name.isdigit() else name for name in names]
    for step in steps[:-1]:
        within = within[step]
    within[steps[-1]] = value
    return copied


@pytest.mark.parametrize("path", list(paths_of(PINNED["settings_full"])))
def test_faults_of_the_settings_name_their_path(path: str) -> None:
    plain = replaced(PINNED["settings_full"], path, [])
    found = node_settings.settings_of(orjson.dumps(plain)).failure()
    assert path in {fault.path for fault in found}


def test_bounds_of_the_settings() -> None:
    full = PINNED["settings_full"]
    found = []
    for path in paths_of(full):
        plain = replaced(full, path, -1)
        faults_found = (
            node_settings.settings_of(orjson.dumps(plain)).swap().value_or(())
        )
        if any(fault.path == path and "range" in str(fault) for fault in faults_found):
            found.append(path)
    check("settings_with_bounds", found)


def test_keys_of_the_settings_on_the_platform() -> None:
    found = mesh_settings.decode_settings(PINNED["mesh_settings"])
    check("mesh_settings_read", attrs.astuple(found))
    least = {**PINNED["mesh_settings"], "bounds": {}}
    del least["peer_listen_address"]
    check("mesh_settings_least", attrs.astuple(mesh_settings.decode_settings(least)))


@pytest.mark.parametrize("name", PINNED["mesh_settings_required"])
def test_required_setting_on_the_platform(name: str) -> None:
    plain = {**PINNED["mesh_settings"]}
    del plain[name]
    with pytest.raises(SettingsError, match=name):
        mesh_settings.decode_settings(plain)


def test_settings_of_operators(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "operator.json"
    path.write_bytes(orjson.dumps(PINNED["operator_settings"]))
    named = {"AZURESTEP_OPERATOR_SETTINGS": str(path)}
    by_variables = {
        "AZURESTEP_NODE": "http://n",
        "AZURESTEP_PLATFORM": "http://p",
        "AZURESTEP_OPERATOR": "ada",
    }
    expected = ("http://n", "http://p", "ada")
    for variables in (named, by_variables):
        found = defaults.read_operator_settings(variables)
        assert attrs.astuple(found) == expected
    check("operator_flags", defaults.FLAGS)


# Metrics


def test_metrics_for_statsd() -> None:
    found = {
        name: [metric.name, metric.kind, metric.unit]
        for name, metric in node_metrics.METRICS.items()
    }
    check("metrics", found)
    prefix = node_metrics.prefix_of("kgn1", "licensing.1")
    assert prefix == "azurestep.kgn1.licensing_1"


def test_metrics_in_the_text_format() -> None:
    metrics = Metrics()
    metrics.call_ms.record(3.0)
    metrics.run_ms.record(7000.0)
    metrics.count("calls", "good")
    metrics.count("store_failures")
    metrics.gauges["members"] = 3
    check("metrics_text", metrics.text().splitlines())


def test_metrics_by_team_in_the_text_format() -> None:
    metrics = Metrics()
    for outcome in TeamOutcome:
        metrics.teams.record("riggers", outcome)
    for number in range(SHOWN_TEAMS):
        metrics.teams.record(f"t{number}", TeamOutcome.GOOD)
    lines = [line for line in metrics.text().splitlines() if "team" in line]
    check("metrics_text_teams", [line for line in lines if '"t' not in line])


def calls_of(*names: str) -> Iterator[tuple[pathlib.Path, ast.Call]]:
    """Yield the calls in the package of functions or methods of some names."""
    for path, tree in sources():
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and name_of(node.func) in names:
                yield path, node


def sources() -> Iterator[tuple[pathlib.Path, ast.Module]]:
    for path in sorted(PACKAGE.rglob("*.py")):
        yield path.relative_to(PACKAGE), ast.parse(path.read_bytes())


def name_of(node: ast.expr) -> str:
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def texts_in(nodes: Iterable[ast.expr]) -> list[str]:
    found = [one for node in nodes for one in ast.walk(node)]
    constants = [one.value for one in found if isinstance(one, ast.Constant)]
    return sorted({one for one in constants if isinstance(one, str)})


def test_names_of_counters_and_gauges_on_the_platform() -> None:
    counters: dict[str, set[str]] = defaultdict(set)
    for path, call in calls_of("count"):
        if path.parts[0] == "mesh" and call.args:
            name, *labels = call.args
            if isinstance(name, ast.Constant):
                counters[str(name.value)].update(texts_in(labels))
    gauges = [
        target.slice
        for path, tree in sources()
        for node in ast.walk(tree)
        if isinstance(node, ast.Assign) and path.parts[0] == "mesh"
        for target in node.targets
        if isinstance(target, ast.Subscript) and name_of(target.value) == "gauges"
    ]
    check("mesh_counters", counters)
    check("mesh_gauges", texts_in(gauges))


def test_places_of_faults() -> None:
    """They are a label of a metric and a field of log lines."""
    functions = ("run_guarded", "_handle_fault", "report_fault", "fault_handler")
    places = [call.args[0] for _, call in calls_of(*functions) if call.args]
    for _, call in calls_of("partial"):
        if name_of(call.args[0]) in functions:
            places.append(call.args[1])
    constants = [one for one in places if isinstance(one, ast.Constant)]
    check("places_of_faults", texts_in(constants))


def test_reasons_in_answers_without_an_enumeration() -> None:
    found = [call for _, call in calls_of("not_run", "Refusal", "ErrorAnswer")]
    check("literal_reasons", texts_in(arg for call in found for arg in call.args))


# Events and log lines


def test_event_numbers_and_levels() -> None:
    registered = node_events.REGISTRY
    assert all(number == event.number for number, event in registered.items())
    levels = {number: event.level for number, event in sorted(registered.items())}
    check("event_levels", levels)


def numbers_of_constants() -> dict[tuple[bool, str], int]:
    """Return event numbers by package, whether the platform's, and constant."""
    found: dict[tuple[bool, str], int] = {}
    for path, tree in sources():
        for node in tree.body:
            if not isinstance(node, ast.Assign) or not isinstance(node.value, ast.Call):
                continue
            call = node.value
            if name_of(call.func) == "register" and call.args:
                number = ast.literal_eval(call.args[0])
                found[path.parts[0] == "mesh", name_of(node.targets[0])] = number
    return found


def emitting_calls() -> Iterator[tuple[str, list[str]]]:
    """Yield number of the event, or ``variable``, and keywords of each call."""
    numbers = numbers_of_constants()
    for path, call in calls_of("emit", "log", "log_routine"):
        by_module = isinstance(call.func, ast.Attribute)
        if by_module and name_of(call.func.value) != "events":  # type: ignore[attr-defined]
            continue
        constant = (path.parts[0] == "mesh", name_of(call.args[0]))
        keywords = sorted(one.arg or "**" for one in call.keywords)
        yield str(numbers.get(constant, "variable")), keywords


def test_fields_of_events() -> None:
    found: dict[str, list[list[str]]] = defaultdict(list)
    for number, keywords in emitting_calls():
        found[number].append(keywords)
    check("event_fields", {number: sorted(found[number]) for number in sorted(found)})


def test_fields_of_faults() -> None:
    keywords = {
        one.arg for _, call in calls_of("report_fault") for one in call.keywords
    }
    check("fault_fields", keywords)


FOLD_EVENTS: list[Any] = [
    folded.Accepted(version=5, id="p", operator="ada", time_ms=17, preset="night"),
    folded.Refused(
        offset=6,
        id="p",
        operator="ada",
        reason="late",
        faults=(Fault(path="$.a", problem="is wrong", remedy="correct it"),),
    ),
    folded.Mismatched(offset=7),
    folded.Regressed(next_offset=8, as_of=9),
    folded.GapFound(first_offset=10, as_of=9),
    folded.Unsupported(offset=11, format=2),
]


@pytest.fixture
def log_stream() -> Iterator[io.StringIO]:
    """Take the lines of the product's node, and put the loggers back."""
    root, own = logging.getLogger(), logging.getLogger("azurestep")
    held = [(one, one.handlers[:], one.level, one.propagate) for one in (root, own)]
    stream = io.StringIO()
    configure_logs(stream, "json", "debug")
    yield stream
    for logger, handlers, level, propagate in held:
        logger.handlers, logger.propagate = handlers, propagate
        logger.setLevel(level)


def without_texts(line: bytes | str) -> dict[str, Any]:
    """Return a log line without what changes and without its summary."""
    found: dict[str, Any] = orjson.loads(line)
    assert isinstance(found.pop("time"), str)
    assert isinstance(found.pop("message"), str)
    return found


def test_log_lines_of_the_fold(log_stream: io.StringIO) -> None:
    for event in FOLD_EVENTS:
        log_fold_event(event)
    lines = log_stream.getvalue().splitlines()
    check("fold_event_lines", [without_texts(line) for line in lines])


def written(act: Callable[[], object]) -> list[dict[str, Any]]:
    """Return the lines that a node on the platform writes."""
    source, target = os.pipe()
    line_writer = LineWriter(target)
    held, mesh_events.WRITER = mesh_events.WRITER, line_writer
    try:
        act()
        line_writer.flush()
    finally:
        mesh_events.WRITER = held
        os.close(target)
    with open(source, "rb") as stream:
        return [without_texts(line) for line in stream]


ROUTE = MeshRoute(
    "get-songs",
    b"songs.example",
    b"/",
    True,
    900.0,
    700.0,
    3,
    2,
    (WeightedService("songs", 1.0),),
)


def test_log_lines_of_an_attempt() -> None:
    attempt = Attempt((b"GET",), 100.0, 1200.0, True)
    record = CallRecord(
        b"q1", ROUTE, "songs", 5, attempt, 150.0, 2, 1, b"i-1", 12.4, 33.4
    )

    def act() -> None:
        record.log_answered(200, 300.0)
        record.log_refused(503, mesh.Reason(4), 300.0)
        record.log_failed(502, mesh.Reason(14), 900.0)
        record.log_retried(0, mesh.Reason(7), 300.0)
        record.log_disconnected(300.0)

    check("attempt_lines", written(act))


def test_log_lines_of_faults() -> None:
    runtime = Runtime(Mock(), Random(1))

    def act() -> None:
        runtime.report_fault("run", ValueError("no"), id=b"q1")

    [line] = written(act)
    assert "ValueError" in line.pop("traceback")
    check("fault_line", line)


def test_log_line_of_lines_left_out() -> None:
    source, target = os.pipe()
    LineWriter(target, time.monotonic, 3).flush()
    os.close(target)
    with open(source, "rb") as stream:
        check("left_out_line", without_texts(stream.read()))


def test_keys_of_log_lines_that_the_commands_read() -> None:
    text = orjson.dumps(PINNED["log_line"])
    line = reader.decode_line(b"1.5 node-7 " + text, "file")
    assert isinstance(line, reader.LogLine)
    values = attrs.astuple(line)
    check("log_line_read", [values[0].isoformat(), *values[1:]])
    least = reader.decode_line(orjson.dumps(PINNED["log_line_least"]), "file")
    assert isinstance(least, reader.LogLine)
    check("log_line_least_read", attrs.astuple(least)[1:])


def test_keys_of_log_lines_about_teams_that_the_commands_read() -> None:
    line = reader.decode_line(orjson.dumps(PINNED["log_line_team"]), "node-7")
    assert isinstance(line, reader.LogLine)
    check("log_line_team_read", attrs.astuple(line)[1:])


@pytest.fixture
def log_file(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / "node-1.log"
    path.write_text("\n".join(PINNED["log_lines"]) + "\n")
    return path


@pytest.mark.parametrize("words", [["explain", "q1"], ["losses"], ["faults"]])
def test_result_of_a_command_that_reads_log_lines(
    words: list[str], log_file: pathlib.Path
) -> None:
    output = io.StringIO()
    core.main([*words, str(log_file), "--json"], Environment(stdout=output))
    found = orjson.loads(output.getvalue())
    for step in found.get("steps", []):
        assert isinstance(step.pop("inputs"), str)
    if "steps" in found:
        assert isinstance(found.pop("cause"), str)
    assert found == PINNED["line_results"][words[0]]


def test_decisions_by_reason() -> None:
    found = {}
    for name in PINNED["enums_with_names"]["mesh reason"]:
        line = {**PINNED["log_line_least"], "event": 9403, "reason": name}
        decoded_line = reader.decode_line(orjson.dumps(line), "file")
        assert isinstance(decoded_line, reader.LogLine)
        judged = verdict.judge(decoded_line)
        assert judged is not None
        found[name] = [judged.outcome, judged.decision]
    check("decisions_by_reason", found)


def test_events_that_the_commands_read() -> None:
    check("fault_events", faults.FAULT_EVENTS)


# Enumerations

ENUMS: dict[str, type[Enum]] = {
    "interval state": ownership.IntervalState,
    "record problem": ownership.RecordProblem,
    "key state": deciding.KeyState,
    "once outcome": deciding.Outcome,
    "once reason": deciding.Reason,
    "call outcome": traffic_answers.CallOutcome,
    "refusal reason": RefusalReason,
    "give up reason": GiveUpReason,
    "priority": model.Priority,
    "server status": updates.ServerStatus,
    "metric kind": node_metrics.MetricKind,
    "line outcome": verdict.Outcome,
    "line decision": verdict.Decision,
    "audit question": AuditQuestion,
    "mesh kind": mesh.Kind,
}
ENUMS_WITH_NAMES: dict[str, type[Enum]] = {
    "mesh reason": mesh.Reason,
    "member status": updates.MemberStatus,
    "section": documents.Section,
}
"""Those whose names are written into log lines, metrics, answers or documents."""


@pytest.mark.parametrize("name", ENUMS)
def test_values_of_an_enumeration(name: str) -> None:
    assert [one.value for one in ENUMS[name]] == PINNED["enums"][name]


@pytest.mark.parametrize("name", ENUMS_WITH_NAMES)
def test_names_of_an_enumeration(name: str) -> None:
    found = {one.name: one.value for one in ENUMS_WITH_NAMES[name]}
    assert found == PINNED["enums_with_names"][name]


def test_states_in_answers_of_the_audit_trail() -> None:
    states = (
        queries.COMPLETE,
        queries.PARTIAL,
        queries.UNKNOWN,
        queries.SUPERSEDED,
        queries.NEVER_OWNED,
    )
    check("audit_states", states)


def test_formats() -> None:
    formats = (
        ownership.FORMAT,
        configuration.RECORD_FORMAT,
        audit.FORMAT,
        model.FORMAT,
        mesh.PROTOCOL_VERSION,
        members.FORMAT,
    )
    check("formats", formats)
