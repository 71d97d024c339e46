"""A fleet over the fake network that follows a log and spreads versions."""

import functools
import random
from collections.abc import Callable

import attrs

from azurestep.control.messages import Message, PullReply, Sender
from azurestep.control.outputs import Output, Send, VersionApplied
from azurestep.control.ring import rendezvous
from azurestep.control.spread import Spread
from azurestep.node.readers import READER
from azurestep.platform.backoff import Backoff
from azurestep.platform.records import Page
from azurestep.settings import Address, ControlSettings

from .fake_network import FakeNetwork, Node
from .fake_platform import FakePlatform

READ_DELAY_MS = 5.0
WINDOW_MS = 1000.0


@attrs.define
class Follower:
    """What a running node does with configurations.

    Attributes
    ----------
    reads : int
        Reads of the log started so far.
    is_reading : bool
        Whether the last of them is under way.
    next_read_ms : float
        When the next one may start.
    version : int
        Newest version in force so far.
    """

    node: Node
    spread: Spread
    backoff: Backoff
    reads: int = 0
    is_reading: bool = False
    next_read_ms: float = 0.0
    version: int = 0


class FakeFleet(FakeNetwork):
    """Nodes of several data centres with the platform's log.

    Attributes
    ----------
    platform : FakePlatform
        The log.
    is_platform_cut : callable
        Whether a node can't reach the log.
    reads_ms, snapshots_ms : list of float
        When the log was read, and when a node served a whole configuration.
    went_back : int
        How often a running node put an older version in force.
    """

    def __init__(self, count: int, seed: int, data_centres: int) -> None:
        self.platform = FakePlatform()
        self.is_platform_cut: Callable[[Address], bool] = lambda address: False
        self.reads_ms: list[float] = []
        self.snapshots_ms: list[float] = []
        self.went_back = 0
        self._followers: dict[Address, Follower] = {}
        super().__init__(
            count, seed, settings=ControlSettings(), data_centres=data_centres
        )

    def _new_node(self, address: Address, incarnation: int) -> Node:
        node = super()._new_node(address, incarnation)
        source = random.Random(self._random.random())
        spread = Spread(
            node.membership, self._settings, source, lambda: int(self.now_ms)
        )
        node = attrs.evolve(node, reporter=spread.reporter)
        self._followers[address] = Follower(node, spread, Backoff(source))
        return node

    def _tick(self, address: Address) -> None:
        super()._tick(address)
        follower = self._followers[address]
        if not follower.node.is_running:
            return
        self.perform(follower.node, follower.spread.tick(self.now_ms))
        self._read(address, follower)

    def _tick_reporter(self, node: Node) -> None:
        """Leave the reports to the spreading, which knows the versions."""

    def _deliver(self, sender: Sender, to: Address, message: Message) -> None:
        super()._deliver(sender, to, message)
        follower = self._followers.get(to)
        if follower is None or not follower.node.is_running:
            return
        handled = follower.spread.handle(message, sender, self.now_ms)
        self.perform(follower.node, handled)

    def perform(self, node: Node, outputs: list[Output]) -> None:
        """Carry out outputs, and count what concerns versions."""
        super().perform(node, outputs)
        follower = self._followers.get(node.sender.address)
        for output in outputs:
            if isinstance(output, VersionApplied) and follower is not None:
                self.went_back += output.version < follower.version
                follower.version = output.version
            if isinstance(output, Send) and _is_snapshot(output.message):
                self.snapshots_ms.append(self.now_ms)

    # -- the log -------------------------------------------------------------

    def _readers(self, node: Node) -> list[str]:
        members = node.membership.members()
        able = [member.instance for member in members if member.log_reachable]
        names = able or node.membership.order
        return rendezvous(READER, names, self._settings.readers_per_data_centre)

    def _read(self, address: Address, follower: Follower) -> None:
        if follower.is_reading or self.now_ms < follower.next_read_ms:
            return
        if follower.node.sender.instance not in self._readers(follower.node):
            return
        follower.is_reading = True
        follower.reads += 1
        self.reads_ms.append(self.now_ms)
        end = functools.partial(self._end_read, follower, follower.reads)
        if self.is_platform_cut(address):
            self._at(self.now_ms + READ_DELAY_MS, functools.partial(end, None))
            return
        from_offset = follower.spread.fold.next_offset
        page = self.platform.page(from_offset)
        if page.records:
            self._at(self.now_ms + READ_DELAY_MS, functools.partial(end, page))
            return
        answer = functools.partial(self._answer, end)
        self.platform.wait(from_offset, answer)
        timeout_ms = self.now_ms + self._settings.poll_wait_ms
        self._at(timeout_ms, functools.partial(end, page))

    def _answer(self, end: Callable[[Page], None], page: Page) -> None:
        self._at(self.now_ms + READ_DELAY_MS, functools.partial(end, page))

    def _end_read(self, follower: Follower, number: int, page: Page | None) -> None:
        node = follower.node
        if not node.is_running or number != follower.reads or not follower.is_reading:
            return
        follower.is_reading = False
        own = node.membership.own
        if page is None or self.is_platform_cut(node.sender.address):
            follower.next_read_ms = self.now_ms + follower.backoff.next_ms()
            if own.log_reachable:
                self.perform(node, node.membership.change_own(log_reachable=False))
            return
        follower.backoff.reset()
        is_first = self._readers(node)[:1] == [own.instance]
        self.perform(node, follower.spread.apply_page(page, self.now_ms, is_first))
        if not own.log_reachable:
            self.perform(node, node.membership.change_own(log_reachable=True))

    # -- views ---------------------------------------------------------------

    def is_current(self) -> bool:
        """Whether every running node knows its data centre and the newest version."""
        return self.is_whole() and all(
            follower.spread.fold.state.version == self.platform.version
            for follower in self._followers.values()
            if follower.node.is_running
        )


def _is_snapshot(message: Message) -> bool:
    return isinstance(message, PullReply) and not message.delta.base_hash


def peak_per_s(times_ms: list[float], since_ms: float) -> int:
    """Return the most events in any second since a time.

    Examples
    --------
    >>> peak_per_s([0.0, 900.0, 1100.0, 1200.0, 5000.0], 500.0)
    3
    """
    recent = sorted(time_ms for time_ms in times_ms if time_ms >= since_ms)
    peak, first = 0, 0
    for last, time_ms in enumerate(recent):
        while time_ms - recent[first] >= WINDOW_MS:
            first += 1
        peak = max(peak, last - first + 1)
    return peak
