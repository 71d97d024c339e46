"""What a node keeps of a team's quota, and how it sees teams and peers."""

from collections.abc import Collection
from typing import Protocol

import attrs

from ..decisions.quota_account import Grant, QuotaAccount
from ..decisions.quota_allowance import QuotaAllowance
from ..link_messages import QuotaGrant, QuotaHandover, QuotaUsage
from ..settings import Address
from ..team_metrics import TeamMetrics


class QuotaTeam(Protocol):
    """A team as the configuration has it."""

    @property
    def name(self) -> str:
        """Name of the team."""

    @property
    def requests_per_s(self) -> float:
        """Rate over all nodes; 0 for no limit."""

    @property
    def burst(self) -> float:
        """Burst over all nodes."""


class QuotaPeers(Protocol):
    """The other nodes, as far as quotas are concerned."""

    def reachable(self) -> Collection[Address]:
        """Return the peers that answer and know quotas."""

    def known_count(self) -> int:
        """Return the number of nodes that share the quotas, including this one.

        0 if it is not known yet, since the node has just started.
        """

    def stopping(self) -> Collection[Address]:
        """Return those of them that shut down, and still admit requests."""

    def starting(self) -> Collection[Address]:
        """Return those of them that own no teams yet, as they have just started."""

    def have_found(self) -> bool:
        """Return whether links both ways are open to all peers that answer."""

    def announce(self) -> None:
        """Tell the peers that this node owns teams from now on."""

    def send_usage(self, owner: Address, usage: QuotaUsage) -> None:
        """Report requests to a quota owner."""

    def send_handover(self, owner: Address, handover: QuotaHandover) -> bool:
        """Hand accounts over to the next owner; return whether it takes them."""

    def send_grants(self, peers: Collection[Address], grant: QuotaGrant) -> None:
        """Send grants to peers."""


@attrs.define(slots=True, eq=False, repr=False)
class TeamUse:
    """A team's requests at this node.

    Attributes
    ----------
    owner : Address
        Node that they are reported to.
    admitted, refused, returned : int
        Requests that were admitted, refused, and admitted but have not run.
    """

    team: QuotaTeam
    allowance: QuotaAllowance
    owner: Address
    used_ms: float = 0.0
    next_report_ms: float = 0.0
    admitted: int = 0
    refused: int = 0
    returned: int = 0
    _counted: tuple[int, int] = 0, 0

    def count(self, metrics: TeamMetrics) -> None:
        """Add to a node's metrics what they don't have yet."""
        admitted, returned = self._counted
        self._counted = self.admitted, self.returned
        metrics.record_quota(
            self.team.name, self.admitted - admitted, self.returned - returned
        )


@attrs.define(slots=True, eq=False, repr=False)
class OwnedTeam:
    """A team whose account is at this node.

    Attributes
    ----------
    team : QuotaTeam
        As the configuration had it last.
    is_owner : bool
        Whether this node is the owner by its own view. Other nodes may report here
        since they can't reach the owner.
    reporters : dict
        When each node last reported.
    answers : dict
        Grant that answered the last report, by node.
    since_ms : float
        When the account began, or began anew.
    deferred : list of Address
        Senders of reports that are answered once it is clear who the owner is.
    """

    team: QuotaTeam
    account: QuotaAccount
    is_owner: bool
    reporters: dict[Address, float] = attrs.field(factory=dict)
    answers: dict[Address, Grant] = attrs.field(factory=dict)
    since_ms: float = 0.0
    deferred: list[Address] = attrs.field(factory=list)
    used_ms: float = 0.0
    next_renewal_ms: float = 0.0
    was_limited: bool = False
