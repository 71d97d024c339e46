"""Smaller messages: probes, body chunks, cancellation, flow control, configuration."""

import attrs

from ..quarantine import QuarantineUpdate
from ..values import Value
from .incarnation import Incarnation

SMALL_CHANGE = 0.1
"""Relative change of a rate limit up to which peers need no news of it."""


@attrs.frozen(slots=True, eq=False, repr=False)
class Ping(Value):
    """Probes the other node; carries the sender's clock."""

    sent_ms: float


@attrs.frozen(slots=True, eq=False, repr=False)
class Pong(Value):
    """Answer to a probe."""


@attrs.frozen(slots=True, eq=False, repr=False)
class Body(Value):
    """A chunk of a request's body; ``whole`` is set if the body ends with it."""

    data: bytes
    whole: bool


@attrs.frozen(slots=True, eq=False, repr=False)
class Cancel(Value):
    """Cancels a request whose answer is no longer needed.

    Attributes
    ----------
    sent_ms : float
        The sender's clock when it cancelled the request; 0 if it doesn't tell.
    """

    sent_ms: float = 0.0


@attrs.frozen(slots=True, eq=False, repr=False)
class Withdraw(Value):
    """Cancels a request and asks whether it may have run."""


@attrs.frozen(slots=True, eq=False, repr=False)
class Proceed(Value):
    """Confirms a request that waits for confirmation."""


@attrs.frozen(slots=True, eq=False, repr=False)
class SlotReady(Value):
    """Asks for confirmation of a request that has a free slot now."""


@attrs.frozen(slots=True, eq=False, repr=False)
class Credit(Value):
    """Flow control: allows the other end to send more bytes."""

    size: int


@attrs.frozen(slots=True, eq=False, repr=False)
class AnswerPart(Value):
    """A part of a long answer's body; ``Answer`` follows with the rest of it."""

    data: bytes


@attrs.frozen(slots=True, eq=False, repr=False)
class AnswerData(Value):
    """A chunk of an answer's body; ``whole`` is set if the body ends with it."""

    data: bytes
    whole: bool


@attrs.frozen(slots=True, eq=False, repr=False)
class ConfigurationQuery(Value):
    """Asks for the configuration of the other node, if that is newer.

    Attributes
    ----------
    known_version : int
        Version in force at the sender; 0 for none.
    """

    known_version: int = 0


@attrs.frozen(slots=True, eq=False, repr=False)
class ConfigurationUpdate(Value):
    """Configuration in force at the sender."""

    version: int
    content: bytes


@attrs.frozen(slots=True, eq=False, repr=False)
class ConfigurationDelta(Value):
    """Configuration in force at the sender, compressed against another version.

    Attributes
    ----------
    base_version : int
        Version that the receiver needs to read it; 0 for none.
    delta : bytes
        As ``encode_delta`` returns it.
    """

    version: int
    base_version: int
    delta: bytes


@attrs.frozen(slots=True, eq=False, repr=False)
class VersionNotice(Value):
    """Tells that a version is in force at the sender.

    Attributes
    ----------
    root : tuple
        Address of the node of the sender's data centre that had it first.
    """

    version: int
    root: tuple[str, int]


@attrs.frozen(slots=True, eq=False, repr=False)
class ServerCondition(Value):
    """What the backend server beside a node said about itself in its answers.

    The node tells its peers, and they tell it back after it was restarted.

    Attributes
    ----------
    instance_id, server_started_ms : bytes, int
        Incarnation that said so.
    rate_limit_per_s : float
        Requests per second that it takes from all nodes; infinite for no limit.
    leaving : bool
        Whether it is about to stop accepting requests.
    """

    instance_id: bytes
    server_started_ms: int
    rate_limit_per_s: float
    leaving: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation that said so."""
        return Incarnation(self.instance_id, self.server_started_ms)

    def differs_much(self, other: "ServerCondition | None") -> bool:
        """Whether peers that know the other one must learn this one.

        A limit that varies a little with each answer isn't sent each time.

        Examples
        --------
        >>> known = ServerCondition(b"a", 1, 50.0)
        >>> ServerCondition(b"a", 1, 52.0).differs_much(known)
        False
        >>> ServerCondition(b"a", 1, 20.0).differs_much(known)
        True
        """
        if other is None or self.incarnation != other.incarnation:
            return True
        if self.leaving != other.leaving:
            return True
        lower, higher = sorted((self.rate_limit_per_s, other.rate_limit_per_s))
        return lower < higher * (1 - SMALL_CHANGE)


@attrs.frozen(slots=True, eq=False, repr=False)
class StoreEraUpdate(Value):
    """Latest era of the platform's store that the sender knows."""

    era: int


@attrs.frozen(slots=True, eq=False, repr=False)
class StoreContact(Value):
    """Tells that the store has just had no later configuration for the sender.

    Sent where revocation of keys is strict.

    Attributes
    ----------
    version : int
        Version in force at the sender.
    """

    version: int


@attrs.frozen(slots=True, repr=False)
class ServerVersion(Value):
    """Software version of the backend server beside the sender.

    Attributes
    ----------
    version : str
        As announced; empty if unknown.
    """

    service: str
    version: str


@attrs.frozen(slots=True, eq=False, repr=False)
class RolloutUpdate(Value):
    """A roll-out as the sender knows it.

    Attributes
    ----------
    era, offset : int
        Era of the store and offset of the order, which identify it.
    phase : int
        Progress; higher ones replace lower ones.
    duration_ms, remaining_ms : float
        Duration of the order, and how much of it is left; negative afterwards.
    """

    service: str
    new_version: str
    era: int
    offset: int
    phase: int
    duration_ms: float
    remaining_ms: float


@attrs.frozen(slots=True, eq=False, repr=False)
class TrialCounts(Value):
    """Runs of the backend server beside the sender during a roll-out.

    Attributes
    ----------
    era, offset : int
        The order of the roll-out.
    in_flight : int
        Requests that run or wait at the backend server.
    rows : tuple
        Route, runs and bad runs of each route since the order.
    """

    service: str
    version: str
    era: int
    offset: int
    in_flight: int
    rows: tuple[tuple[str, int, int], ...] = ()


@attrs.frozen(slots=True, eq=False, repr=False)
class BodyBacklog(Value):
    """How long a further large body would wait for the link of the sender.

    Attributes
    ----------
    wait_ms : float
        Time that the link needs for the bodies that the sender receives already.
    ms_per_kib : float
        Time that it needs for each further KiB.
    """

    wait_ms: float
    ms_per_kib: float


@attrs.frozen(slots=True, eq=False, repr=False)
class ServerSpeed(Value):
    """How long work currently takes at the backend server beside the sender.

    Attributes
    ----------
    work_ratio : float
        Relative to what is usual there; 2.5 for two and a half times as long.
    age_ms : float
        Time since the backend server said so.
    """

    work_ratio: float
    age_ms: float


@attrs.frozen(slots=True, repr=False)
class CalledRoutes(Value):
    """Routes on which other services call the backend server beside the sender."""

    names: tuple[str, ...]


@attrs.frozen(slots=True, eq=False, repr=False)
class CrashReport(Value):
    """Requests that were in flight when backend servers of a service crashed."""

    service: str
    updates: list[QuarantineUpdate]


@attrs.frozen(slots=True, eq=False, repr=False)
class QuotaUsage(Value):
    """Requests of teams at the sender since its last such message.

    Attributes
    ----------
    rows : tuple
        Team, how many requests were admitted, and how many were refused. A negative
        number takes back requests that were admitted and have not run.
    """

    rows: tuple[tuple[str, int, int], ...]


@attrs.frozen(slots=True, eq=False, repr=False)
class QuotaHandover(Value):
    """Accounts of teams, from a quota owner to the next one.

    Attributes
    ----------
    former : tuple
        Address of the former owner.
    rows : tuple
        Team, and the tokens in its account; negative for a debt.
    stops : bool
        Whether the former owner shuts down; otherwise the next one has started.
    forwarded : int
        How many nodes have passed it on, as another one was the owner to them.
    """

    former: tuple[str, int]
    rows: tuple[tuple[str, float], ...]
    stops: bool = True
    forwarded: int = 0


@attrs.frozen(slots=True, eq=False, repr=False)
class QuotaGrant(Value):
    """What the receiver may admit of teams, as their quota owner says.

    Attributes
    ----------
    rows : tuple
        Team, requests per second, and for how long in ms these are a limit; 0 if they
        are none.
    """

    rows: tuple[tuple[str, float, float], ...]
