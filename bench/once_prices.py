"""Sums and tables of the payments at real nodes."""

from collections import Counter, defaultdict
from statistics import median

import attrs

from azurestep.once.messages import Outcome

from .once_live import Payment
from .results import percentile
from .tables import table

WINDOWS_MS = ((0, 1000), (1000, 3000), (3000, 6000))


@attrs.frozen
class Timed:
    """One call and the backend server that answered it."""

    way: str
    server: str
    elapsed_ms: float
    is_served: bool


@attrs.frozen
class Added:
    """Time of one way, and over the median idempotent call to the same server.

    The row of the idempotent calls shows how far they differ among themselves.
    """

    way: str
    calls: int
    not_served: int
    p50_ms: float
    p99_ms: float
    added_p50_ms: float
    added_p99_ms: float


@attrs.frozen
class OutageServed:
    """Payments while the platform was away, by their first answer."""

    outage_s: float
    payments: int
    ran: int
    not_run: int
    may_have_run: int
    other: int
    p50_ms: float
    p99_ms: float


@attrs.frozen
class Window:
    """First answers to payments that were sent in some time after the kill.

    Attributes
    ----------
    served : int
        Payments served in the end by callers that follow the rules.
    """

    from_ms: float
    to_ms: float
    is_killed_owner: bool
    payments: int
    ran: int
    not_run: int
    may_have_run: int
    other: int
    served: int
    served_p50_ms: float
    served_max_ms: float


@attrs.frozen
class Kill:
    """What callers got after an owner was killed.

    Attributes
    ----------
    left_not_run, left_may_have_run, left_other : int
        Payments that were not served, by their last answer.
    """

    windows: list[Window]
    left_not_run: int
    left_may_have_run: int
    left_other: int


def added_of(timed: list[Timed], baseline: str) -> list[Added]:
    """Compare each way with the baseline at the same backend server."""
    by_server: dict[str, list[float]] = defaultdict(list)
    by_way: dict[str, list[Timed]] = defaultdict(list)
    for item in timed:
        by_way[item.way].append(item)
        if item.way == baseline and item.is_served:
            by_server[item.server].append(item.elapsed_ms)
    medians = {server: median(times) for server, times in by_server.items()}
    return [_added(way, by_way[way], medians) for way in sorted(by_way)]


def _added(way: str, items: list[Timed], medians: dict[str, float]) -> Added:
    served = [item for item in items if item.is_served]
    times = [item.elapsed_ms for item in served]
    added = [item.elapsed_ms - medians[item.server] for item in served]
    return Added(
        way,
        len(items),
        len(items) - len(served),
        percentile(times, 0.5),
        percentile(times, 0.99),
        percentile(added, 0.5),
        percentile(added, 0.99),
    )


def outage_of(payments: list[Payment], outage_s: float) -> OutageServed:
    """Sum up the payments of an outage."""
    first = Counter(payment.first for payment in payments)
    times = [p.elapsed_ms for p in payments if p.first == Outcome.RAN] or [0.0]
    return OutageServed(
        outage_s,
        len(payments),
        *_counts(first),
        percentile(times, 0.5),
        percentile(times, 0.99),
    )


def kill_of(payments: list[Payment], hit: list[Payment], killed_ms: float) -> Kill:
    """Sum up the payments after a kill; ``hit`` began at the killed owner."""
    hit_ids = {id(payment) for payment in hit}
    windows = [
        _window(
            [
                payment
                for payment in payments
                if start_ms <= payment.sent_ms - killed_ms < end_ms
                and (id(payment) in hit_ids) == is_hit
            ],
            (start_ms, end_ms),
            is_hit,
        )
        for is_hit in (True, False)
        for start_ms, end_ms in WINDOWS_MS
    ]
    left = Counter(payment.last for payment in payments)
    return Kill(windows, *_counts(left)[1:])


def _window(payments: list[Payment], span_ms: tuple[int, int], is_hit: bool) -> Window:
    first = Counter(payment.first for payment in payments)
    served = [p.elapsed_ms for p in payments if p.last == Outcome.RAN]
    times = served or [0.0]
    return Window(
        *span_ms,
        is_hit,
        len(payments),
        *_counts(first),
        len(served),
        percentile(times, 0.5),
        max(times),
    )


def _counts(outcomes: Counter[str]) -> tuple[int, int, int, int]:
    ran = outcomes[Outcome.RAN]
    not_run = outcomes[Outcome.NOT_RUN]
    may_have_run = outcomes[Outcome.MAY_HAVE_RUN]
    other = outcomes.total() - ran - not_run - may_have_run
    return ran, not_run, may_have_run, other


def block_added(rows: list[Added]) -> str:
    """Return the price of a payment."""
    header = ("Way", "Calls", "Not served", "p50", "p99", "Added p50", "Added p99")
    return table(
        header,
        [
            (
                row.way,
                f"{row.calls}",
                f"{row.not_served}",
                f"{row.p50_ms:.2f} ms",
                f"{row.p99_ms:.2f} ms",
                f"{row.added_p50_ms:.2f} ms",
                f"{row.added_p99_ms:.2f} ms",
            )
            for row in rows
        ],
    )


def block_kill(kill: Kill) -> str:
    """Return what callers got after the kill."""
    header = (
        "Sent after the kill",
        "Key of the killed owner",
        "Payments",
        "First: ran",
        "not run",
        "may have run",
        "other",
        "Served in the end",
        "Served after, p50 / longest",
    )
    return table(
        header,
        [
            (
                f"{row.from_ms / 1000:.0f} to {row.to_ms / 1000:.0f} s",
                "yes" if row.is_killed_owner else "no",
                f"{row.payments}",
                f"{row.ran}",
                f"{row.not_run}",
                f"{row.may_have_run}",
                f"{row.other}",
                f"{row.served}",
                f"{row.served_p50_ms:.0f} / {row.served_max_ms:.0f} ms",
            )
            for row in kill.windows
        ],
    )
