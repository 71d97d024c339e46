import random

import pytest

from azurestep.control.membership import Membership
from azurestep.control.messages import Sender, SyncReply
from azurestep.control.seeds import Seeds
from azurestep.control.updates import MemberState, MemberStatus
from azurestep.settings import Address, ControlSettings

REMOTE = Address("127.0.0.1", 9000)
UNREACHABLE = Address("127.0.0.1", 9001)
LOCAL_SENDER = Sender("near", "dc-1", 1, "127.0.0.1", 7001)
HOUR_MS = 3_600_000


def member(number: int) -> MemberState:
    alive = int(MemberStatus.ALIVE)
    return MemberState(
        f"i-{number}", "dc-1", "r", 1, 1, alive, "127.0.0.1", 7000 + number, 1
    )


@pytest.fixture
def seeds() -> Seeds:
    settings = ControlSettings(bridges_per_data_centre=1)
    node = Membership(member(0), [], settings, random.Random(4))
    others = [member(number) for number in range(1, 12)]
    node.handle(SyncReply(others), LOCAL_SENDER, 0.0)
    assert not node.is_bridge()
    return Seeds(node, [REMOTE, UNREACHABLE], random.Random(4))


def contacted(seeds: Seeds) -> set[Address]:
    outputs = [o for now_ms in range(0, HOUR_MS, 500) for o in seeds.tick(now_ms)]
    return {output.to for output in outputs}


def test_remote_seed_is_not_contacted_again(seeds: Seeds) -> None:
    seeds.mark_remote(REMOTE)
    assert contacted(seeds) == {UNREACHABLE}


def test_seed_without_an_answer_is_still_contacted(seeds: Seeds) -> None:
    assert contacted(seeds) == {REMOTE, UNREACHABLE}


def test_sync_reply_marks_a_seed_as_remote(seeds: Seeds) -> None:
    node = Membership(
        member(0),
        [REMOTE],
        ControlSettings(bridges_per_data_centre=0),
        random.Random(4),
    )
    node.handle(SyncReply([member(1), member(2)]), LOCAL_SENDER, 0.0)
    sender = Sender("far", "dc-2", 1, REMOTE.host, REMOTE.port)
    node.handle(SyncReply([]), sender, 0.0)
    assert contacted(node._seeds) == set()
