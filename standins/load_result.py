"""Result of the load generator."""

import enum
from collections import Counter

import attrs
from hdrh.histogram import HdrHistogram

MIN_US = 1
MAX_US = 600_000_000
DIGITS = 3


class Outcome(enum.Enum):
    """How a request ended; the values name the fields of `OutcomeCounts`."""

    OK = "ok"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    ERROR_STATUS = "error_status"
    TIMEOUT = "timeout"
    NOT_CONNECTED = "not_connected"
    CONNECTION_LOST = "connection_lost"
    BODY_CUT = "body_cut"
    WRONG_ANSWER = "wrong_answer"
    SKIPPED = "skipped"
    UNFINISHED = "unfinished"


@attrs.frozen
class OutcomeCounts:
    """Requests per outcome.

    Attributes
    ----------
    ok : int
        Answered by a status below 400, whole.
    not_run, may_have_run : int
        Refused with a header that says so.
    error_status : int
        Answered by a status of 400 or more, without either header.
    timeout : int
        Not answered in time.
    not_connected, connection_lost : int
        The connection couldn't be opened, or closed without an answer.
    body_cut : int
        The body ended early.
    wrong_answer : int
        Whole, but of a wrong size or another request's answer.
    skipped : int
        Not sent, as too many were open.
    unfinished : int
        Given up at the end of the run.
    """

    ok: int = 0
    not_run: int = 0
    may_have_run: int = 0
    error_status: int = 0
    timeout: int = 0
    not_connected: int = 0
    connection_lost: int = 0
    body_cut: int = 0
    wrong_answer: int = 0
    skipped: int = 0
    unfinished: int = 0


@attrs.frozen
class Percentiles:
    """Percentiles of a time, in ms; zeros when nothing was measured."""

    count: int
    mean_ms: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


@attrs.frozen
class KindResult:
    """What became of the requests of one kind, or of all.

    Attributes
    ----------
    arrivals : int
        Requests due, the skipped ones included.
    resends : int
        Sendings after the first one of a request.
    outcomes : OutcomeCounts
        Requests per outcome of their last sending.
    statuses : dict of str to int
        Requests per HTTP status of their last sending.
    latency : Percentiles
        Time from when a request was due to its whole answer, outcome ok only.
    refusal_latency : Percentiles
        The same of the refusals "not run" and "may have run".
    """

    arrivals: int
    resends: int
    outcomes: OutcomeCounts
    statuses: dict[str, int]
    latency: Percentiles
    refusal_latency: Percentiles


@attrs.frozen
class LoadResult:
    """Result of one run.

    Attributes
    ----------
    elapsed_s : float
        Time from the start to the last outcome.
    total : KindResult
        All kinds together.
    kinds : dict of str to KindResult
        Each kind by its name.
    start_lag : Percentiles
        How late the generator itself sent requests: large values mean that the
        generator, not the system, was the limit.
    """

    elapsed_s: float
    total: KindResult
    kinds: dict[str, KindResult]
    start_lag: Percentiles


class TimeHistogram:
    """Histogram of times between 1 us and 600 s."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(MIN_US, MAX_US, DIGITS)

    def add(self, time_s: float) -> None:
        """Record a time in seconds."""
        time_us = int(time_s * 1_000_000)
        self._histogram.record_value(min(MAX_US, max(MIN_US, time_us)))

    def percentiles(self) -> Percentiles:
        """Return the percentiles so far."""
        count = self._histogram.get_total_count()
        if count == 0:
            return Percentiles(0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
        return Percentiles(
            count=count,
            mean_ms=self._histogram.get_mean_value() / 1000,
            p50_ms=self._at(50),
            p90_ms=self._at(90),
            p99_ms=self._at(99),
            p999_ms=self._at(99.9),
            max_ms=self._histogram.get_max_value() / 1000,
        )

    def _at(self, percentile: float) -> float:
        return self._histogram.get_value_at_percentile(percentile) / 1000


class KindTally:
    """Running counts of one kind, or of all."""

    def __init__(self) -> None:
        self.arrivals = 0
        self.resends = 0
        self._outcomes: Counter[Outcome] = Counter()
        self._statuses: Counter[str] = Counter()
        self._latency = TimeHistogram()
        self._refusal_latency = TimeHistogram()

    def add(self, outcome: Outcome, status: int | None, latency_s: float) -> None:
        """Count the outcome of a request."""
        self._outcomes[outcome] += 1
        if status is not None:
            self._statuses[str(status)] += 1
        if outcome is Outcome.OK:
            self._latency.add(latency_s)
        if outcome in {Outcome.NOT_RUN, Outcome.MAY_HAVE_RUN}:
            self._refusal_latency.add(latency_s)

    def result(self) -> KindResult:
        """Return the counts so far."""
        counts = {outcome.value: count for outcome, count in self._outcomes.items()}
        return KindResult(
            arrivals=self.arrivals,
            resends=self.resends,
            outcomes=OutcomeCounts(**counts),
            statuses=dict(self._statuses),
            latency=self._latency.percentiles(),
            refusal_latency=self._refusal_latency.percentiles(),
        )
