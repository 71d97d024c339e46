"""Measures what a model serves whose runs call another service.

A burst of orders, and several loads of all kinds of requests.

Usage:
  calls_model [--seeds N] [--no-result]

Options:
  --seeds N    Runs of each load [default: 5].
  --no-result  Print the table only.
"""

import sys
from collections import Counter

import attrs
import docopt

from .calls_fleet import (
    CHARGE,
    FULL_RATES,
    LESS_URGENT_ORDER,
    ORDER,
    READ,
    SERVERS,
    Fleet,
    Kind,
)
from .results import Machine, at_end, machine_facts, write_result


@attrs.frozen
class Outcome:
    """Shares of one kind of request that arrived in a span of time."""

    offered: int
    in_time: float
    late: float
    failed: float
    refused: float


def outcome(fleet: Fleet, kind: Kind, since_ms: float, until_ms: float) -> Outcome:
    """Return what became of the requests that arrived in a span of time."""
    found = Counter(
        caller.result
        for caller in fleet.callers
        if caller.kind is kind and since_ms <= caller.arrived_ms < until_ms
    )
    total = max(1, found.total())
    names = ("good", "late", "failed", "refused")
    return Outcome(found.total(), *(round(found[one] / total, 3) for one in names))


WARM_MS, BURST_MS, AFTER_MS = 10_000.0, 10_000.0, 2000.0
SETTLED_MS = 4000.0
"""When the run times and the calling services are known to all nodes."""
USUAL, BURST = 0.75, 2.4
LEFT = 1
"""Servers of the called service that are left: half of what the calls alone need."""


def scaled(load: float, orders: float = 1.0) -> dict[Kind, float]:
    """Return the rates at a load; ``orders``: how many times as many orders come."""
    return {
        ORDER: FULL_RATES[ORDER] * load * orders,
        READ: FULL_RATES[READ] * load,
    }


def play_burst(seed: int) -> Fleet:
    """Play a burst of orders, and the time after it."""
    fleet = Fleet(seed)
    fleet.run(WARM_MS, scaled(USUAL))
    fleet.run(WARM_MS + BURST_MS, scaled(USUAL, BURST))
    fleet.run(WARM_MS + BURST_MS + 2 * AFTER_MS, scaled(USUAL))
    return fleet


def play_lack(seed: int) -> Fleet:
    """Play the usual load while few servers of the called service are left."""
    fleet = Fleet(seed)
    fleet.run(WARM_MS, scaled(USUAL))
    fleet.close_servers("books", SERVERS - LEFT)
    fleet.run(WARM_MS + BURST_MS, scaled(USUAL))
    fleet.run(WARM_MS + BURST_MS + AFTER_MS, {})
    return fleet


CHARGES_PER_S = 260.0
"""Charges that take six tenths of the slots of the books."""


def play_charges(seed: int, has_teams: bool) -> Fleet:
    """Play a burst of orders while more urgent charges use the service they call."""
    fleet = Fleet(seed, has_teams)
    orders_per_s = FULL_RATES[ORDER]
    usual = {LESS_URGENT_ORDER: orders_per_s, CHARGE: CHARGES_PER_S}
    fleet.run(WARM_MS, usual)
    fleet.run(WARM_MS + BURST_MS, {**usual, LESS_URGENT_ORDER: orders_per_s * BURST})
    fleet.run(WARM_MS + BURST_MS + 2 * AFTER_MS, usual)
    return fleet


def play_load(seed: int, load: float) -> Fleet:
    """Play a load of all kinds alike."""
    fleet = Fleet(seed)
    fleet.run(WARM_MS + BURST_MS, scaled(load))
    fleet.run(WARM_MS + BURST_MS + AFTER_MS, {})
    return fleet


LOADS = (0.7, 1.0, 1.4, 2.4)


@attrs.frozen
class Row:
    """Orders and reads in one span of time; means over several runs."""

    span: str
    orders: Outcome
    reads: Outcome
    shed: float

    @property
    def in_time(self) -> float:
        """Share of all requests that were served within their objective."""
        good = sum(one.in_time * one.offered for one in (self.orders, self.reads))
        return good / (self.orders.offered + self.reads.offered)


def _mean(outcomes: list[Outcome]) -> Outcome:
    total = sum(one.offered for one in outcomes)
    shares = zip(*(attrs.astuple(one)[1:] for one in outcomes), strict=True)
    means = [round(sum(column) / len(outcomes), 3) for column in shares]
    return Outcome(total, *means)


def _row(span: str, fleets: list[Fleet], since_ms: float, until_ms: float) -> Row:
    orders = [outcome(one, ORDER, since_ms, until_ms) for one in fleets]
    reads = [outcome(one, READ, since_ms, until_ms) for one in fleets]
    shed = sum(one.shed["order"] for one in fleets) / len(fleets)
    return Row(span, _mean(orders), _mean(reads), shed)


def burst_rows(seeds: int) -> list[Row]:
    """Return what was served before, in and after a burst."""
    fleets = [play_burst(seed) for seed in range(seeds)]
    end_ms = WARM_MS + BURST_MS
    return [
        _row("before the burst", fleets, SETTLED_MS, WARM_MS),
        _row("burst", fleets, WARM_MS, end_ms),
        _row("2 s after the burst", fleets, end_ms, end_ms + AFTER_MS),
    ]


def load_row(load: float, seeds: int) -> Row:
    """Return what was served at a load."""
    fleets = [play_load(seed, load) for seed in range(seeds)]
    return _row(f"load {load}", fleets, SETTLED_MS, WARM_MS + BURST_MS)


def lack_row(seeds: int) -> Row:
    """Return what was served while the called service lacked servers."""
    fleets = [play_lack(seed) for seed in range(seeds)]
    since_ms = WARM_MS + AFTER_MS
    return _row("called service lacks servers", fleets, since_ms, WARM_MS + BURST_MS)


@attrs.frozen
class CallsResult:
    """All rows."""

    rows: list[Row]
    seeds: int
    machine: Machine


def main() -> int:
    """Run the model from the command line."""
    options = docopt.docopt(__doc__ or "")
    seeds = int(options["--seeds"])
    machine = machine_facts()
    rows = burst_rows(seeds) + [load_row(load, seeds) for load in LOADS]
    rows.append(lack_row(seeds))
    print("| Span | All in time | Orders: in time, late, failed, refused | Reads |")
    print("| --- | --- | --- | --- |")
    for row in rows:
        parts = [
            ", ".join(f"{one:.3f}" for one in attrs.astuple(kind)[1:])
            for kind in (row.orders, row.reads)
        ]
        print(f"| {row.span} | {row.in_time:.3f} | {parts[0]} | {parts[1]} |")
    if not options["--no-result"]:
        write_result("calls_model", CallsResult(rows, seeds, at_end(machine)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
