"""Table of suspects and the rule that refuses them.

A fingerprint whose request was in flight on a backend server that crashed is a
suspect. It is refused if all of these hold:

- it was in flight at the crashes of ``crashes_to_refuse`` distinct servers,
- those crashes outnumber its answers, and
- the estimated probability that the crashes are unrelated to it is at most
  ``MAX_COINCIDENCE_PROBABILITY``.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

from ..endpoint_key import EndpointKey
from .suspects import QuarantineStatus, QuarantineUpdate, Suspect

CRASHES_TO_REFUSE = 2
TABLE_SIZE = 1024
REFUSAL_MS = 600_000.0
"""Duration of a quarantine."""
SUSPECT_EXPIRY_MS = 300_000.0
"""Time since the last lost connection or update after which a suspect expires."""
UNCONFIRMED_LOSS_MS = 10_000.0
"""Time after which a lost connection no longer counts as a possible crash."""
CRASH_WINDOW_MS = 10_000.0
"""Age up to which crashes without the suspect count for the probability."""
MAX_COINCIDENCE_PROBABILITY = 0.01
"""Probability of unrelated crashes above which a suspect isn't refused."""
PRIOR_CRASHES = 0.1
"""Added to the count of other crashes, so that the estimate is never zero."""
MAX_RECORDED_CRASHES = 256


class Quarantine:
    """Bounded table of the suspects of one service at one node.

    Parameters
    ----------
    crashes_to_refuse : int
        Number of distinct crashes required to refuse a fingerprint.
    size : int
        Maximum number of records; the least recently used one is evicted first.
    check_coincidence : bool
        Whether to refuse only if the crashes are unlikely to be unrelated.
    """

    def __init__(
        self,
        crashes_to_refuse: int = CRASHES_TO_REFUSE,
        size: int = TABLE_SIZE,
        check_coincidence: bool = True,
    ) -> None:
        self._crashes_to_refuse = crashes_to_refuse
        self._size = size
        self._check_coincidence = check_coincidence
        self._suspects: OrderedDict[int, Suspect] = OrderedDict()
        self._crashes: deque[tuple[float, EndpointKey]] = deque(
            maxlen=MAX_RECORDED_CRASHES
        )
        self._crashed: dict[EndpointKey, float] = {}
        self._servers = 1

    def __len__(self) -> int:
        return len(self._suspects)

    @property
    def active(self) -> bool:
        """Whether there are any records; without them no fingerprint is needed."""
        return bool(self._suspects)

    def status_of(self, fingerprint: int, now_ms: float) -> QuarantineStatus:
        """Return how to treat a request."""
        suspect = self._get_current(fingerprint, now_ms)
        if suspect is None:
            return QuarantineStatus.CLEAR
        if suspect.refused_until_ms > now_ms:
            return QuarantineStatus.REFUSED
        if len(suspect.crashes) > suspect.answers or suspect.pending:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def servers_with_suspects(self, now_ms: float) -> tuple[EndpointKey, ...]:
        """Return the servers that run a suspect, which other suspects must avoid.

        With two suspects on one server, its crash could not be attributed.
        """
        return tuple(
            key
            for suspect in self._suspects.values()
            for key, count in suspect.in_flight.items()
            if count > 0
        )

    def record_start(self, fingerprint: int, key: EndpointKey, now_ms: float) -> None:
        """Record the start of an attempt."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.in_flight[key] = suspect.in_flight.get(key, 0) + 1

    def record_answer(self, fingerprint: int, key: EndpointKey, now_ms: float) -> None:
        """Record an answer, which shows that the request did not crash the server."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        self._count_end(suspect, key)
        suspect.answers += 1
        if suspect.answers >= len(suspect.crashes) and not suspect.pending:
            self._drop(fingerprint)

    def record_end(self, fingerprint: int, key: EndpointKey) -> None:
        """Record the end of an attempt that was neither answered nor lost."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            self._count_end(suspect, key)

    def record_loss(self, fingerprint: int, key: EndpointKey, now_ms: float) -> None:
        """Record a connection lost before the first byte of the answer."""
        suspect = self._get_or_create(fingerprint, now_ms)
        self._count_end(suspect, key)
        if key in self._crashed:
            self._attribute_crash(suspect, key, now_ms)
            return
        suspect.pending[key] = now_ms

    def record_crash(
        self, key: EndpointKey, now_ms: float, servers: int
    ) -> list[QuarantineUpdate]:
        """Record the confirmed crash of a backend server.

        Parameters
        ----------
        key : EndpointKey
            Key of the server.
        now_ms : float
            Current time.
        servers : int
            Number of backend servers of the service, including crashed ones.

        Returns
        -------
        list of QuarantineUpdate
            Updates for the other nodes.
        """
        if key in self._crashed:
            return []
        self._add_crash(key, now_ms)
        self._servers = max(servers, 1)
        updates = []
        for fingerprint, suspect in self._suspects.items():
            if suspect.pending.pop(key, None) is None:
                continue
            self._attribute_crash(suspect, key, now_ms)
            updates.append(self._make_update(fingerprint, suspect, now_ms))
        return updates

    def record_alive(self, key: EndpointKey) -> None:
        """Record that a server is alive in spite of lost connections."""
        for fingerprint, suspect in list(self._suspects.items()):
            suspect.pending.pop(key, None)
            if not suspect.pending and not suspect.crashes:
                self._drop(fingerprint)

    def export(self, now_ms: float) -> list[QuarantineUpdate]:
        """Return all records that other nodes need."""
        return [
            self._make_update(fingerprint, suspect, now_ms)
            for fingerprint, suspect in self._suspects.items()
            if suspect.crashes
        ]

    def merge(
        self,
        updates: Iterable[QuarantineUpdate],
        now_ms: float,
        servers: int | None = None,
    ) -> None:
        """Merge updates of other nodes.

        Parameters
        ----------
        updates : iterable of QuarantineUpdate
            Received updates.
        now_ms : float
            Current time.
        servers : int or None
            Number of backend servers of the service; None keeps the last known number.
            A number that is too small makes refusals rarer.
        """
        if servers is not None:
            self._servers = max(servers, 1)
        for update in updates:
            suspect = self._get_or_create(update.fingerprint, now_ms)
            for key in update.crashes:
                if key not in self._crashed:
                    self._add_crash(key, now_ms)
                suspect.crashes.add(key)
            until_ms = now_ms + min(update.refused_for_ms, REFUSAL_MS)
            if update.refused_for_ms > 0:
                suspect.refused_until_ms = max(suspect.refused_until_ms, until_ms)
            self._refuse_if_likely_cause(suspect, now_ms)

    def _get_current(self, fingerprint: int, now_ms: float) -> Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        _expire_pending(suspect, now_ms)
        if now_ms >= suspect.expiry_ms or not (suspect.crashes or suspect.pending):
            self._drop(fingerprint)
            return None
        return suspect

    def _get_or_create(self, fingerprint: int, now_ms: float) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = Suspect()
            self._suspects[fingerprint] = suspect
        self._suspects.move_to_end(fingerprint)
        suspect.expiry_ms = now_ms + SUSPECT_EXPIRY_MS
        while len(self._suspects) > self._size:
            self._suspects.popitem(last=False)
        return suspect

    def _drop(self, fingerprint: int) -> None:
        del self._suspects[fingerprint]

    def _count_end(self, suspect: Suspect, key: EndpointKey) -> None:
        count = suspect.in_flight.get(key, 0) - 1
        if count > 0:
            suspect.in_flight[key] = count
        else:
            suspect.in_flight.pop(key, None)

    def _add_crash(self, key: EndpointKey, now_ms: float) -> None:
        if len(self._crashes) == self._crashes.maxlen:
            self._crashed.pop(self._crashes[0][1], None)
        self._crashes.append((now_ms, key))
        self._crashed[key] = now_ms

    def _attribute_crash(
        self, suspect: Suspect, key: EndpointKey, now_ms: float
    ) -> None:
        suspect.crashes.add(key)
        self._refuse_if_likely_cause(suspect, now_ms)

    def _refuse_if_likely_cause(self, suspect: Suspect, now_ms: float) -> None:
        count = len(suspect.crashes)
        if count < self._crashes_to_refuse or suspect.answers >= count:
            return
        if (
            self._check_coincidence
            and self._coincidence_probability(suspect, now_ms)
            > MAX_COINCIDENCE_PROBABILITY
        ):
            return
        suspect.refused_until_ms = max(suspect.refused_until_ms, now_ms + REFUSAL_MS)
        suspect.expiry_ms = max(suspect.expiry_ms, suspect.refused_until_ms)

    def _coincidence_probability(self, suspect: Suspect, now_ms: float) -> float:
        """Estimate the probability that all crashes were unrelated to a suspect.

        It is the share of servers that crashed without the suspect in the window, to
        the power of the number of its crashes.
        """
        window_start_ms = now_ms - CRASH_WINDOW_MS
        others = sum(
            at_ms >= window_start_ms and key not in suspect.crashes
            for at_ms, key in self._crashes
        )
        ratio = min(1.0, (others + PRIOR_CRASHES) / self._servers)
        return ratio ** len(suspect.crashes)

    def _make_update(
        self, fingerprint: int, suspect: Suspect, now_ms: float
    ) -> QuarantineUpdate:
        refused_for_ms = max(0.0, suspect.refused_until_ms - now_ms)
        return QuarantineUpdate(fingerprint, tuple(suspect.crashes), refused_for_ms)


def _expire_pending(suspect: Suspect, now_ms: float) -> None:
    for key, lost_ms in list(suspect.pending.items()):
        if now_ms - lost_ms > UNCONFIRMED_LOSS_MS:
            del suspect.pending[key]
