"""What links and the senders of requests need of one another."""

from typing import Protocol

from ...quarantine import QuarantineUpdate
from ..backend.interfaces import AnswerReceiver
from ..messages import Hello


class Stream(Protocol):
    """The sender's hold on one request."""

    def body(self, data: bytes, whole: bool) -> None:
        """Send more of the body."""

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run, or may run yet."""

    def cancel(self) -> None:
        """Stop the request; nobody waits for it."""

    def withdraw(self) -> None:
        """Stop the request; its receiver is told whether it had not run."""

    def grant(self, size: int) -> None:
        """Take more of the answer."""

    def replace_receiver(self, receiver: "CallReceiver") -> None:
        """Have another receiver hear of the outcome."""


class CallReceiver(AnswerReceiver, Protocol):
    """What sent a request over a link."""

    def on_unresponsive(self, confirmed: bool) -> None:
        """Learn that the node owes a sign of life.

        Parameters
        ----------
        confirmed : bool
            Whether the request may have run; False if it surely has not.
        """

    def on_fault(self) -> None:
        """End the request: a fault of this program came while it was handled."""


class FleetListener(Protocol):
    """What hears of news that concern the whole fleet, whichever node tells them."""

    def on_configuration(self, version: int, content: bytes) -> None:
        """Take a configuration that a node sent."""

    def on_crashes(self, service: str, updates: list[QuarantineUpdate]) -> None:
        """Learn which requests were under way as backend servers died."""

    def hello(self) -> Hello:
        """Return this node's greeting."""
