"""Quarantine of requests that crash the backend servers that run them.

A fingerprint whose request was in flight on a backend server that died is a
suspect. It is refused if all of these hold:

- it was in flight at the deaths of ``deaths_to_refuse`` distinct servers,
- those deaths outnumber its answers, and
- a coincidence is improbable at the recent rate of other deaths.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

from ..endpoint_key import EndpointKey
from .suspects import QuarantineStatus, QuarantineUpdate, Suspect

DEATHS_TO_REFUSE = 2
TABLE_SIZE = 1024
REFUSAL_MS = 600_000.0
SUSPICION_MS = 300_000.0
PENDING_MS = 10_000.0
DEATH_WINDOW_MS = 10_000.0
MAX_PROBABILITY = 0.01
PRIOR_DEATHS = 0.1
MAX_RECORDED_DEATHS = 256


class Quarantine:
    """Bounded table of the suspects of one service at one node.

    Parameters
    ----------
    deaths_to_refuse : int
        Number of distinct deaths required to refuse a fingerprint.
    size : int
        Maximum number of records; the least recently used one is evicted first.
    weigh_chance : bool
        Whether the probability of a coincidence is considered.
    """

    def __init__(
        self,
        deaths_to_refuse: int = DEATHS_TO_REFUSE,
        size: int = TABLE_SIZE,
        weigh_chance: bool = True,
    ) -> None:
        self._deaths_to_refuse = deaths_to_refuse
        self._size = size
        self._weigh_chance = weigh_chance
        self._suspects: OrderedDict[int, Suspect] = OrderedDict()
        self._deaths: deque[tuple[float, EndpointKey]] = deque(
            maxlen=MAX_RECORDED_DEATHS
        )
        self._dead: dict[EndpointKey, float] = {}
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
        if len(suspect.deaths) > suspect.survivals or suspect.pending:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def servers_with_suspects(self, now_ms: float) -> tuple[EndpointKey, ...]:
        """Return the servers that run a suspect, which other suspects must avoid.

        With two suspects on one server, its death could not be attributed.
        """
        return tuple(
            key
            for suspect in self._suspects.values()
            for key, count in suspect.running.items()
            if count > 0
        )

    def record_start(self, fingerprint: int, key: EndpointKey, now_ms: float) -> None:
        """Record the start of an attempt."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.running[key] = suspect.running.get(key, 0) + 1

    def record_answer(self, fingerprint: int, key: EndpointKey, now_ms: float) -> None:
        """Record an answer to an attempt, which the server survived."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        self._count_end(suspect, key)
        suspect.survivals += 1
        if suspect.survivals >= len(suspect.deaths) and not suspect.pending:
            self._drop(fingerprint)

    def record_end(self, fingerprint: int, key: EndpointKey) -> None:
        """Record the end of an attempt without evidence for or against it."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            self._count_end(suspect, key)

    def record_loss(self, fingerprint: int, key: EndpointKey, now_ms: float) -> None:
        """Record a connection lost before the first byte of the answer."""
        suspect = self._get_or_create(fingerprint, now_ms)
        self._count_end(suspect, key)
        if key in self._dead:
            self._attribute_death(suspect, key, now_ms)
            return
        suspect.pending[key] = now_ms

    def record_death(
        self, key: EndpointKey, now_ms: float, servers: int
    ) -> list[QuarantineUpdate]:
        """Record the confirmed death of a backend server.

        Parameters
        ----------
        key : EndpointKey
            Key of the server.
        now_ms : float
            Current time.
        servers : int
            Number of backend servers of the service, including dead ones.

        Returns
        -------
        list of QuarantineUpdate
            Updates for the other nodes.
        """
        if key in self._dead:
            return []
        self._add_death(key, now_ms)
        self._servers = max(servers, 1)
        updates = []
        for fingerprint, suspect in self._suspects.items():
            if suspect.pending.pop(key, None) is None:
                continue
            self._attribute_death(suspect, key, now_ms)
            updates.append(self._make_update(fingerprint, suspect, now_ms))
        return updates

    def record_alive(self, key: EndpointKey) -> None:
        """Record that a server is alive in spite of lost connections."""
        for fingerprint, suspect in list(self._suspects.items()):
            suspect.pending.pop(key, None)
            if not suspect.pending and not suspect.deaths:
                self._drop(fingerprint)

    def export(self, now_ms: float) -> list[QuarantineUpdate]:
        """Return all records that other nodes need."""
        return [
            self._make_update(fingerprint, suspect, now_ms)
            for fingerprint, suspect in self._suspects.items()
            if suspect.deaths
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
            for key in update.deaths:
                if key not in self._dead:
                    self._add_death(key, now_ms)
                suspect.deaths.add(key)
            until_ms = now_ms + min(update.refused_for_ms, REFUSAL_MS)
            if update.refused_for_ms > 0:
                suspect.refused_until_ms = max(suspect.refused_until_ms, until_ms)
            self._refuse_likely_cause(suspect, now_ms)

    def _get_current(self, fingerprint: int, now_ms: float) -> Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        _expire_pending(suspect, now_ms)
        if now_ms >= suspect.expiry_ms or not (suspect.deaths or suspect.pending):
            self._drop(fingerprint)
            return None
        return suspect

    def _get_or_create(self, fingerprint: int, now_ms: float) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = Suspect()
            self._suspects[fingerprint] = suspect
        self._suspects.move_to_end(fingerprint)
        suspect.expiry_ms = now_ms + SUSPICION_MS
        while len(self._suspects) > self._size:
            self._suspects.popitem(last=False)
        return suspect

    def _drop(self, fingerprint: int) -> None:
        del self._suspects[fingerprint]

    def _count_end(self, suspect: Suspect, key: EndpointKey) -> None:
        count = suspect.running.get(key, 0) - 1
        if count > 0:
            suspect.running[key] = count
        else:
            suspect.running.pop(key, None)

    def _add_death(self, key: EndpointKey, now_ms: float) -> None:
        if len(self._deaths) == self._deaths.maxlen:
            self._dead.pop(self._deaths[0][1], None)
        self._deaths.append((now_ms, key))
        self._dead[key] = now_ms

    def _attribute_death(
        self, suspect: Suspect, key: EndpointKey, now_ms: float
    ) -> None:
        suspect.deaths.add(key)
        self._refuse_likely_cause(suspect, now_ms)

    def _refuse_likely_cause(self, suspect: Suspect, now_ms: float) -> None:
        count = len(suspect.deaths)
        if count < self._deaths_to_refuse or suspect.survivals >= count:
            return
        if self._weigh_chance and self._probability(suspect, now_ms) > MAX_PROBABILITY:
            return
        suspect.refused_until_ms = max(suspect.refused_until_ms, now_ms + REFUSAL_MS)
        suspect.expiry_ms = max(suspect.expiry_ms, suspect.refused_until_ms)

    def _probability(self, suspect: Suspect, now_ms: float) -> float:
        window_start_ms = now_ms - DEATH_WINDOW_MS
        others = sum(
            at_ms >= window_start_ms and key not in suspect.deaths
            for at_ms, key in self._deaths
        )
        ratio = min(1.0, (others + PRIOR_DEATHS) / self._servers)
        return ratio ** len(suspect.deaths)

    def _make_update(
        self, fingerprint: int, suspect: Suspect, now_ms: float
    ) -> QuarantineUpdate:
        refused_for_ms = max(0.0, suspect.refused_until_ms - now_ms)
        return QuarantineUpdate(fingerprint, tuple(suspect.deaths), refused_for_ms)


def _expire_pending(suspect: Suspect, now_ms: float) -> None:
    for key, lost_ms in list(suspect.pending.items()):
        if now_ms - lost_ms > PENDING_MS:
            del suspect.pending[key]
