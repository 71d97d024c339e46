"""Failure detection: probes ring neighbours and relays probes for other nodes.

Probes also carry the digest and updates; bridges also probe remote bridges, which are
not suspected. ``Detector`` has the timeouts, ``SuspicionTracker`` the suspicions.
"""

import random
from collections import OrderedDict

from ..settings import Address, ControlSettings
from .beliefs import NO_SEQUENCE, SuspicionTracker
from .detector import Detector, ProbeFailure, ProbeRetry
from .messages import Ack, IndirectAck, Probe, ProbeRequest, Sender
from .outputs import Output, ReplaceLink, Send
from .ring import neighbours
from .roster import Roster

HELPERS_PER_PROBE = 2
MAX_RELAYED_PROBES = 256
MAX_TRACKED_SENDERS = 1024


class Prober:
    """Sends the probes of one node and relays probes for others.

    Parameters
    ----------
    roster : Roster
        Members to probe.
    suspicions : SuspicionTracker
        Suspects the members that did not answer their probes.
    settings : ControlSettings
        Probe intervals and timeouts.
    source : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        roster: Roster,
        suspicions: SuspicionTracker,
        settings: ControlSettings,
        source: random.Random,
    ) -> None:
        self._roster = roster
        self._suspicions = suspicions
        self._random = source
        self._detector = Detector(settings, source)
        self._relayed: dict[int, tuple[Address, int]] = {}
        self._last_sequences: OrderedDict[Sender, int] = OrderedDict()
        self._bridge_turn = 0

    def expire(self, now_ms: float) -> list[Output]:
        """Retry unanswered probes; suspect members whose retries failed."""
        outputs: list[Output] = []
        for result in self._detector.expire(now_ms):
            if isinstance(result, ProbeRetry):
                outputs.extend(self._retry(result))
            elif isinstance(result, ProbeFailure) and result.probe.instance:
                failed = result.probe.instance
                outputs.extend(self._suspicions.suspect(failed, now_ms))
        return outputs

    def tick(self, now_ms: float) -> list[Output]:
        """Probe the next neighbour and, from a bridge, a remote bridge."""
        if not self._detector.is_due(now_ms):
            return []
        outputs = self._probe_neighbour(now_ms)
        if self._roster.is_bridge():
            outputs.extend(self._probe_remote(now_ms))
        return outputs

    def _probe_neighbour(self, now_ms: float) -> list[Output]:
        targets = neighbours(self._roster.order, self._roster.own.instance)
        target = self._detector.next_target(targets)
        member = self._roster.member(target) if target else None
        if member is None:
            return []
        sequence = self._detector.start(member.instance, member.address, now_ms)
        return [Send(member.address, self._probe(sequence, only_global=False))]

    def _probe_remote(self, now_ms: float) -> list[Output]:
        reports = self._roster.remote_reports()
        if not reports:
            return []
        self._bridge_turn += 1
        report = reports[self._bridge_turn % len(reports)]
        to = self._random.choice(report.contacts)
        sequence = self._detector.start("", to, now_ms)
        return [Send(to, self._probe(sequence, only_global=True))]

    def _probe(self, sequence: int, only_global: bool) -> Probe:
        updates = self._roster.queue.take(len(self._roster.order), only_global)
        return Probe(
            sequence, self._roster.digest, self._roster.table.hash(only_global), updates
        )

    def _retry(self, retry: ProbeRetry) -> list[Output]:
        to = retry.probe.to
        probe = Probe(retry.sequence, self._roster.digest, 0)
        outputs: list[Output] = [ReplaceLink(to), Send(to, probe)]
        others = [
            member.address
            for member in self._roster.members()
            if member.address not in (to, self._roster.own.address)
        ]
        if not retry.probe.instance:
            return outputs
        for helper in self._random.sample(others, min(HELPERS_PER_PROBE, len(others))):
            outputs.append(Send(helper, ProbeRequest(retry.sequence, to)))
        return outputs

    def record_probe(self, probe: Probe, sender: Sender) -> list[Output]:
        """Replace the link to a peer that retries a probe.

        The peer did not get the first ack, so this link may lose messages; the
        peer can replace only the link in the other direction.
        """
        if probe.sequence == NO_SEQUENCE:
            return []
        last = self._last_sequences.pop(sender, NO_SEQUENCE)
        self._last_sequences[sender] = max(last, probe.sequence)
        if len(self._last_sequences) > MAX_TRACKED_SENDERS:
            self._last_sequences.popitem(last=False)
        if probe.sequence > last:
            return []
        return [ReplaceLink(sender.address)]

    def record_ack(self, ack: Ack) -> list[Output]:
        """Record an ack and report it to the node that requested the probe."""
        self._detector.record_ack(ack.sequence)
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is None:
            return []
        to, sequence = relayed
        return [Send(to, IndirectAck(sequence))]

    def record_relayed_ack(self, relayed: IndirectAck) -> None:
        """Record that a helper received an ack from the member."""
        self._detector.record_relayed_ack(relayed.sequence)

    def relay_probe(
        self, request: ProbeRequest, sender: Sender, now_ms: float
    ) -> list[Output]:
        """Probe a member on behalf of another."""
        sequence = self._detector.start("", request.target, now_ms)
        self._relayed[sequence] = (sender.address, request.sequence)
        while len(self._relayed) > MAX_RELAYED_PROBES:
            self._relayed.pop(next(iter(self._relayed)))
        return [Send(request.target, Probe(sequence, self._roster.digest, 0))]
