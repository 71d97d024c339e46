"""Steps of several requests: a fault in one ends that request alone."""

from collections.abc import Callable
from typing import Protocol


class Faultable(Protocol):
    """A request that can end with a fault of this program."""

    def on_fault(self, error: Exception) -> None:
        """Tell the fault, and end with it."""


def run_guarded(
    request: Faultable, step: Callable[..., None], *arguments: object
) -> None:
    """Do a step of a request.

    Raised on, a fault that a waiting request met at each look kept all others waiting,
    beside free slots.
    """
    try:
        step(*arguments)
    except Exception as error:
        request.on_fault(error)
