"""One attempt: a request sent to one backend server."""

import asyncio

import aiohttp
import attrs
from multidict import CIMultiDict

from ..balancing import Endpoint, OutcomeKind, next_budget
from ..environment import Clock
from . import headers
from .call import Call, passed_on

MS_PER_S = 1000
SERVER_ERROR = 500
UNAVAILABLE = 503


@attrs.define
class Attempt:
    """What became of one attempt up to the head of its answer.

    Attributes
    ----------
    kind : OutcomeKind
        How it ended.
    latency_ms : float
        Time to the first byte of the answer or to the failure.
    response : aiohttp.ClientResponse or None
        The answer, whose body is still to be read.
    is_final : bool
        Whether a hop below already dealt with the failure.
    """

    kind: OutcomeKind
    latency_ms: float
    response: aiohttp.ClientResponse | None = None
    is_final: bool = False


class AttemptSender:
    """Sends attempts over pooled connections."""

    def __init__(self, session: aiohttp.ClientSession, clock: Clock) -> None:
        self._session = session
        self._clock = clock

    async def send(
        self,
        call: Call,
        endpoint: Endpoint,
        extra: "CIMultiDict[str] | None" = None,
    ) -> Attempt:
        """Send the request and wait for the head of the answer."""
        started_ms = self._clock.monotonic_ms()
        remaining_ms = call.remaining_ms(started_ms)
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / MS_PER_S):
                response = await self._request(call, endpoint, started_ms, extra)
        except aiohttp.ClientConnectorError:
            return self._failed(OutcomeKind.CONNECT_FAILED, started_ms)
        except aiohttp.ConnectionTimeoutError:
            return self._failed(OutcomeKind.CONNECT_FAILED, started_ms)
        except TimeoutError:
            return self._failed(OutcomeKind.TIMEOUT, started_ms)
        except (aiohttp.ClientError, OSError):
            return self._failed(OutcomeKind.RESET, started_ms)
        latency_ms = self._clock.monotonic_ms() - started_ms
        return Attempt(
            _kind_of(response),
            latency_ms,
            response,
            headers.RETRIED in response.headers,
        )

    async def _request(
        self,
        call: Call,
        endpoint: Endpoint,
        started_ms: float,
        extra: "CIMultiDict[str] | None",
    ) -> aiohttp.ClientResponse:
        key = endpoint.key
        fields = passed_on(call.fields)
        fields.pop("Content-Length", None)
        budget = next_budget(call.budget, started_ms - call.arrived_ms)
        fields[headers.DEADLINE_MS] = str(max(1, int(budget.remaining_ms)))
        fields[headers.DEPTH] = str(budget.depth)
        if extra is not None:
            fields.update(extra)
        connect_s = call.match.service.connect_timeout_ms / MS_PER_S
        return await self._session.request(
            call.method,
            f"http://{key.host}:{key.port}{call.target}",
            headers=fields,
            data=call.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s),
        )

    def _failed(self, kind: OutcomeKind, started_ms: float) -> Attempt:
        return Attempt(kind, self._clock.monotonic_ms() - started_ms)


def _kind_of(response: aiohttp.ClientResponse) -> OutcomeKind:
    if response.status == UNAVAILABLE and headers.NOT_RUN in response.headers:
        return OutcomeKind.SHED
    if response.status >= SERVER_ERROR:
        return OutcomeKind.ERROR
    return OutcomeKind.SUCCESS
