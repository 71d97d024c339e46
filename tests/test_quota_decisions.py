"""Decisions about quotas: accounts, allowances and owners, one at a time."""

import math

import pytest

from azurestep.mesh.decisions.quota_account import (
    GRANT_VALID_MS,
    Grant,
    QuotaAccount,
    QuotaLimit,
)
from azurestep.mesh.decisions.quota_allowance import (
    STALE_AFTER_MS,
    QuotaAllowance,
)
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
