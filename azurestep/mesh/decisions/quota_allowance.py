"""What one node may admit of one team, with and without a grant of the quota owner.

Without a grant, the node admits requests at once and reports them. How many it may have
admitted without an answer is bounded, so that an owner that is frozen or cut off, which
is noticed late, lets no node exceed its share for long.
"""

import math
from collections import deque

import attrs

from .quota_account import FREE_S, PROMISED_FILL_RATIO, Grant, QuotaLimit

REPORT_INTERVAL_MS = 100.0
"""Time between reports."""
REPORT_MS_PER_NODE = 1.5
"""Time between reports for each node of a large fleet.

A quota owner then gets at most 700 reports of a team per second.
"""
STALE_AFTER_MS = 200.0
"""Time without an answer to a report after which a node keeps to its share.

An answer takes some 3 ms; a node that gets its processor in tenths of a second may take
100 ms.
"""
URGENT_EXCESS_RATIO = 0.25
"""Unreported requests that are reported at once, as a part of a node's share of the
tolerated excess; where that is less than one request, each is."""
AWAITED = 2.0
"""Further requests that a node may admit while the owner answers in time.

Only one, and for ``AWAITED_MS``, if so many at each node exceed what is
tolerated: 69 nodes admitted 11% too many of a team of 20 requests a second.
"""
LOST_REQUESTS_S = 5.0
"""Time of a team's limit in which as many requests arrive as at 8 times the usual rate
until a silent owner is noticed, after 650 ms."""
LOST_AFTER_MS = 1000.0
"""Age at which a report is not expected to be answered, while others are.

An owner that doesn't have the team yet answers without it.
"""
SILENT_EXCESS_RATIO = 0.25
"""Part of the tolerated excess that all nodes together may admit if it doesn't."""
AWAITED_MS = 60.0
"""Time in which most answers arrive, and after which to retry a request that waits for
one."""
MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS = 10.0, 30_000.0
"""Limits of the time after which to retry."""
PACED_BURST_S = 0.1
"""Unused tokens of this time are kept under a grant."""
CONTENTION_MS = 1000.0
"""Time after the refusal of a request that could have met its objective in which a
limited team gets no tokens for requests that can't."""
ROUNDING = 1e-6


def report_interval_ms(nodes: int) -> float:
    """Return the time between a node's reports.

    Examples
    --------
    >>> report_interval_ms(60), report_interval_ms(1000)
    (100.0, 1500.0)
    """
    return max(REPORT_INTERVAL_MS, REPORT_MS_PER_NODE * nodes)


@attrs.define(slots=True, eq=False, repr=False)
class QuotaAllowance:
    """What this node may admit of one team.

    Attributes
    ----------
    limit : QuotaLimit
        Limit over all nodes.
    nodes : int
        Known nodes, of which each has an equal share; 0 if that is not known yet.
    grant : Grant
        Last answer of the owner.
    granted_ms : float
        When it came.

    Examples
    --------
    >>> allowance = QuotaAllowance(QuotaLimit(10.0, 5.0, 20.0), nodes=2)
    >>> [allowance.admit(0.0) for _ in range(6)]
    [0.0, 0.0, 0.0, 0.0, 60.0, 60.0]
    >>> allowance.take_report(0.0)
    (4, 2)
    >>> allowance.apply_grant(Grant(2.0, 1000.0), now_ms=10.0)
    >>> allowance.admit(10.0), allowance.admit(510.0)
    (200.0, 0.0)
    """

    limit: QuotaLimit
    nodes: int
    grant: Grant = Grant(0.0, 0.0)
    granted_ms: float = 0.0
    _admitted: int = 0
    _refused: int = 0
    _unanswered: int = 0
    _entitled: int = 0
    _must_report: bool = False
    _reports: deque[tuple[float, int]] = attrs.field(factory=deque)
    """Time and admitted requests of each report without an answer, oldest first."""
    _silent_since_ms: float = math.inf
    """When the first report was sent that a former owner did not answer."""
    _limited_until_ms: float = -math.inf
    _refused_in_time_ms: float = -math.inf
    _was_limited: bool = False
    _tokens: float = 0.0
    _filled_ms: float = 0.0
    _paused_until_ms: float = -math.inf
    """When the last pause of this node ended, until an answer comes."""

    def set_limit(self, limit: QuotaLimit, nodes: int) -> None:
        """Change the limit; a raised one ends the grant at once."""
        if limit.rate_per_s > self.limit.rate_per_s:
            self._limited_until_ms = -math.inf
        self.limit, self.nodes = limit, nodes

    def admit(self, now_ms: float, late: bool = False) -> float:
        """Admit a request and return 0, or refuse it and return when to retry in ms.

        ``late``: it can't meet its objective any more. The tokens of a limited team go
        to requests that can, as long as some of these are refused.
        """
        if now_ms < self._limited_until_ms:
            contended = now_ms - self._refused_in_time_ms < CONTENTION_MS
            if late and contended:
                wait_ms = self._wait_for_token(now_ms)
            else:
                wait_ms = self._take_token(now_ms)
        else:
            wait_ms = self._wait_for_answer(now_ms)
        if wait_ms > 0:
            if not late:
                self._refused_in_time_ms = now_ms
            self._refused += 1
            return min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        self._admitted += 1
        return 0.0

    def admit_again(self, now_ms: float) -> bool:
        """Admit a second run of a request, if there is a token.

        Nobody returns for a refused one, so it withholds no tokens from late requests.
        """
        limited = now_ms < self._limited_until_ms
        wait = self._take_token if limited else self._wait_for_answer
        if wait(now_ms) > 0:
            return False
        self._admitted += 1
        return True

    def give_back(self) -> None:
        """Return the token of a request that was admitted and has not run."""
        self._admitted -= 1
        self._tokens = min(self._tokens + 1, self._max_tokens())

    @property
    def is_urgent(self) -> bool:
        """Whether what was admitted must be reported at once."""
        share = self.limit.excess / max(1, self.nodes)
        return self._admitted >= max(1.0, share * URGENT_EXCESS_RATIO)

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to report, and no answer is awaited."""
        pending = self._admitted or self._unanswered or self._entitled
        return not (pending or self._refused or self._must_report)

    def take_report(self, now_ms: float) -> tuple[int, int] | None:
        """Return how many were admitted and refused since the last report, or None."""
        if not (self._admitted or self._refused or self._must_report):
            return None
        self._must_report = False
        report = self._admitted, self._refused
        self._reports.append((now_ms, self._admitted))
        self._unanswered += self._admitted
        self._admitted = self._refused = 0
        return report

    def on_pause(self, now_ms: float) -> None:
        """Ask the owner before anything is admitted, after a pause of this node.

        The grants of that time were lost. Where one request at each node is less than
        what is tolerated, nothing changes.
        """
        if self.limit.excess * SILENT_EXCESS_RATIO < self.nodes:
            self._limited_until_ms = -math.inf
            self._paused_until_ms = now_ms
            self._must_report = True

    def drop_grant(self) -> None:
        """End the grant of an owner that reached fewer nodes than the present one."""
        self._limited_until_ms = -math.inf

    def report_again(self, now_ms: float, handed_over: bool = False) -> None:
        """Report to a new owner what the former one did not answer.

        What the former owner had granted is left out, and the share of the time without
        an answer: the new one begins without these tokens. No more is admitted than
        before until it answers.

        ``handed_over``: the former owner shuts down and hands its tokens over, also
        those that it had granted, so nothing is left out.
        """
        silent_since_ms = now_ms - self._silent_ms(now_ms)
        self._reports.clear()
        if self._unanswered > 0:
            silent_s = (now_ms - silent_since_ms) / 1000
            entitled = self._credit + self._rate_per_s * silent_s
            if handed_over:
                entitled = 0.0
            charged = math.ceil(max(0.0, self._unanswered - entitled))
            self._admitted += charged
            self._entitled += self._unanswered - charged
            self._silent_since_ms = silent_since_ms
            self._must_report = True
        self._unanswered = 0

    def apply_grant(self, grant: Grant, now_ms: float) -> None:
        """Apply an answer of the owner, which is to the oldest report.

        Reports that are still on their way stay unanswered. With many of these, a node
        was limited one time of an answer too late.
        """
        limited = grant.valid_ms > 0
        if limited and now_ms < self._limited_until_ms:
            self._fill(now_ms)
        else:
            self._tokens = 0.0
        self._filled_ms = now_ms
        self.grant, self.granted_ms = grant, now_ms
        self._tokens = min(self._tokens, self._max_tokens())
        self._limited_until_ms = now_ms + grant.valid_ms if limited else -math.inf
        self._was_limited = limited
        self._entitled = 0
        self._silent_since_ms = math.inf
        self._paused_until_ms = -math.inf
        is_first = True
        while self._reports and (is_first or self._is_lost(now_ms)):
            _, answered = self._reports.popleft()
            self._unanswered -= answered
            is_first = False

    @property
    def _rate_per_s(self) -> float:
        """Equal share of the rate of one node."""
        return self.limit.rate_per_s / self.nodes if self.nodes else 0.0

    @property
    def _credit(self) -> float:
        """Requests that the owner has granted without limiting this node."""
        if self._was_limited:
            return 0.0
        shared = self._rate_per_s * PROMISED_FILL_RATIO
        return max(0.0, self.grant.rate_per_s - shared) * FREE_S

    def _awaited(self, silent_ms: float) -> float:
        """Return further requests until an answer, as the excess allows for all."""
        if not self.nodes:
            return 0.0
        arriving = self.limit.rate_per_s * LOST_REQUESTS_S
        if self.limit.excess >= min(self.nodes, arriving):
            return AWAITED
        return 1.0 if silent_ms <= AWAITED_MS else 0.0

    def _silent_ms(self, now_ms: float) -> float:
        """Return for how long a report has waited for an answer."""
        since_ms = self._silent_since_ms
        if self._reports:
            since_ms = min(since_ms, self._reports[0][0])
        return max(0.0, now_ms - since_ms)

    def _is_lost(self, now_ms: float) -> bool:
        """Whether the oldest report will have no answer, as a later one has."""
        return now_ms - self._reports[0][0] > LOST_AFTER_MS

    def _wait_for_answer(self, now_ms: float) -> float:
        """Return 0 if one more request may be admitted without an answer."""
        pending = self._admitted + self._unanswered + self._entitled
        silent_ms, rate_per_s = self._silent_ms(now_ms), self._rate_per_s
        if self._paused_until_ms > -math.inf:
            return self._wait_after_pause(now_ms, pending)
        excess = self.limit.excess * SILENT_EXCESS_RATIO
        allowed = max(1.0, excess / self.nodes) if self.nodes else 0.0
        allowed += self._credit + rate_per_s * silent_ms / 1000
        answers = silent_ms <= STALE_AFTER_MS
        if answers and not self._was_limited:
            allowed += self._awaited(silent_ms)
        missing = pending + 1 - allowed
        if missing <= ROUNDING:
            return 0.0
        if answers or not rate_per_s:
            return AWAITED_MS
        return missing / rate_per_s * 1000

    def _wait_after_pause(self, now_ms: float, pending: float) -> float:
        """Return 0 once the equal share of the time since a pause has room."""
        rate_per_s = self._rate_per_s
        if not rate_per_s:
            return AWAITED_MS
        share = rate_per_s * (now_ms - self._paused_until_ms) / 1000
        missing = pending + 1 - share
        if missing <= ROUNDING:
            return 0.0
        return min(missing / rate_per_s * 1000, AWAITED_MS)

    def _take_token(self, now_ms: float) -> float:
        """Take a token of the grant and return 0, or return when there will be one."""
        self._fill(now_ms)
        if self._tokens >= 1 - ROUNDING:
            self._tokens -= 1
            return 0.0
        return self._wait_for_token(now_ms)

    def _wait_for_token(self, now_ms: float) -> float:
        """Return when a further request gets a token.

        A grant below the equal share is soon followed by a higher one: the team repays
        a debt, or had few requests here.
        """
        rate_per_s = max(self.grant.rate_per_s, self._rate_per_s)
        if rate_per_s <= 0:
            return max(AWAITED_MS, self._limited_until_ms - now_ms)
        return max(0.0, 1 - self._tokens) / rate_per_s * 1000 or MIN_RETRY_AFTER_MS

    def _fill(self, now_ms: float) -> None:
        added = max(0.0, now_ms - self._filled_ms) / 1000 * self.grant.rate_per_s
        self._tokens = min(self._tokens + added, self._max_tokens())
        self._filled_ms = now_ms

    def _max_tokens(self) -> float:
        return max(1.0, self.grant.rate_per_s * PACED_BURST_S)
