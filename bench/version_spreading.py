"""Simulates how a version spreads through the nodes of one data centre.

Usage:
  bench.version_spreading [--seed N]

Options:
  --seed N  Seed of the silent nodes [default: 1].

The trees are those of the program; links and nodes are simulated. A version of the
given size is sent on each link after the others of its sender, and received after the
others of its receiver.
"""

import heapq
import itertools
import sys
from random import Random
from statistics import median

import attrs
import docopt

from azurestep.mesh.decisions.spreading import choose_receivers
from azurestep.mesh.settings import Address

from .results import Machine, at_end, machine_facts, write_result

ONE_WAY_MS = 1.4
"""Time of a message between nodes."""
NOTICE_MS = 2 * ONE_WAY_MS
"""Time from a notice until the answer to its question begins: the way of both."""
CATCH_UP_MS = 50.0 + 250.0 + 100.0
"""Time until a node that heard no notice asks, once half of the others have a version:
until one of them reports its state, the wait, and a tick."""
FORMER_BYTES, WHOLE_BYTES, ROUTES_BYTES, CHANGE_BYTES = 36_721, 26_000, 16_000, 100
"""Sizes of a document of 450 KB: for the former release, whole, after 1,400 routes were
added, and after one route was changed."""
NODES = (30, 50, 183)
"""Nodes of one data centre: of 88 in three, of 300 in six, of 1,100 in six."""
LINKS_MBPS = (3.5, 70.0, 1000.0)
BYTES_PER_MS_AT_1_MBPS = 125.0


@attrs.frozen
class Spread:
    """How a version spread.

    Attributes
    ----------
    way : str
        ``push`` sends it from one node to all others, ``trees`` as the program does.
    silent_ratio : float
        Ratio of nodes that pass nothing on.
    last_ms : float
        Time until the last node that isn't silent has it.
    caught_up : int
        Nodes that no notice reached, which asked later.
    most_sent_bytes : int
        What the busiest node sent.
    """

    way: str
    nodes: int
    link_mbps: float
    size_bytes: int
    silent_ratio: float
    last_ms: float
    caught_up: int
    most_sent_bytes: int


@attrs.frozen
class Result:
    """All runs, with facts of the machine."""

    machine: Machine
    runs: list[Spread]


@attrs.define
class SimulatedLinks:
    """Links of all nodes, each as wide in both directions."""

    bytes_per_ms: float
    sending_until_ms: dict[Address, float] = attrs.field(factory=dict)
    receiving_until_ms: dict[Address, float] = attrs.field(factory=dict)
    sent_bytes: dict[Address, int] = attrs.field(factory=dict)

    def transfer(
        self, sender: Address, receiver: Address, size_bytes: int, now_ms: float
    ) -> float:
        """Return when a message that is sent now has arrived."""
        needed_ms = size_bytes / self.bytes_per_ms
        sent_ms = max(now_ms, self.sending_until_ms.get(sender, 0.0)) + needed_ms
        self.sending_until_ms[sender] = sent_ms
        begun_ms = sent_ms - needed_ms + ONE_WAY_MS
        received_ms = (
            max(begun_ms, self.receiving_until_ms.get(receiver, 0.0)) + needed_ms
        )
        self.receiving_until_ms[receiver] = received_ms
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size_bytes
        return received_ms


def simulate_push(nodes: int, link_mbps: float, size_bytes: int) -> Spread:
    """Send a version from one node to all others."""
    members = make_members(nodes)
    links = SimulatedLinks(link_mbps * BYTES_PER_MS_AT_1_MBPS)
    arrivals = [
        links.transfer(members[0], member, size_bytes, 0.0) for member in members[1:]
    ]
    sent = max(links.sent_bytes.values())
    return Spread(
        "push", nodes, link_mbps, size_bytes, 0.0, max(arrivals, default=0.0), 0, sent
    )


def simulate_trees(
    nodes: int,
    link_mbps: float,
    size_bytes: int,
    silent_ratio: float = 0.0,
    seed: int = 1,
) -> Spread:
    """Pass a version on along the trees, each node asking who told it first."""
    random = Random(seed)
    members = make_members(nodes)
    root = members[0]
    silent = set(random.sample(members[1:], int(silent_ratio * (nodes - 1))))
    links = SimulatedLinks(link_mbps * BYTES_PER_MS_AT_1_MBPS)
    in_force_ms: dict[Address, float] = {}
    asked: set[Address] = {root}
    order = itertools.count()
    events: list[tuple[float, int, Address]] = [(0.0, next(order), root)]
    caught_up = 0
    while events or len(asked) < nodes:
        if not events:
            now_ms = median(in_force_ms.values()) + CATCH_UP_MS
            sources = sorted(one for one in in_force_ms if one not in silent)
            for member in [one for one in members if one not in asked]:
                asked.add(member)
                caught_up += member not in silent
                end_ms = links.transfer(
                    random.choice(sources), member, size_bytes, now_ms
                )
                heapq.heappush(events, (end_ms, next(order), member))
        now_ms, _, own = heapq.heappop(events)
        in_force_ms[own] = now_ms
        if own in silent:
            continue
        for receiver in choose_receivers(members, root, own):
            if receiver not in asked:
                asked.add(receiver)
                end_ms = links.transfer(own, receiver, size_bytes, now_ms + NOTICE_MS)
                heapq.heappush(events, (end_ms, next(order), receiver))
    last_ms = max(
        at_ms for member, at_ms in in_force_ms.items() if member not in silent
    )
    sent = max(links.sent_bytes.values(), default=0)
    return Spread(
        "trees", nodes, link_mbps, size_bytes, silent_ratio, last_ms, caught_up, sent
    )


def make_members(nodes: int) -> list[Address]:
    """Return the addresses of the nodes."""
    return [(f"10.1.{number // 250}.{number % 250}", 7102) for number in range(nodes)]


def run(seed: int) -> list[Spread]:
    """Simulate all sizes of data centres, links and versions."""
    runs = []
    for nodes, link_mbps in itertools.product(NODES, LINKS_MBPS):
        runs.append(simulate_push(nodes, link_mbps, FORMER_BYTES))
        for size_bytes in (WHOLE_BYTES, ROUTES_BYTES, CHANGE_BYTES):
            runs.append(simulate_trees(nodes, link_mbps, size_bytes))
        runs.append(simulate_trees(nodes, link_mbps, ROUTES_BYTES, 0.2, seed))
    return runs


def main(arguments: list[str]) -> None:
    """Simulate, print a table and write the result."""
    options = docopt.docopt(__doc__, argv=arguments)
    machine = machine_facts()
    runs = run(int(options["--seed"]))
    for one in runs:
        print(
            f"| {one.nodes} | {one.link_mbps:g} | {one.way} | {one.size_bytes:,} |"
            f" {one.silent_ratio:g} | {one.last_ms / 1000:.2f} | {one.caught_up} |"
            f" {one.most_sent_bytes / 1000:,.1f} |"
        )
    write_result("version_spreading", Result(at_end(machine), runs))


if __name__ == "__main__":
    main(sys.argv[1:])
