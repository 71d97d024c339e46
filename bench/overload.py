"""Measure the traffic decisions under overload and faults.

Usage: python -m bench.overload [--quick] [--output PATH]

The decision code runs unchanged in a small queueing model with seeded
arrivals; baselines run in the same model with the same seeds.
"""

import argparse
import pathlib
import random
import sys
import time

import attrs
import orjson

from azurestep.balancing import (
    Admission,
    AdmissionRequest,
    AttemptOutcome,
    Discipline,
    Endpoint,
    EndpointKey,
    LimiterKind,
    OutcomeKind,
)
from azurestep.config.model import ClassShares, Priority, Service

from . import amplification, quarantine_trial
from .overload_runs import Figures, Policy, Scenario, percentile, run

DEFAULT_OUTPUT = pathlib.Path(__file__).parent / "results" / "overload.json"
DECISIONS = Policy("decisions", "decisions")
BASELINES = [
    Policy("random", "random"),
    Policy("round robin", "round_robin"),
    Policy("round robin, 2 retries", "round_robin", retries=2),
]
VARIANTS = [
    Policy("fixed slots", "decisions", limiter=LimiterKind.FIXED, throttled=False),
    Policy("AIMD, no throttle", "decisions", throttled=False),
    Policy("gradient", "decisions", limiter=LimiterKind.GRADIENT),
    Policy("FIFO", "decisions", discipline=Discipline.FIFO),
    Policy("adaptive LIFO", "decisions", discipline=Discipline.ADAPTIVE_LIFO),
]
REPORTED = Policy("least reported load", "reported_load")
LOADS = (0.5, 1.0, 2.0, 4.0)
NODE_COUNTS = (6, 30, 120, 480)
FAULT_LOAD = 0.6
QUICK_MS = 1000.0


def overload_table(quick: bool) -> list[Figures]:
    """Measure multiples of the capacity."""
    policies = [*BASELINES, DECISIONS, *VARIANTS]
    loads = (2.0,) if quick else LOADS
    scenarios = [Scenario(f"{load:g} times capacity", load) for load in loads]
    if not quick:
        cold = Scenario("4 times from a cold start", 4.0, usual_ms=0.0)
        scenarios.append(cold)
    return _measure(scenarios, policies, quick)


def node_table(quick: bool) -> list[Figures]:
    """Measure services that many nodes call."""
    policies = [BASELINES[1], VARIANTS[1], DECISIONS]
    counts = (30,) if quick else NODE_COUNTS
    scenarios = [
        Scenario(f"{count} nodes, {load:g} times", load, node_count=count)
        for count in counts
        for load in (1.0, 2.0, 4.0)
    ]
    return _measure(scenarios, policies, quick)


def fault_table(quick: bool) -> list[Figures]:
    """Measure one faulty backend server and misleading reports."""
    load = FAULT_LOAD
    scenarios = [
        Scenario("one 10 times slower", load, slowness=10.0),
        Scenario("one answers fast errors", load, error_ratio=1.0),
        Scenario("reports frozen", load, reports="frozen"),
        Scenario("reports false, that one slow", load, slowness=10.0, reports="false"),
        Scenario(
            "reports false, that one in error", load, error_ratio=1.0, reports="false"
        ),
        Scenario("all report unhealthy", load, reports="all_unhealthy"),
    ]
    return _measure(scenarios, [*BASELINES, REPORTED, DECISIONS], quick)


def _measure(scenarios, policies, quick: bool) -> list[Figures]:
    if quick:
        short = {"duration_ms": QUICK_MS, "usual_ms": QUICK_MS}
        scenarios = [attrs.evolve(scenario, **short) for scenario in scenarios]
    return [run(scenario, policy) for scenario in scenarios for policy in policies]


@attrs.frozen
class DecisionTime:
    """Time that the decisions on one request take.

    Attributes
    ----------
    endpoints : int
        Backend servers of the service.
    median_us, p99_us : float
        Microseconds for ``request`` and ``finish`` together.
    """

    endpoints: int
    median_us: float
    p99_us: float


def time_decisions(endpoints: int, rounds: int) -> DecisionTime:
    """Time the decisions on requests, with some of them in flight."""
    source = random.Random(1)
    admission = Admission(Service("songs"), ClassShares(), "dc0", "i0", source)
    admission.replace_endpoints(_endpoints(endpoints), 0.0)
    running = []
    times_us = []
    outcome = AttemptOutcome(OutcomeKind.SUCCESS, 5.0)
    for number in range(rounds):
        now_ms = 0.5 * number
        begun_ns = time.perf_counter_ns()
        request = AdmissionRequest(Priority.INTERACTIVE, now_ms, now_ms + 500.0)
        running.append(admission.request(request).ticket)
        if len(running) > endpoints:
            admission.finish(running.pop(0), outcome, now_ms)
        times_us.append((time.perf_counter_ns() - begun_ns) / 1000)
    return DecisionTime(
        endpoints, percentile(times_us, 0.5), percentile(times_us, 0.99)
    )


def _endpoints(count: int) -> list[Endpoint]:
    return [
        Endpoint(
            EndpointKey("127.0.0.1", 1 + number, 1), "songs", f"i{number}", "dc0", 12
        )
        for number in range(count)
    ]


def print_table(title: str, rows: list) -> None:
    """Print rows of one class as an aligned table."""
    print(f"\n{title}")
    names = [field.name for field in attrs.fields(type(rows[0]))]
    cells = [names, *([_text(getattr(row, name)) for name in names] for row in rows)]
    widths = [max(len(line[index]) for line in cells) for index in range(len(names))]
    for line in cells:
        print(
            "  ".join(
                cell.ljust(width) for cell, width in zip(line, widths, strict=True)
            )
        )


def _text(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}" if value < 10 else f"{value:.1f}"
    if isinstance(value, dict):
        return " ".join(f"{share:.2f}" for share in value.values())
    return str(value)


def measure_all(quick: bool) -> dict[str, list]:
    """Measure every table, by title."""
    rounds = 5000 if quick else 100_000
    seeds = 1 if quick else 5
    requests = 200 if quick else amplification.REQUESTS
    return {
        "overload": overload_table(quick),
        "nodes": node_table(quick),
        "faults": fault_table(quick),
        "retry amplification": amplification.table(requests),
        "quarantine": quarantine_trial.table(seeds),
        "decision time": [time_decisions(n, rounds) for n in (6, 15, 200)],
    }


def main(arguments: list[str]) -> int:
    """Measure, print the tables and write them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="short runs, for tests")
    parser.add_argument("--output", type=pathlib.Path, default=DEFAULT_OUTPUT)
    options = parser.parse_args(arguments)
    tables = measure_all(options.quick)
    for title, rows in tables.items():
        print_table(title, rows)
    document = {
        "quick": options.quick,
        "tables": {t: [attrs.asdict(row) for row in r] for t, r in tables.items()},
    }
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
