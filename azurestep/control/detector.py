"""Failure detector: probes, indirect probes, suspicion.

An unanswered probe is retried on a new connection and through helpers before
the member is suspected, since only the connection may have failed.
"""

import random

import attrs

from ..settings import Address, ControlSettings

MAX_RETRIES = 2


@attrs.define
class PendingProbe:
    """A probe without an ack so far.

    Attributes
    ----------
    instance : str
        Member that was probed; empty for a remote bridge or relayed probe.
    to : Address
        Address that was probed.
    sent_ms : float
        Monotonic time of the first attempt.
    retries : int
        Number of retries so far, each on a new connection.
    is_relay_confirmed : bool
        Whether a helper received an ack from the member.
    """

    instance: str
    to: Address
    sent_ms: float
    retries: int = 0
    is_relay_confirmed: bool = False


@attrs.frozen
class ProbeRetry:
    """A probe to retry on a new connection and through helpers."""

    sequence: int
    probe: PendingProbe


@attrs.frozen
class ProbeFailure:
    """A probe that got no ack, also after its retries."""

    probe: PendingProbe


class Detector:
    """Tracks the pending probes of one node."""

    def __init__(self, settings: ControlSettings, source: random.Random) -> None:
        self._settings = settings
        self._random = source
        self._sequence = 0
        self._pending: dict[int, PendingProbe] = {}
        self._next_probe_ms = 0.0
        self._turn = 0

    def is_due(self, now_ms: float) -> bool:
        """Whether it is time for the next probe; jitter desynchronises the nodes."""
        if now_ms < self._next_probe_ms:
            return False
        interval_ms = self._settings.probe_interval_ms
        self._next_probe_ms = now_ms + interval_ms * self._random.uniform(0.9, 1.1)
        return True

    def next_target(self, targets: list[str]) -> str | None:
        """Return the next member, round robin."""
        if not targets:
            return None
        self._turn += 1
        return targets[self._turn % len(targets)]

    def start(self, instance: str, to: Address, now_ms: float) -> int:
        """Record a probe and return its sequence number."""
        self._sequence += 1
        self._pending[self._sequence] = PendingProbe(instance, to, now_ms)
        return self._sequence

    def record_ack(self, sequence: int) -> PendingProbe | None:
        """Remove and return the probe that an ack belongs to."""
        return self._pending.pop(sequence, None)

    def record_relayed_ack(self, sequence: int) -> None:
        """Record that a helper received an ack from the member.

        The probe is still retried, since that replaces the direct connection.
        """
        probe = self._pending.get(sequence)
        if probe is not None:
            probe.is_relay_confirmed = True

    def expire(self, now_ms: float) -> list[ProbeRetry | ProbeFailure]:
        """Return the probes to retry and those that failed."""
        timeout_ms = self._settings.probe_timeout_ms
        results: list[ProbeRetry | ProbeFailure] = []
        for sequence, probe in list(self._pending.items()):
            waited_ms = now_ms - probe.sent_ms
            if waited_ms >= (MAX_RETRIES + 1) * timeout_ms:
                del self._pending[sequence]
                if not probe.is_relay_confirmed:
                    results.append(ProbeFailure(probe))
            elif waited_ms >= (probe.retries + 1) * timeout_ms:
                probe.retries += 1
                results.append(ProbeRetry(sequence, probe))
        return results
