"""Beliefs about the other members: suspicion, refutation, death."""

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

FORGET_MS = 120_000
ASK_INTERVAL_MS = 400
ASKED_MAXIMUM = 8
UNCOUNTED = 0


class Carrier(Enum):
    """How an update came; it decides how often it is passed on."""

    PROBE = "probe"
    BROADCAST = "broadcast"
    SYNC = "sync"


class Beliefs:
    """Merges what others say and decides who is suspected and who is dead.

    Parameters
    ----------
    roster : Roster
        Members and the own record.
    seeds : Seeds
        Where the dead are sought again.
    settings : ControlSettings
        Time that a suspected member has to refute.
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
        self._suspected_ms: dict[str, float] = {}
        self._gone_ms: dict[str, float] = {}
        self._met: set[str] = set()
        self._next_ask_ms = 0.0

    def tick(self, now_ms: float) -> list[Output]:
        """Give up, ask and forget whose time has come."""
        outputs = self._expire_suspects(now_ms)
        outputs.extend(self._ask_suspects(now_ms))
        self._forget(now_ms)
        return outputs

    def suspect(self, instance: str, now_ms: float) -> list[Output]:
        """Suspect a member that left its probes unanswered."""
        member = self._roster.member(instance)
        if member is None or member.status != MemberStatus.ALIVE:
            return []
        suspect = attrs.evolve(member, status=MemberStatus.SUSPECT)
        self._suspected_ms[instance] = now_ms
        return [*self._roster.broadcast([suspect]), MemberChanged(suspect)]

    def _ask_suspects(self, now_ms: float) -> list[Output]:
        """Tell suspected members of the suspicion, so that they can refute it."""
        if now_ms < self._next_ask_ms:
            return []
        self._next_ask_ms = now_ms + ASK_INTERVAL_MS * self._random.uniform(0.8, 1.2)
        names = sorted(self._suspected_ms)
        asked = self._random.sample(names, min(ASKED_MAXIMUM, len(names)))
        members = (self._roster.member(name) for name in asked)
        return [
            Send(member.address, Probe(UNCOUNTED, self._roster.digest, 0, [member]))
            for member in members
            if member is not None
        ]

    def _expire_suspects(self, now_ms: float) -> list[Output]:
        outputs: list[Output] = []
        for instance, since_ms in list(self._suspected_ms.items()):
            member = self._roster.member(instance)
            if member is None or member.status != MemberStatus.SUSPECT:
                del self._suspected_ms[instance]
            elif now_ms - since_ms >= self._settings.suspicion_ms:
                del self._suspected_ms[instance]
                dead = attrs.evolve(member, status=MemberStatus.DEAD)
                outputs.extend(self._roster.broadcast([dead]))
                outputs.extend(self._note_member(dead, now_ms))
        return outputs

    def _forget(self, now_ms: float) -> None:
        for instance, since_ms in list(self._gone_ms.items()):
            if now_ms - since_ms < FORGET_MS:
                continue
            del self._gone_ms[instance]
            member = self._roster.member(instance)
            if member is not None and member.status not in LIVE:
                self._roster.table.remove(f"m/{instance}")

    def merge(
        self,
        updates: list[Update],
        now_ms: float,
        carrier: Carrier = Carrier.PROBE,
    ) -> list[Output]:
        """Take updates; the newer ones are passed on."""
        outputs: list[Output] = []
        for update in updates:
            if isinstance(update, MemberState):
                outputs.extend(self._merge_member(update, now_ms, carrier))
            elif self._roster.table.merge(update):
                self._pass_on(update, carrier)
                outputs.append(UpdateAccepted(update))
                outputs.extend(self._meet(update))
        return outputs

    def _meet(self, update: Update) -> list[Output]:
        """Greet bridges of the own data centre that are not known as members."""
        if not isinstance(update, DataCentreReport):
            return []
        if update.data_centre != self._roster.own.data_centre:
            return self._meet_abroad(update)
        known = {member.address for member in self._roster.members()}
        strangers = [to for to in update.contacts if to not in known]
        self._seeds.add(strangers)
        return [Send(to, sync_request(self._roster.table)) for to in strangers[:1]]

    def _meet_abroad(self, report: DataCentreReport) -> list[Output]:
        """Compare tables at once with a data centre that was not known."""
        is_first = report.data_centre not in self._met
        if not is_first or not report.contacts or not self._roster.is_bridge():
            return []
        self._met.add(report.data_centre)
        to = self._random.choice(report.contacts)
        return [Send(to, sync_request(self._roster.table, only_global=True))]

    def _pass_on(self, update: Update, carrier: Carrier) -> None:
        if carrier is not Carrier.SYNC:
            self._roster.queue.add(update, is_broadcast=carrier is Carrier.BROADCAST)

    def _merge_member(
        self, update: MemberState, now_ms: float, carrier: Carrier
    ) -> list[Output]:
        if update.data_centre != self._roster.own.data_centre:
            return []
        if update.instance == self._roster.own.instance:
            return self._refute(update)
        held = self._roster.member(update.instance)
        if update.status not in LIVE and held is None:
            return []
        if held is not None and self._is_doubtful(update, held, now_ms):
            update = attrs.evolve(update, status=MemberStatus.SUSPECT)
        if not self._roster.table.merge(update):
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
        self._roster.announce(refuted)
        return self._roster.broadcast([refuted])

    def _note_member(self, member: MemberState, now_ms: float) -> list[Output]:
        self._roster.reorder()
        if member.status in LIVE:
            self._gone_ms.pop(member.instance, None)
        else:
            self._gone_ms[member.instance] = now_ms
        if member.status == MemberStatus.DEAD:
            self._seeds.seek_again(member.address)
        return [MemberChanged(member)]
