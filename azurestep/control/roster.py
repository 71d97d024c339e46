"""Roster of a node: its own record, members, ring order and bridges.

Sends urgent updates down the broadcast tree and to remote data centres.
"""

import random

import attrs

from ..settings import Address, ControlSettings
from .gossip import GossipQueue
from .messages import Broadcast, Digest
from .outputs import Output, Send
from .ring import children, rendezvous, ring_order
from .table import UpdateTable, is_global
from .updates import (
    LIVE,
    DataCentreReport,
    MemberState,
    MemberStatus,
    ServerState,
    Update,
)

BRIDGE = "bridge"


class Roster:
    """Record, members and bridges of one node.

    Parameters
    ----------
    own : MemberState
        The node's own record.
    settings : ControlSettings
        Fan-out and the number of bridges.
    source : random.Random
        Chooses among the remote bridges.

    Attributes
    ----------
    table : UpdateTable
        Latest update for each key.
    queue : GossipQueue
        Updates that are piggybacked on probes and acks.
    digest : Digest
        Digest of the configuration, sent with each probe and ack.
    epoch : int
        Incremented when ring order and bridges are derived again.
    """

    def __init__(
        self,
        own: MemberState,
        settings: ControlSettings,
        source: random.Random,
    ) -> None:
        self.table = UpdateTable()
        self.queue = GossipQueue()
        self.digest = Digest(0, b"")
        self.epoch = 0
        self._own = own
        self._settings = settings
        self._random = source
        self._order: list[str] = []
        self._live: list[MemberState] = []
        self._bridges: list[str] = []
        self.publish_own(own)

    @property
    def own(self) -> MemberState:
        """The node's own record."""
        return self._own

    def member(self, instance: str) -> MemberState | None:
        """Return the record of an instance of the local data centre."""
        held = self.table.get(f"m/{instance}")
        return held if isinstance(held, MemberState) else None

    def members(self) -> list[MemberState]:
        """Return the live members of the local data centre in ring order."""
        return self._live

    @property
    def order(self) -> list[str]:
        """Instances of the live members of the local data centre, in ring order."""
        return self._order

    def reports(self) -> list[DataCentreReport]:
        """Return the newest report of each data centre."""
        return [u for u in self.table.updates(True) if isinstance(u, DataCentreReport)]

    def remote_contacts(self) -> list[Address]:
        """Return a bridge of each remote data centre, in random order."""
        found = [
            self._random.choice(report.contacts) for report in self.remote_reports()
        ]
        self._random.shuffle(found)
        return found

    def bridges(self) -> list[str]:
        """Return the bridges of the local data centre."""
        return self._bridges

    def is_bridge(self) -> bool:
        """Whether this node exchanges global updates with remote data centres."""
        return self._own.instance in self.bridges()

    def remote_reports(self) -> list[DataCentreReport]:
        """Return the reports of remote data centres that name a bridge."""
        return [
            report
            for report in self.reports()
            if report.data_centre != self._own.data_centre and report.contacts
        ]

    def publish_own(self, own: MemberState) -> None:
        """Replace the record of this node and queue it."""
        self._own = own
        self.table.merge(own)
        self.queue.add(own)
        self.refresh_order()

    def change_own(
        self,
        servers: list[ServerState] | None = None,
        log_reachable: bool | None = None,
        status: MemberStatus | None = None,
    ) -> list[Output]:
        """Change the record of this node and broadcast it."""
        own = self._own
        changed = attrs.evolve(
            own,
            sequence=own.sequence + 1,
            servers=own.servers if servers is None else servers,
            log_reachable=(
                own.log_reachable if log_reachable is None else log_reachable
            ),
            status=own.status if status is None else status,
        )
        self.publish_own(changed)
        return self.broadcast([self._own])

    def broadcast(self, updates: list[Update]) -> list[Output]:
        """Merge urgent updates and send them down the broadcast tree."""
        fresh = [update for update in updates if self.table.merge(update)]
        for update in updates:
            self.queue.add(update, is_broadcast=True)
        if any(isinstance(update, MemberState) for update in fresh):
            self.refresh_order()
        message = Broadcast(self._own.instance, updates)
        outputs = self.forward(message)
        shared = [update for update in updates if is_global(update)]
        if shared and self.is_bridge():
            outputs.extend(self._broadcast_remote(shared))
        return outputs

    def _broadcast_remote(self, updates: list[Update]) -> list[Output]:
        message = Broadcast("", updates)
        return [Send(to, message) for to in self.remote_contacts()]

    def forward(self, message: Broadcast) -> list[Output]:
        """Send a broadcast to the children of this node in its tree."""
        fan_out = max(1, self._settings.push_fan_out)
        names = children(self._order, message.root, self._own.instance, fan_out)
        return [Send(to, message) for to in self._addresses(names)]

    def _addresses(self, names: list[str]) -> list[Address]:
        members = (self.member(name) for name in names)
        return [member.address for member in members if member is not None]

    def refresh_order(self) -> None:
        """Derive ring order and bridges again from the table."""
        live = {
            update.instance: update
            for update in self.table.updates()
            if isinstance(update, MemberState) and update.status in LIVE
        }
        self.epoch += 1
        self._order = ring_order(live)
        self._live = [live[instance] for instance in self._order]
        count = self._settings.bridges_per_data_centre
        self._bridges = rendezvous(BRIDGE, self._order, count)
