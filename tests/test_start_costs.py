"""Nodes don't relay known updates or rebuild the directory without a change."""

import asyncio
import random

import pytest

from azurestep.control.membership import Membership
from azurestep.control.messages import Ack, Probe, Sender, SyncReply
from azurestep.control.outputs import Learned, Output, Send
from azurestep.control.updates import (
    DataCentreReport,
    MemberState,
    ServerState,
    ServiceSummary,
    Update,
)
from azurestep.environment import Environment
from azurestep.node.control import ControlService
from azurestep.settings import ControlSettings, Settings

MEMBERS = 60
PEER = Sender("i-01", "dc-1", 1, "127.0.0.1", 1001)


def _member(index: int) -> MemberState:
    return MemberState(
        f"i-{index:02d}", "dc-1", "r", 1, 1, 0, "127.0.0.1", 1000 + index, 1
    )


def _probe_with_digests_of(membership: Membership) -> Probe:
    table_hash = membership.table.hash(only_global=False)
    return Probe(1, membership.digest, table_hash)


def _updates_in_ack(outputs: list[Output]) -> list[Update]:
    """Return the updates in the only message among the outputs."""
    sends = [output for output in outputs if isinstance(output, Send)]
    (answer,) = [send.message for send in sends if isinstance(send.message, Ack)]
    assert len(sends) == 1
    return answer.updates


@pytest.fixture
def membership() -> Membership:
    return Membership(_member(0), [], ControlSettings(), random.Random(1))


def test_starting_node_does_not_relay_members_from_its_first_peer(membership):
    members = [_member(index) for index in range(1, MEMBERS)]
    membership.handle(SyncReply(members), PEER, 0.0)
    relayed = set()
    for _ in range(50):
        probe = _probe_with_digests_of(membership)
        relayed |= {
            update.instance
            for update in _updates_in_ack(membership.handle(probe, PEER, 0))
        }
    assert relayed == {"i-00"}
    assert len(membership.order) == MEMBERS


def test_running_node_relays_new_members(membership):
    membership.handle(SyncReply([_member(1)]), PEER, 0.0)
    membership.handle(SyncReply([_member(2)]), PEER, 0.0)
    outputs = membership.handle(_probe_with_digests_of(membership), PEER, 0.0)
    assert "i-02" in {update.instance for update in _updates_in_ack(outputs)}


@pytest.fixture
async def control():
    settings = Settings("a", "dc-1", "127.0.0.1", 1, 2, 3, 4, "http://127.0.0.1:5")
    service = ControlService(settings, Environment(), asyncio.Queue())
    yield service
    await service.links.close()


async def test_report_does_not_rebuild_the_endpoint_directory(control):
    control._refresh_directory(0.0)
    before = control.traffic.qsize()
    report = DataCentreReport("dc-2", 1, "b", 1, b"", 1, 1, [], 0, 0)
    control._perform(Learned(report))
    control._refresh_directory(0.0)
    assert control.traffic.qsize() == before


async def test_new_service_summary_rebuilds_the_endpoint_directory(control):
    control._refresh_directory(0.0)
    before = control.traffic.qsize()
    server = ServerState("catalogue", "127.0.0.1", 9, "x", 12)
    control._perform(Learned(ServiceSummary("dc-2", "catalogue", 1, "b", [server])))
    control._refresh_directory(0.0)
    assert control.traffic.qsize() == before + 1
