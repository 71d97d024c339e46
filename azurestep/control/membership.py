"""Membership: who is alive, and what everyone announces.

A pure decision. Nodes of a data centre probe their neighbours on the ring, so
the cost of a node grows with the logarithm of the member count. Bridges, chosen
by rendezvous hash, probe bridges of the other data centres and exchange only
the global updates with them.
"""

import random
from collections import deque
from enum import Enum
from functools import singledispatchmethod

import attrs

from ..settings import Address, ControlSettings
from .detector import Detector, Failed, Repeat
from .gossip import UPDATES_PER_MESSAGE, GossipQueue
from .messages import (
    LIVE,
    Ack,
    Broadcast,
    DataCentreReport,
    Digest,
    ItemStamp,
    MemberState,
    MemberStatus,
    Message,
    Probe,
    ProbeRelayed,
    ProbeRequest,
    Sender,
    ServerState,
    SyncReply,
    SyncRequest,
    Update,
)
from .outputs import Learned, MemberChanged, Output, ReplaceLink, Send
from .ring import children, neighbours, rendezvous, ring_order
from .table import UpdateTable, is_global, key_hash, key_of, stamp_of

BRIDGE = "bridge"
SYNC_INTERVAL_MS = 3000
SEED_INTERVAL_MS = 1000
FORGET_MS = 120_000
SOUGHT_MAXIMUM = 16
ASK_INTERVAL_MS = 400
ASKED_MAXIMUM = 8
UNCOUNTED = 0
HELPERS = 2
BULK_UPDATES = 4
SEEDS_AT_ONCE = 3


class Carrier(Enum):
    """How an update came; it decides how often it is passed on."""

    PROBE = "probe"
    BROADCAST = "broadcast"
    SYNC = "sync"


class Membership:
    """Beliefs of one node about the others.

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

    Attributes
    ----------
    epoch : int
        Grows with each change of what is believed of a member.
    """

    def __init__(
        self,
        own: MemberState,
        seeds: list[Address],
        settings: ControlSettings,
        source: random.Random,
    ) -> None:
        self.table = UpdateTable()
        self.digest = Digest(0, b"")
        self._own = own
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._settings = settings
        self._random = source
        self._queue = GossipQueue()
        self._detector = Detector(settings, source)
        self._suspected_ms: dict[str, float] = {}
        self._gone_ms: dict[str, float] = {}
        self._sought_again: deque[Address] = deque(maxlen=SOUGHT_MAXIMUM)
        self._relayed: dict[int, tuple[Address, int]] = {}
        self._next_sync_ms = 0.0
        self._next_seed_ms = 0.0
        self._next_ask_ms = 0.0
        self.epoch = 0
        self._order: list[str] = []
        self._live: list[MemberState] = []
        self._bridges: list[str] = []
        self._bridge_turn = 0
        self._announce_own()

    # -- views ---------------------------------------------------------------

    @property
    def own(self) -> MemberState:
        """The node's own record."""
        return self._own

    def member(self, instance: str) -> MemberState | None:
        """Return what is believed of an instance of this data centre."""
        held = self.table.get(f"m/{instance}")
        return held if isinstance(held, MemberState) else None

    def members(self) -> list[MemberState]:
        """Return the live members of this data centre in ring order."""
        return self._live

    @property
    def order(self) -> list[str]:
        """Instances of the live members of this data centre, in ring order."""
        return self._order

    def reports(self) -> list[DataCentreReport]:
        """Return the newest report of each data centre."""
        return [u for u in self.table.updates(True) if isinstance(u, DataCentreReport)]

    def contacts_abroad(self) -> list[Address]:
        """Return a bridge of each other data centre, in random order."""
        found = [
            self._random.choice(report.contacts)
            for report in self.reports()
            if report.data_centre != self._own.data_centre and report.contacts
        ]
        self._random.shuffle(found)
        return found

    def bridges(self) -> list[str]:
        """Return the bridges of this data centre."""
        return self._bridges

    def is_bridge(self) -> bool:
        """Whether this node exchanges summaries with other data centres."""
        return self._own.instance in self.bridges()

    # -- own record ----------------------------------------------------------

    def _announce_own(self) -> None:
        self.table.merge(self._own)
        self._queue.add(self._own)
        self._reorder()

    def change_own(
        self,
        servers: list[ServerState] | None = None,
        log_reachable: bool | None = None,
        status: MemberStatus | None = None,
    ) -> list[Output]:
        """Change what the node announces and broadcast it at once."""
        own = self._own
        self._own = attrs.evolve(
            own,
            sequence=own.sequence + 1,
            servers=own.servers if servers is None else servers,
            log_reachable=(
                own.log_reachable if log_reachable is None else log_reachable
            ),
            status=own.status if status is None else status,
        )
        self._announce_own()
        return self.broadcast([self._own])

    def broadcast(self, updates: list[Update]) -> list[Output]:
        """Spread urgent updates: merge them and send them down a tree."""
        fresh = [update for update in updates if self.table.merge(update)]
        for update in updates:
            self._queue.add(update, is_broadcast=True)
        if any(isinstance(update, MemberState) for update in fresh):
            self._reorder()
        message = Broadcast(self._own.instance, updates)
        outputs = self._forward(message)
        shared = [update for update in updates if is_global(update)]
        if shared and self.is_bridge():
            outputs.extend(self._broadcast_abroad(shared))
        return outputs

    def _broadcast_abroad(self, updates: list[Update]) -> list[Output]:
        message = Broadcast("", updates)
        return [Send(to, message) for to in self.contacts_abroad()]

    def _forward(self, message: Broadcast) -> list[Output]:
        fan_out = max(1, self._settings.push_fan_out)
        names = children(self._order, message.root, self._own.instance, fan_out)
        return [Send(to, message) for to in self._addresses(names)]

    def _addresses(self, names: list[str]) -> list[Address]:
        members = (self.member(name) for name in names)
        return [member.address for member in members if member is not None]

    # -- time ----------------------------------------------------------------

    def tick(self, now_ms: float) -> list[Output]:
        """Return what is due at a monotonic time."""
        outputs = self._expire_probes(now_ms)
        outputs.extend(self._expire_suspects(now_ms))
        outputs.extend(self._ask_suspects(now_ms))
        self._forget(now_ms)
        outputs.extend(self._seek_seeds(now_ms))
        if self._detector.is_due(now_ms):
            outputs.extend(self._probe_neighbour(now_ms))
            if self.is_bridge():
                outputs.extend(self._probe_abroad(now_ms))
        return outputs

    def _seek_seeds(self, now_ms: float) -> list[Output]:
        if now_ms < self._next_seed_ms:
            return []
        self._next_seed_ms = now_ms + SEED_INTERVAL_MS * self._random.uniform(1, 2)
        known = {member.address for member in self.members()}
        seeds = [*self._seeds, *self._sought_again]
        strangers = [seed for seed in seeds if seed not in known]
        is_alone = len(self._order) <= 1
        if not strangers or (not is_alone and self._random.random() > 0.1):
            return []
        count = min(SEEDS_AT_ONCE, len(strangers)) if is_alone else 1
        chosen = self._random.sample(strangers, count)
        return [Send(to, self._sync_request()) for to in chosen]

    def _seek_again(self, address: Address) -> None:
        """Go on seeking a dead member: it may live beyond a partition."""
        if address in self._seeds:
            return
        self._sought_again.append(address)

    def add_seeds(self, seeds: list[Address]) -> None:
        """Add control addresses to try, for example from join records."""
        for seed in seeds:
            if seed != self._own.address and seed not in self._seeds:
                self._seeds.append(seed)

    def _probe_neighbour(self, now_ms: float) -> list[Output]:
        near = neighbours(self._order, self._own.instance)
        target = self._detector.next_target(near)
        member = self.member(target) if target else None
        if member is None:
            return []
        sequence = self._detector.start(member.instance, member.address, now_ms)
        return [Send(member.address, self._probe(sequence, only_global=False))]

    def _probe_abroad(self, now_ms: float) -> list[Output]:
        abroad = [
            report
            for report in self.reports()
            if report.data_centre != self._own.data_centre and report.contacts
        ]
        if not abroad:
            return []
        self._bridge_turn += 1
        report = abroad[self._bridge_turn % len(abroad)]
        to = self._random.choice(report.contacts)
        sequence = self._detector.start("", to, now_ms)
        return [Send(to, self._probe(sequence, only_global=True))]

    def _probe(self, sequence: int, only_global: bool) -> Probe:
        updates = self._queue.take(len(self._order), only_global)
        return Probe(sequence, self.digest, self.table.hash(only_global), updates)

    def _expire_probes(self, now_ms: float) -> list[Output]:
        outputs: list[Output] = []
        for result in self._detector.expire(now_ms):
            if isinstance(result, Repeat):
                outputs.extend(self._repeat(result))
            elif isinstance(result, Failed) and result.probe.instance:
                outputs.extend(self._suspect(result.probe.instance, now_ms))
        return outputs

    def _repeat(self, repeat: Repeat) -> list[Output]:
        to = repeat.probe.to
        probe = Probe(repeat.sequence, self.digest, 0)
        outputs: list[Output] = [ReplaceLink(to), Send(to, probe)]
        others = [
            member.address
            for member in self.members()
            if member.address not in (to, self._own.address)
        ]
        if not repeat.probe.instance:
            return outputs
        for helper in self._random.sample(others, min(HELPERS, len(others))):
            outputs.append(Send(helper, ProbeRequest(repeat.sequence, to)))
        return outputs

    def _suspect(self, instance: str, now_ms: float) -> list[Output]:
        member = self.member(instance)
        if member is None or member.status != MemberStatus.ALIVE:
            return []
        suspect = attrs.evolve(member, status=MemberStatus.SUSPECT)
        self._suspected_ms[instance] = now_ms
        return [*self.broadcast([suspect]), MemberChanged(suspect)]

    def _ask_suspects(self, now_ms: float) -> list[Output]:
        """Tell suspected members of the suspicion, so that they can refute it."""
        if now_ms < self._next_ask_ms:
            return []
        self._next_ask_ms = now_ms + ASK_INTERVAL_MS * self._random.uniform(0.8, 1.2)
        names = sorted(self._suspected_ms)
        asked = self._random.sample(names, min(ASKED_MAXIMUM, len(names)))
        members = (self.member(name) for name in asked)
        return [
            Send(member.address, Probe(UNCOUNTED, self.digest, 0, [member]))
            for member in members
            if member is not None
        ]

    def _expire_suspects(self, now_ms: float) -> list[Output]:
        outputs: list[Output] = []
        for instance, since_ms in list(self._suspected_ms.items()):
            member = self.member(instance)
            if member is None or member.status != MemberStatus.SUSPECT:
                del self._suspected_ms[instance]
            elif now_ms - since_ms >= self._settings.suspicion_ms:
                del self._suspected_ms[instance]
                dead = attrs.evolve(member, status=MemberStatus.DEAD)
                outputs.extend(self.broadcast([dead]))
                outputs.extend(self._note_member(dead, now_ms))
        return outputs

    def _forget(self, now_ms: float) -> None:
        for instance, since_ms in list(self._gone_ms.items()):
            if now_ms - since_ms < FORGET_MS:
                continue
            del self._gone_ms[instance]
            member = self.member(instance)
            if member is not None and member.status not in LIVE:
                self.table.remove(f"m/{instance}")

    # -- messages ------------------------------------------------------------

    @singledispatchmethod
    def handle(self, message: Message, sender: Sender, now_ms: float) -> list[Output]:
        """Take a message; messages of other decisions are ignored."""
        return []

    @handle.register
    def _(self, message: Probe, sender: Sender, now_ms: float) -> list[Output]:
        outputs = self._merge(message.updates, now_ms)
        only_global = sender.data_centre != self._own.data_centre
        updates = self._queue.take(len(self._order), only_global)
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
        return [Send(sender.address, self._sync_request())]

    @handle.register
    def _(self, message: Ack, sender: Sender, now_ms: float) -> list[Output]:
        self._detector.answered(message.sequence)
        outputs = self._merge(message.updates, now_ms)
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            to, sequence = relayed
            outputs.append(Send(to, ProbeRelayed(sequence)))
        only_global = sender.data_centre != self._own.data_centre
        if message.table_hash == self.table.hash(only_global):
            return outputs
        # A short queue will settle the difference; a long one is slower than a
        # whole comparison.
        if 0 < len(self._queue) <= UPDATES_PER_MESSAGE or now_ms < self._next_sync_ms:
            return outputs
        self._next_sync_ms = now_ms + SYNC_INTERVAL_MS
        outputs.append(Send(sender.address, self._sync_request(only_global)))
        return outputs

    @handle.register
    def _(self, message: ProbeRequest, sender: Sender, now_ms: float) -> list[Output]:
        sequence = self._detector.start("", message.target, now_ms)
        self._relayed[sequence] = (sender.address, message.sequence)
        while len(self._relayed) > 256:
            self._relayed.pop(next(iter(self._relayed)))
        return [Send(message.target, Probe(sequence, self.digest, 0))]

    @handle.register
    def _(self, message: ProbeRelayed, sender: Sender, now_ms: float) -> list[Output]:
        self._detector.answered(message.sequence)
        return []

    @handle.register
    def _(self, message: Broadcast, sender: Sender, now_ms: float) -> list[Output]:
        fresh = [u for u in message.updates if self._is_news(u)]
        outputs = self._merge(message.updates, now_ms, Carrier.BROADCAST)
        if not fresh:
            return outputs
        root = message.root or self._own.instance
        outputs.extend(self._forward(Broadcast(root, fresh)))
        return outputs

    def _is_news(self, update: Update) -> bool:
        held = self.table.get(key_of(update))
        return held is None or stamp_of(held) < stamp_of(update)

    @handle.register
    def _(self, message: SyncRequest, sender: Sender, now_ms: float) -> list[Output]:
        only_global = sender.data_centre != self._own.data_centre
        theirs = {item.key_hash: tuple(item.stamp) for item in message.stamps}
        newer = []
        for update in self.table.updates(only_global):
            hashed = key_hash(key_of(update))
            if theirs.get(hashed, ()) < stamp_of(update):
                newer.append(update)
        wanted = []
        for hashed, stamp in theirs.items():
            held = self.table.by_hash(hashed)
            if held is None or stamp_of(held) < stamp:
                wanted.append(hashed)
        return [Send(sender.address, SyncReply(newer, wanted))]

    @handle.register
    def _(self, message: SyncReply, sender: Sender, now_ms: float) -> list[Output]:
        was_alone = len(self._order) <= 1
        is_bulk = len(message.updates) > BULK_UPDATES
        carrier = Carrier.SYNC if is_bulk else Carrier.PROBE
        outputs = self._merge(message.updates, now_ms, carrier)
        if was_alone and len(self._order) > 1:
            outputs.extend(self.broadcast([self._own]))
        found = [self.table.by_hash(hashed) for hashed in message.wanted]
        wanted = [update for update in found if update is not None]
        if wanted:
            outputs.append(Send(sender.address, SyncReply(wanted)))
        return outputs

    def _sync_request(self, only_global: bool = False) -> SyncRequest:
        return SyncRequest(
            [
                ItemStamp(key_hash(key_of(update)), list(stamp_of(update)))
                for update in self.table.updates(only_global)
            ]
        )

    # -- beliefs -------------------------------------------------------------

    def _merge(
        self,
        updates: list[Update],
        now_ms: float,
        carrier: Carrier = Carrier.PROBE,
    ) -> list[Output]:
        outputs: list[Output] = []
        for update in updates:
            if isinstance(update, MemberState):
                outputs.extend(self._merge_member(update, now_ms, carrier))
            elif self.table.merge(update):
                self._pass_on(update, carrier)
                outputs.append(Learned(update))
                outputs.extend(self._meet(update))
        return outputs

    def _meet(self, update: Update) -> list[Output]:
        """Greet bridges of the own data centre that are not known as members."""
        if not isinstance(update, DataCentreReport):
            return []
        if update.data_centre != self._own.data_centre:
            return []
        known = {member.address for member in self.members()}
        strangers = [to for to in update.contacts if to not in known]
        self.add_seeds(strangers)
        return [Send(to, self._sync_request()) for to in strangers[:1]]

    def _pass_on(self, update: Update, carrier: Carrier) -> None:
        if carrier is not Carrier.SYNC:
            self._queue.add(update, is_broadcast=carrier is Carrier.BROADCAST)

    def _merge_member(
        self, update: MemberState, now_ms: float, carrier: Carrier
    ) -> list[Output]:
        if update.data_centre != self._own.data_centre:
            return []
        if update.instance == self._own.instance:
            return self._refute(update)
        held = self.member(update.instance)
        if update.status not in LIVE and held is None:
            return []
        if held is not None and self._is_doubtful(update, held, now_ms):
            update = attrs.evolve(update, status=MemberStatus.SUSPECT)
        if not self.table.merge(update):
            return []
        self._pass_on(update, carrier)
        if update.status == MemberStatus.SUSPECT:
            self._suspected_ms.setdefault(update.instance, now_ms)
        return self._note_member(update, now_ms)

    def _is_doubtful(
        self, update: MemberState, held: MemberState, now_ms: float
    ) -> bool:
        # The two sides of a healed partition believe each other dead. Whoever
        # still hears a member lets it refute before giving it up.
        if update.status != MemberStatus.DEAD or held.status not in LIVE:
            return False
        since_ms = self._suspected_ms.get(held.instance, now_ms)
        was_given_time = now_ms - since_ms >= self._settings.suspicion_ms / 2
        return update.incarnation == held.incarnation and not was_given_time

    def _refute(self, update: MemberState) -> list[Output]:
        if update.incarnation < self._own.incarnation:
            return []
        if stamp_of(update) <= stamp_of(self._own):
            return []
        self._own = attrs.evolve(
            self._own,
            incarnation=max(update.incarnation, self._own.incarnation),
            sequence=update.sequence + 1,
        )
        self._announce_own()
        return self.broadcast([self._own])

    def _note_member(self, member: MemberState, now_ms: float) -> list[Output]:
        self._reorder()
        if member.status in LIVE:
            self._gone_ms.pop(member.instance, None)
        else:
            self._gone_ms[member.instance] = now_ms
        if member.status == MemberStatus.DEAD:
            self._seek_again(member.address)
        return [MemberChanged(member)]

    def _reorder(self) -> None:
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
