"""The answer of the backend server while it arrives."""

import attrs

from ...http.client import Headers
from ...platform.headers import AnswerFields, ServerNotice, read_answer
from .. import events

MISDIRECTED = 421


@attrs.define(slots=True, eq=False, repr=False)
class PartialAnswer:
    """Head and body of an answer while it arrives.

    Attributes
    ----------
    fields : AnswerFields or None
        Parsed headers; None before the head arrived.
    length_bytes : int
        Length of the body according to its head; -1 if the head gives none.
    size_bytes : int
        Bytes of the body so far, forwarded or not.
    """

    status: int = 0
    fields: AnswerFields | None = None
    length_bytes: int = -1
    size_bytes: int = 0
    _body: list[bytes] = attrs.field(factory=list)

    def apply_head(self, status: int, headers: Headers, request_id: bytes) -> bool:
        """Apply the head; False if it belongs to another request."""
        fields = read_answer(headers)
        if not _is_answer_to(fields, status, request_id):
            events.log(
                events.UNMATCHED_ANSWER,
                id=request_id,
                named=fields.request_id,
                status=status,
            )
            return False
        self.status = status
        self.fields = fields
        for name, value in headers:
            if name.lower() == b"content-length" and value.isdigit():
                self.length_bytes = int(value)
        return True

    def add(self, data: bytes) -> None:
        """Buffer a part of the body."""
        self._body.append(data)
        self.size_bytes += len(data)

    def pop_body(self) -> bytes:
        """Return the buffered part of the body and clear the buffer."""
        body, self._body = b"".join(self._body), []
        return body

    def trusted_notice(
        self, request_id: bytes, instance_id: bytes
    ) -> ServerNotice | None:
        """Return the notice of the backend server that the request was meant for.

        None if another one answered, or the answer names no request or may have been
        altered on its way.
        """
        fields = self.fields
        if fields is None or fields.request_id != request_id:
            return None
        if fields.instance_id not in (b"", instance_id):
            return None
        refused = fields.not_run and self.status != MISDIRECTED
        return fields.notice if self.is_authentic or refused else None

    @property
    def work_ratio(self) -> float | None:
        """How long work takes at the backend server by its answer; None if unsaid."""
        return None if self.fields is None else self.fields.work_ratio

    @property
    def is_authentic(self) -> bool:
        """Whether the backend server signed the body and nothing re-encoded it."""
        fields = self.fields
        return fields is not None and fields.signed and not fields.encoded


def _is_answer_to(fields: AnswerFields, status: int, request_id: bytes) -> bool:
    """Whether an answer is for the request; a refusal may omit the id."""
    if fields.request_id == request_id:
        return True
    return not fields.request_id and (fields.not_run or status == MISDIRECTED)
