import random
from typing import Any

import attrs
import orjson
import pytest

from azurestep.audit.records import (
    PresetInForce,
    PublicationAccepted,
    PublicationRefused,
)
from azurestep.audit.verdicts import Head, derive_verdicts, head_of
from azurestep.config.document import document_from_dict
from azurestep.config.fold import Accepted, ConfigurationFold, Refused
from azurestep.config.records import (
    Checkpoint,
    EditEntries,
    Entry,
    Publication,
    ReplaceDocument,
    SwitchPreset,
    encode_record,
    entries_of,
)
from azurestep.platform.records import LogRecord, Page

from .fixtures_cli import EXAMPLE


def record(offset: int, value: Any) -> LogRecord:
    return LogRecord(offset, offset * 1000, orjson.loads(encode_record(value)))


@pytest.fixture
def history() -> list[LogRecord]:
    """A random log of races, faulty edits, checkpoints and foreign records."""
    source = random.Random(5)
    document = document_from_dict(orjson.loads(EXAMPLE.read_bytes()))
    first = Publication("p1", 0, "ana", ReplaceDocument(entries_of(document)))
    records = [record(1, first)]
    fold = ConfigurationFold()
    fold.apply_page(Page(1, 2, records))
    for offset in range(2, 120):
        base = fold.state.version - source.choice([0, 0, 0, 1])
        change: Any = SwitchPreset(source.choice(["peak", "ordinary", "carnival"]))
        if source.random() < 0.2:
            change = EditEntries([Entry(1, "catalogue", "not JSON")])
        made = record(offset, Publication(f"p{offset}", base, "ben", change))
        if source.random() < 0.1:
            made = LogRecord(offset, offset * 1000, {"kind": "strange"})
        elif source.random() < 0.1:
            made = attrs.evolve(source.choice(records), offset=offset)
        elif source.random() < 0.1:
            state = fold.state
            entries = entries_of(state.document)
            made = record(
                offset, Checkpoint("c", offset - 1, state.version, entries, "x")
            )
        fold.apply_page(Page(1, offset + 1, [made]))
        records.append(made)
    return records


@pytest.mark.parametrize("covered", [0, 1, 17, 60, 118])
def test_verdicts_equal_those_of_the_fold(
    history: list[LogRecord], covered: int
) -> None:
    fold = ConfigurationFold()
    decided: dict[int, bool] = {}
    for made in history:
        for event in fold.apply_page(Page(1, made.offset + 1, [made])):
            if isinstance(event, Accepted):
                decided[event.version] = True
            elif isinstance(event, Refused):
                decided[event.offset] = False
    heads = [head_of(made) for made in history if made.offset > covered]
    items = derive_verdicts([h for h in heads if h is not None], fold.state.version)
    derived = {i.version: True for i in items if isinstance(i, PublicationAccepted)}
    derived |= {i.offset: False for i in items if isinstance(i, PublicationRefused)}
    stated = {o: ok for o, ok in decided.items() if o > covered}
    # The trail forgets the ids of what it covered, so a late repeat is refused.
    covered_ids = {made.value.get("id") for made in history[:covered]}
    for made in history[covered:]:
        if made.value.get("id") in covered_ids and made.value["kind"] == "Publication":
            stated.setdefault(made.offset, False)
    assert derived == stated
    assert {True, False} <= set(decided.values())


def test_loser_of_a_race_is_refused_with_the_reason() -> None:
    heads = [
        Head(7, 1, "a", "ana", 5, "SwitchPreset", "peak"),
        Head(8, 2, "b", "ben", 5, "SwitchPreset", "ordinary"),
    ]
    accepted, preset, refused = derive_verdicts(heads, 7)
    assert isinstance(accepted, PublicationAccepted) and accepted.version == 7
    assert isinstance(preset, PresetInForce) and preset.preset == "peak"
    assert isinstance(refused, PublicationRefused)
    assert refused.reason == "made against version 5 while 7 is in force"


def test_refusal_before_any_new_version_names_the_one_in_force() -> None:
    (refused,) = derive_verdicts([Head(8, 2, "b", "ben", 7, "EditEntries")], 7)
    assert isinstance(refused, PublicationRefused)
    assert "did not validate" in refused.reason
