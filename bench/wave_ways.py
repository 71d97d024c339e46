"""Compares ways to choose between data centres whose demand peaks at different times.

Differences are to the first way on the same requests and slow phases. ``net`` is the
share in time less 0.014 for each KiB between data centres.

Usage:
  wave_ways [--seeds N] [--processes N] [--ways NAMES] [--scenes NAMES]
            [--runs FILE] [--play-none] [--no-result]

Options:
  --seeds N       Runs of each scene and way [default: 8].
  --processes N   Runs at the same time [default: 2].
  --ways NAMES    Names of ways, with semicolons between them; all by default.
  --scenes NAMES  Names of scenes, with semicolons between them; all by default.
  --runs FILE     Add runs to this file, and don't repeat those that it has.
  --play-none     Summarize the runs that the file has.
  --no-result     Print the table only.
"""

import itertools
import multiprocessing
import pathlib
import statistics
import sys
from collections.abc import Iterable, Sequence

import attrs
import docopt
import orjson

from .results import Machine, at_end, machine_facts, write_result
from .speed_model import Fleet
from .wave_kill import Kill, play
from .wave_model import FLEET, Placement, WaveOutcome


@attrs.frozen
class Scene:
    """A load, and the nodes that are killed in it."""

    name: str
    utilization: float
    kill: Kill | None = None
    fleet: Fleet = FLEET


SMALL = attrs.evolve(FLEET, servers=15)
RARE_REPORTS = attrs.evolve(FLEET, remote_report_ms=2650.0)
FEW_REPORTS = attrs.evolve(FLEET, skips_unchanged=True)
SCENES = (
    Scene("0.8", 0.8),
    Scene("1.0", 1.0),
    Scene("0.5", 0.5),
    Scene("1.3", 1.3),
    Scene("0.8, a third killed", 0.8, Kill(1 / 3)),
    Scene("0.8, two thirds killed", 0.8, Kill(2 / 3)),
    Scene("0.8, 15 servers", 0.8, fleet=SMALL),
    Scene("1.0, 15 servers", 1.0, fleet=SMALL),
    Scene("1.0, remote reports each 2.65 s", 1.0, fleet=RARE_REPORTS),
    Scene("1.0, unchanged reports left out", 1.0, fleet=FEW_REPORTS),
)
WAYS = (
    Placement("present"),
    Placement("built", built=True),
    Placement("margin 0.1, emptiest", margin=0.1, emptiest=True),
    Placement("reports fade in 250 ms", memory_ms=250.0),
    Placement("emptiest, 4 remote", emptiest=True, remote_sample=4),
    Placement("price 0.007", penalty=0.007),
    Placement("price 0.028", penalty=0.028),
    Placement("waits at once from a load of 1.0", full_fill=1.0),
    Placement("margin 0.1", margin=0.1),
    Placement("remote only when full", only_when_full=True),
    Placement("8 local, 4 remote", local_sample=8, remote_sample=4),
    Placement("reports fade in 600 ms", memory_ms=600.0),
    Placement("reports fade in 120 ms", memory_ms=120.0),
    Placement(
        "reports fade in 250 ms, margin 0.1, emptiest",
        margin=0.1,
        emptiest=True,
        memory_ms=250.0,
    ),
)
Job = tuple[Placement, Scene, int]


def _play_packed(job: Job) -> WaveOutcome:
    way, scene, seed = job
    return play(way, scene.utilization, seed, scene.fleet, scene.kill)


@attrs.define
class Runs:
    """Outcomes by way, scene and seed, kept in a file if there is one."""

    path: pathlib.Path | None
    _found: dict[tuple[object, ...], WaveOutcome] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        if self.path and self.path.exists():
            for line in self.path.read_bytes().splitlines():
                key, outcome = orjson.loads(line)
                self._found[tuple(key)] = WaveOutcome(**outcome)

    def get(self, job: Job) -> WaveOutcome | None:
        """Return the outcome of a run, if it was played."""
        return self._found.get(_key(job))

    def pairs(
        self, base: Placement, way: Placement, scene: Scene, seeds: Iterable[int]
    ) -> list[tuple[WaveOutcome, WaveOutcome]]:
        """Return the outcomes of a way and the base on the seeds played with both."""
        found = [
            (self.get((way, scene, seed)), self.get((base, scene, seed)))
            for seed in seeds
        ]
        return [(one, other) for one, other in found if one and other]

    def add(self, job: Job, outcome: WaveOutcome) -> None:
        """Keep the outcome of a run."""
        self._found[_key(job)] = outcome
        if self.path:
            with self.path.open("ab") as file:
                file.write(orjson.dumps([_key(job), attrs.asdict(outcome)]) + b"\n")


def _key(job: Job) -> tuple[object, ...]:
    way, scene, seed = job
    return way.name, scene.name, seed


@attrs.frozen
class Row:
    """Means of one scene and way.

    Attributes
    ----------
    gain, net_gain, served_gain, kib_gain : tuple of float
        Difference to the first way, and half its 95% confidence interval.
    """

    scene: str
    way: str
    seeds: int
    in_time: float
    gain: tuple[float, float]
    net_gain: tuple[float, float]
    served: float
    served_gain: tuple[float, float]
    kib: float
    kib_gain: tuple[float, float]
    nodes_asked: float
    nodes_asked_gain: tuple[float, float]
    remote_share: float


@attrs.frozen
class WaveWaysResult:
    """All rows, in the order of the ways."""

    rows: list[Row]
    machine: Machine


def _gain(
    name: str, found: Sequence[WaveOutcome], base: Sequence[WaveOutcome]
) -> tuple[float, float]:
    gains = [
        getattr(one, name) - getattr(other, name)
        for one, other in zip(found, base, strict=True)
    ]
    spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
    return statistics.fmean(gains), 1.96 * spread / len(gains) ** 0.5


def summarize(
    scene: Scene,
    way: Placement,
    found: Sequence[WaveOutcome],
    base: Sequence[WaveOutcome],
) -> Row:
    """Return the means of several runs, beside those of the first way."""

    def mean(name: str) -> float:
        return statistics.fmean(getattr(one, name) for one in found)

    return Row(
        scene.name,
        way.name,
        len(found),
        mean("in_time"),
        _gain("in_time", found, base),
        _gain("net", found, base),
        mean("served"),
        _gain("served", found, base),
        mean("kib"),
        _gain("kib", found, base),
        mean("nodes_asked"),
        _gain("nodes_asked", found, base),
        mean("remote_share"),
    )


def _format(row: Row) -> str:
    pairs = {
        "in time": (row.in_time, row.gain),
        "served": (row.served, row.served_gain),
        "KiB": (row.kib, row.kib_gain),
        "asked": (row.nodes_asked, row.nodes_asked_gain),
    }
    texts = [
        f"{name} {mean:.4f} {gain:+.4f} ±{error:.4f}"
        for name, (mean, (gain, error)) in pairs.items()
    ]
    net = "net {:+.4f} ±{:.4f}".format(*row.net_gain)
    return f"{row.scene:12} {row.way:34} {row.seeds} " + " | ".join([*texts, net])


def main() -> int:
    """Run the model from the command line."""
    options = docopt.docopt(__doc__ or "")
    seeds = range(int(options["--seeds"]))
    way_names, scene_names = options["--ways"], options["--scenes"]
    ways = [
        one for one in WAYS if way_names is None or one.name in way_names.split(";")
    ]
    scenes = [
        one
        for one in SCENES
        if scene_names is None or one.name in scene_names.split(";")
    ]
    machine = machine_facts()
    runs = Runs(pathlib.Path(options["--runs"]) if options["--runs"] else None)
    rows = []
    with multiprocessing.Pool(int(options["--processes"])) as pool:
        for way, scene in itertools.product(ways, scenes):
            jobs: list[Job] = [(way, scene, seed) for seed in seeds]
            missing = [job for job in jobs if runs.get(job) is None]
            if options["--play-none"]:
                missing = []
            for job, outcome in zip(
                missing, pool.imap(_play_packed, missing, 1), strict=True
            ):
                runs.add(job, outcome)
            pairs = runs.pairs(ways[0], way, scene, seeds)
            if pairs:
                rows.append(summarize(scene, way, *zip(*pairs, strict=True)))
                print(_format(rows[-1]), flush=True)
    if not options["--no-result"]:
        write_result("wave_ways", WaveWaysResult(rows, at_end(machine)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
