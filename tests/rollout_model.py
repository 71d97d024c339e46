"""Deterministic model of nodes that decide roll-outs: virtual clock, links, faults.

Drives the program's own ``Rollouts`` of each node. Messages of a link arrive in order;
a paused node handles what waits for it when it continues. The store carries out a call
that is on its way also if its sender dies or pauses.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator
from random import Random
from types import SimpleNamespace

import attrs

from azurestep.mesh.decisions.rollout import TRIAL_PHASES, Phase, VersionRole
from azurestep.platform.rollout import RolloutState, RolloutStatus

from .rollout_node import ModelLink, ModelNode, endpoint_of
from .rollout_store import SERVICE, ModelStore

TICK_MS = 100.0
MESSAGE_MS = (0.3, 20.0)
"""Time of a message between nodes."""
CLOSED_MS = (1.0, 20.0)
"""Time until peers of a killed process notice the end of its connections."""
SILENT_MS = (400.0, 650.0)
"""Time until peers take a silent node for lost."""
RECONNECT_MS = (50.0, 1000.0)
"""Time until a link is open again."""
READ_MS = (20.0, 300.0)
"""Time between two reads of the orders."""
RUN_MS = (30.0, 300.0)
REQUESTS_PER_TICK = 4
BAD_SHARE = 0.8
"""Share of the runs of a bad version that fail."""


@attrs.define(eq=False, slots=False)
class RolloutFleet:
    """Nodes, the messages between them, requests and faults.

    Attributes
    ----------
    bad_from_ms : dict
        Time from which runs of a version fail.
    stopped_ms : dict
        When the first node stopped a version.
    completing_pause_ms : float
        Time for which the node that first reads the status to complete a roll-out is
        paused; meanwhile the new version fails and the store refuses all other nodes.
    unaware : list of str
        Nodes that a status found without the stop that it tells of.
    """

    versions: list[str]
    random: Random
    bad_from_ms: dict[str, float]
    now_ms: float = 0.0
    nodes: list[ModelNode] = attrs.field(factory=list)
    groups: dict[int, int] = attrs.field(factory=dict)
    stopped_ms: dict[str, float] = attrs.field(factory=dict)
    completing_pause_ms: float = 0.0
    unaware: list[str] = attrs.field(factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.store = ModelStore(self)
        for index, version in enumerate(self.versions):
            self.nodes.append(ModelNode(self, index, version))
        for node in self.nodes:
            for peer in self.nodes:
                if peer is not node:
                    node.links[peer.own_address] = ModelLink(
                        peer.own_address,
                        peer.index,
                        endpoint_of(peer),
                        SimpleNamespace(stopping=False, store_reachable=True),
                    )
            self._every(TICK_MS, TICK_MS, node.tick)
            self._every(*READ_MS, node.read_orders)

    # Time.

    def time(self) -> float:
        """Return the time of day in seconds, for the statuses."""
        return self.now_ms / 1000

    def after(self, delay_ms: float, work: Callable[[], None]) -> None:
        """Do something later."""
        event = (self.now_ms + delay_ms, next(self._numbers), work)
        heapq.heappush(self._events, event)

    def run_until(self, end_ms: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, work = heapq.heappop(self._events)
            work()
        self.now_ms = end_ms

    def _every(self, least_ms: float, most_ms: float, work: Callable[[], None]) -> None:
        def repeat() -> None:
            work()
            self.after(self.random.uniform(least_ms, most_ms), repeat)

        self.after(self.random.uniform(0, most_ms), repeat)

    # Links.

    def connected(self, one: ModelNode, other: ModelNode) -> bool:
        """Whether bytes pass between two nodes."""
        groups = self.groups
        return groups.get(one.index, 0) == groups.get(other.index, 0)

    def send(
        self, sender: ModelNode, receiver: ModelNode, work: Callable[[], None]
    ) -> None:
        """Carry a message over the link that the receiver opened to the sender."""
        link = receiver.links.get(sender.own_address)
        if link is None or not link.up:
            return
        arrival_ms = self.now_ms + self.random.uniform(*MESSAGE_MS)
        link.last_arrival_ms = max(arrival_ms, link.last_arrival_ms)
        generation, incarnation = link.generation, receiver.incarnation

        def arrive() -> None:
            if (link.generation, receiver.incarnation) != (generation, incarnation):
                return
            if not self.connected(sender, receiver):
                self.after(TICK_MS, arrive)
                return
            receiver.handle(work)

        self.after(link.last_arrival_ms - self.now_ms, arrive)

    def _lose(self, node: ModelNode, peer: ModelNode, delay_ms: float) -> None:
        """Let a node notice that a peer is silent, if it still is by then."""
        link = node.links[peer.own_address]
        generation = link.generation

        def notice() -> None:
            silent = peer.paused or not peer.alive or not self.connected(node, peer)
            if not (silent and link.up and link.generation == generation):
                return
            if node.paused or not node.alive:
                return
            link.up, link.lost_since_ms = False, self.now_ms
            link.generation += 1
            self._redial(node, peer)

        self.after(delay_ms, notice)

    def _redial(self, node: ModelNode, peer: ModelNode) -> None:
        """Open a link again as soon as the peer answers."""
        link, incarnation = node.links[peer.own_address], node.incarnation

        def dial() -> None:
            if incarnation != node.incarnation or not node.alive or link.up:
                return
            answers = peer.alive and not peer.paused and self.connected(node, peer)
            if not answers or node.paused:
                self.after(TICK_MS, dial)
                return
            link.up = True
            link.generation += 1
            link.last_arrival_ms = self.now_ms
            link.state.store_reachable = peer.index not in self.store.away
            for rollout in peer.rollouts:  # precede all else on a link
                update = rollout.to_update(self.now_ms)
                node.control.apply_update(update, from_peer=True)

        self.after(self.random.uniform(*RECONNECT_MS), dial)

    # Faults.

    def pause(self, index: int, for_ms: float) -> None:
        """Stop a process for a time."""
        node = self.nodes[index]
        if node.paused or not node.alive:
            return
        node.paused, incarnation = True, node.incarnation
        for peer in self.nodes:
            if peer is not node:
                self._lose(peer, node, self.random.uniform(*SILENT_MS))

        def go_on() -> None:
            if node.paused and node.incarnation == incarnation:
                node.go_on()

        self.after(for_ms, go_on)

    def kill(self, index: int, for_ms: float) -> None:
        """End a process and start another one after a time."""
        node = self.nodes[index]
        if not node.alive:
            return
        node.alive, node.paused = False, False
        node.incarnation += 1
        for peer in self.nodes:
            if peer is not node:
                self._lose(peer, node, self.random.uniform(*CLOSED_MS))
        self.after(for_ms, lambda: self._restart(node))

    def _restart(self, node: ModelNode) -> None:
        node.alive = True
        node.begin()
        for peer in self.nodes:
            if peer is not node:
                link = node.links[peer.own_address]
                link.up, link.lost_since_ms = False, self.now_ms
                link.peer = None
                link.generation += 1
                self._redial(node, peer)

    def cut(self, groups: dict[int, int], for_ms: float) -> None:
        """Cut the fleet into groups for a time."""
        self.groups = groups
        for node in self.nodes:
            for peer in self.nodes:
                if peer is not node and not self.connected(node, peer):
                    self._lose(node, peer, self.random.uniform(*SILENT_MS))

        def heal() -> None:
            if self.groups is groups:
                self.groups = {}

        self.after(for_ms, heal)

    def refuse(self, indices: set[int], for_ms: float) -> None:
        """Let the store refuse some nodes for a time."""
        self.store.away |= indices
        self.after(for_ms, lambda: self.store.away.difference_update(indices))

    def lose_answers(self, for_ms: float) -> None:
        """Let the store carry out calls without an answer for a time."""
        self.store.loses_answers = True
        self.after(for_ms, lambda: setattr(self.store, "loses_answers", False))

    def lag(self, writes: int, for_ms: float) -> None:
        """Let reads of the store show an older state for a time."""
        self.store.lag = writes
        self.after(for_ms, lambda: setattr(self.store, "lag", 0))

    # Requests, and what is observed.

    def send_requests(self, sender: ModelNode) -> None:
        """Send requests to servers that the sender's roll-out allows."""
        targets: dict[VersionRole, list[ModelNode]] = {role: [] for role in VersionRole}
        for endpoint in sender.all_endpoints():
            targets[sender.role_of(endpoint.version)].append(endpoint.node)
        for _ in range(REQUESTS_PER_TICK):
            canary = sender.rollouts.try_canary(SERVICE)
            role = VersionRole.CANARY if canary else VersionRole.CURRENT
            found = targets[role]
            if found and self._run(sender, self.random.choice(found)):
                sender.rollouts.record_arrival(SERVICE)
            elif canary:
                sender.rollouts.give_back_canary(SERVICE)

    def _run(self, sender: ModelNode, node: ModelNode) -> bool:
        """Run a request at a server, unless its node can't be reached or refuses it."""
        if not node.alive or node.paused or not self.connected(sender, node):
            return False
        if node.role_of(node.version) is VersionRole.WITHHELD:
            return False
        node.admission.in_flight += 1
        incarnation = node.incarnation
        from_ms = self.bad_from_ms.get(node.version)
        is_bad = from_ms is not None and self.now_ms >= from_ms
        failed = self.random.random() < (BAD_SHARE if is_bad else 0.01)

        def end() -> None:
            if node.incarnation == incarnation:
                node.admission.in_flight -= 1
                if node.rollouts.in_trial(SERVICE):
                    node.trial_runs.record("read", failed)

        self.after(self.random.uniform(*RUN_MS), lambda: node.handle(end))
        return True

    def verdict_on(self, version: str) -> RolloutState | None:
        """Return the first verdict on a version that was written."""
        for _, status, _ in self.store.written:
            is_verdict = status.state is not RolloutState.RUNNING
            if is_verdict and status.new_version == version:
                return status.state
        return None

    def on_read(self, node: ModelNode) -> None:
        """Pause a node that reads the status to complete a roll-out, if asked for."""
        for_ms, rollout = self.completing_pause_ms, node.rollouts.get(SERVICE)
        if not for_ms or rollout is None or rollout.phase is not Phase.NEW_ONLY:
            return
        self.completing_pause_ms = 0.0
        self.bad_from_ms[rollout.new_version] = self.now_ms
        self.pause(node.index, for_ms)
        others = {one.index for one in self.nodes if one is not node}
        self.refuse(others, for_ms + MESSAGE_MS[1])

    def on_write(self, status: RolloutStatus, writer: ModelNode) -> None:
        """Note a status, and the nodes that don't know the stop that it tells of."""
        version = status.new_version
        is_first_verdict = not self.verdict_on(version)
        self.store.written.append((self.now_ms, status, writer.index))
        if status.state is not RolloutState.ROLLED_BACK or not is_first_verdict:
            return
        for node in self.nodes:
            link = node.links.get(writer.own_address)
            reached = node.alive and not node.paused and self.connected(writer, node)
            if reached and link is not None and link.up:
                phase = node.phase_of(version)
                if phase is not None and phase in TRIAL_PHASES:
                    self.unaware.append(f"{node.index} is in {phase.name} of {version}")
