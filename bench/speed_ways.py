"""Compares ways to use what backend servers state about their speed, in a model.

Ways differ in who uses the ratio, and how. The gain is the difference of the share in
time to the first way that is played, on the same requests and slow phases.

Usage:
  speed_ways [--seeds N] [--processes N] [--ways NAMES] [--no-result]

Options:
  --seeds N      Runs of each load and way [default: 6].
  --processes N  Runs at the same time [default: 3].
  --ways NAMES   Names of ways, with semicolons between them; all by default.
  --no-result    Print the table only.
"""

import itertools
import multiprocessing
import statistics
import sys
from unittest import mock

import attrs
import docopt

from azurestep.mesh.decisions import speed as speeds

from .results import Machine, at_end, machine_facts, write_result
from .speed_model import Model, Outcome, Way

UTILIZATIONS = (0.5, 0.8, 1.0, 1.3)


WAYS = (
    Way("without", stated=False),
    Way("admission", by_peers=False),
    Way("choice", by_admission=False),
    Way("both"),
    Way("both, known at once", at_once=True),
    Way("both, slow queues", slow_queues=True),
    Way("both, slow queues, known at once", slow_queues=True, at_once=True),
    Way("both, remote too", by_remote=True),
    Way("both, sent once", resent=False),
    Way("both, waits at normal speed", slow_waits=False),
    Way("both, weight 150 to 300 ms", full_weight_ms=150.0, no_weight_ms=300.0),
    Way("both, weight 600 to 1200 ms", full_weight_ms=600.0, no_weight_ms=1200.0),
    Way("both, news from a tenth", large_change=0.1),
    Way("both, news from double", large_change=1.0),
    Way("both, absolute", related=False),
    Way("both, speed in ratio", includes_speed=True),
    Way("both, speed in ratio, absolute", includes_speed=True, related=False),
    Way("both, late reports", late_share=0.3),
    Way("both, late reports lose weight", late_share=0.3, load_memory_ms=300.0),
    Way("both, late reports lose it slowly", late_share=0.3, load_memory_ms=1200.0),
)


def play(way: Way, utilization: float, seed: int) -> Outcome:
    """Play a load once."""
    with (
        mock.patch.object(speeds, "FULL_WEIGHT_MS", way.full_weight_ms),
        mock.patch.object(speeds, "NO_WEIGHT_MS", way.no_weight_ms),
        mock.patch.object(speeds, "LARGE_CHANGE", way.large_change),
    ):
        return Model(way, utilization, seed).run()


def _play_packed(arguments: tuple[Way, float, int]) -> Outcome:
    return play(*arguments)


@attrs.frozen
class Row:
    """Means of one load and way.

    Attributes
    ----------
    gain, gain_error : float
        Difference of ``in_time`` to the first way on the same requests and phases, and
        half its 95% confidence interval.
    """

    utilization: float
    way: str
    in_time: float
    gain: float
    gain_error: float
    served: float
    refused: float
    mean_ms: float
    messages_per_s: float


@attrs.frozen
class SpeedWaysResult:
    """All rows, in the order of the loads."""

    rows: list[Row]
    seeds: int
    machine: Machine


def summarize(
    utilization: float, way: Way, found: list[Outcome], base: list[Outcome]
) -> Row:
    """Return the means of several runs, beside those of the first way."""
    gains = [
        one.in_time - other.in_time for one, other in zip(found, base, strict=True)
    ]
    spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
    return Row(
        utilization,
        way.name,
        statistics.fmean(one.in_time for one in found),
        statistics.fmean(gains),
        1.96 * spread / len(found) ** 0.5,
        statistics.fmean(one.served for one in found),
        statistics.fmean(one.refused for one in found),
        statistics.fmean(one.mean_ms for one in found),
        statistics.fmean(one.messages_per_s for one in found),
    )


def main() -> int:
    """Run the model from the command line."""
    options = docopt.docopt(__doc__ or "")
    seeds = int(options["--seeds"])
    names = options["--ways"]
    ways = [one for one in WAYS if names is None or one.name in names.split(";")]
    machine = machine_facts()
    rows = []
    print("load in time    gain          served refused mean ms messages/s way")
    with multiprocessing.Pool(int(options["--processes"])) as pool:
        base: list[Outcome] = []
        for utilization, way in itertools.product(UTILIZATIONS, ways):
            runs = [(way, utilization, seed) for seed in range(seeds)]
            found = pool.map(_play_packed, runs, 1)
            base = found if way is ways[0] else base
            row = summarize(utilization, way, found, base)
            rows.append(row)
            print(
                f"{utilization:4} {row.in_time:7.4f}"
                f" {row.gain:+.4f} ±{row.gain_error:.4f}"
                f" {row.served:7.4f} {row.refused:7.4f} {row.mean_ms:7.1f}"
                f" {row.messages_per_s:10.1f} {way.name}",
                flush=True,
            )
    if not options["--no-result"]:
        write_result("speed_ways", SpeedWaysResult(rows, seeds, at_end(machine)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
