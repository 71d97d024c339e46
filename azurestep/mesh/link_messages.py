"""Messages between nodes that accompany requests, and news of the whole fleet."""

import attrs

from ..quarantine import QuarantineUpdate


@attrs.frozen(slots=True)
class Ping:
    """Asks for a sign of life; it carries the sender's clock."""

    sent_ms: float


@attrs.frozen(slots=True)
class Pong:
    """A sign of life."""


@attrs.frozen(slots=True)
class Body:
    """More of a request's body."""

    data: bytes
    whole: bool


@attrs.frozen(slots=True)
class Cancel:
    """Nobody waits for a request any more."""


@attrs.frozen(slots=True)
class Withdraw:
    """Stops a request and asks whether it had not run."""


@attrs.frozen(slots=True)
class Proceed:
    """Lets a held request go."""


@attrs.frozen(slots=True)
class SlotReady:
    """Asks whether a held request, which has a slot now, still stands."""


@attrs.frozen(slots=True)
class Credit:
    """Lets the other end send more bytes."""

    size: int


@attrs.frozen(slots=True)
class AnswerData:
    """More of an answer."""

    data: bytes
    whole: bool


@attrs.frozen(slots=True)
class ConfigurationQuery:
    """Asks for the configuration that the other node holds."""


@attrs.frozen(slots=True)
class ConfigurationUpdate:
    """A configuration that a node holds."""

    version: int
    content: bytes


@attrs.frozen(slots=True)
class CrashReport:
    """Which requests were under way as backend servers of a service died."""

    service: str
    updates: list[QuarantineUpdate]
