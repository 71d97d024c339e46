"""Demand of a team, measured at its quota owner for each node."""

import math

import attrs

DEMAND_MEMORY_S = 1.0
"""Time constant of the demand measured at each node."""


@attrs.define(slots=True, eq=False, repr=False)
class Demand:
    """Requests per second at several nodes, with exponential decay.

    Examples
    --------
    >>> demand = Demand()
    >>> demand.add("a", 3, now_ms=0.0)
    >>> demand.add("b", 1, now_ms=0.0)
    >>> round(demand.total(0.0), 1), round(demand.at("a", 0.0), 1)
    (4.0, 3.0)
    >>> round(demand.at("a", 1000.0), 1)
    1.1
    """

    _rates: dict[object, tuple[float, float]] = attrs.field(factory=dict)
    _total: float = 0.0
    _changed_ms: float = 0.0

    def add(self, peer: object, count: int, now_ms: float) -> None:
        """Count requests at a node."""
        added = count / DEMAND_MEMORY_S
        self._total = max(0.0, self.total(now_ms) + added)
        self._changed_ms = now_ms
        self._rates[peer] = (max(0.0, self.at(peer, now_ms) + added), now_ms)

    def total(self, now_ms: float) -> float:
        """Return the demand at all nodes."""
        return self._total * _decay(now_ms - self._changed_ms)

    def at(self, peer: object, now_ms: float) -> float:
        """Return the demand at one node."""
        rate, changed_ms = self._rates.get(peer, (0.0, now_ms))
        return rate * _decay(now_ms - changed_ms)

    def expire(self, now_ms: float) -> None:
        """Drop nodes without recent requests."""
        oldest_ms = now_ms - DEMAND_MEMORY_S * 1000 * 10
        self._rates = {
            peer: entry for peer, entry in self._rates.items() if entry[1] > oldest_ms
        }

    def __len__(self) -> int:
        """Return at how many nodes there were requests."""
        return len(self._rates)


def _decay(elapsed_ms: float) -> float:
    return math.exp(-max(0.0, elapsed_ms) / 1000 / DEMAND_MEMORY_S)


def usual_demand(rate_per_s: float) -> float:
    """Return a demand that random arrivals at a rate hardly ever exceed."""
    return rate_per_s + 2 * math.sqrt(rate_per_s) + 1
