import random

import pytest

from azurestep.control.membership import Membership
from azurestep.control.messages import Sender, SyncReply
from azurestep.control.seeds import Seeds
from azurestep.control.updates import MemberState, MemberStatus
from azurestep.settings import Address, ControlSettings

ABROAD = Address("127.0.0.1", 9000)
LOST = Address("127.0.0.1", 9001)
NEAR = Sender("near", "dc-1", 1, "127.0.0.1", 7001)
HOUR_MS = 3_600_000


def member(number: int) -> MemberState:
    alive = int(MemberStatus.ALIVE)
    return MemberState(
        f"i-{number}", "dc-1", "r", 1, 1, alive, "127.0.0.1", 7000 + number, 1
    )


@pytest.fixture
def seeds() -> Seeds:
    pace = ControlSettings(bridges_per_data_centre=1)
    node = Membership(member(0), [], pace, random.Random(4))
    others = [member(number) for number in range(1, 12)]
    node.handle(SyncReply(others), NEAR, 0.0)
    assert not node.is_bridge()
    return Seeds(node, [ABROAD, LOST], random.Random(4))


def asked(seeds: Seeds) -> set[Address]:
    outputs = [o for now_ms in range(0, HOUR_MS, 500) for o in seeds.tick(now_ms)]
    return {output.to for output in outputs}


def test_a_seed_of_another_data_centre_is_not_asked_again(seeds: Seeds) -> None:
    seeds.mark_remote(ABROAD)
    assert asked(seeds) == {LOST}


def test_a_seed_that_never_answered_is_still_sought(seeds: Seeds) -> None:
    assert asked(seeds) == {ABROAD, LOST}


def test_an_answer_from_abroad_is_noted(seeds: Seeds) -> None:
    node = Membership(
        member(0),
        [ABROAD],
        ControlSettings(bridges_per_data_centre=0),
        random.Random(4),
    )
    node.handle(SyncReply([member(1), member(2)]), NEAR, 0.0)
    sender = Sender("far", "dc-2", 1, ABROAD.host, ABROAD.port)
    node.handle(SyncReply([]), sender, 0.0)
    assert asked(node._seeds) == set()
