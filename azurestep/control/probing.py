"""Probing: neighbours on the ring, bridges abroad, and helpers for others."""

import random
from collections import OrderedDict

from ..settings import Address, ControlSettings
from .beliefs import UNCOUNTED, Beliefs
from .detector import Detector, Failed, Repeat
from .messages import Ack, IndirectAck, Probe, ProbeRequest, Sender
from .outputs import Output, ReplaceLink, Send
from .ring import neighbours
from .roster import Roster

HELPERS = 2
RELAYED_MAXIMUM = 256
HEARD_MAXIMUM = 1024


class Prober:
    """Sends the probes of one node and helps others with theirs.

    Parameters
    ----------
    roster : Roster
        Members that are probed.
    beliefs : Beliefs
        Told of members that left their probes unanswered.
    settings : ControlSettings
        Pace of the probes.
    source : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        roster: Roster,
        beliefs: Beliefs,
        settings: ControlSettings,
        source: random.Random,
    ) -> None:
        self._roster = roster
        self._beliefs = beliefs
        self._random = source
        self._detector = Detector(settings, source)
        self._relayed: dict[int, tuple[Address, int]] = {}
        self._heard: OrderedDict[Sender, int] = OrderedDict()
        self._bridge_turn = 0

    def expire(self, now_ms: float) -> list[Output]:
        """Repeat unanswered probes; suspect members whose probes all failed."""
        outputs: list[Output] = []
        for result in self._detector.expire(now_ms):
            if isinstance(result, Repeat):
                outputs.extend(self._repeat(result))
            elif isinstance(result, Failed) and result.probe.instance:
                failed = result.probe.instance
                outputs.extend(self._beliefs.suspect(failed, now_ms))
        return outputs

    def tick(self, now_ms: float) -> list[Output]:
        """Probe the next neighbour, and a bridge abroad if the node is one."""
        if not self._detector.is_due(now_ms):
            return []
        outputs = self._probe_neighbour(now_ms)
        if self._roster.is_bridge():
            outputs.extend(self._probe_abroad(now_ms))
        return outputs

    def _probe_neighbour(self, now_ms: float) -> list[Output]:
        near = neighbours(self._roster.order, self._roster.own.instance)
        target = self._detector.next_target(near)
        member = self._roster.member(target) if target else None
        if member is None:
            return []
        sequence = self._detector.start(member.instance, member.address, now_ms)
        return [Send(member.address, self._probe(sequence, only_global=False))]

    def _probe_abroad(self, now_ms: float) -> list[Output]:
        abroad = self._roster.reports_abroad()
        if not abroad:
            return []
        self._bridge_turn += 1
        report = abroad[self._bridge_turn % len(abroad)]
        to = self._random.choice(report.contacts)
        sequence = self._detector.start("", to, now_ms)
        return [Send(to, self._probe(sequence, only_global=True))]

    def _probe(self, sequence: int, only_global: bool) -> Probe:
        updates = self._roster.queue.take(len(self._roster.order), only_global)
        return Probe(
            sequence, self._roster.digest, self._roster.table.hash(only_global), updates
        )

    def _repeat(self, repeat: Repeat) -> list[Output]:
        to = repeat.probe.to
        probe = Probe(repeat.sequence, self._roster.digest, 0)
        outputs: list[Output] = [ReplaceLink(to), Send(to, probe)]
        others = [
            member.address
            for member in self._roster.members()
            if member.address not in (to, self._roster.own.address)
        ]
        if not repeat.probe.instance:
            return outputs
        for helper in self._random.sample(others, min(HELPERS, len(others))):
            outputs.append(Send(helper, ProbeRequest(repeat.sequence, to)))
        return outputs

    def hear(self, probe: Probe, sender: Sender) -> list[Output]:
        """Replace the own link to a peer whose probe came before.

        The first answer did not arrive, so the link that carried it may swallow
        what is sent; the peer can replace only the link of the other direction.
        """
        if probe.sequence == UNCOUNTED:
            return []
        last = self._heard.pop(sender, UNCOUNTED)
        self._heard[sender] = max(last, probe.sequence)
        if len(self._heard) > HEARD_MAXIMUM:
            self._heard.popitem(last=False)
        if probe.sequence > last:
            return []
        return [ReplaceLink(sender.address)]

    def answered(self, ack: Ack) -> list[Output]:
        """Note an answer; tell the one that asked for the probe of it."""
        self._detector.answered(ack.sequence)
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is None:
            return []
        to, sequence = relayed
        return [Send(to, IndirectAck(sequence))]

    def answered_by_helper(self, relayed: IndirectAck) -> None:
        """Note that a helper heard the member."""
        self._detector.vouched(relayed.sequence)

    def help(
        self, request: ProbeRequest, sender: Sender, now_ms: float
    ) -> list[Output]:
        """Probe a member for another one."""
        sequence = self._detector.start("", request.target, now_ms)
        self._relayed[sequence] = (sender.address, request.sequence)
        while len(self._relayed) > RELAYED_MAXIMUM:
            self._relayed.pop(next(iter(self._relayed)))
        return [Send(request.target, Probe(sequence, self._roster.digest, 0))]
