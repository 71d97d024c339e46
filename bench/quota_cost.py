"""What quotas of teams cost: processor time, messages and bytes.

Usage:
  quota_cost [--rounds N] [--exchanges N] [--seconds N] [--no-result]

Options:
  --rounds N     Rounds of the check and, a hundredth, of reports [default: 300].
  --exchanges N  Reports of one round [default: 1500].
  --seconds N    Simulated time of each fleet [default: 4].
  --no-result    Print the figures only.

The check of key and quota runs in this process, reports and grants between two real
nodes on loopback. Messages are counted on a model that runs the program's own quotas.
"""

import sys
from collections.abc import Sequence

import attrs
import docopt
import uvloop

from .quota_check import CheckCost, measure_checks
from .quota_links import ExchangeCost, measure_exchanges
from .quota_traffic import (
    LOADS,
    LargeFleet,
    NodeTraffic,
    measure_large_fleet,
    measure_traffic,
)
from .results import Machine, at_end, machine_facts, write_result
from .target import TARGET

TEAM_COUNTS = (77, 1000)
"""Teams of a deployment that was asked for, and many more."""
FLEET_SIZES = (12, 69)
REPORT_ROWS = (1, 10)
"""Teams in a report."""
REQUESTS = 1000
"""Requests of one round of the check."""
LARGE_RATES_PER_S = (200.0, 2000.0, 20_000.0, 96_000.0)
"""Requests of one team over the target's fleet; the last is a third of all."""
LARGE_FLEET_MS = 1000.0
TARGET_CHECK_US = 10.0


@attrs.frozen
class QuotaCost:
    """Result of the measurement.

    Attributes
    ----------
    target_us : float
        Target for the check of key and quota.
    """

    checks: list[CheckCost]
    exchanges: list[ExchangeCost]
    traffic: list[NodeTraffic]
    large: list[LargeFleet]
    requests: int
    rounds: int
    simulated_s: float
    target_us: float
    machine: Machine


def measure(rounds: int, exchanges: int, simulated_s: float) -> QuotaCost:
    """Measure everything, one after the other."""
    machine = machine_facts()
    checks = [
        cost
        for count in TEAM_COUNTS
        for cost in measure_checks(count, REQUESTS, rounds)
    ]
    _print(checks)
    costs = uvloop.run(measure_exchanges(REPORT_ROWS, exchanges, max(1, rounds // 100)))
    _print(costs)
    traffic = []
    for nodes in FLEET_SIZES:
        for teams in TEAM_COUNTS:
            for load in LOADS:
                traffic += measure_traffic(nodes, teams, load, simulated_s * 1000)
                _print(traffic[-3:])
    large = []
    for rate_per_s in LARGE_RATES_PER_S:
        large.append(measure_large_fleet(TARGET.nodes, rate_per_s, LARGE_FLEET_MS))
        _print(large[-1:])
    return QuotaCost(
        checks,
        costs,
        traffic,
        large,
        REQUESTS,
        rounds,
        simulated_s,
        TARGET_CHECK_US,
        at_end(machine),
    )


def _print(found: Sequence[object]) -> None:
    for one in found:
        print(one, flush=True)


def main() -> int:
    """Run the measurement from the command line."""
    options = docopt.docopt(__doc__ or "")
    result = measure(
        int(options["--rounds"]),
        int(options["--exchanges"]),
        float(options["--seconds"]),
    )
    if not options["--no-result"]:
        write_result("quota_cost", result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
