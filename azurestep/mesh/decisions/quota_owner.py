"""Quota owners: the node that does the accounting of each team.

It is the first by rendezvous hashing of the team's name and the nodes' addresses, over
the nodes that this one reaches, except those that shut down or have just started. Nodes
that reach the same peers agree without asking. Load pattern: nodes that stop and start
in turn while a team sends many times its usual.
"""

import hashlib
from collections.abc import Iterable

import attrs

Address = tuple[str, int]


def weigh(team: str, address: Address) -> bytes:
    """Return the weight of a node for a team; the largest one is the owner's."""
    text = f"{team}\0{address[0]}:{address[1]}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


@attrs.define(slots=True, eq=False, repr=False)
class QuotaOwners:
    """Owners of all teams, over the nodes that are reachable.

    Examples
    --------
    >>> owners = QuotaOwners(("10.0.0.1", 1))
    >>> owners.of("riggers")
    ('10.0.0.1', 1)
    >>> owners.set_reachable([("10.0.0.2", 1), ("10.0.0.3", 1)])
    >>> owners.of("riggers"), owners.of("yards")
    (('10.0.0.2', 1), ('10.0.0.3', 1))
    >>> owners.set_reachable([("10.0.0.2", 1), ("10.0.0.3", 1)], [("10.0.0.3", 1)])
    >>> owners.of("yards")
    ('10.0.0.1', 1)
    """

    own_address: Address
    _eligible: set[Address] = attrs.field(factory=set)
    _owners: dict[str, Address] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._eligible = {self.own_address}

    def set_reachable(
        self,
        peers: Iterable[Address],
        stopping: Iterable[Address] = (),
        starting: Iterable[Address] = (),
    ) -> None:
        """Replace the reachable nodes; only owners that this changes are found anew.

        Those that have just started own teams only while all others shut down, and
        those that shut down only while there are no others. Both may have this node.
        """
        reachable = {self.own_address, *peers}
        running = reachable.difference(stopping) or reachable
        eligible = running.difference(starting) or running
        if eligible == self._eligible:
            return
        added, removed = eligible - self._eligible, self._eligible - eligible
        self._eligible = eligible
        for team, owner in list(self._owners.items()):
            if owner in removed:
                del self._owners[team]
            else:
                self._owners[team] = _first(team, {owner, *added})

    def of(self, team: str) -> Address:
        """Return the owner of a team."""
        owner = self._owners.get(team)
        if owner is None:
            owner = self._owners[team] = _first(team, self._eligible)
        return owner

    def forget(self, team: str) -> None:
        """Drop a team that has no limit any more."""
        self._owners.pop(team, None)


def _first(team: str, addresses: Iterable[Address]) -> Address:
    return max(addresses, key=lambda address: weigh(team, address))
