"""Membership decisions of many nodes over a fake network.

An event queue with a simulated clock carries the messages; nothing opens a
socket, so faults and their times are exact.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from azurestep.control.membership import Membership
from azurestep.control.messages import Ack, Digest, Message, Sender
from azurestep.control.outputs import MemberChanged, Output, ReplaceLink, Send
from azurestep.control.reports import Reporter
from azurestep.control.ring import neighbours
from azurestep.control.summaries import Summarizer
from azurestep.control.updates import MemberState, MemberStatus
from azurestep.settings import Address, ControlSettings

from .fake_links import FakeLinks, Link

TICK_MS = 100.0
DELAY_MS = 1.5
HOST = "127.0.0.1"
FIRST_PORT = 10_000


@attrs.frozen
class Belief:
    """What a node came to believe of another, and when."""

    at_ms: float
    by: str
    about: str
    status: MemberStatus


@attrs.define
class Node:
    """One node of the fake network."""

    membership: Membership
    sender: Sender
    summarizer: Summarizer
    reporter: Reporter
    is_running: bool = True


class FakeNetwork:
    """Nodes that exchange messages in simulated time.

    Parameters
    ----------
    count : int
        Number of nodes; each knows the first one of each data centre from its
        settings.
    seed : int
        Seed of all randomness.
    loss_ratio : float
        Share of the messages that are lost.
    settings : ControlSettings, optional
        Pace of the probes.
    data_centres : int
        Data centres that the nodes belong to in turn.
    """

    def __init__(
        self,
        count: int,
        seed: int = 1,
        loss_ratio: float = 0.0,
        settings: ControlSettings | None = None,
        data_centres: int = 1,
    ) -> None:
        self.now_ms = 0.0
        self.beliefs: list[Belief] = []
        self.sent = 0
        self.loss_ratio = loss_ratio
        self.links = FakeLinks()
        self._answered_ms: dict[Link, float] = {}
        self.is_cut: Callable[[Address, Address], bool] = lambda one, other: False
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes: dict[Address, Node] = {}
        self._settings = settings or ControlSettings()
        self._data_centres = data_centres
        for index in range(count):
            address = Address(HOST, FIRST_PORT + index)
            self.nodes[address] = self._new_node(address, incarnation=1)
            first_ms = self._random.uniform(0, TICK_MS)
            self._at(first_ms, functools.partial(self._tick, address))

    def _new_node(self, address: Address, incarnation: int) -> Node:
        index = address.port - FIRST_PORT
        own = MemberState(
            f"n{index}",
            f"kingston-{index % self._data_centres}",
            "caribbean",
            incarnation,
            1,
            int(MemberStatus.ALIVE),
            address.host,
            address.port,
            1,
        )
        first = range(FIRST_PORT, FIRST_PORT + self._data_centres)
        seeds = [Address(HOST, port) for port in first]
        source = random.Random(self._random.random())
        membership = Membership(own, seeds, self._settings, source)
        sender = Sender(
            own.instance, own.data_centre, incarnation, address.host, address.port
        )
        return Node(membership, sender, Summarizer(membership), Reporter(membership))

    def stop(self, address: Address) -> None:
        """End a node without notice."""
        self.nodes[address].is_running = False
        self.links.close_all(address)

    def restart(self, address: Address) -> None:
        """Start a node again; it remembers nothing."""
        incarnation = self.nodes[address].sender.incarnation + 1
        self.nodes[address] = self._new_node(address, incarnation)

    def _at(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._order), action))

    def _tick(self, address: Address) -> None:
        self._at(self.now_ms + TICK_MS, lambda: self._tick(address))
        node = self.nodes[address]
        if not node.is_running:
            return
        self.perform(node, node.membership.tick(self.now_ms))
        self.perform(node, node.summarizer.tick(self.now_ms))
        self._tick_reporter(node)

    def _tick_reporter(self, node: Node) -> None:
        self.perform(node, node.reporter.tick(self.now_ms, Digest(0, b"")))

    def perform(self, node: Node, outputs: list[Output]) -> None:
        """Carry out what a decision of a node asked for."""
        for output in outputs:
            if isinstance(output, Send):
                self._send(node.sender, output.to, output.message)
            if isinstance(output, ReplaceLink):
                self.links.replace(Link(node.sender.address, output.to))
            if isinstance(output, MemberChanged):
                status = MemberStatus(output.member.status)
                about = output.member.instance
                belief = Belief(self.now_ms, node.sender.instance, about, status)
                self.beliefs.append(belief)

    def _send(self, sender: Sender, to: Address, message: Message) -> None:
        self.sent += 1
        if self._random.random() < self.loss_ratio:
            return
        if self.is_cut(sender.address, to):
            return
        if not self.links.carries(Link(sender.address, to)):
            return
        self._at(self.now_ms + DELAY_MS, lambda: self._deliver(sender, to, message))

    def _deliver(self, sender: Sender, to: Address, message: Message) -> None:
        node = self.nodes.get(to)
        if node is None or not node.is_running:
            return
        if isinstance(message, Ack):
            self._answered_ms[Link(to, sender.address)] = self.now_ms
        handled = node.membership.handle(message, sender, self.now_ms)
        self.perform(node, handled)

    def run(self, duration_ms: float) -> None:
        """Let simulated time pass."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def run_until(
        self, condition: Callable[[], bool], timeout_ms: float, step_ms: float = 100.0
    ) -> float:
        """Let time pass until a condition holds; return how long it took.

        Raises
        ------
        TimeoutError
            If it does not hold in time.
        """
        start_ms = self.now_ms
        while not condition():
            if self.now_ms - start_ms > timeout_ms:
                raise TimeoutError(f"not so after {timeout_ms} ms")
            self.run(step_ms)
        return self.now_ms - start_ms

    def is_whole(self) -> bool:
        """Whether each node knows just the running ones of its data centre."""
        names: dict[str, set[str]] = {}
        running = [node for node in self.nodes.values() if node.is_running]
        for node in running:
            sender = node.sender
            names.setdefault(sender.data_centre, set()).add(sender.instance)
        return all(
            set(node.membership.order) == names[node.sender.data_centre]
            for node in running
        )

    def is_answered(self, since_ms: float) -> bool:
        """Whether each node had an answer from each neighbour since a time."""
        for address, node in self.nodes.items():
            if not node.is_running:
                continue
            membership = node.membership
            for name in neighbours(membership.order, node.sender.instance):
                member = membership.member(name)
                if member is None:
                    continue
                answered_ms = self._answered_ms.get(Link(address, member.address), 0.0)
                if answered_ms < since_ms:
                    return False
        return True
