"""Summaries of the backend servers that a data centre offers to remote ones."""

from .membership import Membership
from .outputs import Output
from .updates import MemberStatus, ServerState, ServiceSummary

SUMMARY_INTERVAL_MS = 200
MAX_SERVERS_PER_SUMMARY = 64


class Summarizer:
    """Publishes the summaries of a data centre if this node is its first bridge."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._next_ms = 0.0

    def tick(self, now_ms: float) -> list[Output]:
        """Broadcast the summaries that changed."""
        if now_ms < self._next_ms:
            return []
        self._next_ms = now_ms + SUMMARY_INTERVAL_MS
        bridges = self._membership.bridges()
        if not bridges or bridges[0] != self._membership.own.instance:
            return []
        changed = [s for s in self._summaries() if s is not None]
        return self._membership.broadcast([*changed]) if changed else []

    def _summaries(self) -> list[ServiceSummary | None]:
        own = self._membership.own.data_centre
        servers: dict[str, list[ServerState]] = {
            update.service: []
            for update in self._membership.table.updates(only_global=True)
            if isinstance(update, ServiceSummary) and update.data_centre == own
        }
        for member in self._membership.members():
            if member.status == MemberStatus.ALIVE:
                for server in member.servers:
                    servers.setdefault(server.service, []).append(server)
        return [self._make_if_changed(name, found) for name, found in servers.items()]

    def _make_if_changed(
        self, service: str, servers: list[ServerState]
    ) -> ServiceSummary | None:
        own = self._membership.own.data_centre
        origin = self._membership.own.instance
        listed = sorted(servers, key=lambda s: (s.host, s.port))[
            :MAX_SERVERS_PER_SUMMARY
        ]
        held = self._membership.table.get(f"s/{own}/{service}")
        if not isinstance(held, ServiceSummary):
            return ServiceSummary(own, service, 1, origin, listed)
        if held.servers == listed:
            return None
        return ServiceSummary(own, service, held.stamp + 1, origin, listed)
