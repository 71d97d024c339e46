"""Metrics that a node sends to statsd: names, units and meanings.

Gauges and counters are sampled once per interval, never per request, so their
cost does not grow with the traffic.
"""

from enum import StrEnum

import attrs

PREFIX = "azurestep"


class MetricKind(StrEnum):
    """How statsd treats a value."""

    GAUGE = "gauge"
    COUNTER = "counter"


@attrs.frozen
class Metric:
    """One metric.

    Attributes
    ----------
    name : str
        Name after ``azurestep.<data_centre>.<instance>.``.
    unit : str
        Unit of its value.
    meaning : str
        What it tells, in one sentence.
    """

    name: str
    kind: MetricKind
    unit: str
    meaning: str


METRICS: dict[str, Metric] = {}


def _metric(name: str, kind: MetricKind, unit: str, meaning: str) -> Metric:
    metric = Metric(name, kind, unit, meaning)
    METRICS[name] = metric
    return metric


GAUGE = MetricKind.GAUGE
COUNTER = MetricKind.COUNTER

VERSION = _metric(
    "configuration.version", GAUGE, "offset", "Version in force at this node."
)
AS_OF = _metric(
    "configuration.as_of",
    GAUGE,
    "offset",
    "Offset of the log up to which that version is known to be current.",
)
MISSING_INSTANCES = _metric(
    "configuration.missing_instances",
    GAUGE,
    "instances",
    "Live instances of this data centre that have not applied the version.",
)
MEMBERS = _metric(
    "members.alive", GAUGE, "instances", "Live members of this data centre."
)
SUSPECTS = _metric(
    "members.suspected", GAUGE, "instances", "Members that don't answer just now."
)
LOG_REACHABLE = _metric(
    "platform.reachable", GAUGE, "0 or 1", "Whether the last read of the log worked."
)
SENT_BYTES = _metric(
    "control.sent_bytes", COUNTER, "bytes", "Bodies of control frames sent."
)
RECEIVED_BYTES = _metric(
    "control.received_bytes", COUNTER, "bytes", "Bodies of control frames received."
)
DROPPED_FRAMES = _metric(
    "control.dropped_frames", COUNTER, "frames", "Frames that could not be decoded."
)
UNSENT_FRAMES = _metric(
    "control.unsent_frames",
    COUNTER,
    "frames",
    "Frames dropped because the queue of a peer was full.",
)
IN_FLIGHT = _metric(
    "traffic.in_flight", GAUGE, "requests", "Requests without a whole answer yet."
)
REQUESTS = _metric(
    "traffic.requests", COUNTER, "requests", "Requests whose added time was measured."
)
ADDED_P99 = _metric(
    "traffic.added_p99_us",
    GAUGE,
    "microseconds",
    "Added time of 99 in 100 requests since the start of the node.",
)
AUDIT_WAITING = _metric(
    "audit.waiting", GAUGE, "items", "Audit items that are not on the log yet."
)
LOOP_LAG = _metric(
    "process.loop_lag_us",
    GAUGE,
    "microseconds",
    "How late the event loop ran the last sample.",
)
CPU_TIME = _metric(
    "process.cpu_ms", COUNTER, "ms", "Processor time that the process used."
)
MEMORY = _metric(
    "process.memory_max_bytes", GAUGE, "bytes", "Largest memory held so far."
)


@attrs.frozen
class Sample:
    """A value of a metric; of a counter, its total since the start."""

    metric: Metric
    value: int


class CounterDeltas:
    """Turns totals into what statsd wants: the change since the last sample."""

    def __init__(self) -> None:
        self._totals: dict[str, int] = {}

    def take(self, sample: Sample) -> int:
        """Return the change of a counter.

        Examples
        --------
        >>> deltas = CounterDeltas()
        >>> [deltas.take(Sample(SENT_BYTES, total)) for total in (10, 25, 25)]
        [10, 15, 0]
        """
        before = self._totals.get(sample.metric.name, 0)
        self._totals[sample.metric.name] = sample.value
        return sample.value - before


def prefix_of(data_centre: str, instance: str) -> str:
    """Return the prefix of a node's metrics; dots in names become ``_``.

    Examples
    --------
    >>> prefix_of("kgn1", "licensing.1")
    'azurestep.kgn1.licensing_1'
    """
    names = (name.replace(".", "_") for name in (data_centre, instance))
    return ".".join([PREFIX, *names])
