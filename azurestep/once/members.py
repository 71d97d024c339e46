"""Live nodes of each service as the membership reports them."""

import attrs

from .messages import MembersChanged, Moment
from .records import NodeId


@attrs.define
class Members:
    """Live node processes of each service, with the time of the last change."""

    _live: dict[str, frozenset[NodeId]] = attrs.field(factory=dict)
    _reachable: dict[str, frozenset[NodeId]] = attrs.field(factory=dict)
    _changed_ms: dict[str, float] = attrs.field(factory=dict)

    def update(self, message: MembersChanged, now: Moment) -> None:
        """Apply a report of the membership."""
        live = frozenset(message.live)
        self._reachable[message.service] = live | frozenset(message.others)
        if self._live.get(message.service) == live:
            return
        self._live[message.service] = live
        self._changed_ms[message.service] = now.monotonic_ms

    def live(self, service: str) -> frozenset[NodeId]:
        """Return the live node processes that may claim slots of a service."""
        return self._live.get(service, frozenset())

    def reachable(self, service: str) -> frozenset[NodeId]:
        """Return the live node processes that may own slots of a service."""
        return self._reachable.get(service, frozenset())

    def is_settled(self, service: str, now: Moment, settle_ms: int) -> bool:
        """Return whether the live members are unchanged for ``settle_ms``."""
        changed_ms = self._changed_ms.get(service)
        return changed_ms is not None and now.monotonic_ms - changed_ms >= settle_ms
