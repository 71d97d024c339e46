"""Counts kept by the log stand-in."""

import attrs


@attrs.define
class StreamStats:
    """Counts of one stream, or of all.

    Attributes
    ----------
    appends : int
        Appends that took effect.
    reads : int
        Reads answered.
    refused : int
        Appends answered with 429.
    unavailable : int
        Requests answered with 503 by an outage.
    answers_lost : int
        Appends that took effect and got no answer.
    in_bytes, out_bytes : int
        Bodies received and sent; headers aren't counted.
    peak_appends_per_second, peak_reads_per_second : int
        Most in one second of the log's clock.
    """

    appends: int = 0
    reads: int = 0
    refused: int = 0
    unavailable: int = 0
    answers_lost: int = 0
    in_bytes: int = 0
    out_bytes: int = 0
    peak_appends_per_second: int = 0
    peak_reads_per_second: int = 0


@attrs.define
class SecondCounter:
    """Count of events in the current second."""

    second: int = -1
    count: int = 0

    def add(self, second: int) -> int:
        """Count one event; return the count of its second."""
        if second != self.second:
            self.second = second
            self.count = 0
        self.count += 1
        return self.count


@attrs.define
class Tally:
    """Counts of one stream with its running seconds."""

    stats: StreamStats = attrs.Factory(StreamStats)
    appends: SecondCounter = attrs.Factory(SecondCounter)
    reads: SecondCounter = attrs.Factory(SecondCounter)

    def add_append(self, second: int, in_bytes: int) -> None:
        """Count an append that took effect."""
        self.stats.appends += 1
        self.stats.in_bytes += in_bytes
        peak = self.appends.add(second)
        previous = self.stats.peak_appends_per_second
        self.stats.peak_appends_per_second = max(previous, peak)

    def add_read(self, second: int, out_bytes: int) -> None:
        """Count a read answered."""
        self.stats.reads += 1
        self.stats.out_bytes += out_bytes
        peak = self.reads.add(second)
        previous = self.stats.peak_reads_per_second
        self.stats.peak_reads_per_second = max(previous, peak)


@attrs.define
class LogStats:
    """Answer to ``GET /stats``: totals, and counts per stream."""

    total: StreamStats
    streams: dict[str, StreamStats]
