"""Runs a step of a request so that an error in it ends only that request."""

from collections.abc import Callable
from typing import Protocol


class HandlesFaults(Protocol):
    """A request that can end with an internal error."""

    def on_fault(self, error: Exception) -> None:
        """Log the error and end the request."""


def run_guarded(
    request: HandlesFaults, step: Callable[..., None], *arguments: object
) -> None:
    """Run a step of a request; an error ends that request and is not raised."""
    try:
        step(*arguments)
    except Exception as error:
        request.on_fault(error)
