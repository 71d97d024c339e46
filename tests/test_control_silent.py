"""Links that silently drop messages, while new links work."""

import pytest

from azurestep.control.updates import MemberStatus
from bench.fake_network import FIRST_PORT, FakeNetwork

COUNT = 24
VICTIM_PORT = FIRST_PORT + 5

LINK_FILTERS = {
    "all": lambda link: True,
    "one direction": lambda link: link.source.port > link.to.port,
    "into one node": lambda link: link.to.port == VICTIM_PORT,
    "out of one node": lambda link: link.source.port == VICTIM_PORT,
}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("chosen", LINK_FILTERS.values(), ids=LINK_FILTERS.keys())
def test_silent_links_are_replaced_without_suspicions(chosen, seed):
    network = FakeNetwork(COUNT, seed=seed)
    network.run_until(network.is_whole, 60_000)
    network.run(30_000)
    silent_ms = network.now_ms
    assert network.links.silence(chosen) > 0

    took_ms = network.run_until(lambda: network.is_answered(silent_ms), 30_000)

    assert took_ms < 8_000
    network.run(30_000)
    assert not [
        belief
        for belief in network.beliefs
        if belief.at_ms >= silent_ms and belief.status != MemberStatus.ALIVE
    ]
