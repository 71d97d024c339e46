"""Completeness check of answers and resumption of truncated ones."""

import attrs

MAX_RESUMPTIONS = 3
WEAK_PREFIX = "W/"
HTTP_PARTIAL_CONTENT = 206


@attrs.frozen
class TruncatedAnswer:
    """An answer whose connection ended before the end of the body.

    Attributes
    ----------
    safe_get : bool
        Whether the request is a GET that may run again.
    declared_bytes : int or None
        Length of the body by its headers; None if not declared.
    delivered_bytes : int
        Bytes of the body already sent to the caller.
    head_delivered : bool
        Whether status line and headers were already sent to the caller.
    entity_tag : str
        ``ETag`` header, empty if there is none.
    accepts_ranges : bool
        Whether ``Accept-Ranges`` names bytes.
    first_byte : int
        Offset of the body's first byte in the resource: 0 for a full answer,
        the start of the range for a partial one.
    resumptions : int
        Resumptions of this answer so far.
    remaining_ms : float
        Time until the caller's deadline.
    """

    safe_get: bool
    declared_bytes: int | None
    delivered_bytes: int
    head_delivered: bool
    entity_tag: str = ""
    accepts_ranges: bool = False
    first_byte: int = 0
    resumptions: int = 0
    remaining_ms: float = float("inf")


@attrs.frozen
class Resume:
    """Request the rest of the body and append it.

    Attributes
    ----------
    range_start, range_end : int
        First and last byte to request, both inclusive.
    if_range : str
        Entity tag for ``If-Range``.
    """

    range_start: int
    range_end: int
    if_range: str


@attrs.frozen
class RetryElsewhere:
    """Nothing was sent to the caller: send the request to another backend server."""


@attrs.frozen
class Abort:
    """Abort the connection to the caller, so that it detects the truncation."""


@attrs.frozen
class ResumedAnswer:
    """Head of the answer to a resumption.

    Attributes
    ----------
    status : int
        HTTP status.
    entity_tag : str
        ``ETag`` header.
    range_start, range_end : int or None
        From ``Content-Range``, both inclusive.
    """

    status: int
    entity_tag: str
    range_start: int | None
    range_end: int | None


def is_whole(
    declared_bytes: int | None, received_bytes: int, ended_cleanly: bool
) -> bool:
    """Return whether a body is complete.

    Parameters
    ----------
    declared_bytes : int or None
        Length by the headers; None for a chunked body.
    received_bytes : int
        Bytes received.
    ended_cleanly : bool
        Whether the end of the body was marked, as by the last chunk.
    """
    if declared_bytes is None:
        return ended_cleanly
    return received_bytes == declared_bytes


def decide_resumption(answer: TruncatedAnswer) -> Resume | RetryElsewhere | Abort:
    """Decide how to continue after a truncated answer."""
    if not answer.safe_get or answer.remaining_ms <= 0:
        return Abort()
    if not answer.head_delivered:
        return RetryElsewhere()
    if not _resumable(answer) or answer.declared_bytes is None:
        return Abort()
    start = answer.first_byte + answer.delivered_bytes
    end = answer.first_byte + answer.declared_bytes - 1
    return Resume(start, end, answer.entity_tag)


def _resumable(answer: TruncatedAnswer) -> bool:
    declared = answer.declared_bytes
    if declared is None or answer.delivered_bytes >= declared:
        return False
    if answer.resumptions >= MAX_RESUMPTIONS:
        return False
    return answer.accepts_ranges and is_strong_tag(answer.entity_tag)


def is_strong_tag(entity_tag: str) -> bool:
    """Return whether equal tags mean equal bytes (RFC 9110, section 8.8.1).

    Examples
    --------
    >>> is_strong_tag('"v1"'), is_strong_tag('W/"v1"'), is_strong_tag("")
    (True, False, False)
    """
    quoted = len(entity_tag) >= 2 and entity_tag[0] == entity_tag[-1] == '"'
    return quoted and not entity_tag.startswith(WEAK_PREFIX)


def is_continuation(requested: Resume, answer: ResumedAnswer) -> bool:
    """Return whether a resumed answer is exactly the requested rest."""
    if answer.status != HTTP_PARTIAL_CONTENT:
        return False
    if answer.entity_tag != requested.if_range:
        return False
    return (answer.range_start, answer.range_end) == (
        requested.range_start,
        requested.range_end,
    )
