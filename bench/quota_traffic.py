"""Messages of quotas between nodes, counted on the model of ``quota_model``.

Sizes are those of the program's encoding; clock, network and callers are simulated.
"""

from collections import Counter
from random import Random

import attrs

from azurestep.mesh.link_messages import QuotaGrant, QuotaUsage
from azurestep.mesh.messages import Kind, encode, fields_of
from azurestep.mesh.settings import Address
from azurestep.routing.teams import Team

from .quota_model import SEGMENT_BYTES, ModelFleet, ModelNode

USUAL_LOAD = 0.6
"""Demand relative to the limits."""
LOADS = {"none": 0.0, "usual": 1.0, "8 times": 8.0}
"""Requests relative to the usual load."""
NODE_RATE_PER_S = 12.0
"""Requests at each node at the usual load, as in the deployments asked for."""
LARGEST_SHARE = 1 / 3
"""Part of the requests that the largest team sends."""
WARM_UP_MS = 2000.0
IDLE_NODE = 0


@attrs.define(eq=False)
class CountingFleet(ModelFleet):
    """Counts the messages and bytes that each node sends and receives.

    Attributes
    ----------
    messages, size_bytes : Counter
        By node, both directions together.
    reports : Counter
        Reports that each node received.
    """

    messages: Counter[int] = attrs.field(factory=Counter)
    size_bytes: Counter[int] = attrs.field(factory=Counter)
    reports: Counter[int] = attrs.field(factory=Counter)

    def send(
        self, sender: ModelNode, address: Address, message: QuotaUsage | QuotaGrant
    ) -> None:
        """Count a message and send it."""
        receiver = self._by_address[address]
        is_report = isinstance(message, QuotaUsage)
        kind = Kind.QUOTA_USAGE if is_report else Kind.QUOTA_GRANT
        size_bytes = len(encode(kind, *fields_of(message)))
        for node in (sender, receiver):
            self.messages[node.index] += 1
            self.size_bytes[node.index] += size_bytes
        self.reports[receiver.index] += is_report
        super().send(sender, address, message)

    def reset(self) -> None:
        """Begin to count anew."""
        for counter in (self.messages, self.size_bytes, self.reports):
            counter.clear()


@attrs.frozen
class NodeTraffic:
    """Messages of quotas at one node, sent and received together.

    Attributes
    ----------
    node : str
        ``idle``, without requests of its own; ``mean`` of the others; or ``busiest``.
    bytes_per_s : float
        Without headers of segments.
    wire_bytes_per_s : float
        With those of one segment for each message.
    reports_per_s : float
        Reports that it received as quota owner.
    """

    nodes: int
    teams: int
    load: str
    node: str
    messages_per_s: float
    bytes_per_s: float
    wire_bytes_per_s: float
    reports_per_s: float


@attrs.frozen
class LargeFleet:
    """A team's reports over a fleet of the target's size.

    Attributes
    ----------
    rate_per_s : float
        Requests of the team at all nodes.
    reports_per_s : float
        Reports at its quota owner.
    owner, mean : NodeTraffic
        Messages at the owner and at the mean of the other nodes.
    """

    rate_per_s: float
    reports_per_s: float
    owner: NodeTraffic
    mean: NodeTraffic


def mixed_rates(teams: int, total_per_s: float) -> list[float]:
    """Return the rates of teams of which the largest sends a third of all.

    Examples
    --------
    >>> [round(rate) for rate in mixed_rates(4, 330.0)]
    [110, 120, 60, 40]
    """
    weights = [1 / (index + 1) for index in range(teams - 1)]
    rest = total_per_s * (1 - LARGEST_SHARE) / sum(weights)
    return [total_per_s * LARGEST_SHARE, *(rest * weight for weight in weights)]


def limited_team(name: str, rate_per_s: float) -> Team:
    """Return a team that usually sends at a rate."""
    limit_per_s = rate_per_s / USUAL_LOAD
    return Team(name, 0, limit_per_s, limit_per_s)


def measure_traffic(
    nodes: int, teams: int, load: str, duration_ms: float
) -> list[NodeTraffic]:
    """Return the messages of a fleet of which one node gets no requests."""
    rates = mixed_rates(teams, nodes * NODE_RATE_PER_S)
    names = [f"team-{index}" for index in range(teams)]
    held = {
        name: limited_team(name, rate) for name, rate in zip(names, rates, strict=True)
    }
    fleet = CountingFleet(nodes, held, Random(1))
    until_ms = WARM_UP_MS + duration_ms
    busy = [index for index in range(nodes) if index != IDLE_NODE]
    for name, rate in zip(names, rates, strict=True):
        if LOADS[load]:
            offer(fleet, name, rate * LOADS[load], until_ms, busy)
    fleet.run(WARM_UP_MS)
    fleet.reset()
    fleet.run(until_ms)
    busiest = max(busy, key=lambda index: fleet.size_bytes[index])
    groups = {"idle": [IDLE_NODE], "mean": busy, "busiest": [busiest]}
    return [
        traffic_of(fleet, group, load, name, duration_ms)
        for name, group in groups.items()
    ]


def offer(
    fleet: ModelFleet, team: str, rate_per_s: float, until_ms: float, nodes: list[int]
) -> None:
    """Let requests of a team arrive at a steady rate."""
    fleet.offer(team, lambda now_ms: rate_per_s, rate_per_s, until_ms, nodes)


def traffic_of(
    fleet: CountingFleet, nodes: list[int], load: str, name: str, duration_ms: float
) -> NodeTraffic:
    """Return the means over some nodes."""
    node_seconds = len(nodes) * duration_ms / 1000
    messages = sum(fleet.messages[index] for index in nodes) / node_seconds
    size_bytes = sum(fleet.size_bytes[index] for index in nodes) / node_seconds
    reports = sum(fleet.reports[index] for index in nodes) / node_seconds
    return NodeTraffic(
        fleet.count,
        len(fleet.teams),
        load,
        name,
        messages,
        size_bytes,
        size_bytes + messages * SEGMENT_BYTES,
        reports,
    )


def measure_large_fleet(
    nodes: int, rate_per_s: float, duration_ms: float
) -> LargeFleet:
    """Return the reports of one team at its usual load over a large fleet."""
    team = limited_team("team", rate_per_s)
    fleet = CountingFleet(nodes, {team.name: team}, Random(1))
    until_ms = WARM_UP_MS + duration_ms
    offer(fleet, team.name, rate_per_s, until_ms, list(range(nodes)))
    fleet.run(WARM_UP_MS)
    fleet.reset()
    fleet.run(until_ms)
    owner = max(range(nodes), key=lambda index: fleet.reports[index])
    others = [index for index in range(nodes) if index != owner]
    at_owner = traffic_of(fleet, [owner], "usual", "owner", duration_ms)
    mean = traffic_of(fleet, others, "usual", "mean", duration_ms)
    return LargeFleet(rate_per_s, at_owner.reports_per_s, at_owner, mean)
