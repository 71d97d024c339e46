import asyncio

import orjson
import pytest

from azurestep.config.fold import Regressed
from azurestep.config.records import (
    Publication,
    ReplaceDocument,
    encode_record,
    entries_of,
)
from azurestep.control.outputs import RecordFolded, RecordsRelayed
from azurestep.environment import Environment
from azurestep.node.control import ControlService
from azurestep.node.messages import OwnershipPageRead, PageRead
from azurestep.platform.records import LogRecord, Page
from azurestep.settings import Settings
from bench.deployment import load_configuration


@pytest.fixture
def control() -> ControlService:
    settings = Settings("i-1", "dc-1", "127.0.0.1", 1, 2, 3, 4, "http://127.0.0.1:5")
    return ControlService(settings, Environment(), asyncio.Queue())


def ownership_page(first: int, last: int) -> Page:
    records = [LogRecord(n, n, {"format": 1}) for n in range(first, last + 1)]
    return Page(1, last + 1, records)


def configuration_page() -> Page:
    change = ReplaceDocument(entries_of(load_configuration("riddim")))
    value = encode_record(Publication("p", 0, "ada", change))
    return Page(1, 2, [LogRecord(1, 1, orjson.loads(value))])


def regressions(outputs: list) -> list:
    relayed = [o for o in outputs if isinstance(o, RecordsRelayed)]
    folded = [o.event for o in outputs if isinstance(o, RecordFolded)]
    return [o for o in relayed if o.has_regressed] + [
        event for event in folded if isinstance(event, Regressed)
    ]


def test_stale_ownership_page_is_not_a_regression(
    control: ControlService,
) -> None:
    control._take(OwnershipPageRead(ownership_page(1, 6)))
    late = control._take(OwnershipPageRead(ownership_page(1, 4)))
    assert regressions(late) == []
    assert control.relay.next_offset == 7


def test_ownership_log_shorter_than_requested_offset_is_a_regression(
    control: ControlService,
) -> None:
    control._take(OwnershipPageRead(ownership_page(1, 6)))
    restored = control._take(OwnershipPageRead(Page(1, 4, [], from_offset=7)))
    assert len(regressions(restored)) == 1


def test_stale_configuration_page_is_not_a_regression(
    control: ControlService,
) -> None:
    control._take(PageRead(configuration_page()))
    assert control.spread.fold.state.version == 1
    late = control._take(PageRead(Page(1, 1, [], from_offset=1)))
    assert regressions(late) == []


def test_configuration_log_shorter_than_requested_offset_is_a_regression(
    control: ControlService,
) -> None:
    control._take(PageRead(configuration_page()))
    restored = control._take(PageRead(Page(1, 1, [], from_offset=2)))
    assert len(regressions(restored)) == 1
