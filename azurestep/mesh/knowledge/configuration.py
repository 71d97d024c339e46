"""The configuration in force at this node, which is only replaced by newer ones."""

from collections.abc import Callable
from enum import Enum
from random import Random

import attrs

from ...errors import ConfigurationError
from ...platform.document import DocumentReader
from ...routing.model import Document
from ...routing.table import RoutingTable
from .. import events

SOURCE_STORE = "store"
SOURCE_PEER = "node"
"""Source of a document, as it is logged."""


class Applied(Enum):
    """What became of a document.

    Attributes
    ----------
    NOW
        It has come into force.
    KNOWN
        It is not newer than the one in force.
    INVALID
        It can't be used.
    """

    NOW = "now"
    KNOWN = "known"
    INVALID = "invalid"


@attrs.define(eq=False)
class Configuration:
    """The latest configuration that this node has received.

    Attributes
    ----------
    on_change : Callable
        Called after a new version was applied.
    content : bytes
        The document as the operators published it.
    store_version : int
        Latest version that this node read from the store itself; 0 for none.
    """

    on_change: Callable[[RoutingTable], None]
    table: RoutingTable | None = None
    random: Random = attrs.field(factory=Random)
    content: bytes = b""
    store_version: int = 0
    _reader: DocumentReader = attrs.field(factory=DocumentReader)

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""
        return 0 if self.table is None else self.table.version

    def allows_service(self, service: str) -> bool:
        """Whether the configuration has the service; True while there is none."""
        return self.table is None or service in self.table.services

    def apply_if_newer(self, content: bytes, source: str) -> bool:
        """Apply a document if it is valid and newer; return whether it was applied."""
        return self.apply(content, source) is Applied.NOW

    def apply(self, content: bytes, source: str) -> Applied:
        """Apply a document if it is valid and newer; return what became of it."""
        if content == self.content:
            return Applied.KNOWN
        try:
            document = self._reader.read(content)
        except ConfigurationError as error:
            events.log(events.VERSION_REJECTED, source=source, cause=error.problem)
            return Applied.INVALID
        if document.version <= self.version:
            return Applied.KNOWN
        self.table = self._build_table(document)
        self.content = content
        if source == SOURCE_STORE:
            self.store_version = document.version
        events.log(
            events.VERSION,
            version=document.version,
            routes=len(document.routes),
            source=source,
        )
        self.on_change(self.table)
        return Applied.NOW

    def _build_table(self, document: Document) -> RoutingTable:
        if self.table is None:
            return RoutingTable(document, self.random)
        return self.table.updated_to(document)
