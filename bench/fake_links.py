"""Connections of the fake network that may go silent.

A silent link swallows what is sent on it until its owner replaces it; new links
work. Each direction between two nodes has a link of its own, as in production.
"""

from collections.abc import Callable

import attrs

from azurestep.settings import Address


@attrs.frozen
class Link:
    """One direction between two nodes."""

    source: Address
    to: Address


class FakeLinks:
    """The links that were used so far, and which of them are silent."""

    def __init__(self) -> None:
        self._open: set[Link] = set()
        self._silent: set[Link] = set()

    def carries(self, link: Link) -> bool:
        """Use a link, opening it if needed; tell whether it carries messages."""
        self._open.add(link)
        return link not in self._silent

    def silence(self, chosen: Callable[[Link], bool]) -> int:
        """Let chosen open links go silent; return how many are."""
        self._silent.update(filter(chosen, self._open))
        return len(self._silent)

    def replace(self, link: Link) -> None:
        """Drop a link; the next message opens a new one."""
        self._open.discard(link)
        self._silent.discard(link)

    def close_all(self, address: Address) -> None:
        """Drop the links of a node that ended, which its peers notice."""
        for link in list(self._open):
            if address in (link.source, link.to):
                self.replace(link)
