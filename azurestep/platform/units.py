"""Times with a unit, as the platform writes them."""

import functools
import re

from ..errors import SettingsError

UNITS_MS = {"ms": 1.0, "s": 1000.0}
DURATION_PATTERN = r"^([0-9]{1,12}(?:\.[0-9]{1,9})?)(ms|s)\Z"
"""A number and its unit; twelve digits of seconds are 30,000 years."""
DURATION_CACHE_SIZE = 256
"""Durations whose value is kept: thousands of routes have a few between them."""

_DURATION = re.compile(DURATION_PATTERN)


@functools.lru_cache(maxsize=DURATION_CACHE_SIZE)
def parse_duration_ms(text: str) -> float:
    """Return a duration in milliseconds.

    Raises
    ------
    SettingsError
        If the text is no number followed by ``ms`` or ``s``.

    Examples
    --------
    >>> parse_duration_ms("1500ms"), parse_duration_ms("2.5s")
    (1500.0, 2500.0)
    """
    found = _DURATION.match(text) if isinstance(text, str) else None
    if found is None:
        raise SettingsError(
            f"{text!r} is no duration", "Write a number and ms or s, such as 1500ms"
        )
    return float(found.group(1)) * UNITS_MS[found.group(2)]
