"""Mean size of each route's answers.

Traffic between data centres is charged by the byte, so long answers should come from
the local data centre even where short ones may be served by a remote one.
"""

import attrs

INITIAL_SIZE_KIB = 1.5
"""Size assumed for a route before its first answer: about one packet."""
SIZE_MEAN_WEIGHT = 0.1
"""Weight of a new sample in the moving mean, of about the last twenty answers.

Sizes of one route vary by a factor of two; the mean moves by a tenth of that.
"""


@attrs.define(slots=True, eq=False, repr=False)
class AnswerSizes:
    """Mean size of each route's answers, in KiB.

    Examples
    --------
    >>> sizes = AnswerSizes()
    >>> sizes.record_size("download", 102_400)
    >>> sizes.mean_kib("download"), sizes.mean_kib("read")
    (100.0, 1.5)
    """

    _mean_kib: dict[str, float] = attrs.field(factory=dict)

    def mean_kib(self, route: str) -> float:
        """Return the mean of a route, or a default before its first answer."""
        return self._mean_kib.get(route, INITIAL_SIZE_KIB)

    def record_size(self, route: str, size_bytes: int) -> None:
        """Add the size of a complete answer."""
        size_kib = size_bytes / 1024
        known = self._mean_kib.get(route, size_kib)
        self._mean_kib[route] = known + SIZE_MEAN_WEIGHT * (size_kib - known)
