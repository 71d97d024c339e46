"""Which team a request belongs to, by the key that its caller presents.

Answers the load of callers with keys that were just added or removed, and of callers
that guess keys.
"""

from enum import Enum

import attrs

from ..values import Value
from .model import Route
from .teams import Team, TeamDirectory, digest_key

PRIORITY_LEVELS = 16
"""Priorities of routes that are told apart within one priority of teams."""
KEY_DIGITS = 8
"""Digits of a key's digest in log lines, which tell unknown keys apart. 2^96 digests
begin with the same ones."""


class Access(Enum):
    """What becomes of a request.

    Attributes
    ----------
    ALLOWED
        It belongs to a team, or needs none.
    UNKNOWN_KEY
        No team holds its key.
    UNDECIDED
        A newer version may have a team that holds its key, or have removed the key.
    """

    ALLOWED = "allowed"
    UNKNOWN_KEY = "unknown key"
    UNDECIDED = "undecided"


@attrs.frozen(slots=True, eq=False, repr=False)
class Identity(Value):
    """The team of a request, if it has one, and whether it is allowed."""

    access: Access
    team: Team | None = None


PUBLIC = Identity(Access.ALLOWED)


def identify(
    teams: TeamDirectory,
    route: Route,
    keys: list[bytes],
    *,
    outdated: bool = False,
    expired: bool = False,
) -> Identity:
    """Return the team of a request.

    Parameters
    ----------
    keys : list of bytes
        Keys that the caller presented. Different ones identify no team, since the
        caller and an intermediary may each have added one.
    outdated : bool
        Whether this node may lack the latest version of the configuration.
    expired : bool
        Whether it may lack it for so long that known keys can't be used any more.
    """
    key = keys[0] if keys and all(one == keys[0] for one in keys) else b""
    team = teams.find(key) if key else None
    if team is not None and expired and not route.public:
        return Identity(Access.UNDECIDED)
    if team is not None:
        return Identity(Access.ALLOWED, team)
    if route.public:
        return PUBLIC
    if key and outdated:
        return Identity(Access.UNDECIDED)
    return Identity(Access.UNKNOWN_KEY)


def describe_keys(keys: list[bytes]) -> str:
    """Return what a log line says of the keys that a caller presented.

    Examples
    --------
    >>> describe_keys([b"guess"]) == digest_key(b"guess").hex()[:8]
    True
    >>> describe_keys([]), describe_keys([b""]), describe_keys([b"a", b"b"])
    ('none', 'none', 'several')
    """
    if not any(keys):
        return "none"
    if any(key != keys[0] for key in keys):
        return "several"
    return digest_key(keys[0]).hex()[:KEY_DIGITS]


def effective_priority(route: Route, team: Team | None) -> int:
    """Return the priority of a request: first its team's, then its route's.

    A request without a team, such as a call between backend servers, competes with its
    route's priority on both levels.

    Examples
    --------
    >>> from azurestep.platform.document import DEFAULT_PRIORITY
    >>> DEFAULT_PRIORITY < PRIORITY_LEVELS
    True
    """
    within_team = min(route.priority, PRIORITY_LEVELS - 1)
    first = route.priority if team is None else team.priority
    return first * PRIORITY_LEVELS + within_team
