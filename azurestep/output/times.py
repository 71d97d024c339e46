"""Times as text."""

from datetime import UTC, datetime

NONE = "-"


def format_time(time_ms: int | None) -> str:
    """Return a wall-clock time in UTC; a dash for none.

    Examples
    --------
    >>> format_time(1769903999123)
    '2026-01-31T23:59:59.123Z'
    """
    if not time_ms:
        return NONE
    moment = datetime.fromtimestamp(time_ms / 1000, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def format_duration(duration_ms: int | None) -> str:
    """Return a duration; a dash for none.

    Examples
    --------
    >>> format_duration(1234)
    '1234 ms'
    """
    return NONE if duration_ms is None else f"{duration_ms} ms"
