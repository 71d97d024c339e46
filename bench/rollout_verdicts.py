"""Error rates of the comparison of two versions, over simulated roll-outs.

``python -m bench.rollout_verdicts`` prints a table: for each kind of new version, how
often it was found bad, after which time, and with how many bad answers.
"""

import statistics
import sys
from random import Random

import attrs

from azurestep.mesh.decisions.rollout_table import USED_EXPOSURE
from azurestep.mesh.decisions.rollout_verdict import VersionComparison, is_bad_run

TICK_S = 0.1
EXPOSURE_SHARE = 0.1
SHIFT_S = 7.0
"""Time at which a version that was not found bad gets all requests."""
END_S = 9.5
MEAN_RUN_MS = 200.0
RUN_SIGMA = 0.7
ROUTES = {"read": 0.7, "buy": 0.3}
"""Routes and their parts of the requests."""


@attrs.frozen
class NewVersion:
    """How the runs of a new version differ from those of the old one.

    Attributes
    ----------
    bad_ratio : float
        Ratio of its runs that fail, or are slow.
    slow_factor : float
        Run time of the bad runs relative to good ones; 0 if they fail instead.
    route : str
        The only route with bad runs; empty for all.
    from_s : float
        When the fault begins.
    """

    bad_ratio: float = 0.0
    slow_factor: float = 0.0
    route: str = ""
    from_s: float = 0.0


KINDS = {
    "good": NewVersion(),
    "errors": NewVersion(0.5),
    "few errors": NewVersion(0.3),
    "slow": NewVersion(0.5, slow_factor=8.0),
    "one route": NewVersion(0.5, route="buy"),
    "late": NewVersion(0.5, from_s=3.0),
    "under load": NewVersion(0.5, from_s=SHIFT_S),
}
OLD_RATIOS = (0.01, 0.1, 0.25)
"""Ratios of runs that fail at both versions, for causes elsewhere."""
RATES_PER_S = (87.0, 550.0, 1100.0)


@attrs.frozen
class Result:
    """Outcome of one simulated roll-out; ``found_s`` is None for no verdict."""

    found_s: float | None
    exposed: int
    bad_answers: int
    requests: int


def play(kind: NewVersion, old_ratio: float, rate_per_s: float, seed: int) -> Result:
    """Simulate one roll-out."""
    random = Random(seed)
    comparison = VersionComparison()
    exposed = bad_answers = requests = 0
    for tick in range(int(END_S / TICK_S)):
        now_s = tick * TICK_S
        share = EXPOSURE_SHARE * USED_EXPOSURE if now_s < SHIFT_S else 1.0
        for route, part in ROUTES.items():
            count = _draw_count(rate_per_s * part * TICK_S, random)
            requests += count
            new = sum(random.random() < share for _ in range(count))
            old_bad = sum(
                _draws_bad_run(old_ratio, NewVersion(), random)
                for _ in range(count - new)
            )
            active = now_s >= kind.from_s and kind.route in ("", route)
            version = kind if active else NewVersion()
            new_bad = sum(
                _draws_bad_run(old_ratio, version, random) for _ in range(new)
            )
            exposed += new
            bad_answers += new_bad
            comparison.record_old(route, count - new, old_bad)
            if new:
                comparison.record_new(route, new, new_bad)
        comparison.tick()
        if comparison.is_bad:
            return Result(now_s, exposed, bad_answers, requests)
    return Result(None, exposed, bad_answers, requests)


def _draw_count(mean: float, random: Random) -> int:
    return max(0, round(random.gauss(mean, mean**0.5)))


def _draws_bad_run(old_ratio: float, version: NewVersion, random: Random) -> bool:
    failed = random.random() < old_ratio
    run_ms = MEAN_RUN_MS * random.lognormvariate(-(RUN_SIGMA**2) / 2, RUN_SIGMA)
    if random.random() < version.bad_ratio:
        if version.slow_factor:
            run_ms *= version.slow_factor
        else:
            failed = True
    return is_bad_run(failed, run_ms, MEAN_RUN_MS)


def summarize(
    name: str, old_ratio: float, rate_per_s: float, count: int
) -> dict[str, object]:
    """Play a kind of roll-out many times."""
    results = [play(KINDS[name], old_ratio, rate_per_s, seed) for seed in range(count)]
    found = [one for one in results if one.found_s is not None]
    times_s = sorted(one.found_s or 0.0 for one in found)
    return {
        "kind": name,
        "old_ratio": old_ratio,
        "rate_per_s": rate_per_s,
        "found_ratio": len(found) / count,
        "median_s": statistics.median(times_s) if times_s else None,
        "worst_s": times_s[-1] if times_s else None,
        "most_bad_answers": max(one.bad_answers for one in results),
        "most_exposed": max(one.exposed for one in results),
    }


def main(count: int = 1000) -> None:
    """Print the table."""
    print("| kind | old bad | per s | found bad | median s | worst s | exposed |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name in KINDS:
        for old_ratio in OLD_RATIOS:
            for rate_per_s in RATES_PER_S:
                row = summarize(name, old_ratio, rate_per_s, count)
                print(
                    f"| {name} | {old_ratio} | {rate_per_s:.0f} |"
                    f" {row['found_ratio']:.3f} | {row['median_s']} |"
                    f" {row['worst_s']} | {row['most_exposed']} |",
                    flush=True,
                )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1000)
