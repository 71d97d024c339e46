"""Membership: who is alive, and what everyone announces.

A pure decision. Nodes of a data centre probe their neighbours on the ring, so
the cost of a node grows with the logarithm of the member count. Bridges, chosen
by rendezvous hash, probe bridges of the other data centres and exchange only
the global updates with them.
"""

import random
from functools import singledispatchmethod

from ..settings import Address, ControlSettings
from .beliefs import Beliefs, Carrier
from .comparison import is_news, sync_reply, sync_request
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
BULK_UPDATES = 4


class Membership(Roster):
    """Roster of one node, kept up to date by messages and time.

    Parameters
    ----------
    own : MemberState
        The node's own record.
    seeds : list of Address
        Control addresses to try first.
    settings : ControlSettings
        Pace of the probes.
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
        self._beliefs = Beliefs(self, self._seeds, settings, source)
        self._prober = Prober(self, self._beliefs, settings, source)
        self._next_sync_ms = 0.0

    def add_seeds(self, seeds: list[Address]) -> None:
        """Add control addresses to try, for example from join records."""
        self._seeds.add(seeds)

    def tick(self, now_ms: float) -> list[Output]:
        """Return what is due at a monotonic time."""
        outputs = self._prober.expire(now_ms)
        outputs.extend(self._beliefs.tick(now_ms))
        outputs.extend(self._seeds.tick(now_ms))
        outputs.extend(self._prober.tick(now_ms))
        return outputs

    @singledispatchmethod
    def handle(self, message: Message, sender: Sender, now_ms: float) -> list[Output]:
        """Take a message; messages of other decisions are ignored."""
        return []

    @handle.register
    def _(self, message: Probe, sender: Sender, now_ms: float) -> list[Output]:
        outputs = self._prober.hear(message, sender)
        outputs.extend(self._beliefs.merge(message.updates, now_ms))
        only_global = sender.data_centre != self._own.data_centre
        updates = self.queue.take(len(self._order), only_global)
        if any(key_of(u) == key_of(self._own) for u in message.updates):
            # A suspicion is answered in any case, not only when it is new.
            updates = [self._own, *updates]
        ack = Ack(message.sequence, self.digest, self.table.hash(only_global), updates)
        outputs.append(Send(sender.address, ack))
        outputs.extend(self._greet_stranger(sender))
        return outputs

    def _greet_stranger(self, sender: Sender) -> list[Output]:
        if sender.data_centre != self._own.data_centre:
            return []
        member = self.member(sender.instance)
        if member is not None and member.status in LIVE:
            return []
        return [Send(sender.address, sync_request(self.table))]

    @handle.register
    def _(self, message: Ack, sender: Sender, now_ms: float) -> list[Output]:
        relayed = self._prober.answered(message)
        outputs = self._beliefs.merge(message.updates, now_ms)
        outputs.extend(relayed)
        only_global = sender.data_centre != self._own.data_centre
        if message.table_hash == self.table.hash(only_global):
            return outputs
        # A short queue will settle the difference; a long one is slower than a
        # whole comparison.
        if 0 < len(self.queue) <= UPDATES_PER_MESSAGE or now_ms < self._next_sync_ms:
            return outputs
        self._next_sync_ms = now_ms + SYNC_INTERVAL_MS
        outputs.append(Send(sender.address, sync_request(self.table, only_global)))
        return outputs

    @handle.register
    def _(self, message: ProbeRequest, sender: Sender, now_ms: float) -> list[Output]:
        return self._prober.help(message, sender, now_ms)

    @handle.register
    def _(self, message: IndirectAck, sender: Sender, now_ms: float) -> list[Output]:
        self._prober.answered_by_helper(message)
        return []

    @handle.register
    def _(self, message: Broadcast, sender: Sender, now_ms: float) -> list[Output]:
        fresh = [u for u in message.updates if is_news(self.table, u)]
        outputs = self._beliefs.merge(message.updates, now_ms, Carrier.BROADCAST)
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
            self._seeds.note_abroad(sender.address)
        was_alone = len(self._order) <= 1
        is_bulk = len(message.updates) > BULK_UPDATES
        carrier = Carrier.SYNC if is_bulk else Carrier.PROBE
        outputs = self._beliefs.merge(message.updates, now_ms, carrier)
        if was_alone and len(self._order) > 1:
            outputs.extend(self.broadcast([self._own]))
        found = [self.table.by_hash(hashed) for hashed in message.wanted]
        wanted = [update for update in found if update is not None]
        if wanted:
            outputs.append(Send(sender.address, SyncReply(wanted)))
        return outputs
