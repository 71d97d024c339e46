"""Plan of the load generator."""

import attrs

DEFAULT_TIMEOUT_MS = 5000
DEFAULT_MAX_IN_FLIGHT = 200


@attrs.frozen
class RequestKind:
    """One kind of request.

    Attributes
    ----------
    name : str
        Name in the result.
    weight : float
        Share among the kinds of the plan.
    method, path : str
        Method and path, with its query string.
    host : str, optional
        ``Host`` header; the node's address if None.
    headers : dict of str to str
        Further headers.
    body_bytes : int
        Size of the body sent.
    new_key : bool
        Whether each request gets an ``Idempotency-Key`` of its own, a UUIDv7.
    expected_bytes : int, optional
        Size that a whole body has.
    service : str, optional
        Service whose stand-in must answer; the answer is compared with what it
        serves for this very request.
    timeout_ms : int
        Time that one sending of the request gets.
    resend_on_unknown : bool
        Whether a request that may have run is sent again, with the same key.
    max_sends : int
        Times that one request is sent at most.
    """

    name: str
    weight: float = 1.0
    method: str = "GET"
    path: str = "/"
    host: str | None = None
    headers: dict[str, str] = attrs.Factory(dict)
    body_bytes: int = 0
    new_key: bool = False
    expected_bytes: int | None = None
    service: str | None = None
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    resend_on_unknown: bool = False
    max_sends: int = 3


@attrs.frozen
class LoadPlan:
    """Requests to send, and at which rate.

    Attributes
    ----------
    nodes : tuple of str
        Base URLs; each request goes to one of them, drawn at random.
    kinds : tuple of RequestKind
        Kinds to draw from by weight.
    per_second : float
        Mean rate of the Poisson arrivals, whatever the answers do.
    duration_s : float
        Time in which requests arrive.
    max_in_flight : int
        Requests open at once; arrivals over it are skipped and counted.
    seed : int
        Seed of arrivals, kinds and nodes.
    """

    nodes: tuple[str, ...]
    kinds: tuple[RequestKind, ...]
    per_second: float
    duration_s: float
    max_in_flight: int = DEFAULT_MAX_IN_FLIGHT
    seed: int = 0
