"""How long work currently takes at a backend server, relative to its normal."""

import math

import attrs

NORMAL_RATIO = 1.0
"""Ratio at which work takes as long as usual."""
FULL_WEIGHT_MS = 300.0
"""Age up to which a ratio counts in full: about the time between two load reports."""
NO_WEIGHT_MS = 600.0
"""Age from which a ratio no longer counts; slow phases take about this long."""
USUAL_INTERVAL_MS = 50.0
"""Shortest time between two ratios that count for the usual one, so that a slow phase
weighs the same at a server with many answers."""
USUAL_STEP = 0.005
"""Relative step of the usual ratio with each that counts.

A slow phase of 0.6 s moves it by 6%.
"""
FIRST_USUAL_STEP = 0.4
"""First such step, divided by the number of ratios so far.

A server that was slow at its first answer, at 2.5, has its usual ratio after ten.
"""
LARGE_CHANGE = 0.25
"""Relative change of a ratio up to which peers need no news of it."""


@attrs.define(slots=True, eq=False, repr=False)
class WorkSpeed:
    """The last ratio that a backend server stated, which loses weight with its age.

    Attributes
    ----------
    stated : float
        That ratio, whatever its age.

    Examples
    --------
    >>> speed = WorkSpeed()
    >>> speed.record(3.0, 1000.0)
    >>> [speed.ratio(now_ms) for now_ms in (1000.0, 1300.0, 1450.0, 1600.0)]
    [3.0, 3.0, 2.0, 1.0]
    """

    stated: float = NORMAL_RATIO
    _stated_ms: float = -math.inf

    def record(self, ratio: float | None, stated_ms: float) -> None:
        """Keep a ratio, unless a later one is known; None is no statement."""
        if ratio is not None and stated_ms >= self._stated_ms:
            self.stated, self._stated_ms = ratio, stated_ms

    def clear(self) -> None:
        """Forget the ratio, which belongs to an earlier incarnation."""
        self.stated, self._stated_ms = NORMAL_RATIO, -math.inf

    @property
    def known(self) -> bool:
        """Whether the backend server stated a ratio."""
        return self._stated_ms > -math.inf

    def age_ms(self, now_ms: float) -> float:
        """Return the age of the ratio; infinite if there is none."""
        return max(0.0, now_ms - self._stated_ms)

    def ratio(self, now_ms: float) -> float:
        """Return how long work takes now relative to normal."""
        if self.stated == NORMAL_RATIO:
            return NORMAL_RATIO
        age_ms = self.age_ms(now_ms)
        if age_ms <= FULL_WEIGHT_MS:
            return self.stated
        if age_ms >= NO_WEIGHT_MS:
            return NORMAL_RATIO
        weight = (NO_WEIGHT_MS - age_ms) / (NO_WEIGHT_MS - FULL_WEIGHT_MS)
        return NORMAL_RATIO + weight * (self.stated - NORMAL_RATIO)

    def differs_much(self, other: "WorkSpeed", now_ms: float) -> bool:
        """Whether peers that know the other one must learn this one.

        Examples
        --------
        >>> speed = WorkSpeed()
        >>> speed.record(1.2, 0.0)
        >>> speed.differs_much(WorkSpeed(), 0.0)
        False
        >>> speed.record(1.3, 0.0)
        >>> speed.differs_much(WorkSpeed(), 0.0)
        True
        """
        lower, higher = sorted((self.ratio(now_ms), other.ratio(now_ms)))
        return higher > lower * (1 + LARGE_CHANGE)


@attrs.define(slots=True, eq=False, repr=False)
class UsualRatio:
    """The ratio that a backend server states mostly: a running median.

    A ratio may tell the lasting speed of its machine too, which the mean run times hold
    already, and which remote nodes know from them only.

    Examples
    --------
    >>> usual = UsualRatio()
    >>> usual.relate(2.0, now_ms=0.0), usual.relate(2.0, now_ms=100.0)
    (1.0, 1.0)
    >>> round(usual.relate(5.0, now_ms=200.0), 1)
    2.2
    """

    _value: float = NORMAL_RATIO
    _count: int = 0
    _counted_ms: float = -math.inf

    def relate(self, ratio: float, now_ms: float) -> float:
        """Return a ratio that was stated relative to the usual one, and count it."""
        if now_ms - self._counted_ms >= USUAL_INTERVAL_MS:
            self._count += 1
            self._counted_ms = now_ms
            if self._count == 1:
                self._value = ratio
            step = 1 + max(USUAL_STEP, FIRST_USUAL_STEP / self._count)
            self._value = min(max(ratio, self._value / step), self._value * step)
        return ratio / self._value


def to_normal_ms(run_ms: float, start_ratio: float, end_ratio: float) -> float:
    """Return how long a run would have taken at normal speed.

    The ratio may have changed while it ran; its inverse is the speed, of which the mean
    of both ends is taken.

    Examples
    --------
    >>> to_normal_ms(500.0, 2.5, 2.5)
    200.0
    >>> to_normal_ms(300.0, 1.0, 2.0)
    225.0
    """
    if start_ratio == end_ratio == NORMAL_RATIO:
        return run_ms
    return run_ms * (1 / start_ratio + 1 / end_ratio) / 2
