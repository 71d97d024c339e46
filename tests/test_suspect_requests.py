"""Updates of the quarantine are relayed between nodes, once and in bounded number."""

import asyncio

import pytest

from azurestep.balancing import EndpointKey, QuarantineUpdate
from azurestep.control.codec import decode, encode
from azurestep.control.messages import Broadcast, Sender
from azurestep.control.table import UpdateTable
from azurestep.environment import Environment
from azurestep.node.control import ControlService
from azurestep.node.messages import QuarantineLearned
from azurestep.node.suspects import suspect_updates
from azurestep.settings import Settings
from azurestep.traffic.pool import QuarantineReport

KEYS = (EndpointKey("127.0.0.1", 8001, 7), EndpointKey("127.0.0.1", 8002, 9))
REPORT = QuarantineReport("catalogue", [QuarantineUpdate(42, KEYS, 60_000)])
PEER = Sender("i-2", "dc-1", 1, "127.0.0.1", 7002)


@pytest.fixture
def control() -> ControlService:
    settings = Settings("i-1", "dc-1", "127.0.0.1", 1, 2, 3, 4, "http://127.0.0.1:5")
    return ControlService(settings, Environment(), asyncio.Queue())


def test_quarantine_updates_reach_other_nodes(
    control: ControlService,
) -> None:
    own = control.membership.own
    updates = [*suspect_updates(REPORT, own, 1)]
    frame = encode(PEER, Broadcast("i-2", [*updates]))
    control._take_message(decode(frame))
    learned = control.traffic.get_nowait()
    assert learned == QuarantineLearned(REPORT)


def test_quarantine_updates_are_relayed_once_and_not_synced(
    control: ControlService,
) -> None:
    table = UpdateTable()
    hash_before = table.hash(only_global=False)
    update = next(suspect_updates(REPORT, control.membership.own, 1))
    assert table.merge(update)
    assert not table.merge(update)
    assert list(table.updates()) == []
    assert table.hash(only_global=False) == hash_before


def test_number_of_relayed_quarantine_updates_is_bounded(
    control: ControlService,
) -> None:
    table = UpdateTable()
    for fingerprint in range(3000):
        report = QuarantineReport("s", [QuarantineUpdate(fingerprint, KEYS, 1)])
        table.merge(next(suspect_updates(report, control.membership.own, 1)))
    assert len(table._passing) == 1024
