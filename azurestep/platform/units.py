"""Parsing of durations with a unit."""

import functools
import re

from ..errors import SettingsError

UNITS_MS = {"ms": 1.0, "s": 1000.0}
DURATION_PATTERN = r"^([0-9]{1,12}(?:\.[0-9]{1,9})?)(ms|s)\Z"
"""A number followed by its unit."""
DURATION_CACHE_SIZE = 256

_DURATION = re.compile(DURATION_PATTERN)


@functools.lru_cache(maxsize=DURATION_CACHE_SIZE)
def parse_duration_ms(text: str) -> float:
    """Parse a duration and return milliseconds.

    Raises
    ------
    SettingsError
        If the text is not a number followed by ``ms`` or ``s``.

    Examples
    --------
    >>> parse_duration_ms("1500ms"), parse_duration_ms("2.5s")
    (1500.0, 2500.0)
    """
    found = _DURATION.match(text) if isinstance(text, str) else None
    if found is None:
        raise SettingsError(
            f"{text!r} is not a duration", "Use a number and ms or s, such as 1500ms"
        )
    return float(found.group(1)) * UNITS_MS[found.group(2)]
