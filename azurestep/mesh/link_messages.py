"""Smaller messages: probes, body chunks, cancellation, flow control, configuration."""

import attrs

from ..quarantine import QuarantineUpdate


@attrs.frozen(slots=True)
class Ping:
    """Probes the other node; carries the sender's clock."""

    sent_ms: float


@attrs.frozen(slots=True)
class Pong:
    """Answer to a probe."""


@attrs.frozen(slots=True)
class Body:
    """A chunk of a request's body; ``whole`` is set if the body ends with it."""

    data: bytes
    whole: bool


@attrs.frozen(slots=True)
class Cancel:
    """Cancels a request whose answer is no longer needed."""


@attrs.frozen(slots=True)
class Withdraw:
    """Cancels a request and asks whether it may have run."""


@attrs.frozen(slots=True)
class Proceed:
    """Confirms a request that waits for confirmation."""


@attrs.frozen(slots=True)
class SlotReady:
    """Asks for confirmation of a request that has a free slot now."""


@attrs.frozen(slots=True)
class Credit:
    """Flow control: allows the other end to send more bytes."""

    size: int


@attrs.frozen(slots=True)
class AnswerData:
    """A chunk of an answer's body; ``whole`` is set if the body ends with it."""

    data: bytes
    whole: bool


@attrs.frozen(slots=True)
class ConfigurationQuery:
    """Asks for the configuration of the other node."""


@attrs.frozen(slots=True)
class ConfigurationUpdate:
    """Configuration in force at the sender."""

    version: int
    content: bytes


@attrs.frozen(slots=True)
class CrashReport:
    """Requests that were in flight when backend servers of a service crashed."""

    service: str
    updates: list[QuarantineUpdate]
