"""Decisions about quotas: accounts, allowances and owners, one at a time."""

import math

import pytest

from azurestep.mesh.decisions.quota_account import (
    FREE_S,
    GRANT_VALID_MS,
    PROMISED_FILL_RATIO,
    Grant,
    QuotaAccount,
    QuotaLimit,
)
from azurestep.mesh.decisions.quota_allowance import (
    STALE_AFTER_MS,
    QuotaAllowance,
)
from azurestep.mesh.decisions.quota_lost import LOST_EXCESS_RATIO
from azurestep.mesh.decisions.quota_owner import QuotaOwners

LIMIT = QuotaLimit.of(100.0, 50.0, window_s=5.0, overage=0.1, slack=20.0)
NODES = 10


@pytest.fixture
def account() -> QuotaAccount:
    return QuotaAccount.open(LIMIT, NODES, 0.0)


@pytest.fixture
def allowance() -> QuotaAllowance:
    return QuotaAllowance(LIMIT, NODES)


def admit_all(allowance: QuotaAllowance, now_ms: float) -> int:
    """Return how many requests are admitted at a moment."""
    admitted = 0
    while not allowance.admit(now_ms):
        admitted += 1
    return admitted


def test_what_nodes_may_admit_before_an_answer_is_within_the_excess(
    account: QuotaAccount,
) -> None:
    """Guards against promises that add up to more than the tokens."""
    account.tokens = LIMIT.max_tokens
    total = 0
    for node in range(NODES):
        account.record(node, 0, 1, 0.0)
    for node in range(NODES):
        allowance = QuotaAllowance(LIMIT, NODES)
        allowance.apply_grant(account.grant(node, 0.0), 0.0)
        total += admit_all(allowance, 1.0)
    assert total <= LIMIT.max_tokens + LIMIT.excess


def test_grants_of_all_nodes_add_up_to_the_rate(account: QuotaAccount) -> None:
    """Guards against grants by demand that exceed the limit together."""
    for node in range(NODES):
        account.record(node, 20 * node, 0, 0.0)
    account.tokens = 0.0
    rates = [account.grant(node, 0.0).rate_per_s for node in range(NODES)]
    assert account.limited
    assert math.isclose(sum(rates), LIMIT.rate_per_s, rel_tol=0.01)
    assert rates == sorted(rates)


def test_a_debt_stops_the_grants_until_it_is_repaid(account: QuotaAccount) -> None:
    account.record("a", 150, 0, 0.0)
    assert account.grant("a", 0.0) == Grant(0.0, GRANT_VALID_MS)
    account.tick(3000.0)
    assert account.grant("a", 3000.0).rate_per_s > 0


def test_a_silent_owner_lets_a_node_admit_its_share(allowance: QuotaAllowance) -> None:
    """Guards against a frozen owner that leaves a team unlimited for 650 ms."""
    admit_all(allowance, 0.0)
    allowance.take_report(0.0)
    begin_ms = STALE_AFTER_MS + 1
    admit_all(allowance, begin_ms)
    later = sum(admit_all(allowance, begin_ms + 100 * step) for step in range(1, 41))
    assert later <= LIMIT.rate_per_s / NODES * 4 + 1


def test_a_request_that_did_not_run_is_taken_back(
    allowance: QuotaAllowance, account: QuotaAccount
) -> None:
    allowance.admit(0.0)
    report = allowance.take_report(0.0)
    assert report == (1, 0)
    allowance.give_back()
    assert allowance.take_report(1.0) == (-1, 0)
    account.record("a", 1, 0, 0.0)
    before = account.tokens
    account.record("a", -1, 0, 0.0)
    assert account.tokens == before + 1


def test_a_raised_limit_ends_the_grant(allowance: QuotaAllowance) -> None:
    allowance.apply_grant(Grant(0.0, GRANT_VALID_MS), 0.0)
    assert allowance.admit(1.0) > 0
    allowance.set_limit(QuotaLimit(200.0, 50.0, 80.0), NODES)
    assert allowance.admit(2.0) == 0


def test_a_node_that_does_not_know_the_fleet_admits_nothing() -> None:
    """Guards against a fleet whose nodes restart and each admit anew."""
    allowance = QuotaAllowance(LIMIT, nodes=0)
    assert allowance.admit(0.0) > 0


def test_nodes_that_reach_the_same_peers_agree_on_owners() -> None:
    """Guards against owners that depend on the order in which peers were found."""
    addresses = [(f"10.0.0.{number}", 7102) for number in range(1, 8)]
    views = []
    for number, own in enumerate(addresses):
        owners = QuotaOwners(own)
        for index in range(7):
            owners.of(f"team-{index}")
        owners.set_reachable(addresses[number:])
        owners.set_reachable(addresses)
        views.append([owners.of(f"team-{index}") for index in range(30)])
    assert all(view == views[0] for view in views)
    assert len(set(views[0])) > 4


def test_the_loss_of_a_node_moves_only_its_teams() -> None:
    addresses = [(f"10.0.0.{number}", 7102) for number in range(1, 8)]
    owners = QuotaOwners(addresses[0])
    owners.set_reachable(addresses)
    teams = [f"team-{index}" for index in range(50)]
    before = {team: owners.of(team) for team in teams}
    owners.set_reachable(addresses[:-1])
    moved = {team for team in teams if owners.of(team) != before[team]}
    assert moved == {team for team in teams if before[team] == addresses[-1]}


def limited_allowance(rate_per_s: float) -> QuotaAllowance:
    allowance = QuotaAllowance(QuotaLimit(100.0, 10.0, 20.0), nodes=10)
    allowance.apply_grant(Grant(rate_per_s, 60_000.0), now_ms=0.0)
    return allowance


def test_tokens_of_a_limited_team_go_to_requests_that_can_meet_their_objective() -> (
    None
):
    """Guards against spending the quota on answers that come too late."""
    allowance = limited_allowance(rate_per_s=2.0)
    admitted = {False: 0, True: 0}
    for number in range(400):
        late = number % 2 == 1
        admitted[late] += not allowance.admit(number * 25.0, late)
    assert admitted[False] >= 18
    assert admitted[True] == 0


def test_late_requests_get_the_tokens_that_nobody_else_needs() -> None:
    """Guards against refusing requests while their team's tokens are unused."""
    allowance = limited_allowance(rate_per_s=2.0)
    assert sum(not allowance.admit(at * 25.0, late=True) for at in range(400)) >= 18


CUT_MS = 500.0
"""Time after which a link to a node that was cut off is down."""
UNCHARGED = LIMIT.excess * LOST_EXCESS_RATIO


def surge_beside_a_cut(account: QuotaAccount) -> Grant:
    """Let two nodes send, one of them cut off as the other's load rises to 4 times.

    Returns
    -------
    Grant
        Last grant of the node that is cut off.
    """
    account.tokens = LIMIT.max_tokens
    account.record("far", 20, 0, 0.0)
    promised = account.grant("far", 0.0)
    for step in range(1, 51):
        account.record("near", 4, 0, step * CUT_MS / 50)
    return promised


def test_a_node_that_was_cut_off_in_a_surge_is_charged_its_promise(
    account: QuotaAccount,
) -> None:
    """Guards against tokens that are used on both sides of a cut."""
    promised = surge_beside_a_cut(account)
    before = account.tokens
    account.charge_lost(promised, CUT_MS, CUT_MS)
    share = LIMIT.rate_per_s / NODES
    credit = (promised.rate_per_s - PROMISED_FILL_RATIO * share) * FREE_S
    expected = credit + share * CUT_MS / 1000 - UNCHARGED
    assert expected > 0
    assert before - account.tokens == pytest.approx(expected)


def test_a_lost_node_is_charged_once_the_measured_demand_is_high(
    account: QuotaAccount,
) -> None:
    """Guards against a surge that the owner measures only after the link is down."""
    account.tokens = LIMIT.max_tokens
    account.record("far", 20, 0, 0.0)
    promised = account.grant("far", 0.0)
    account.charge_lost(promised, CUT_MS, CUT_MS)
    assert account.tokens == LIMIT.max_tokens
    account.record("near", 130, 0, CUT_MS + 100)
    assert account.tokens < LIMIT.max_tokens - 130 - 1


@pytest.mark.parametrize(("silent_ms", "later_ms"), [(CUT_MS, 3000.0), (100.0, 100.0)])
def test_a_lost_node_costs_nothing_much_later_or_if_its_process_ended(
    account: QuotaAccount, silent_ms: float, later_ms: float
) -> None:
    """Guards against charges for nodes that admit nothing, or did so long ago."""
    account.tokens = LIMIT.max_tokens
    account.record("far", 20, 0, 0.0)
    promised = account.grant("far", 0.0)
    account.charge_lost(promised, silent_ms, CUT_MS)
    account.tick(CUT_MS + later_ms)
    before = account.tokens
    account.record("near", 130, 0, CUT_MS + later_ms)
    assert account.tokens == before - 130


def test_lost_nodes_cost_nothing_below_the_limit_that_they_shared(
    account: QuotaAccount,
) -> None:
    """Guards against the demand of all nodes beside the limit of those still there.

    At 60% of the limit, an owner that lost two of three peers was in debt by 88.
    """
    for node in range(NODES):
        account.record(node, 8, 0, 0.0)
    account.tokens = LIMIT.max_tokens
    grants = [account.grant(node, 0.0) for node in range(1, NODES)]
    for number, grant in enumerate(grants, 1):
        account.charge_lost(grant, CUT_MS, CUT_MS)
        ratio = 1 - number / NODES
        account.set_limit(LIMIT.scaled(ratio), NODES - number, CUT_MS)
    account.record(0, 1, 0, CUT_MS)
    expected = LIMIT.scaled(1 / NODES).max_tokens - 1
    assert account.tokens == pytest.approx(expected)
