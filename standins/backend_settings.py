"""Settings, faults and answers of the backend server stand-in."""

import attrs

from .serving import DEFAULT_HOST

COLD_DELAY_MS = 50.0


@attrs.frozen
class BackendServerSettings:
    """Settings of one backend server instance.

    Attributes
    ----------
    service : str
        Name of the service.
    host, port : str, int
        Address to listen on; port 0 takes a free one.
    announce_url : str, optional
        Base URL of the node's announce endpoint; None announces nothing.
    slots : int
        Requests run at once; further ones are answered "not run".
    connections : int
        Connections accepted; further ones are closed at once.
    delay_ms : float
        Time that a request takes.
    cold_start_ms : float
        Time after the start in which requests take longer.
    seed : int
        Seed of the random faults and of the jitter.
    exit_on_crash : bool
        Whether a crash ends the process; if not, it aborts the connections and
        stops listening.
    """

    service: str
    host: str = DEFAULT_HOST
    port: int = 0
    announce_url: str | None = None
    slots: int = 12
    connections: int = 130
    delay_ms: float = 0.0
    cold_start_ms: float = 0.0
    seed: int = 0
    exit_on_crash: bool = False


@attrs.frozen
class Faults:
    """Faults of a backend server; the defaults are none.

    Attributes
    ----------
    slow_factor : float
        Factor on the time that requests take.
    fast_error_ratio : float
        Share of the requests answered with 500 at once, without a run.
    frozen_load : bool
        The load endpoint stays at what it was when the fault was set.
    false_load : int, optional
        Requests in flight that the load endpoint claims.
    false_health : bool, optional
        Health that the health endpoint claims.
    """

    slow_factor: float = 1.0
    fast_error_ratio: float = 0.0
    frozen_load: bool = False
    false_load: int | None = None
    false_health: bool | None = None


@attrs.frozen
class Load:
    """Answer of the load endpoint: requests in flight, and slots."""

    in_flight: int
    slots: int


@attrs.frozen
class Health:
    """Answer of the health endpoint."""

    healthy: bool
    in_flight: int
    slots: int


@attrs.define
class Counts:
    """What a backend server did so far.

    Attributes
    ----------
    requests : int
        Requests that began, refused ones included.
    started, completed : int
        Requests that took a slot, and those of them that were answered.
    refused : int
        Requests answered "not run" for want of a slot.
    fast_errors : int
        Requests answered with 500 by the fault.
    cancelled : int
        Requests stopped because their caller went away.
    deadlines_passed : int
        Requests stopped at their deadline.
    bodies_cut : int
        Bodies cut short on demand.
    peak_in_flight : int
        Most requests run at once.
    """

    requests: int = 0
    started: int = 0
    completed: int = 0
    refused: int = 0
    fast_errors: int = 0
    cancelled: int = 0
    deadlines_passed: int = 0
    bodies_cut: int = 0
    peak_in_flight: int = 0


@attrs.frozen
class ResourceAnswer:
    """Answer to a request without a body."""

    service: str
    instance: str
    path: str
    method: str
    run: int


@attrs.frozen
class RunAnswer:
    """Answer to a request that counted a run under its key."""

    service: str
    instance: str
    key: str
    runs: int


def cold_delay_ms(age_ms: float, cold_start_ms: float) -> float:
    """Return the time that a request takes longer after a cold start.

    Parameters
    ----------
    age_ms : float
        Time since the start.
    cold_start_ms : float
        Time over which the delay falls to nothing.

    Examples
    --------
    >>> cold_delay_ms(age_ms=0, cold_start_ms=1000)
    50.0
    >>> cold_delay_ms(age_ms=500, cold_start_ms=1000)
    25.0
    >>> cold_delay_ms(age_ms=2000, cold_start_ms=1000)
    0.0
    """
    if age_ms >= cold_start_ms:
        return 0.0
    return COLD_DELAY_MS * (1 - age_ms / cold_start_ms)
