"""Compare the ways of keeping payments from running twice.

Usage::

    python -m bench.once [--quick]

A full run writes ``bench/results/once.json``; a quick one only prints.
"""

import argparse
import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from random import Random

import attrs

from azurestep.once import OnceSettings

from .once_callers import PayingCallers
from .once_faults import generate
from .once_model import Model, Way
from .once_scenarios import Outage, Trade, run_outage, run_trade
from .once_ways import claim_on_log, memory_owner, owned_intervals
from .results import Machine, at_end, machine_facts, write_result

HISTORIES = 2000
QUICK_HISTORIES = 12
OUTAGES_MS = (60_000, 240_000, 540_000, 900_000)
QUICK_OUTAGES_MS = (20_000,)
INTERVALS_MS = (30_000, 60_000, 150_000, 300_000, 600_000, 1_200_000)
QUICK_INTERVALS_MS = (30_000,)
PHASES = 6
QUICK_PHASES = 1
WORKERS = 4
WAYS: dict[str, Callable[[], Way]] = {
    "claim on log": claim_on_log,
    "memory owner": memory_owner,
    "owned intervals": owned_intervals,
}


@attrs.frozen
class Job:
    """One history under one way."""

    way: str
    seed: int


@attrs.frozen
class Planned:
    """One outage under one way."""

    way: str
    outage_ms: int


@attrs.frozen
class HistoryRow:
    """Sums over all histories of one way.

    Attributes
    ----------
    keys_over_one, payments_over_one : int
        Runs beyond the first of a key, and of a payment over all its keys.
    untrue_not_run : int
        Untrue statements "not run".
    overtaken_not_run : int
        True statements that another copy overtook on their way.
    """

    way: str
    histories: int
    payments: int
    runs: int
    keys_over_one: int
    payments_over_one: int
    not_run: int
    untrue_not_run: int
    overtaken_not_run: int
    may_have_run: int
    served: int
    appends: int


@attrs.frozen
class Report:
    """All results."""

    machine: Machine
    histories: list[HistoryRow]
    outages: list[Outage]
    trades: list[Trade]


def run_job(job: Job) -> HistoryRow:
    """Run one history."""
    model = Model(WAYS[job.way](), generate(job.seed))
    model.callers = PayingCallers(model, Random(job.seed + 1))
    tally = model.run()
    return HistoryRow(
        job.way,
        1,
        len(model.history.payments),
        sum(tally.runs.values()),
        tally.runs_over_one,
        tally.payments_over_one,
        tally.not_run,
        tally.untrue,
        tally.overtaken_not_run,
        tally.may_have_run,
        len(tally.served),
        tally.appends,
    )


def measure(*, quick: bool) -> Report:
    """Run everything."""
    machine = machine_facts()
    jobs = [
        Job(way, seed)
        for way in WAYS
        for seed in range(QUICK_HISTORIES if quick else HISTORIES)
    ]
    outages_ms = QUICK_OUTAGES_MS if quick else OUTAGES_MS
    intervals_ms = QUICK_INTERVALS_MS if quick else INTERVALS_MS
    phases = QUICK_PHASES if quick else PHASES
    with ProcessPoolExecutor(WORKERS) as pool:
        rows = pool.map(run_job, jobs, chunksize=20)
        outages = pool.map(_outage, [Planned(w, d) for d in outages_ms for w in WAYS])
        trades = pool.map(run_trade, intervals_ms, [phases] * len(intervals_ms))
        histories = _sums(list(rows))
        planned = list(outages)
        lengths = list(trades)
    return Report(at_end(machine), histories, planned, lengths)


def _outage(planned: Planned) -> Outage:
    way = WAYS[planned.way]()
    if planned.way == "owned intervals":
        way = owned_intervals(OnceSettings())
    return run_outage(way, planned.outage_ms, seed=1)


def _sums(rows: list[HistoryRow]) -> list[HistoryRow]:
    fields = [field.name for field in attrs.fields(HistoryRow)][1:]
    return [
        HistoryRow(
            way,
            *(
                sum(getattr(row, field) for row in rows if row.way == way)
                for field in fields
            ),
        )
        for way in WAYS
    ]


def print_report(report: Report) -> None:
    """Print the tables."""
    print("Histories of faults")
    for row in report.histories:
        print(
            f"  {row.way:16} {row.histories} histories, {row.payments} payments, "
            f"{row.runs} runs: keys over one {row.keys_over_one}, "
            f"payments over one {row.payments_over_one}, "
            f"untrue not-run {row.untrue_not_run} of {row.not_run} "
            f"(overtaken {row.overtaken_not_run}), "
            f"may-have-run {row.may_have_run}, served {row.served}, "
            f"appends per payment {row.appends / row.payments:.2f}"
        )
    print("Platform outage, default interval")
    for outage in report.outages:
        print(
            f"  {outage.way:16} {outage.outage_ms / 1000:5.0f} s: "
            f"served {100 * outage.served_ratio:5.1f}% of {outage.payments}, "
            f"appends on the path {outage.path_appends_per_payment:.2f}, "
            f"median {outage.median_ms:.0f} ms"
        )
    print("Length of the ownership interval")
    for trade in report.trades:
        print(
            f"  {trade.interval_ms / 1000:5.0f} s: outage survived "
            f"{min(trade.survived_ms) / 1000:.0f} s at least "
            f"(mean {statistics.mean(trade.survived_ms) / 1000:.0f} s), "
            f"slot closed after a crash {max(trade.blocked_ms) / 1000:.0f} s at most "
            f"(mean {statistics.mean(trade.blocked_ms) / 1000:.0f} s), "
            f"payments served meanwhile {100 * trade.served_ratio:.1f}%, "
            f"appends {trade.appends_per_node_hour:.0f} per node and hour"
        )


def main() -> None:
    """Run, print and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    options = parser.parse_args()
    report = measure(quick=options.quick)
    print_report(report)
    if not options.quick:
        write_result("once", report)


if __name__ == "__main__":
    main()
