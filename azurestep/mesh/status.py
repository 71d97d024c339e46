"""State of a node on the platform, as its metrics address tells it to operators."""

import attrs

from ..values import Value


@attrs.frozen(eq=False, repr=False)
class QuotaAccountStatus(Value):
    """Account of a team at the node that keeps it.

    Attributes
    ----------
    limit_per_s : float
        Part of the team's rate that the account grants: that of the nodes it reaches.
    demand_per_s : float
        Recent requests at all nodes that report here, refused ones included.
    tokens : float
        Requests that may be admitted now; negative after nodes admitted too many.
    limited : bool
        Whether nodes get grants that limit them.
    nodes : int
        Nodes that share that part.
    """

    limit_per_s: float
    demand_per_s: float
    tokens: float
    limited: bool
    nodes: int


@attrs.frozen(eq=False, repr=False)
class TeamQuotaStatus(Value):
    """Quota of a team as one node knows it.

    Attributes
    ----------
    limit_per_s, burst : float
        Quota over all nodes, by the version in force at this node.
    owner : str
        Address of the quota owner, by the nodes that this one reaches.
    is_owner : bool
        Whether this node is the quota owner.
    grant_per_s : float or None
        Rate that the owner granted this node last; None if it has not yet.
    grant_age_ms : float or None
        Age of that grant.
    limited : bool
        Whether that grant limits this node.
    admitted, refused, returned : int
        Requests at this node since the team's first one, or since its first one after a
        minute without any: admitted, refused for the quota, and admitted ones that did
        not run, whose tokens were returned.
    account : QuotaAccountStatus or None
        The team's account, if this node keeps one.
    """

    team: str
    limit_per_s: float
    burst: float
    owner: str
    is_owner: bool
    grant_per_s: float | None = None
    grant_age_ms: float | None = None
    limited: bool = False
    admitted: int = 0
    refused: int = 0
    returned: int = 0
    account: QuotaAccountStatus | None = None


@attrs.frozen(eq=False, repr=False)
class MeshStatus(Value):
    """State of a node on the platform.

    Attributes
    ----------
    version : int
        Version in force at this node; 0 for none.
    members : int
        Nodes that answer, this one included.
    store_era : int
        Era that the store or a peer named last; 0 if none did.
    store_reachable : bool
        Whether the last call to the store was answered.
    teams : list of TeamQuotaStatus
        Teams with a limit whose requests came to this node in the last minute, or whose
        account is here; the ones with the most requests first.
    """

    instance: str
    data_centre: str
    service: str
    version: int
    members: int
    store_era: int
    store_reachable: bool
    teams: list[TeamQuotaStatus]
