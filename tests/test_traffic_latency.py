"""Tests of the histogram of the added time."""

import random

from hdrh.histogram import HdrHistogram

from azurestep.traffic.latency import DIGITS, HIGHEST_US, LOWEST_US, AddedLatency


def test_counting_by_buckets_loses_nothing_of_the_histogram() -> None:
    """The summary is that of a histogram that recorded every value."""
    source = random.Random(17)
    every = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    added = AddedLatency()
    for _ in range(3000):
        value_us = int(10 ** source.uniform(0.0, 7.5))
        every.record_value(value_us)
        added.add((value_us + 0.5) / 1000)
    summary = added.summary()
    found = [summary.p50_ms, summary.p90_ms, summary.p99_ms, summary.p999_ms]
    wanted = [every.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)]
    assert found == wanted
    assert summary.count == 3000
    assert summary.max_ms == every.get_max_value() / 1000
    assert summary.mean_ms == every.get_mean_value() / 1000


def test_summaries_go_on_counting() -> None:
    """A second summary holds what the first one held."""
    added = AddedLatency()
    added.add(1.0)
    assert added.summary().count == 1
    added.add(100_000.0)
    assert added.summary().count == 2
