"""HTTP answers to non-idempotent requests.

Slots are the parts of the key space that owners are assigned to.
"""

import math

import orjson
from aiohttp import web
from multidict import CIMultiDict

from ..once.messages import AnswerCaller, KeptAnswer, Outcome, Reason
from . import headers

STATUS_BY_REASON = {
    Reason.KEY_INVALID: 400,
    Reason.KEY_REUSED: 422,
    Reason.OWNER_SILENT: 504,
    Reason.DISPATCH_LOST: 502,
    Reason.IN_PROGRESS: 409,
    Reason.DEADLINE_PASSED: 504,
}
DEFAULT_STATUS = 503
MS_PER_S = 1000


def make_http_answer(answer: AnswerCaller) -> web.Response:
    """Return the HTTP answer for the outcome of a request."""
    fields: CIMultiDict[str] = CIMultiDict()
    fields[headers.OUTCOME] = answer.outcome.value
    fields[headers.IDEMPOTENCY_KEY] = answer.key
    if answer.replayed:
        fields[headers.REPLAYED] = "1"
    if answer.outcome is Outcome.RAN and answer.answer is not None:
        return _make_kept_answer(answer.answer, fields)
    fields[headers.REASON] = answer.reason.value
    if answer.outcome is Outcome.NOT_RUN:
        fields[headers.NOT_RUN] = "1"
    if answer.final:
        fields[headers.FINAL] = "1"
    if answer.retry_after_ms:
        seconds = math.ceil(answer.retry_after_ms / MS_PER_S)
        fields[headers.RETRY_AFTER] = str(seconds)
        fields[headers.RETRY_AFTER_MS] = str(answer.retry_after_ms)
    if answer.open_slots:
        slots = ",".join(str(slot) for slot in answer.open_slots)
        fields[headers.OPEN_SLOTS] = f"{slots}/{answer.slot_count}"
    body = orjson.dumps(
        {
            "outcome": answer.outcome.value,
            "reason": answer.reason.value,
            "remedy": answer.remedy,
        }
    )
    status = STATUS_BY_REASON.get(answer.reason, DEFAULT_STATUS)
    return web.Response(
        status=status, body=body, headers=fields, content_type="application/json"
    )


def _make_kept_answer(kept: KeptAnswer, fields: "CIMultiDict[str]") -> web.Response:
    if kept.trimmed:
        fields[headers.TRIMMED] = "1"
    for header in kept.headers:
        fields.add(header.name, header.value)
    return web.Response(status=kept.status, body=kept.body, headers=fields)
