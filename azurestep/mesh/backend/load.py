"""Mean load of the backend server in the last second, for one log line."""

import attrs

from .. import events
from ..decisions.admission import Admission
from .state import LocalBackend

TICKS_PER_LINE = 10
"""Ticks of 0.1 s that one log line covers."""


@attrs.define(slots=True, eq=False, repr=False)
class LoadSummary:
    """Sums over the ticks of one log line.

    Examples
    --------
    >>> summary = LoadSummary()
    >>> [summary.tick(running=3, waiting=1) for _ in range(TICKS_PER_LINE)][-1]
    True
    >>> summary.running, summary.waiting
    (3.0, 1.0)
    """

    sent: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    _ticks: int = 0
    _running: int = 0
    _waiting: int = 0

    @property
    def running(self) -> float:
        """Mean number of running requests."""
        return round(self._running / max(1, self._ticks), 1)

    @property
    def waiting(self) -> float:
        """Mean number of waiting requests."""
        return round(self._waiting / max(1, self._ticks), 1)

    def tick(self, running: int, waiting: int) -> bool:
        """Add a sample of the queue; return whether the log line is due."""
        self._ticks += 1
        self._running += running
        self._waiting += waiting
        return self._ticks >= TICKS_PER_LINE

    def log(self, backend: LocalBackend) -> None:
        """Write the log line."""
        events.log(
            events.BACKEND_LOAD,
            instance=backend.instance_id,
            service=backend.service,
            slots=backend.slots,
            limit_per_s=backend.rate_limit_per_s,
            running=self.running,
            waiting=self.waiting,
            sent=self.sent,
            answered=self.answered,
            refused=self.refused,
            failed=self.failed,
        )


def tick_load(
    load: LoadSummary, admission: Admission, backend: LocalBackend
) -> LoadSummary:
    """Add a sample of the queue; log a full summary and return the next one."""
    running = len(admission.running)
    if not load.tick(running, len(admission.waiting)):
        return load
    if backend.instance_id:
        load.log(backend)
    return LoadSummary()
