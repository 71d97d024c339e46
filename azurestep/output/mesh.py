"""State of a node on the users' platform as text for people."""

from ..mesh.status import MeshStatus, TeamQuotaStatus
from .render import render
from .tables import format_table
from .times import NONE

TEAMS_SHOWN = 20
"""Teams with the most requests in the text; ``--json`` has all."""


@render.register
def _mesh_status(status: MeshStatus) -> str:
    reachable = "reachable" if status.store_reachable else "not reachable"
    lines = [
        f"instance     {status.instance} in {status.data_centre}",
        f"service      {status.service or NONE}",
        f"version      {status.version}",
        f"members      {status.members}",
        f"store        era {status.store_era}, {reachable}",
        "",
        _limits(status.teams) if status.teams else "no team with a limit is in use",
    ]
    accounts = [team for team in status.teams if team.account is not None]
    if accounts:
        lines += ["", _accounts(accounts)]
    left_out = max(len(status.teams), len(accounts)) - TEAMS_SHOWN
    if left_out > 0:
        lines += ["", f"{left_out} more teams; --json shows all"]
    return "\n".join(lines)


def _limits(teams: list[TeamQuotaStatus]) -> str:
    headers = [
        "team",
        "limit/s",
        "burst",
        "granted/s",
        "granted",
        "limits",
        "admitted",
        "refused",
        "returned",
        "quota owner",
    ]
    rows = [
        [
            team.team,
            f"{team.limit_per_s:g}",
            f"{team.burst:g}",
            NONE if team.grant_per_s is None else f"{team.grant_per_s:g}",
            NONE if team.grant_age_ms is None else f"{team.grant_age_ms:.0f} ms ago",
            "yes" if team.limited else "no",
            team.admitted,
            team.refused,
            team.returned,
            f"{team.owner} (this node)" if team.is_owner else team.owner,
        ]
        for team in teams[:TEAMS_SHOWN]
    ]
    return format_table(headers, rows)


def _accounts(teams: list[TeamQuotaStatus]) -> str:
    headers = ["account", "limit/s", "demand/s", "tokens", "limited", "nodes"]
    rows = [
        [
            team.team,
            f"{team.account.limit_per_s:g}",
            f"{team.account.demand_per_s:.1f}",
            f"{team.account.tokens:.1f}",
            "yes" if team.account.limited else "no",
            team.account.nodes,
        ]
        for team in teams[:TEAMS_SHOWN]
        if team.account is not None
    ]
    return format_table(headers, rows)
