"""Measure membership under loss, partitions and herds of restarts.

Usage:
  herds [--quick] [--output FILE]

Options:
  --quick        Fewer nodes and seeds, for tests.
  --output FILE  JSON of the results [default: bench/results/herds.json].

The decisions run over a fake network in simulated time. Membership is measured in
one data centre without the platform's log; the herds and the cut data centres are
measured in three, with a log that can be out of reach.
"""

import itertools
import pathlib
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import attrs
import docopt
import orjson

from azurestep.control.updates import MemberStatus

from .fake_links import Link
from .fake_network import FIRST_PORT, FakeNetwork
from .fleet_herds import Cut, CutResult, HerdResult, measure_cut, measure_herd

NODES = (24, 183)
QUICK_NODES = (12,)
SEEDS = range(1, 4)
QUICK_SEEDS = range(1, 2)
LOSS_RATIO = 0.2
LOSS_MS = 60_000
PARTITION_MS = 20_000
TIMEOUT_MS = 180_000
WORKERS = 3
SETTLE_MS = 30_000
SILENCE_MS = 60_000
NOT_ALIVE = frozenset(MemberStatus) - {MemberStatus.ALIVE}


@attrs.frozen
class Result:
    """Figures of one data centre size and seed, in simulated time.

    Attributes
    ----------
    join_ms : float
        From the start of all nodes, each with one seed address, until every
        node knows every other.
    false_deaths : int
        Beliefs that a running node is dead, in ``LOSS_MS`` with a fifth of all
        messages lost.
    detection_ms : float
        From a node's end until no node believes it alive.
    heal_ms : float
        From the end of a partition into halves until every node knows every
        other.
    deaths_after_heal : int
        Beliefs, after that end, that a running node is dead.
    herd_ms : float
        From the return of half of the nodes until every node knows every other.
    herd_per_s : float
        Messages sent for each node and second until then.
    quiet_per_s : float
        Messages sent for each node and second in a quiet minute.
    answered_ms, silent_ms, one_way_ms : float
        Until each node had an answer from each neighbour, on quiet links, from
        the moment when all open links went silent, and when those of one
        direction did.
    silent_suspicions : int
        Beliefs, in the minute after each silence, that a node is not alive.
    """

    nodes: int
    seed: int
    join_ms: float
    quiet_per_s: float
    false_deaths: int
    detection_ms: float
    heal_ms: float
    deaths_after_heal: int
    herd_ms: float
    herd_per_s: float
    answered_ms: float
    silent_ms: float
    one_way_ms: float
    silent_suspicions: int


def measure(nodes: int, seed: int) -> Result:
    """Run all situations of one size and seed."""
    network = FakeNetwork(nodes, seed)
    join_ms = network.run_until(network.is_whole, TIMEOUT_MS)
    network.run(30_000)
    quiet = _rate(network, 60_000)
    lost_from_ms = network.now_ms
    network.loss_ratio = LOSS_RATIO
    network.run(LOSS_MS)
    network.loss_ratio = 0.0
    false_deaths = _deaths(network, lost_from_ms)
    network.run_until(network.is_whole, TIMEOUT_MS)
    detection_ms = _detect(network)
    healed_ms, heal_ms = _heal(network, nodes)
    deaths_after_heal = _deaths(network, healed_ms)
    herd_ms, herd_rate = _herd(network)
    network.run(SETTLE_MS)
    answered_ms = _answer(network)
    silent_from_ms = network.now_ms
    silent_ms = _silence(network, lambda link: True)
    one_way_ms = _silence(network, lambda link: link.source.port > link.to.port)
    suspicions = _beliefs(network, silent_from_ms, NOT_ALIVE)
    return Result(
        nodes,
        seed,
        round(join_ms),
        round(quiet, 2),
        false_deaths,
        round(detection_ms),
        round(heal_ms),
        deaths_after_heal,
        round(herd_ms),
        round(herd_rate, 2),
        round(answered_ms),
        round(silent_ms),
        round(one_way_ms),
        suspicions,
    )


def _rate(network: FakeNetwork, duration_ms: float) -> float:
    before = network.sent
    network.run(duration_ms)
    return (network.sent - before) / len(network.nodes) / (duration_ms / 1000)


def _deaths(network: FakeNetwork, since_ms: float) -> int:
    return _beliefs(network, since_ms, frozenset({MemberStatus.DEAD}))


def _beliefs(
    network: FakeNetwork, since_ms: float, statuses: frozenset[MemberStatus]
) -> int:
    return sum(
        belief.status in statuses and belief.at_ms >= since_ms
        for belief in network.beliefs
    )


def _detect(network: FakeNetwork) -> float:
    victim = list(network.nodes)[-1]
    network.stop(victim)
    detection_ms = network.run_until(network.is_whole, TIMEOUT_MS)
    network.restart(victim)
    network.run_until(network.is_whole, TIMEOUT_MS)
    return detection_ms


def _heal(network: FakeNetwork, nodes: int) -> tuple[float, float]:
    middle = FIRST_PORT + nodes // 2
    network.is_cut = lambda one, other: (one.port < middle) != (other.port < middle)
    network.run(PARTITION_MS)
    network.is_cut = lambda one, other: False
    healed_ms = network.now_ms
    return healed_ms, network.run_until(network.is_whole, TIMEOUT_MS)


def _herd(network: FakeNetwork) -> tuple[float, float]:
    herd = list(network.nodes)[1::2]
    for address in herd:
        network.stop(address)
    network.run(2_000)
    for address in herd:
        network.restart(address)
    before, started_ms = network.sent, network.now_ms
    herd_ms = network.run_until(network.is_whole, TIMEOUT_MS)
    elapsed_s = max(1.0, (network.now_ms - started_ms) / 1000)
    return herd_ms, (network.sent - before) / len(network.nodes) / elapsed_s


def _answer(network: FakeNetwork) -> float:
    since_ms = network.now_ms
    return network.run_until(lambda: network.is_answered(since_ms), TIMEOUT_MS)


def _silence(network: FakeNetwork, chosen: Callable[[Link], bool]) -> float:
    network.links.silence(chosen)
    took_ms = _answer(network)
    network.run(SILENCE_MS)
    return took_ms


@attrs.frozen
class Size:
    """Nodes and the seed of one run."""

    nodes: int
    seed: int


@attrs.frozen
class Results:
    """All figures of a run."""

    membership: list[Result] = attrs.field(factory=list)
    herds: list[HerdResult] = attrs.field(factory=list)
    cuts: list[CutResult] = attrs.field(factory=list)


def _measure_size(size: Size) -> Results:
    cuts = [measure_cut(size.nodes, size.seed, cut) for cut in Cut]
    return Results(
        [measure(size.nodes, size.seed)], [measure_herd(size.nodes, size.seed)], cuts
    )


def _measure_all(sizes: list[Size]) -> Results:
    results = Results()
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        for found in pool.map(_measure_size, sizes):
            results.membership.extend(found.membership)
            results.herds.extend(found.herds)
            results.cuts.extend(found.cuts)
            print(found, flush=True)
    return results


def main() -> int:
    """Run the measurement from the command line."""
    options = docopt.docopt(__doc__ or "")
    sizes = QUICK_NODES if options["--quick"] else NODES
    seeds = QUICK_SEEDS if options["--quick"] else SEEDS
    pairs = itertools.product(sizes, seeds)
    results = _measure_all([Size(nodes, seed) for nodes, seed in pairs])
    path = pathlib.Path(options["--output"])
    path.parent.mkdir(parents=True, exist_ok=True)
    plain = attrs.asdict(results)
    path.write_bytes(orjson.dumps(plain, option=orjson.OPT_INDENT_2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
