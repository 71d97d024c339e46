"""Membership: live members and their announced state, without I/O.

Nodes of a data centre probe their neighbours on the ring, so the cost of a
node grows with the logarithm of the member count. Bridges, chosen by
rendezvous hash, probe bridges of remote data centres and exchange only the
global updates with them.
"""

import random
from functools import singledispatchmethod

from ..settings import Address, ControlSettings
from .beliefs import Channel, SuspicionTracker
from .comparison import is_newer, sync_reply, sync_request
from .gossip import UPDATES_PER_MESSAGE
from .messages import (
    Ack,
    Broadcast,
    IndirectAck,
    Message,
    Probe,
    ProbeRequest,
    Sender,
    SyncReply,
    SyncRequest,
)
from .outputs import Output, Send
from .probing import Prober
from .roster import Roster
from .seeds import Seeds
from .table import key_of
from .updates import LIVE, MemberState

SYNC_INTERVAL_MS = 3000
MAX_GOSSIPED_SYNC_UPDATES = 4


class Membership(Roster):
    """Roster of one node, kept up to date by messages and time.

    Parameters
    ----------
    own : MemberState
        The node's own record.
    seeds : list of Address
        Control addresses to contact first.
    settings : ControlSettings
        Probe intervals and timeouts.
    source : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        own: MemberState,
        seeds: list[Address],
        settings: ControlSettings,
        source: random.Random,
    ) -> None:
        super().__init__(own, settings, source)
        self._seeds = Seeds(self, seeds, source)
        self._suspicions = SuspicionTracker(self, self._seeds, settings, source)
        self._prober = Prober(self, self._suspicions, settings, source)
        self._next_sync_ms = 0.0

    def add_seeds(self, seeds: list[Address]) -> None:
        """Add control addresses to contact, for example from join records."""
        self._seeds.add(seeds)

    def tick(self, now_ms: float) -> list[Output]:
        """Return what is due at a monotonic time."""
        outputs = self._prober.expire(now_ms)
        outputs.extend(self._suspicions.tick(now_ms))
        outputs.extend(self._seeds.tick(now_ms))
        outputs.extend(self._prober.tick(now_ms))
        return outputs

    @singledispatchmethod
    def handle(self, message: Message, sender: Sender, now_ms: float) -> list[Output]:
        """Handle a message; types without a handler here are ignored."""
        return []

    @handle.register
    def _(self, message: Probe, sender: Sender, now_ms: float) -> list[Output]:
        outputs = self._prober.record_probe(message, sender)
        outputs.extend(self._suspicions.merge(message.updates, now_ms))
        only_global = sender.data_centre != self._own.data_centre
        updates = self.queue.take(len(self._order), only_global)
        if any(key_of(u) == key_of(self._own) for u in message.updates):
            # Refutes a suspicion also when it is not new.
            updates = [self._own, *updates]
        ack = Ack(message.sequence, self.digest, self.table.hash(only_global), updates)
        outputs.append(Send(sender.address, ack))
        outputs.extend(self._sync_unknown_sender(sender))
        return outputs

    def _sync_unknown_sender(self, sender: Sender) -> list[Output]:
        if sender.data_centre != self._own.data_centre:
            return []
        member = self.member(sender.instance)
        if member is not None and member.status in LIVE:
            return []
        return [Send(sender.address, sync_request(self.table))]

    @handle.register
    def _(self, message: Ack, sender: Sender, now_ms: float) -> list[Output]:
        relayed = self._prober.record_ack(message)
        outputs = self._suspicions.merge(message.updates, now_ms)
        outputs.extend(relayed)
        only_global = sender.data_centre != self._own.data_centre
        if message.table_hash == self.table.hash(only_global):
            return outputs
        # Gossip sends a queue that fits into one message; for a longer one a sync
        # is faster.
        if 0 < len(self.queue) <= UPDATES_PER_MESSAGE or now_ms < self._next_sync_ms:
            return outputs
        self._next_sync_ms = now_ms + SYNC_INTERVAL_MS
        outputs.append(Send(sender.address, sync_request(self.table, only_global)))
        return outputs

    @handle.register
    def _(self, message: ProbeRequest, sender: Sender, now_ms: float) -> list[Output]:
        return self._prober.relay_probe(message, sender, now_ms)

    @handle.register
    def _(self, message: IndirectAck, sender: Sender, now_ms: float) -> list[Output]:
        self._prober.record_relayed_ack(message)
        return []

    @handle.register
    def _(self, message: Broadcast, sender: Sender, now_ms: float) -> list[Output]:
        fresh = [u for u in message.updates if is_newer(self.table, u)]
        outputs = self._suspicions.merge(message.updates, now_ms, Channel.BROADCAST)
        if not fresh:
            return outputs
        root = message.root or self._own.instance
        outputs.extend(self.forward(Broadcast(root, fresh)))
        return outputs

    @handle.register
    def _(self, message: SyncRequest, sender: Sender, now_ms: float) -> list[Output]:
        only_global = sender.data_centre != self._own.data_centre
        return [Send(sender.address, sync_reply(self.table, message, only_global))]

    @handle.register
    def _(self, message: SyncReply, sender: Sender, now_ms: float) -> list[Output]:
        if sender.data_centre != self._own.data_centre:
            self._seeds.mark_remote(sender.address)
        was_isolated = len(self._order) <= 1
        is_bulk = len(message.updates) > MAX_GOSSIPED_SYNC_UPDATES
        channel = Channel.SYNC if is_bulk else Channel.PROBE
        outputs = self._suspicions.merge(message.updates, now_ms, channel)
        if was_isolated and len(self._order) > 1:
            outputs.extend(self.broadcast([self._own]))
        found = [self.table.by_hash(hashed) for hashed in message.wanted]
        wanted = [update for update in found if update is not None]
        if wanted:
            outputs.append(Send(sender.address, SyncReply(wanted)))
        return outputs
