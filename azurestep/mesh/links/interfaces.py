"""Interfaces between links and the senders of requests."""

from typing import Protocol

from ...quarantine import QuarantineUpdate
from ..backend.interfaces import AnswerReceiver
from ..link_messages import RolloutUpdate
from ..messages import Hello


class Stream(Protocol):
    """The sender's handle of one request."""

    def add_body(self, data: bytes, whole: bool) -> None:
        """Send more of the body."""

    @property
    def takes_pieces(self) -> bool:
        """Whether the other end asks for a body that was held back piece by piece."""

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run, or may still run."""

    def cancel(self) -> None:
        """Cancel the request; its receiver gets no outcome."""

    def withdraw(self) -> None:
        """Cancel the request; its receiver gets a refusal if it has not run."""

    def add_credit(self, size: int) -> None:
        """Allow the peer to send this many more bytes of the answer."""

    def replace_receiver(self, receiver: "CallReceiver") -> None:
        """Send the outcome to another receiver."""


class CallReceiver(AnswerReceiver, Protocol):
    """Receiver of the outcome of a request that was sent over a link."""

    def on_unresponsive(self, confirmed: bool) -> None:
        """Handle a peer that does not answer a probe.

        Parameters
        ----------
        confirmed : bool
            Whether the request may have run.
        """

    def on_fault(self) -> None:
        """End the request after an internal error."""


class FleetListener(Protocol):
    """Receiver of crashes, store eras and roll-outs from any peer."""

    def on_crashes(self, service: str, updates: list[QuarantineUpdate]) -> None:
        """Handle a report of requests in flight at a backend server's crash."""

    def on_store_era(self, era: int) -> None:
        """Handle the era of the store that a peer knows."""

    def on_store_contact(self, version: int) -> None:
        """Handle that the store has no later version than a peer's."""

    def on_rollout(self, update: RolloutUpdate) -> None:
        """Handle a roll-out that a peer knows."""

    def hello(self) -> Hello:
        """Return this node's hello."""
