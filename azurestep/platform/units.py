"""Times with a unit, as the platform writes them."""

import functools
import math

from ..errors import SettingsError

UNITS_MS = {"ms": 1.0, "s": 1000.0}
DURATIONS_KEPT = 256
"""Durations whose value is kept: thousands of routes have a few between them."""


@functools.lru_cache(maxsize=DURATIONS_KEPT)
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
    number = str(text).strip().rstrip("ms")
    unit = str(text).strip()[len(number) :]
    try:
        value = float(number) * UNITS_MS[unit]
    except (ValueError, KeyError):
        value = math.nan
    if not 0 <= value < math.inf:
        raise SettingsError(
            f"{text!r} is no duration", "Write a number and ms or s, such as 1500ms"
        )
    return value
