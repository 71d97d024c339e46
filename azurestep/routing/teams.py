"""Teams of callers and the keys that identify them."""

import hashlib
from collections.abc import Iterable, Iterator

import attrs

from ..values import Value

DIGEST_BYTES = 16
"""Size of a key's digest; two of a million keys collide once in 10^26 fleets."""


@attrs.frozen(slots=True, eq=False, repr=False)
class Team(Value):
    """Callers that share keys, a priority and a quota.

    Attributes
    ----------
    priority : int
        Precedes the priority of the route; 0 is the highest.
    requests_per_s, burst : float
        Quota over all nodes together; a rate of 0 means no limit.
    """

    name: str
    priority: int
    requests_per_s: float = 0.0
    burst: float = 0.0

    @property
    def limited(self) -> bool:
        """Whether the team has a quota."""
        return self.requests_per_s > 0


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is found.

    Examples
    --------
    >>> len(digest_key(b"secret"))
    16
    """
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


@attrs.frozen(slots=True, eq=False, repr=False)
class TeamDirectory(Value):
    """The teams of one version of the configuration.

    Holds digests instead of keys, so that no line or traceback can contain a key.

    Examples
    --------
    >>> team = Team("riggers", priority=1)
    >>> directory = TeamDirectory.build([(team, [b"secret"])])
    >>> directory.find(b"secret").name, directory.find(b"guess")
    ('riggers', None)
    """

    by_name: dict[str, Team]
    _by_digest: dict[bytes, Team] = attrs.field(repr=False)

    @classmethod
    def build(cls, teams: Iterable[tuple[Team, Iterable[bytes]]]) -> "TeamDirectory":
        """Return the directory of teams and their keys.

        Raises
        ------
        ValueError
            If two teams share a key; the message names the teams.
        """
        by_name: dict[str, Team] = {}
        by_digest: dict[bytes, Team] = {}
        for team, keys in teams:
            by_name[team.name] = team
            for key in keys:
                other = by_digest.setdefault(digest_key(key), team)
                if other is not team:
                    raise ValueError(f"{other.name!r} and {team.name!r} share a key")
        return cls(by_name, by_digest)

    def __iter__(self) -> Iterator[Team]:
        """Iterate over the teams."""
        return iter(self.by_name.values())

    def find(self, key: bytes) -> Team | None:
        """Return the team that holds a key, or None."""
        return self._by_digest.get(digest_key(key))

    def get(self, name: str) -> Team | None:
        """Return the team of a name, or None."""
        return self.by_name.get(name)
