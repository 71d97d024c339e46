"""How long the answers of each route are. Pure.

Load pattern: routes with short and with long answers share servers and links. What
crosses between data centres is priced by the byte, so an answer of 90 KB should stay
near where a read of 1.5 KB may go abroad for a free slot. Taken for 1.5 KiB, long
answers went abroad like reads: 0.37 GB on a day of trouble, 0.18 GB with their size
learned (one run each of the same day).
"""

import attrs

SIZE_FIRST_KIB = 1.5
"""Size assumed for a route until its first answer: about one packet."""
SIZE_GAIN = 0.1
"""Weight of a new answer in the mean: about the last twenty. Sizes of one route vary by
a factor of two around their mean, and the mean moves by a tenth of that."""


@attrs.define(slots=True)
class AnswerSizes:
    """Mean size of each route's answers, in KiB.

    Examples
    --------
    >>> sizes = AnswerSizes()
    >>> sizes.learn("download", 102_400)
    >>> sizes.mean_kib("download"), sizes.mean_kib("read")
    (100.0, 1.5)
    """

    _mean_kib: dict[str, float] = attrs.field(factory=dict)

    def mean_kib(self, route: str) -> float:
        """Return the mean of a route."""
        return self._mean_kib.get(route, SIZE_FIRST_KIB)

    def learn(self, route: str, size_bytes: int) -> None:
        """Take the size of a whole answer in."""
        size_kib = size_bytes / 1024
        known = self._mean_kib.get(route, size_kib)
        self._mean_kib[route] = known + SIZE_GAIN * (size_kib - known)
