"""The configuration in force at this node, which is only replaced by newer ones."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from random import Random

import attrs

from ...errors import ConfigurationError
from ...platform.document import DocumentReader
from ...routing.model import Document
from ...routing.table import RoutingTable
from .. import events

KEPT_DOCUMENTS = 3
"""Former documents that deltas of later ones may refer to."""


class Origin(Enum):
    """Where a document came from, as it is logged."""

    STORE = "store"
    LOCAL_PEER = "node"
    REMOTE_PEER = "remote node"


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


@attrs.define(eq=False, repr=False)
class Configuration:
    """The latest configuration that this node has received.

    Attributes
    ----------
    on_change : Callable
        Called after a new version was applied.
    content : bytes
        The document as the operators published it.
    origin : Origin
        Where it came from.
    """

    on_change: Callable[[RoutingTable], None]
    table: RoutingTable | None = None
    random: Random = attrs.field(factory=Random)
    content: bytes = b""
    origin: Origin = Origin.STORE
    _former: "deque[tuple[int, bytes]]" = attrs.field(
        factory=lambda: deque(maxlen=KEPT_DOCUMENTS)
    )
    _reader: DocumentReader = attrs.field(factory=DocumentReader)

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""
        return 0 if self.table is None else self.table.version

    def allows_service(self, service: str) -> bool:
        """Whether the configuration has the service; True while there is none."""
        return self.table is None or service in self.table.services

    def content_of(self, version: int) -> bytes:
        """Return the document of a version; empty if it isn't kept."""
        if version and version == self.version:
            return self.content
        return dict(self._former).get(version, b"")

    def apply(self, content: bytes, origin: Origin, took_ms: float = 0.0) -> Applied:
        """Apply a document if it is valid and newer; return what became of it.

        ``took_ms``: time from the question for it until it had arrived.
        """
        if content == self.content:
            return Applied.KNOWN
        try:
            document = self._reader.read(content)
        except ConfigurationError as error:
            events.log(
                events.VERSION_REJECTED, source=origin.value, cause=error.problem
            )
            return Applied.INVALID
        if document.version <= self.version:
            return Applied.KNOWN
        if self.table is not None:
            self._former.append((self.version, self.content))
        self.table = self._build_table(document)
        self.content = content
        self.origin = origin
        events.log(
            events.VERSION,
            version=document.version,
            routes=len(document.routes),
            source=origin.value,
            took_ms=round(took_ms),
        )
        self.on_change(self.table)
        return Applied.NOW

    def _build_table(self, document: Document) -> RoutingTable:
        if self.table is None:
            return RoutingTable(document, self.random)
        return self.table.updated_to(document)
