"""What callers and backend servers saw in one run."""

import math

import attrs

from azurestep.lines.faults import ProgramFault


@attrs.frozen
class Call:
    """One attempt of a caller.

    Attributes
    ----------
    node : int
        Index of the instance whose node was asked.
    sent_s, ended_s : float
        By the event loop.
    status : int
        Answer's status; 0 if none came over a connection, -1 if there was none.
    own : bool
        Whether the answer names this request and its body is the one owed.
    deadline_s : float
        Time for which its caller said that it waits.
    key : str or None
        Key that was sent; empty for none, None where none is asked for.
    """

    name: str
    node: int
    path: str
    idempotent: bool
    sent_s: float
    ended_s: float
    status: int
    own: bool
    deadline_s: float = 2.0
    key: str | None = None


@attrs.frozen
class Departure:
    """One attempt whose caller left without an answer.

    Attributes
    ----------
    sent_s, left_s : float
        When its first byte was sent, and when the connection was closed.
    """

    name: str
    node: int
    idempotent: bool
    sent_s: float
    left_s: float
    key: str | None = None


@attrs.frozen
class Arrival:
    """One request at a backend server.

    Attributes
    ----------
    team : str
        Team that its headers name; empty for none.
    shows_key : bool
        Whether a key stands in its headers.
    """

    name: str
    instance_id: str
    at_s: float
    team: str = ""
    shows_key: bool = False


@attrs.frozen
class WorkEnd:
    """The end of a backend server's work for a request, answered or not."""

    name: str
    instance_id: str
    at_s: float


@attrs.frozen
class Leaving:
    """A backend server's leaving, acknowledged by its node."""

    instance_id: str
    acknowledged_s: float


@attrs.frozen
class Limit:
    """A rate limit that a backend server named for a span of time."""

    instance_id: str
    limit_per_s: float
    from_s: float
    to_s: float


@attrs.frozen
class KeySpan:
    """When the versions held a key, by their publication.

    Attributes
    ----------
    from_s : float
        Infinitely long ago for a key of the first version.
    """

    key: str
    team: str
    from_s: float
    to_s: float = math.inf

    @property
    def ended(self) -> bool:
        """Whether the key was removed."""
        return self.to_s < math.inf


@attrs.frozen
class Publication:
    """A version that the operators published, and the path that it adds."""

    version: int
    path: str
    at_s: float


@attrs.frozen
class Trouble:
    """A span in which a node, or all of them, can't be held to time bounds.

    Attributes
    ----------
    node : int or None
        Index of the instance; None for all.
    planned : bool
        Whether the operators caused it by a stop.
    """

    node: int | None
    from_s: float
    to_s: float
    planned: bool = False


@attrs.frozen
class ProcessEnd:
    """The end of a node's process.

    Attributes
    ----------
    status : int
        Exit status; the negative number of the signal that ended it.
    stop_asked : bool
        Whether it was sent SIGTERM.
    stopped_early : bool
        Whether it did not handle that signal yet, as its program had not begun.
    """

    node: str
    status: int
    stop_asked: bool
    stopped_early: bool = False


@attrs.define
class Observations:
    """All that was seen in one run.

    Attributes
    ----------
    faults : list of ProgramFault
        Faults of the program that the nodes' lines tell of.
    crashes : list of str
        Nodes whose process an error ended.
    ends : list of ProcessEnd
        How the processes of the nodes ended.
    keys : list of KeySpan
        All keys that versions held; none where the configuration has no teams.
    quota_per_s : float
        Rate and burst of each team; 0 for no limit.
    overfilled : list of str
        Backend servers that left requests unanswered since their queue was full.
    """

    calls: list[Call] = attrs.field(factory=list)
    departures: list[Departure] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    work_ends: list[WorkEnd] = attrs.field(factory=list)
    leavings: list[Leaving] = attrs.field(factory=list)
    limits: list[Limit] = attrs.field(factory=list)
    publications: list[Publication] = attrs.field(factory=list)
    troubles: list[Trouble] = attrs.field(factory=list)
    faults: list[ProgramFault] = attrs.field(factory=list)
    crashes: list[str] = attrs.field(factory=list)
    ends: list[ProcessEnd] = attrs.field(factory=list)
    keys: list[KeySpan] = attrs.field(factory=list)
    quota_per_s: float = 0.0
    overfilled: list[str] = attrs.field(factory=list)
    calm_from_s: float = 0.0

    def troubled(
        self, node: int, from_s: float, to_s: float, planned: bool = True
    ) -> bool:
        """Whether a node was in trouble in a span; planned trouble counts or not."""
        return any(
            trouble.node in (None, node)
            and trouble.from_s < to_s
            and trouble.to_s > from_s
            and (planned or not trouble.planned)
            for trouble in self.troubles
        )
