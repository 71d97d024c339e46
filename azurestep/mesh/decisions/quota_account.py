"""Account of one team at its quota owner: a token bucket and the grants from it.

Nodes admit requests before the owner knows of them, so the bucket can become negative;
the debt lowers later grants. The excess that the quota bound tolerates is divided:
a part makes the bucket larger than the burst, so that random arrivals below the limit
are not refused; a part is what a new owner begins with; the rest covers what nodes
admit before a grant reaches them.
"""

import attrs

from ...values import Value
from .quota_demand import Demand, usual_demand
from .quota_lost import LOST_NOTICED_MS, LOST_SILENCE_MS, LostNodes

BUCKET_EXCESS_RATIO = 0.15
"""Part of the tolerated excess by which the bucket is larger than the burst."""
START_EXCESS_RATIO = 0.1
"""Part of the tolerated excess that a new account holds."""
DEBT_EXCESS_RATIO = 0.25
"""Part of the tolerated excess that a team may owe before it is limited, while its
demand is about its rate or less, so that few tokens left refuse nothing."""
REPAY_S = 0.5
"""Time over which grants use up the tokens left, or repay a debt."""
RESERVE_S = 0.06
"""Nodes get grants while the tokens last for less than this time of their demand.

About as long as admissions take to be reported and grants to arrive.
"""
RELEASE_RATIO = 1.5
"""Grants end once they would be this many times the demand."""
IDLE_DEMAND_RATIO = 0.2
"""Demand assumed at each node, relative to the mean, so that none is granted nothing.
"""
FREE_S = 0.5
"""Time for which a node may admit at the rate of a grant that does not limit it."""
PROMISED_RATIO = 0.6
"""Part of the tokens that grants without a limit promise to the nodes.

With all of them, an owner that was frozen as a team began to send 8 times as much let
69 nodes exceed the bound by 4%.
"""
PROMISED_FILL_RATIO = 0.3
"""Part of the rate that such grants promise, likewise."""
GRANT_VALID_MS = 1000.0
"""Time for which a grant limits a node; the owner renews it before."""


@attrs.frozen(slots=True, repr=False)
class QuotaLimit(Value):
    """Quota of a team over some or all nodes.

    Attributes
    ----------
    rate_per_s, burst : float
        Requests that are admitted: a rate and a burst.
    excess : float
        Requests in a window that are tolerated beyond these.
    """

    rate_per_s: float
    burst: float
    excess: float

    @classmethod
    def of(
        cls,
        rate_per_s: float,
        burst: float,
        window_s: float,
        overage: float,
        slack: float,
    ) -> "QuotaLimit":
        """Return a limit with the excess that the quota bound tolerates.

        Examples
        --------
        >>> QuotaLimit.of(100.0, 50.0, window_s=5.0, overage=0.1, slack=20.0).excess
        75.0
        """
        excess = overage * (rate_per_s * window_s + burst) + slack
        return cls(rate_per_s, burst, excess)

    def scaled(self, ratio: float) -> "QuotaLimit":
        """Return the part of the limit that a part of the nodes may use."""
        if ratio == 1.0:
            return self
        return QuotaLimit(
            self.rate_per_s * ratio, self.burst * ratio, self.excess * ratio
        )

    @property
    def max_tokens(self) -> float:
        """Capacity of the bucket; at least one request."""
        return max(1.0, self.burst + self.excess * BUCKET_EXCESS_RATIO)

    @property
    def start_tokens(self) -> float:
        """Tokens of a new account."""
        return self.excess * START_EXCESS_RATIO


@attrs.frozen(slots=True, eq=False, repr=False)
class Grant(Value):
    """Rate at which one node may admit requests of a team.

    Attributes
    ----------
    valid_ms : float
        Time for which the rate is a limit. 0 if it isn't one; then the node may admit
        the requests of ``FREE_S`` at this rate without another answer.
    """

    rate_per_s: float
    valid_ms: float


@attrs.define(slots=True, eq=False, repr=False)
class QuotaAccount:
    """Account of one team.

    Attributes
    ----------
    limit : QuotaLimit
        Limit over the nodes that can reach this owner.
    nodes : int
        Number of these nodes.
    tokens : float
        Requests that may be admitted now; negative after nodes admitted too many.
    limited : bool
        Whether nodes get grants that limit them.

    Examples
    --------
    >>> account = QuotaAccount.open(QuotaLimit(10.0, 5.0, 20.0), nodes=2, now_ms=0.0)
    >>> account.record("a", admitted=1, refused=0, now_ms=0.0)
    >>> account.grant("a", 0.0).valid_ms
    0.0
    >>> account.record("a", admitted=20, refused=0, now_ms=0.0)
    >>> account.grant("a", 0.0)
    Grant(rate_per_s=0.0, valid_ms=1000.0)
    """

    limit: QuotaLimit
    nodes: int
    tokens: float
    limited: bool = False
    demand: Demand = attrs.field(factory=Demand)
    _filled_ms: float = 0.0
    _lost: LostNodes = attrs.field(factory=LostNodes)

    @classmethod
    def open(cls, limit: QuotaLimit, nodes: int, now_ms: float) -> "QuotaAccount":
        """Return a new account."""
        return cls(limit, nodes, limit.start_tokens, filled_ms=now_ms)

    def set_limit(self, limit: QuotaLimit, nodes: int, now_ms: float) -> None:
        """Change the limit, or the nodes that share it."""
        if limit == self.limit and nodes == self.nodes:
            return
        self._fill(now_ms)
        self.limit, self.nodes = limit, nodes
        self.tokens = min(self.tokens, limit.max_tokens)

    def restart(self, now_ms: float) -> None:
        """Reduce the tokens to those of a new account.

        Another node may have been the owner for some time, and have used them.
        """
        self._fill(now_ms)
        self.tokens = min(self.tokens, self.limit.start_tokens)
        self.limited = False
        self._update_limited(now_ms)

    def adopt(self, tokens: float, is_new: bool, now_ms: float) -> None:
        """Take over the tokens or the debt of the former owner, which has shut down.

        ``is_new``: this account has begun since then; the tokens replace those of its
        begin. Otherwise it has its own, and only a debt counts.
        """
        if is_new:
            tokens -= self.limit.start_tokens
        elif tokens > 0:
            return
        self._fill(now_ms)
        self.tokens = min(self.tokens + tokens, self.limit.max_tokens)
        self._update_limited(now_ms)

    def record(self, peer: object, admitted: int, refused: int, now_ms: float) -> None:
        """Charge what a node admitted; requests that it takes back are negative."""
        self._fill(now_ms)
        self.tokens = min(self.tokens - admitted, self.limit.max_tokens)
        self.demand.add(peer, admitted + refused, now_ms)
        self._update_limited(now_ms)

    def charge_lost(self, grant: Grant, silent_ms: float, now_ms: float) -> None:
        """Charge what a node that can't be reached any more may have admitted.

        Parameters
        ----------
        grant : Grant
            Answer to the node's last report.
        silent_ms : float
            Time since this report.
        """
        if silent_ms < LOST_SILENCE_MS:
            return
        requests = self._entitled(grant, min(silent_ms, LOST_NOTICED_MS) / 1000)
        self._fill(now_ms)
        self._lost.add(requests, self.limit.rate_per_s, self.limit.excess, now_ms)
        self._update_limited(now_ms)

    def _entitled(self, grant: Grant, silent_s: float) -> float:
        """Return what a node may admit under a grant that it got some time ago."""
        if grant.valid_ms:
            return grant.rate_per_s * min(silent_s, grant.valid_ms / 1000)
        share_per_s = self.limit.rate_per_s / self.nodes
        promised_per_s = grant.rate_per_s - share_per_s * PROMISED_FILL_RATIO
        return max(0.0, promised_per_s) * FREE_S + share_per_s * silent_s

    def tick(self, now_ms: float) -> None:
        """Update whether nodes are limited."""
        self._fill(now_ms)
        self._update_limited(now_ms)

    def anticipate(self, now_ms: float) -> None:
        """Limit nodes already if one more request would exceed what is tolerated.

        Called by the owner before it admits a request itself, as it needs no report.
        """
        self._fill(now_ms)
        if self.tokens - 1 < -self._tolerated_debt(self.demand.total(now_ms)):
            self.limited = True

    def grant(self, peer: object, now_ms: float) -> Grant:
        """Return the grant of one node, in proportion to its demand."""
        self._fill(now_ms)
        share = self._share(peer, now_ms)
        if self.limited:
            return Grant(self._total_rate() * share, GRANT_VALID_MS)
        promised = max(0.0, self.tokens) * PROMISED_RATIO / FREE_S
        promised += self.limit.rate_per_s * PROMISED_FILL_RATIO
        return Grant(promised * share, 0.0)

    def _share(self, peer: object, now_ms: float) -> float:
        total = self.demand.total(now_ms)
        if total <= 0:
            return 1 / self.nodes
        idle = IDLE_DEMAND_RATIO * total / self.nodes
        share = (self.demand.at(peer, now_ms) + idle) / (total + idle * self.nodes)
        return min(1.0, share)

    def _total_rate(self) -> float:
        return max(0.0, self.limit.rate_per_s + self.tokens / REPAY_S)

    def _update_limited(self, now_ms: float) -> None:
        demand = self.demand.total(now_ms)
        self.tokens -= self._lost.take_due(demand, now_ms)
        reserve = demand * RESERVE_S
        tolerated = self._tolerated_debt(demand)
        if not self.limited:
            self.limited = self.tokens < reserve - tolerated
        elif self.tokens > 2 * reserve - tolerated / 2:
            enough = self._total_rate() >= demand * RELEASE_RATIO
            self.limited = not (tolerated or enough)

    def _tolerated_debt(self, demand: float) -> float:
        is_usual = demand < usual_demand(self.limit.rate_per_s)
        return self.limit.excess * DEBT_EXCESS_RATIO if is_usual else 0.0

    def _fill(self, now_ms: float) -> None:
        # No time counts twice, should the clock step back and ahead again.
        added = max(0.0, now_ms - self._filled_ms) / 1000 * self.limit.rate_per_s
        self.tokens = min(self.tokens + added, self.limit.max_tokens)
        self._filled_ms = max(self._filled_ms, now_ms)
