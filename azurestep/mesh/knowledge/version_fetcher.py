"""Fetching of newer configurations from other nodes."""

from functools import singledispatchmethod

import attrs

from .. import events
from ..deltas import decode_delta
from ..link_messages import ConfigurationDelta, ConfigurationUpdate, VersionNotice
from ..links.link import PeerLink
from ..links.members import Members
from ..runtime import Runtime
from ..settings import Address
from .configuration import Applied, Configuration, Origin
from .version_server import ANSWER_TIMEOUT_MS

CATCH_UP_AFTER_MS = 250.0
"""Time after which a node asks a peer that has told it of no version itself, or one of
another data centre. Usually the version arrives from the local reader before."""
MIN_QUERY_INTERVAL_MS = 100.0
"""Time from an answer to the next question, which may skip several versions."""


@attrs.define(eq=False, repr=False)
class VersionFetcher:
    """Asks one peer at a time for a newer version.

    Attributes
    ----------
    root : Address
        Node of the data centre that had the version in force first.
    """

    runtime: Runtime
    configuration: Configuration
    members: Members
    root: Address = ("", 0)
    _notices: dict[Address, VersionNotice] = attrs.field(factory=dict)
    _asked: PeerLink | None = None
    _asked_ms: float = 0.0
    _last_answer_ms: float = float("-inf")
    _behind_since_ms: float | None = None
    _needs_whole: bool = False
    _unusable_version: int = 0

    def on_notice(self, link: PeerLink, notice: VersionNotice) -> None:
        """Ask a local peer for the newer version that it has told of."""
        if notice.version <= self._known_version:
            if link is self._asked:
                self._asked = None
            return
        self._notices[link.address] = notice
        self._ask_if_due(self.runtime.now_ms())

    def on_answer(
        self, link: PeerLink, update: ConfigurationUpdate | ConfigurationDelta
    ) -> None:
        """Apply a configuration that a peer sent."""
        now_ms = self.runtime.now_ms()
        took_ms = 0.0
        if link is self._asked:
            self._asked = None
            self._last_answer_ms = now_ms
            took_ms = now_ms - self._asked_ms
        try:
            content = self._read_content(update)
        except ValueError as error:
            self._needs_whole = True
            cause = str(error)
            events.log(events.PEER_MALFORMED, peer=link.address[0], cause=cause)
            return
        if update.version <= self.configuration.version:
            return
        self._needs_whole = False
        self.root = self._find_root(link)
        is_local = link.endpoint.data_centre == self.members.data_centre
        origin = Origin.LOCAL_PEER if is_local else Origin.REMOTE_PEER
        if self.configuration.apply(content, origin, took_ms) is Applied.INVALID:
            self._unusable_version = max(self._unusable_version, update.version)
        self._forget_known()

    @singledispatchmethod
    def _read_content(self, update: object) -> bytes:
        """Return the document of an answer; raises ValueError if it is malformed."""
        raise NotImplementedError(f"{update!r} holds no configuration")

    @_read_content.register
    def _(self, update: ConfigurationUpdate) -> bytes:
        return update.content

    @_read_content.register
    def _(self, update: ConfigurationDelta) -> bytes:
        base = self.configuration.content_of(update.base_version)
        if update.base_version and not base:
            raise ValueError(f"version {update.base_version} isn't known any more")
        return decode_delta(base, update.delta)

    def _find_root(self, link: PeerLink) -> Address:
        """Return the root of the trees on which the version came to this node."""
        notice = self._notices.get(link.address)
        if notice is None or link.endpoint.data_centre != self.members.data_centre:
            return self.members.own_address
        return notice.root

    @property
    def _known_version(self) -> int:
        """Latest version that needs no question: in force, or found unusable."""
        return max(self.configuration.version, self._unusable_version)

    def _forget_known(self) -> None:
        version = self._known_version
        self._notices = {
            address: notice
            for address, notice in self._notices.items()
            if notice.version > version
        }

    def tick(self, now_ms: float) -> None:
        """Ask again if an answer is missing, and catch up if no notice came."""
        asked = self._asked
        if asked is not None and (
            now_ms - self._asked_ms > ANSWER_TIMEOUT_MS or not _answers(asked)
        ):
            self._asked = None
            self._notices.pop(asked.address, None)
        self._ask_if_due(now_ms)

    def _ask_if_due(self, now_ms: float) -> None:
        self._forget_known()
        if not self._notices and not self._is_behind_states():
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if self._asked is not None:
            return
        if now_ms - self._last_answer_ms < MIN_QUERY_INTERVAL_MS:
            return
        source = self._choose_source(now_ms - self._behind_since_ms)
        if source is not None:
            self._asked, self._asked_ms = source, now_ms
            self._behind_since_ms = now_ms
            self.runtime.metrics.count("configuration_queries")
            known = 0 if self._needs_whole else self.configuration.version
            source.request_configuration(known)

    def _is_behind_states(self) -> bool:
        return self.members.newest_version > self._known_version

    def _choose_source(self, behind_ms: float) -> PeerLink | None:
        """Return the peer to ask: one that told of a version, else any that has one.

        Local ones are preferred, and others wait for the local reader first.
        """
        links = self.members.links
        told = [
            (link, notice.version)
            for address, notice in self._notices.items()
            if (link := links.get(address)) is not None and _answers(link)
        ]
        local = self._newest_local(told)
        if local is not None:
            return local
        if behind_ms <= CATCH_UP_AFTER_MS and self.configuration.version:
            return None
        known = [
            (link, link.state.configuration_version)
            for link in self.members.live_links()
            if link.state is not None and _answers(link)
        ]
        return self._newest_local(known) or self._newest([*told, *known])

    def _newest_local(self, found: list[tuple[PeerLink, int]]) -> PeerLink | None:
        data_centre = self.members.data_centre
        return self._newest(
            [one for one in found if one[0].endpoint.data_centre == data_centre]
        )

    def _newest(self, found: list[tuple[PeerLink, int]]) -> PeerLink | None:
        """Return one of the peers with the newest version, if that is newer."""
        newest = max((version for _, version in found), default=0)
        if newest <= self._known_version:
            return None
        return self.runtime.random.choice(
            [link for link, version in found if version == newest]
        )


def _answers(link: PeerLink) -> bool:
    return link.up and not link.endpoint.unresponsive
