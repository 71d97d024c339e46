"""The switch between deltas and snapshots that the measurements rest on."""

import random

import orjson

from azurestep.config.changes import FLEET_KEY
from azurestep.config.delta import Delta
from azurestep.config.document import Document, canonical_json
from azurestep.config.records import (
    Publication,
    ReplaceDocument,
    encode_record,
    entries_of,
)
from azurestep.control.membership import Membership
from azurestep.control.spread import Spread
from azurestep.control.updates import MemberState
from azurestep.platform.records import LogRecord, Page
from azurestep.settings import ControlSettings
from bench.deployment import load_configuration


def _switched(document: Document, preset: str) -> Document:
    fleet = orjson.loads(document.entries[FLEET_KEY])
    fleet["active_preset"] = preset
    return document.with_changes({FLEET_KEY: canonical_json(fleet)}, [])


def _delta_after_two_versions(settings: ControlSettings) -> Delta:
    own = MemberState("a", "dc-1", "r", 1, 1, 0, "127.0.0.1", 1, 2)
    membership = Membership(own, [], settings, random.Random(1))
    spread = Spread(membership, settings, random.Random(1), lambda: 0)
    document = load_configuration("riddim")
    base = document
    for offset, target in enumerate((document, _switched(document, "peak")), 1):
        base = spread.fold.state.document
        change = ReplaceDocument(entries_of(target))
        version = spread.fold.state.version
        publication = Publication(f"p{offset}", version, "test", change)
        value = orjson.loads(encode_record(publication))
        spread.apply_page(Page(1, offset + 1, [LogRecord(offset, 0, value)]), 0.0)
    return spread._delta_from(base)


def test_versions_travel_as_deltas():
    delta = _delta_after_two_versions(ControlSettings())
    assert delta.version == 2
    assert not delta.is_snapshot
    assert [entry.key for entry in delta.put] == [FLEET_KEY]


def test_baseline_sends_whole_snapshots():
    delta = _delta_after_two_versions(ControlSettings(send_deltas=False))
    assert delta.version == 2
    assert delta.is_snapshot
    assert len(delta.put) == len(load_configuration("riddim").entries)
