"""Settings and faults of the log stand-in."""

import attrs

from .log_store import Retention
from .serving import DEFAULT_HOST


@attrs.frozen
class LogSettings:
    """Settings of the log stand-in.

    Attributes
    ----------
    host, port : str, int
        Address to listen on; port 0 takes a free one.
    appends_per_second, burst : float
        Capacity for appends, over all streams.
    retention : Retention
        How long records are kept.
    seed : int
        Seed of the random faults.
    """

    host: str = DEFAULT_HOST
    port: int = 0
    appends_per_second: float = 500.0
    burst: float = 100.0
    retention: Retention = Retention()
    seed: int = 0


@attrs.frozen
class Faults:
    """Faults of the log stand-in; the defaults are none.

    Attributes
    ----------
    outage : bool
        Answer every request to a stream with 503.
    lose_answer_ratio : float
        Share of the appends that take effect and whose connection is then
        closed without an answer.
    delay_ms : float
        Time that each request waits before anything else happens.
    hang : bool
        Answer nothing until the fault is cleared; held requests then go on.
    seed : int, optional
        Seed of the random faults from now on; None goes on with the current one.
    """

    outage: bool = False
    lose_answer_ratio: float = 0.0
    delay_ms: float = 0.0
    hang: bool = False
    seed: int | None = None
