"""Callers that pay at real nodes by the rules of ``docs/design/once.md``."""

import asyncio
import random
import time
from collections.abc import Mapping

import aiohttp
import attrs
import orjson

from azurestep.once.key import generate_key, parse_key
from azurestep.once.messages import Outcome
from azurestep.traffic import headers

PATH = "/licences"
SLOTS = 256
PATIENCE_S = 5.0
RETRY_S = 0.5
OTHER = "other"
ANY_SLOT = tuple(range(SLOTS))


@attrs.frozen
class Answer:
    """Answer to one sending.

    Attributes
    ----------
    outcome : str
        Value of an ``Outcome``, or ``OTHER`` for anything else.
    is_final : bool
        Whether no request with this key will ever run.
    open_slots : tuple of int
        Slots that the node named.
    server : str
        Backend server that ran the payment, as host and port; may be empty.
    elapsed_ms : float
        Time until the whole answer was there.
    """

    outcome: str
    is_final: bool = False
    open_slots: tuple[int, ...] = ()
    server: str = ""
    elapsed_ms: float = 0.0


@attrs.frozen
class Copy:
    """One sending of a payment.

    Attributes
    ----------
    key : str
        Idempotency key.
    attempt : int
        Value of ``Azurestep-Attempt``; 1 promises that no copy is unanswered.
    """

    key: str
    attempt: int = 1


@attrs.define
class Payment:
    """One payment over all its keys.

    Attributes
    ----------
    sent_ms : float
        Time of the first sending, from the start of the phase.
    first : str
        Outcome of the first sending.
    last : str
        Outcome of the last sending.
    elapsed_ms : float
        Time from the first sending until the last answer.
    """

    sent_ms: float
    keys: list[str] = attrs.field(factory=list)
    first: str = ""
    last: str = ""
    elapsed_ms: float = 0.0


def answer_of(
    status: int, fields: Mapping[str, str], body: bytes, elapsed_ms: float
) -> Answer:
    """Read the answer of a node."""
    outcome = fields.get(headers.OUTCOME, OTHER)
    if outcome == Outcome.RAN and status != 200:
        outcome = OTHER
    text = fields.get(headers.OPEN_SLOTS, "").partition("/")[0]
    slots = tuple(int(slot) for slot in text.split(",") if slot)
    server = orjson.loads(body).get("instance", "") if status == 200 else ""
    is_final = fields.get(headers.FINAL) == "1"
    return Answer(outcome, is_final, slots, server, elapsed_ms)


def next_copy(
    last: Copy, answer: Answer, now_ms: int, source: random.Random
) -> Copy | None:
    """Return what a caller sends after an answer; None once it is served.

    A new key is safe after a final "not run", or while every copy of the old key
    was answered "not run", which the attempt 1 stands for.
    """
    if answer.outcome == Outcome.RAN:
        return None
    is_not_run = answer.outcome == Outcome.NOT_RUN
    if answer.is_final or (is_not_run and last.attempt == 1):
        slot = source.choice(answer.open_slots or ANY_SLOT)
        return Copy(generate_key(now_ms, slot, source).text)
    return Copy(last.key, last.attempt + 1)


class PayingCaller:
    """Sends payments and notes each one.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that carries the requests.
    host : str
        Host that the routes match.
    source : random.Random
        Source of keys and nodes.
    """

    def __init__(
        self, session: aiohttp.ClientSession, host: str, source: random.Random
    ) -> None:
        self.payments: list[Payment] = []
        self._session = session
        self._host = host
        self._source = source

    def new_copy(self, slots: tuple[int, ...] = ANY_SLOT) -> Copy:
        """Return the first copy of a payment in one of some slots."""
        slot = self._source.choice(slots)
        return Copy(generate_key(now_ms(), slot, self._source).text)

    async def send(self, url: str, copy: Copy) -> Answer:
        """Send one copy and read its answer."""
        started_s = time.perf_counter()
        fields = {
            "Host": self._host,
            headers.IDEMPOTENCY_KEY: copy.key,
            headers.ATTEMPT: str(copy.attempt),
        }
        try:
            async with self._session.post(f"{url}{PATH}", headers=fields) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return Answer(OTHER)
        elapsed_ms = (time.perf_counter() - started_s) * 1000
        return answer_of(response.status, response.headers, body, elapsed_ms)

    async def pay(self, urls: list[str], zero_s: float) -> Payment:
        """Pay once, coming back until served or out of patience."""
        started_s = time.perf_counter()
        payment = Payment((started_s - zero_s) * 1000)
        self.payments.append(payment)
        copy: Copy | None = self.new_copy()
        while copy is not None:
            if copy.key not in payment.keys:
                payment.keys.append(copy.key)
            answer = await self.send(self._source.choice(urls), copy)
            payment.first = payment.first or answer.outcome
            payment.last = answer.outcome
            elapsed_s = time.perf_counter() - started_s
            payment.elapsed_ms = elapsed_s * 1000
            if elapsed_s > PATIENCE_S:
                break
            copy = next_copy(copy, answer, now_ms(), self._source)
            await asyncio.sleep(RETRY_S if copy is not None else 0)
        return payment

    async def pay_for(
        self, urls: list[str], duration_s: float, per_second: float
    ) -> list[Payment]:
        """Pay at a steady rate for some seconds and wait for the last."""
        zero_s = time.perf_counter()
        tasks = []
        for number in range(int(duration_s * per_second)):
            due_s = zero_s + number / per_second
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            tasks.append(asyncio.create_task(self.pay(urls, zero_s)))
        return list(await asyncio.gather(*tasks))


def slot_of(key: str) -> int:
    """Return the slot of a key."""
    return parse_key(key).unwrap().slot(SLOTS)


def now_ms() -> int:
    """Return the wall clock in ms since the epoch."""
    return time.time_ns() // 1_000_000
