"""Herds of restarts and cut data centres, with versions that spread meanwhile."""

from enum import Enum

import attrs

from azurestep.settings import Address

from .fake_fleet import FakeFleet, peak_per_s
from .fake_network import FIRST_PORT

DATA_CENTRES = 3
SETTLE_MS = 15_000
DOWN_MS = 2_000
CUT_MS = 20_000
ON_ITS_WAY_MS = 7
WATCH_MS = 30_000
TIMEOUT_MS = 120_000


class Cut(Enum):
    """From what one data centre is cut off."""

    OTHERS = "others"
    PLATFORM = "platform"
    BOTH = "both"


@attrs.frozen
class HerdResult:
    """Half of all nodes die and return at once while the platform is out.

    Attributes
    ----------
    converged_ms : float
        From the return until every node knows its data centre and holds the
        newest version, the platform still out.
    snapshots_peak_per_s, reads_peak_per_s : int
        Whole configurations served by all nodes, and reads of the log tried by
        all nodes, in the busiest second after the return.
    published_ms : float
        From a publication, at the moment the platform is back, until every node
        holds it.
    went_back : int
        How often a running node put an older version in force.
    """

    nodes: int
    seed: int
    converged_ms: float
    snapshots_peak_per_s: int
    reads_peak_per_s: int
    published_ms: float
    went_back: int


@attrs.frozen
class CutResult:
    """A data centre is cut off for 20 s and healed during a publication.

    Attributes
    ----------
    converged_ms : float
        From the healing until every node knows its data centre and holds the
        newest version.
    reads_peak_per_s : int
        Reads of the log tried by all nodes in the busiest second after it.
    went_back : int
        How often a running node put an older version in force.
    """

    nodes: int
    seed: int
    cut: str
    converged_ms: float
    reads_peak_per_s: int
    went_back: int


def measure_herd(nodes: int, seed: int) -> HerdResult:
    """Let half of all nodes return at once while the platform is out."""
    fleet = _settled(nodes, seed)
    fleet.is_platform_cut = lambda address: True
    fleet.run(SETTLE_MS)
    herd = list(fleet.nodes)[nodes // 2 :]
    for address in herd:
        fleet.stop(address)
    fleet.run(DOWN_MS)
    for address in herd:
        fleet.restart(address)
    returned_ms = fleet.now_ms
    converged_ms = fleet.run_until(fleet.is_current, TIMEOUT_MS)
    fleet.run(WATCH_MS)
    snapshots = peak_per_s(fleet.snapshots_ms, returned_ms)
    reads = peak_per_s(fleet.reads_ms, returned_ms)
    fleet.is_platform_cut = lambda address: False
    fleet.platform.publish()
    published_ms = fleet.run_until(fleet.is_current, TIMEOUT_MS)
    fleet.run(WATCH_MS)
    return HerdResult(
        nodes,
        seed,
        round(converged_ms),
        snapshots,
        reads,
        round(published_ms),
        fleet.went_back,
    )


def measure_cut(nodes: int, seed: int, cut: Cut) -> CutResult:
    """Cut a data centre off, and heal it while a publication is on its way."""
    fleet = _settled(nodes, seed)
    if cut is not Cut.PLATFORM:
        fleet.is_cut = lambda one, other: _is_inside(one) != _is_inside(other)
    if cut is not Cut.OTHERS:
        fleet.is_platform_cut = _is_inside
    fleet.run(CUT_MS / 2)
    fleet.platform.publish()
    fleet.run(CUT_MS / 2)
    fleet.platform.publish()
    fleet.run(ON_ITS_WAY_MS)
    healed_ms = fleet.now_ms
    fleet.is_cut = lambda one, other: False
    fleet.is_platform_cut = lambda address: False
    converged_ms = fleet.run_until(fleet.is_current, TIMEOUT_MS)
    fleet.run(WATCH_MS)
    reads = peak_per_s(fleet.reads_ms, healed_ms)
    return CutResult(
        nodes, seed, cut.value, round(converged_ms), reads, fleet.went_back
    )


def _is_inside(address: Address) -> bool:
    return (address.port - FIRST_PORT) % DATA_CENTRES == 0


def _settled(nodes: int, seed: int) -> FakeFleet:
    fleet = FakeFleet(nodes, seed, DATA_CENTRES)
    fleet.run_until(fleet.is_whole, TIMEOUT_MS)
    fleet.platform.publish()
    fleet.run_until(fleet.is_current, TIMEOUT_MS)
    fleet.run(SETTLE_MS)
    return fleet
