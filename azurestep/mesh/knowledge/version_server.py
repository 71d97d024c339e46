"""Sending of the configuration in force to other nodes."""

import attrs

from ..decisions.spreading import choose_gateways, choose_receivers
from ..deltas import encode_delta
from ..link_messages import ConfigurationQuery
from ..links.members import Members
from ..links.server import IncomingLink, IncomingLinks
from ..messages import DELTA_FEATURE_LEVEL, Kind, compress, encode
from ..runtime import Runtime
from ..settings import Address
from .configuration import Configuration, Origin

ANSWER_TIMEOUT_MS = 1000.0
"""Time after which a node asks another one, and its question is dropped."""
MAX_BACKLOG_MS = 100.0
"""Time that the link may need for answers that were sent; others wait."""
BYTES_PER_MS_AT_1_MBPS = 125.0


@attrs.define(eq=False, repr=False)
class VersionServer:
    """Tells other nodes of new versions and answers their questions.

    Each question is answered with the version in force when its turn comes, so what was
    overtaken meanwhile is never sent. Answers leave at the rate of this node's link.

    Attributes
    ----------
    link_mbps : float
        Rate of this node's link in Mbit/s; 0 if unknown.
    """

    runtime: Runtime
    configuration: Configuration
    members: Members
    incoming_links: IncomingLinks
    link_mbps: float = 0.0
    _queries: dict[IncomingLink, tuple[int, float]] = attrs.field(factory=dict)
    _encoded: dict[int, bytes] = attrs.field(factory=dict)
    _encoded_version: int = 0
    _busy_until_ms: float = 0.0
    _scheduled: bool = False

    def announce(self, origin: Origin, root: Address) -> None:
        """Tell other nodes of the version that has come into force.

        Parameters
        ----------
        origin : Origin
            Where this node has it from.
        root : Address
            The node of the data centre that had it first.
        """
        own = self.members.own_address
        local, remote = self._live_addresses()
        receivers = set(choose_receivers(local, root, own))
        if origin is Origin.STORE:
            receivers.update(choose_gateways(remote))
        notice = encode(Kind.VERSION_NOTICE, self.configuration.version, root)
        for link in self.incoming_links.links_of(receivers):
            link.write(notice)
        if origin is not Origin.LOCAL_PEER:
            self._push_to_former_nodes()

    def _live_addresses(self) -> tuple[list[Address], dict[str, list[Address]]]:
        """Return the addresses of nodes that answer: local ones, and others."""
        local: list[Address] = []
        remote: dict[str, list[Address]] = {}
        for link in self.members.live_links():
            data_centre = link.endpoint.data_centre
            if data_centre == self.members.data_centre:
                local.append(link.address)
            elif not link.endpoint.unresponsive:
                remote.setdefault(data_centre, []).append(link.address)
        return local, remote

    def _push_to_former_nodes(self) -> None:
        """Send the version to local nodes of a release that knows no notices."""
        now_ms = self.runtime.now_ms()
        for link in self.incoming_links.local_links:
            if link.feature_level < DELTA_FEATURE_LEVEL:
                self._queries[link] = (0, now_ms)
        self._answer_queries()

    def on_query(self, link: IncomingLink, query: ConfigurationQuery) -> None:
        """Answer a question, once the link has room for it."""
        self._queries[link] = (query.known_version, self.runtime.now_ms())
        self._answer_queries()

    def _answer_queries(self) -> None:
        now_ms = self.runtime.now_ms()
        while self._queries and self._busy_until_ms - now_ms <= MAX_BACKLOG_MS:
            link = next(iter(self._queries))
            known_version, asked_ms = self._queries.pop(link)
            if now_ms - asked_ms > ANSWER_TIMEOUT_MS or link.closed:
                continue
            size_bytes = self._answer(link, known_version)
            if self.link_mbps:
                send_ms = size_bytes / (self.link_mbps * BYTES_PER_MS_AT_1_MBPS)
                self._busy_until_ms = max(now_ms, self._busy_until_ms) + send_ms
        if self._queries and not self._scheduled:
            self._scheduled = True
            wait_ms = self._busy_until_ms - now_ms - MAX_BACKLOG_MS
            self.runtime.call_later(max(1.0, wait_ms), self._on_timer)

    def _on_timer(self) -> None:
        self._scheduled = False
        self._answer_queries()

    def _answer(self, link: IncomingLink, known_version: int) -> int:
        """Send what is newer than a version; return the size."""
        version = self.configuration.version
        if version <= known_version:
            link.write(encode(Kind.VERSION_NOTICE, version, self.members.own_address))
            return 0
        if link.feature_level < DELTA_FEATURE_LEVEL:
            content = compress(self.configuration.content)
            data = encode(Kind.CONFIGURATION, version, content)
        else:
            data = self._encode_delta(known_version)
        link.write(data)
        self.incoming_links.record_version_sent(version, len(data))
        return len(data)

    def _encode_delta(self, base_version: int) -> bytes:
        """Return the version in force as a change of another one, or whole."""
        version, content = self.configuration.version, self.configuration.content
        base = self.configuration.content_of(base_version)
        if not base:
            base_version = 0
        if self._encoded_version != version:
            self._encoded_version = version
            self._encoded.clear()
        data = self._encoded.get(base_version)
        if data is None:
            delta = encode_delta(base, content)
            data = encode(Kind.CONFIGURATION_DELTA, version, base_version, delta)
            self._encoded[base_version] = data
        return data
