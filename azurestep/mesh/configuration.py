"""The configuration in force at this node: it only ever gets newer."""

from collections.abc import Callable

import attrs

from ..errors import ConfigurationError
from ..platform.document import read_document
from . import events
from .routes import RoutingTable

STORE = "store"
PEER = "node"
"""Where a document came from."""


@attrs.define(eq=False)
class Configuration:
    """The newest configuration that this node has seen.

    Attributes
    ----------
    on_change : Callable
        Called after a version came into force.
    content : bytes
        The document as the operators wrote it.
    version_read : int
        Newest version that this node read from the store itself; 0 for none.
    """

    on_change: Callable[[RoutingTable], None]
    table: RoutingTable | None = None
    content: bytes = b""
    version_read: int = 0

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""
        return 0 if self.table is None else self.table.version

    def offer(self, content: bytes, source: str) -> bool:
        """Put a document in force if it is newer; return whether it is."""
        if content == self.content:
            return False
        try:
            table = read_document(content)
        except ConfigurationError as error:
            events.log(events.VERSION_REFUSED, source=source, cause=error.problem)
            return False
        if table.version <= self.version:
            return False
        self.table = table
        self.content = content
        if source == STORE:
            self.version_read = table.version
        events.log(
            events.VERSION,
            version=table.version,
            routes=len(table.routes),
            source=source,
        )
        self.on_change(table)
        return True
