"""One request of the load generator: send it, and judge its answer."""

import random
from urllib.parse import parse_qs, urlsplit

import aiohttp
import attrs
import orjson
import uuid6
from multidict import CIMultiDictProxy
from yarl import URL

from .bodies import body_slice
from .load_plan import RequestKind
from .load_result import Outcome
from .protocol_headers import IDEMPOTENCY_KEY, MAY_HAVE_RUN, NOT_RUN, OUTCOME

FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500

UNKNOWN_OUTCOMES = frozenset(
    {
        Outcome.TIMEOUT,
        Outcome.CONNECTION_LOST,
        Outcome.BODY_CUT,
        Outcome.MAY_HAVE_RUN,
    }
)


@attrs.frozen
class Sent:
    """Outcome of one sending, with the HTTP status if there was one."""

    outcome: Outcome
    status: int | None = None

    @property
    def is_unknown(self) -> bool:
        """Return whether the request may have run without an answer to trust."""
        if self.outcome in UNKNOWN_OUTCOMES:
            return True
        if self.outcome is not Outcome.ERROR_STATUS or self.status is None:
            return False
        return self.status >= FIRST_SERVER_ERROR_STATUS


@attrs.frozen
class Call:
    """One request, the same in all its sendings.

    Attributes
    ----------
    kind : RequestKind
        Kind of the request.
    key : str
        Idempotency key; empty for none.
    """

    kind: RequestKind
    key: str = ""


def new_call(kind: RequestKind) -> Call:
    """Return a new request of a kind, with a key of its own if it takes one."""
    key = str(uuid6.uuid7()) if kind.new_key else ""
    return Call(kind, key)


class CallSender:
    """Sends requests to nodes drawn at random.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session with its connections.
    nodes : tuple of str
        Base URLs of the nodes.
    random_source : random.Random
        Source of the node drawn for each sending.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        nodes: tuple[str, ...],
        random_source: random.Random,
    ) -> None:
        self._session = session
        self._nodes = nodes
        self._random = random_source

    async def send(self, call: Call) -> Sent:
        """Send a request once."""
        kind = call.kind
        url = URL(self._random.choice(self._nodes) + kind.path, encoded=True)
        status = None
        try:
            async with self._session.request(
                kind.method,
                url,
                headers=headers_of(call),
                data=bytes(kind.body_bytes) if kind.body_bytes else None,
                timeout=aiohttp.ClientTimeout(total=kind.timeout_ms / 1000),
                allow_redirects=False,
            ) as response:
                status = response.status
                body = await response.read()
        except TimeoutError:
            return Sent(Outcome.TIMEOUT, status)
        except aiohttp.ClientPayloadError:
            return Sent(Outcome.BODY_CUT, status)
        except aiohttp.ClientConnectorError:
            return Sent(Outcome.NOT_CONNECTED)
        except (aiohttp.ClientError, OSError):
            lost = Outcome.CONNECTION_LOST if status is None else Outcome.BODY_CUT
            return Sent(lost, status)
        return Sent(judge(call, status, response.headers, body), status)


def headers_of(call: Call) -> dict[str, str]:
    """Return the headers of a request."""
    headers = dict(call.kind.headers)
    if call.kind.host is not None:
        headers["Host"] = call.kind.host
    if call.key:
        headers[IDEMPOTENCY_KEY] = call.key
    return headers


def judge(
    call: Call, status: int, headers: CIMultiDictProxy[str], body: bytes
) -> Outcome:
    """Return the outcome that a whole answer stands for."""
    if headers.get(NOT_RUN) == "1":
        return Outcome.NOT_RUN
    if headers.get(OUTCOME) == MAY_HAVE_RUN:
        return Outcome.MAY_HAVE_RUN
    if status >= FIRST_ERROR_STATUS:
        return Outcome.ERROR_STATUS
    expected_bytes = call.kind.expected_bytes
    if expected_bytes is not None and len(body) != expected_bytes:
        return Outcome.WRONG_ANSWER
    if not answers_call(call, body):
        return Outcome.WRONG_ANSWER
    return Outcome.OK


def answers_call(call: Call, body: bytes) -> bool:
    """Return whether a body is what the stand-in serves for this request."""
    service = call.kind.service
    if service is None:
        return True
    parts = urlsplit(call.kind.path)
    sizes = parse_qs(parts.query).get("bytes")
    if sizes is not None:
        return body == body_slice(f"{service}{parts.path}", 0, int(sizes[0]))
    try:
        answer = orjson.loads(body)
    except orjson.JSONDecodeError:
        return False
    if answer.get("service") != service:
        return False
    if "key" in answer:
        return answer["key"] == call.key
    return answer.get("path") == parts.path
