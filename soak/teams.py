"""Teams of callers and their keys, as versions add and remove them."""

import itertools
import math
from collections.abc import Iterator
from random import Random

import attrs

from .records import KeySpan

TEAMS = ("riggers", "yards", "dyers", "millers")
"""As many as have no common factor with 3 or 5 nodes: each node has callers of all."""
KEY_MARK = "soak-key-"
"""Begin of all keys, by which one is found in what a backend server received."""
KEYS_AT_START = 2
GUESS_RATIO = 0.02
FORMER_RATIO = 0.05
"""Requests with a key that was removed, if there is one."""
MISSING_RATIO = 0.3
"""Wrong keys that are missing instead of made up."""
PUBLIC_PATH = "/call/"
SERVER_QUEUE = 2
"""Requests that may wait at a backend server. A node whose run was cancelled fills its
slot before the server has noticed that the connection is closed."""


@attrs.define(eq=False)
class Keyring:
    """Keys of all teams: those that the latest version holds, and former ones.

    Attributes
    ----------
    quota_per_s : float
        Rate and burst of each team; 0 for no limit.
    guess_ratio : float
        Requests with a key that no version holds.
    """

    quota_per_s: float = 0.0
    guess_ratio: float = GUESS_RATIO
    spans: list[KeySpan] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        for team in TEAMS * KEYS_AT_START:
            self.add(team, -math.inf)

    def add(self, team: str, at_s: float) -> None:
        """Add a key that the next version holds."""
        key = f"{KEY_MARK}{next(self._numbers)}"
        self.spans.append(KeySpan(key, team, at_s))

    def remove(self, team: str, at_s: float) -> None:
        """Remove a team's oldest key, unless it is the only one."""
        held = self._held(team)
        if len(held) > 1:
            ended = attrs.evolve(held[0], to_s=at_s)
            self.spans[self.spans.index(held[0])] = ended

    def entries(self) -> dict[str, object]:
        """Return the teams as the document has them."""
        return {
            team: {
                "api_keys": [span.key for span in self._held(team)],
                "priority": index % 2,
                "requests_per_s": self.quota_per_s,
                "burst": self.quota_per_s,
            }
            for index, team in enumerate(TEAMS)
        }

    def draw(self, team: str, random: Random) -> str:
        """Return the key of a request: mostly one that is held, or empty."""
        if random.random() < self.guess_ratio:
            guess = f"{KEY_MARK}guess-{random.randrange(1000)}"
            return "" if random.random() < MISSING_RATIO else guess
        former = [span for span in self.spans if span.team == team and span.ended]
        if former and random.random() < FORMER_RATIO:
            return random.choice(former).key
        return random.choice(self._held(team)).key

    def _held(self, team: str) -> list[KeySpan]:
        return [span for span in self.spans if span.team == team and not span.ended]


def team_of(number: int) -> str:
    """Return the team of a caller, or of a fault's target."""
    return TEAMS[number % len(TEAMS)]
