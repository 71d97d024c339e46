"""Quotas of teams as one node knows them, for metrics and operators."""

import attrs

from ..settings import Address
from ..status import QuotaAccountStatus, TeamQuotaStatus
from .control import Quotas
from .records import OwnedTeam, TeamUse


def describe_quotas(quotas: Quotas) -> list[TeamQuotaStatus]:
    """Return the teams in use or with an account at a node, most requests first."""
    now_ms = quotas.now_ms()
    found = [
        _describe(quotas, name, quotas.uses.get(name), quotas.owned.get(name), now_ms)
        for name in {**quotas.uses, **quotas.owned}
    ]
    return sorted(found, key=lambda one: (-one.admitted - one.refused, one.team))


def _describe(
    quotas: Quotas,
    name: str,
    use: TeamUse | None,
    owned: OwnedTeam | None,
    now_ms: float,
) -> TeamQuotaStatus:
    account = None if owned is None else _describe_account(owned, now_ms)
    holder = use or owned
    assert holder is not None
    owner = quotas.owner_of(name)
    status = TeamQuotaStatus(
        name,
        holder.team.requests_per_s,
        holder.team.burst,
        _format(owner),
        owner == quotas.own_address,
        account=account,
    )
    return status if use is None else _with_use(status, use, now_ms)


def _with_use(status: TeamQuotaStatus, use: TeamUse, now_ms: float) -> TeamQuotaStatus:
    """Add what the node admitted and what it was granted."""
    status = attrs.evolve(
        status, admitted=use.admitted, refused=use.refused, returned=use.returned
    )
    grant, granted_ms = use.allowance.grant, use.allowance.granted_ms
    if not granted_ms:
        return status
    return attrs.evolve(
        status,
        grant_per_s=grant.rate_per_s,
        grant_age_ms=round(now_ms - granted_ms),
        limited=now_ms < granted_ms + grant.valid_ms,
    )


def _describe_account(owned: OwnedTeam, now_ms: float) -> QuotaAccountStatus:
    account = owned.account
    return QuotaAccountStatus(
        round(account.limit.rate_per_s, 3),
        round(account.demand.total(now_ms), 3),
        round(account.tokens, 3),
        account.limited,
        account.nodes,
    )


def _format(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
