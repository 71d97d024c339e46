"""Headers that the platform prescribes for requests and answers.

The rest of the program uses typed fields instead of header names.
"""

import math
import re
from collections.abc import Iterable

import attrs

from ..values import Value

Headers = list[tuple[bytes, bytes]]

REQUEST_ID = b"attempt-id"
DEADLINE = b"deadline-milliseconds"
EXPECTED_INSTANCE = b"expected-instance"
CALLING_SERVICE = b"calling-service"
AUTHORIZATION = b"authorization"
TEAM = b"tenant"
KEY_SCHEME = b"token"
SIGNATURE = b"response-signature"
NOT_RUN = b"not-executed"
INSTANCE = b"instance-id"
SERVER_LOAD = b"server-load"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
IS_LEAVING = b"1"

SET_BY_NODE = frozenset({DEADLINE, EXPECTED_INSTANCE, CALLING_SERVICE})
NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"accept-encoding",
    }
)
"""Headers of one connection or replaced by the node, and ``Accept-Encoding``, so that
answers aren't compressed."""
MAX_REMAINING_MS = 600_000.0
"""Longer deadlines are reduced to this."""
SERVER_PREFIX = b"server-"
"""Begin of the names of headers in which backend servers tell of themselves."""
KNOWN_SERVER_HEADERS = frozenset({SERVER_LOAD, SERVER_LIMIT, SERVER_LEAVING})
NO_RATE_LIMIT = math.inf
"""Rate limit of a backend server that names none."""
NORMAL_PERCENT = 100
"""Fourth figure of the load header of a backend server that is as fast as usual."""
MAX_PERCENT_DIGITS = 6
"""Longer fourth figures can't be meant, and would overflow estimates."""
_DECIMAL = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,15})?")


@attrs.frozen(slots=True, eq=False, repr=False)
class CallerFields(Value):
    """Values of a caller's headers.

    Attributes
    ----------
    request_id : bytes
        Id of the caller's attempt, which retries of the node keep; empty if missing.
    remaining_ms : float or None
        How long the caller waits, counted from the arrival of the request.
    forwarded : Headers
        Headers for the backend server, without those of ``NOT_FORWARDED``, those that
        ``Connection`` names and those that the node sets.
    """

    host: bytes
    request_id: bytes
    remaining_ms: float | None
    forwarded: Headers


@attrs.frozen(slots=True, eq=False, repr=False)
class ServerNotice(Value):
    """What a backend server says about itself in an answer.

    Attributes
    ----------
    rate_limit_per_s : float or None
        Requests per second that it takes from all nodes together; infinite if it names
        no limit, None if the value can't be read.
    leaving : bool
        Whether it is about to stop accepting requests.
    malformed : tuple of bytes
        Names of the headers that can't be read.
    unknown : tuple of bytes
        Names of headers that this program doesn't know.
    """

    rate_limit_per_s: float | None = NO_RATE_LIMIT
    leaving: bool = False
    malformed: tuple[bytes, ...] = ()
    unknown: tuple[bytes, ...] = ()


EMPTY_NOTICE = ServerNotice()


@attrs.frozen(slots=True, eq=False, repr=False)
class ServerLoad(Value):
    """Figures of a backend server's load header; None where it has none."""

    slots: int | None = None
    occupancy: int | None = None
    work_ratio: float | None = None


UNKNOWN_LOAD = ServerLoad()


@attrs.frozen(slots=True, eq=False, repr=False)
class AnswerFields(Value):
    """Values of a backend server's headers.

    Attributes
    ----------
    request_id : bytes
        Id of the answered request; empty if missing.
    signed : bool
        Whether the answer carries a signature.
    not_run : bool
        Whether the backend server reports that it did not run the request.
    instance_id : bytes
        Id of the backend server; empty if missing.
    closing : bool
        Whether the backend server will close the connection.
    keep_alive_ms : float or None
        How long it keeps an idle connection open; None if unknown.
    encoded : bool
        Whether the body has a content encoding, which was not requested.
    slots : int or None
        Number of requests that the backend server runs at once; None if unknown.
    notice : ServerNotice
        What the backend server says about itself.
    forwarded : Headers
        Headers for the caller.
    occupancy : int or None
        Requests that run or wait at the backend server; None if unknown.
    work_ratio : float or None
        How long work currently takes there relative to normal; None if it makes no
        statement.
    """

    request_id: bytes
    signed: bool
    not_run: bool
    instance_id: bytes
    closing: bool
    keep_alive_ms: float | None
    encoded: bool
    slots: int | None
    notice: ServerNotice
    forwarded: Headers
    occupancy: int | None = None
    work_ratio: float | None = None


def parse_remaining_ms(value: bytes) -> float | None:
    """Return a deadline header's milliseconds; None if it is not a number.

    Examples
    --------
    >>> parse_remaining_ms(b"1500")
    1500.0
    >>> parse_remaining_ms(b"-3") is None
    True
    """
    text = value.strip()
    if not text.isdigit():
        return None
    return min(float(text), MAX_REMAINING_MS)


def _connection_options(headers: Headers) -> set[bytes]:
    names: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return names


def read_caller(headers: Headers) -> CallerFields:
    """Read a caller's headers."""
    dropped = _connection_options(headers)
    host = request_id = b""
    remaining_ms = None
    forwarded = []
    for name, value in headers:
        lower = name.lower()
        if lower == REQUEST_ID:
            request_id = value
        elif lower == DEADLINE:
            remaining_ms = parse_remaining_ms(value)
            continue
        elif lower == b"host":
            host = value
        elif lower in NOT_FORWARDED or lower in SET_BY_NODE or lower in dropped:
            continue
        forwarded.append((name, value))
    return CallerFields(host.lower(), request_id, remaining_ms, forwarded)


def read_keys(headers: Headers) -> list[bytes]:
    """Return the keys in a caller's headers; empty ones for other credentials.

    Examples
    --------
    >>> read_keys([(b"authorization", b"token  s3cret "), (b"Accept", b"*/*")])
    [b's3cret']
    >>> read_keys([(b"Authorization", b"Basic YTpi"), (b"Authorization", b"")])
    [b'', b'']
    """
    keys = []
    for name, value in headers:
        if name.lower() == AUTHORIZATION:
            scheme, *key = value.split(maxsplit=1) or [b""]
            known = scheme.lower() == KEY_SCHEME
            keys.append(key[0].strip() if known and key else b"")
    return keys


def replace_credentials(forwarded: Headers, team: str) -> Headers:
    """Return headers for a backend server that name the team instead of its key.

    ``team`` is empty for a request without one.
    """
    kept = [
        field for field in forwarded if field[0].lower() not in (AUTHORIZATION, TEAM)
    ]
    if team:
        kept.append((b"Tenant", team.encode()))
    return kept


def _keep_alive_ms(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number) * 1000
    return None


def read_answer(headers: Headers) -> AnswerFields:
    """Read a backend server's headers."""
    values = {name.lower(): value for name, value in headers}
    connection_options = _connection_options(headers)
    dropped = NOT_FORWARDED | connection_options | {SERVER_LOAD}
    keep_alive = values.get(b"keep-alive")
    load = parse_load(values.get(SERVER_LOAD, b""))
    return AnswerFields(
        request_id=values.get(REQUEST_ID, b""),
        signed=SIGNATURE in values,
        not_run=NOT_RUN in values,
        instance_id=values.get(INSTANCE, b""),
        closing=b"close" in connection_options,
        keep_alive_ms=None if keep_alive is None else _keep_alive_ms(keep_alive),
        encoded=b"content-encoding" in values,
        slots=load.slots,
        notice=_notice(headers, values),
        forwarded=[field for field in headers if field[0].lower() not in dropped],
        occupancy=load.occupancy,
        work_ratio=load.work_ratio,
    )


def _notice(headers: Headers, names: Iterable[bytes]) -> ServerNotice:
    """Return the notice in an answer's headers.

    A header that is repeated with different values can't be read.
    """
    told = [one for one in names if one.startswith(SERVER_PREFIX)]
    if not told or told == [SERVER_LOAD]:
        return EMPTY_NOTICE
    malformed = []
    rate_limit_per_s: float | None = NO_RATE_LIMIT
    limits = _distinct_values(headers, SERVER_LIMIT)
    if limits:
        rate_limit_per_s = parse_rate_limit(limits.pop()) if len(limits) == 1 else None
        if rate_limit_per_s is None:
            malformed.append(SERVER_LIMIT)
    leaving = _distinct_values(headers, SERVER_LEAVING)
    if leaving and leaving != {IS_LEAVING}:
        malformed.append(SERVER_LEAVING)
    return ServerNotice(
        rate_limit_per_s,
        leaving == {IS_LEAVING},
        tuple(malformed),
        tuple(one for one in told if one not in KNOWN_SERVER_HEADERS),
    )


def _distinct_values(headers: Headers, wanted: bytes) -> set[bytes]:
    return {value.strip() for name, value in headers if name.lower() == wanted}


def parse_rate_limit(value: bytes) -> float | None:
    """Return a limit header's requests per second; None if it is no decimal number.

    Examples
    --------
    >>> parse_rate_limit(b"47.9")
    47.9
    >>> [parse_rate_limit(value) for value in (b"", b"-1", b"nan", b"1e3", b"many")]
    [None, None, None, None, None]
    """
    return float(value) if _DECIMAL.fullmatch(value) else None


def parse_load(value: bytes) -> ServerLoad:
    """Return the figures of a load header (``running,waiting,slots[,percent]``).

    A fourth figure that can't be read is no statement, and leaves the others valid.

    Examples
    --------
    >>> parse_load(b"3,1,8,250")
    ServerLoad(slots=8, occupancy=4, work_ratio=2.5)
    >>> parse_load(b"3,0,8,slow").work_ratio is None
    True
    >>> parse_load(b"3")
    ServerLoad(slots=None, occupancy=None, work_ratio=None)
    """
    running, waiting, slots, percent = _split_load(value)
    if not slots.isdigit():
        return UNKNOWN_LOAD
    counted = running.isdigit() and waiting.isdigit()
    is_stated = len(percent) <= MAX_PERCENT_DIGITS and percent.isdigit()
    return ServerLoad(
        max(1, int(slots)),
        int(running) + int(waiting) if counted else None,
        int(percent) / NORMAL_PERCENT if is_stated and int(percent) else None,
    )


def _split_load(value: bytes) -> tuple[bytes, bytes, bytes, bytes]:
    """Return the four figures of a load header, empty where it has none."""
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) not in (3, 4):
        return b"", b"", b"", b""
    percent = parts[3] if len(parts) == 4 else b""
    return parts[0], parts[1], parts[2], percent


def to_backend(
    forwarded: Headers, remaining_ms: float, instance_id: bytes, calling_service: bytes
) -> list[bytes]:
    """Return the header lines of a request for a backend server."""
    lines = [b"%b: %b\r\n" % field for field in forwarded]
    lines.append(b"Deadline-Milliseconds: %d\r\n" % max(1, int(remaining_ms)))
    lines.append(b"Expected-Instance: %b\r\n" % instance_id)
    lines.append(b"Calling-Service: %b\r\n" % calling_service)
    return lines
