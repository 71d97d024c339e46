import pytest

from azurestep.control.updates import MemberStatus
from bench.fake_network import FIRST_PORT, FakeNetwork

COUNT = 24


def joined(**options):
    network = FakeNetwork(COUNT, **options)
    network.run_until(network.is_whole, 60_000)
    return network


def is_across_halves(one, other):
    middle = FIRST_PORT + COUNT // 2
    return (one.port < middle) != (other.port < middle)


def deaths(network, since_ms=0.0):
    return [
        belief
        for belief in network.beliefs
        if belief.status == MemberStatus.DEAD and belief.at_ms >= since_ms
    ]


def test_nodes_with_one_seed_discover_all_members():
    assert joined().is_whole()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_member_is_declared_dead_at_20_percent_message_loss(seed):
    network = joined(seed=seed)
    network.loss_ratio = 0.2
    network.run(120_000)

    assert deaths(network) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_healed_partition_converges_without_new_deaths(seed):
    network = joined(seed=seed)
    network.is_cut = is_across_halves
    network.run(20_000)
    assert len(deaths(network)) >= COUNT * COUNT // 2
    network.is_cut = lambda one, other: False
    healed_ms = network.now_ms

    took_ms = network.run_until(network.is_whole, 30_000)

    assert took_ms < 15_000
    assert deaths(network, healed_ms) == []


def test_all_nodes_detect_a_dead_node():
    network = joined()
    victim = network.nodes[next(reversed(network.nodes))]
    victim.is_running = False

    took_ms = network.run_until(network.is_whole, 30_000)

    assert took_ms < 8_000


def test_old_updates_do_not_revive_a_node_that_left():
    network = joined()
    leaver = network.nodes[next(reversed(network.nodes))]
    outputs = leaver.membership.change_own(status=MemberStatus.LEFT)
    network.perform(leaver, outputs)
    leaver.is_running = False
    network.run(2_000)
    left_ms = network.now_ms
    network.loss_ratio = 0.2
    network.run(60_000)

    about = [
        belief.status
        for belief in network.beliefs
        if belief.about == leaver.sender.instance and belief.at_ms >= left_ms
    ]
    assert MemberStatus.ALIVE not in about
    assert all(
        leaver.sender.instance not in node.membership.order
        for node in network.nodes.values()
        if node.is_running
    )


def test_simultaneous_start_of_a_data_centre_converges():
    network = FakeNetwork(96)

    assert network.run_until(network.is_whole, 60_000) < 12_000
