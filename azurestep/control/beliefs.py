"""Suspicion, refutation and death of other members."""

import random
from enum import Enum

import attrs

from ..settings import ControlSettings
from .comparison import sync_request
from .messages import Probe
from .outputs import MemberChanged, Output, Send, UpdateAccepted
from .roster import Roster
from .seeds import Seeds
from .table import stamp_of
from .updates import LIVE, DataCentreReport, MemberState, MemberStatus, Update

INACTIVE_RETENTION_MS = 120_000
SUSPECT_PROBE_INTERVAL_MS = 400
MAX_SUSPECT_PROBES = 8
NO_SEQUENCE = 0  # for a probe whose ack is not tracked


class Channel(Enum):
    """How an update arrived, which decides how often it is retransmitted."""

    PROBE = "probe"
    BROADCAST = "broadcast"
    SYNC = "sync"


class SuspicionTracker:
    """Merges received updates and decides which members are suspected or dead.

    Parameters
    ----------
    roster : Roster
        Members and the record of this node.
    seeds : Seeds
        Receives the addresses of dead members, to contact them again.
    settings : ControlSettings
        Time that a suspected member has to refute the suspicion.
    source : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        roster: Roster,
        seeds: Seeds,
        settings: ControlSettings,
        source: random.Random,
    ) -> None:
        self._roster = roster
        self._seeds = seeds
        self._settings = settings
        self._random = source
        self._suspected_since_ms: dict[str, float] = {}
        self._inactive_since_ms: dict[str, float] = {}
        self._synced_data_centres: set[str] = set()
        self._next_suspect_probe_ms = 0.0

    def tick(self, now_ms: float) -> list[Output]:
        """Declare suspects dead, probe the others and expire inactive members."""
        outputs = self._expire_suspects(now_ms)
        outputs.extend(self._probe_suspects(now_ms))
        self._expire_inactive(now_ms)
        return outputs

    def suspect(self, instance: str, now_ms: float) -> list[Output]:
        """Suspect a live member that did not answer its probes."""
        member = self._roster.member(instance)
        if member is None or member.status != MemberStatus.ALIVE:
            return []
        suspect = attrs.evolve(member, status=MemberStatus.SUSPECT)
        self._suspected_since_ms[instance] = now_ms
        return [*self._roster.broadcast([suspect]), MemberChanged(suspect)]

    def _probe_suspects(self, now_ms: float) -> list[Output]:
        """Send suspected members the suspicion, so that they can refute it."""
        if now_ms < self._next_suspect_probe_ms:
            return []
        self._next_suspect_probe_ms = (
            now_ms + SUSPECT_PROBE_INTERVAL_MS * self._random.uniform(0.8, 1.2)
        )
        names = sorted(self._suspected_since_ms)
        asked = self._random.sample(names, min(MAX_SUSPECT_PROBES, len(names)))
        members = (self._roster.member(name) for name in asked)
        return [
            Send(member.address, Probe(NO_SEQUENCE, self._roster.digest, 0, [member]))
            for member in members
            if member is not None
        ]

    def _expire_suspects(self, now_ms: float) -> list[Output]:
        outputs: list[Output] = []
        for instance, since_ms in list(self._suspected_since_ms.items()):
            member = self._roster.member(instance)
            if member is None or member.status != MemberStatus.SUSPECT:
                del self._suspected_since_ms[instance]
            elif now_ms - since_ms >= self._settings.suspicion_ms:
                del self._suspected_since_ms[instance]
                dead = attrs.evolve(member, status=MemberStatus.DEAD)
                outputs.extend(self._roster.broadcast([dead]))
                outputs.extend(self._record_member(dead, now_ms))
        return outputs

    def _expire_inactive(self, now_ms: float) -> None:
        for instance, since_ms in list(self._inactive_since_ms.items()):
            if now_ms - since_ms < INACTIVE_RETENTION_MS:
                continue
            del self._inactive_since_ms[instance]
            member = self._roster.member(instance)
            if member is not None and member.status not in LIVE:
                self._roster.table.remove(f"m/{instance}")

    def merge(
        self,
        updates: list[Update],
        now_ms: float,
        channel: Channel = Channel.PROBE,
    ) -> list[Output]:
        """Merge updates and queue the newer ones for other nodes."""
        outputs: list[Output] = []
        for update in updates:
            if isinstance(update, MemberState):
                outputs.extend(self._merge_member(update, now_ms, channel))
            elif self._roster.table.merge(update):
                self._queue_update(update, channel)
                outputs.append(UpdateAccepted(update))
                outputs.extend(self._sync_new_contacts(update))
        return outputs

    def _sync_new_contacts(self, update: Update) -> list[Output]:
        """Start a sync with an unknown local bridge or a new data centre."""
        if not isinstance(update, DataCentreReport):
            return []
        if update.data_centre != self._roster.own.data_centre:
            return self._sync_new_data_centre(update)
        known = {member.address for member in self._roster.members()}
        unknown = [to for to in update.contacts if to not in known]
        self._seeds.add(unknown)
        return [Send(to, sync_request(self._roster.table)) for to in unknown[:1]]

    def _sync_new_data_centre(self, report: DataCentreReport) -> list[Output]:
        """From a bridge, start a sync with a data centre seen for the first time."""
        is_first = report.data_centre not in self._synced_data_centres
        if not is_first or not report.contacts or not self._roster.is_bridge():
            return []
        self._synced_data_centres.add(report.data_centre)
        to = self._random.choice(report.contacts)
        return [Send(to, sync_request(self._roster.table, only_global=True))]

    def _queue_update(self, update: Update, channel: Channel) -> None:
        if channel is not Channel.SYNC:
            self._roster.queue.add(update, is_broadcast=channel is Channel.BROADCAST)

    def _merge_member(
        self, update: MemberState, now_ms: float, channel: Channel
    ) -> list[Output]:
        if update.data_centre != self._roster.own.data_centre:
            return []
        if update.instance == self._roster.own.instance:
            return self._refute(update)
        held = self._roster.member(update.instance)
        if update.status not in LIVE and held is None:
            return []
        if held is not None and self._needs_suspicion(update, held, now_ms):
            update = attrs.evolve(update, status=MemberStatus.SUSPECT)
        if not self._roster.table.merge(update):
            return []
        self._queue_update(update, channel)
        if update.status == MemberStatus.SUSPECT:
            self._suspected_since_ms.setdefault(update.instance, now_ms)
        return self._record_member(update, now_ms)

    def _needs_suspicion(
        self, update: MemberState, held: MemberState, now_ms: float
    ) -> bool:
        # After a partition heals, each side reports the other as dead. A member
        # that is live here becomes suspected first, so that it can refute.
        if update.status != MemberStatus.DEAD or held.status not in LIVE:
            return False
        since_ms = self._suspected_since_ms.get(held.instance, now_ms)
        had_time_to_refute = now_ms - since_ms >= self._settings.suspicion_ms / 2
        return update.incarnation == held.incarnation and not had_time_to_refute

    def _refute(self, update: MemberState) -> list[Output]:
        own = self._roster.own
        if update.incarnation < own.incarnation:
            return []
        if stamp_of(update) <= stamp_of(own):
            return []
        refuted = attrs.evolve(
            own,
            incarnation=max(update.incarnation, own.incarnation),
            sequence=update.sequence + 1,
        )
        self._roster.publish_own(refuted)
        return self._roster.broadcast([refuted])

    def _record_member(self, member: MemberState, now_ms: float) -> list[Output]:
        self._roster.refresh_order()
        if member.status in LIVE:
            self._inactive_since_ms.pop(member.instance, None)
        else:
            self._inactive_since_ms[member.instance] = now_ms
        if member.status == MemberStatus.DEAD:
            self._seeds.add_dead(member.address)
        return [MemberChanged(member)]
