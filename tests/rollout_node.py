"""A node in a model of nodes that decide roll-outs: drives ``Rollouts``."""

from collections.abc import Callable, Coroutine, Iterable, Iterator
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import attrs

from azurestep.mesh.decisions.rollout import Phase, VersionRole
from azurestep.mesh.decisions.rollout_table import RolloutTable
from azurestep.mesh.decisions.rollout_verdict import RunCounter
from azurestep.mesh.incarnation import Incarnation
from azurestep.mesh.knowledge.store_era import StoreEra
from azurestep.mesh.link_messages import RolloutUpdate, TrialCounts
from azurestep.mesh.metrics import Metrics
from azurestep.mesh.rollouts.control import Rollouts
from azurestep.platform.rollout import rollout_key

from .rollout_store import SERVICE, ModelClient, Wait

if TYPE_CHECKING:
    from .rollout_model import RolloutFleet


@attrs.define(eq=False)
class ModelLink:
    """A node's view of a peer, and the connection over which the peer tells news."""

    address: tuple[str, int]
    index: int
    endpoint: SimpleNamespace
    state: SimpleNamespace
    up: bool = True
    peer: object = ""
    lost_since_ms: float = 0.0
    generation: int = 0
    last_arrival_ms: float = 0.0


@attrs.define(eq=False, slots=False)
class ModelNode:
    """A node of the model, which also stands in for what ``Rollouts`` is given.

    Attributes
    ----------
    version : str
        Version of its backend server.
    paused : bool
        Whether nothing is handled; what arrives waits.
    """

    fleet: "RolloutFleet"
    index: int
    version: str
    alive: bool = True
    paused: bool = False
    incarnation: int = 0
    links: dict[tuple[str, int], ModelLink] = attrs.field(factory=dict)
    metrics: Metrics = attrs.field(factory=Metrics)
    _waiting: list[Callable[[], None]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.own_address = address_of(self.index)
        self.data_centre = f"dc-{self.index % 2}"
        self.begin()

    def begin(self) -> None:
        """Start a process, which knows nothing."""
        self.incarnation += 1
        self._waiting.clear()
        self.read_offset: int | None = None
        self.rollouts = RolloutTable(store_reachable=self._reaches_store)
        self.trial_runs = RunCounter()
        self.admission = SimpleNamespace(in_flight=0)
        self.backend = SimpleNamespace(
            service=SERVICE,
            version=self.version,
            incarnation=Incarnation(f"i-{self.index}".encode()),
        )
        self.era = StoreEra(lambda former, current: None, 1)
        client = ModelClient(self.fleet.store, self)
        self.control = Rollouts(
            *cast("list[Any]", [self, client, self, self, self, self.era])
        )

    # What the runtime, the members and the links offer.

    def now_ms(self) -> float:
        """Return the time."""
        return self.fleet.now_ms

    def spawn(self, work: Coroutine[Wait, None, None]) -> None:
        """Run a coroutine that waits for the store."""
        try:
            wait = work.send(None)
        except StopIteration:
            return
        incarnation = self.incarnation

        def go_on() -> None:
            self.spawn(work)

        def arrive() -> None:
            if not wait.at_node:
                go_on()
            elif incarnation == self.incarnation:
                self.handle(go_on)

        self.fleet.after(wait.delay_ms, arrive)

    def live_links(self) -> Iterator[ModelLink]:
        """Yield the links to peers that answer."""
        return (link for link in self.links.values() if link.up)

    def all_endpoints(self) -> Iterator[SimpleNamespace]:
        """Yield the backend servers that this node knows."""
        yield endpoint_of(self)
        yield from (link.endpoint for link in self.live_links())

    def count(self) -> int:
        """Return how many nodes are reachable."""
        return 1 + sum(1 for _ in self.live_links())

    def regroup(self) -> None:
        """Do nothing: the model asks for each request's role."""

    def apply_rollout(self) -> None:
        """Note the first stop of a version."""
        for rollout in self.rollouts:
            if rollout.phase in (Phase.STOPPED, Phase.ROLLED_BACK):
                now_ms = self.fleet.now_ms
                self.fleet.stopped_ms.setdefault(rollout.new_version, now_ms)

    def broadcast_rollout(self, update: RolloutUpdate) -> None:
        """Tell all peers the progress of a roll-out."""
        for peer in self.fleet.nodes:
            self.tell(peer, update)

    def tell(self, peer: "ModelNode", update: RolloutUpdate) -> None:
        """Tell one peer."""
        self.fleet.send(
            self, peer, lambda: peer.control.apply_update(update, from_peer=True)
        )

    def send_trial_counts(
        self, counts: TrialCounts, judges: Iterable[tuple[str, int]]
    ) -> None:
        """Send the runs of the local backend server to some peers."""
        for peer in self.fleet.nodes:
            if peer.own_address in judges:
                self._send_counts(peer, counts)

    def _send_counts(self, peer: "ModelNode", counts: TrialCounts) -> None:
        address = self.own_address
        self.fleet.send(self, peer, lambda: peer.control.apply_counts(address, counts))

    # The process.

    def handle(self, work: Callable[[], None]) -> None:
        """Do something now, or when the process continues."""
        if self.paused:
            self._waiting.append(work)
        elif self.alive:
            work()

    def go_on(self) -> None:
        """Continue after a pause: the tick that is due comes first."""
        self.paused = False
        waiting, self._waiting = self._waiting, []
        self.control.tick(self.now_ms())
        for work in waiting:
            work()

    def tick(self) -> None:
        """Tell the store's reachability, send requests and follow the roll-outs."""
        if not self.alive or self.paused:
            return
        reachable = self._reaches_store()
        for peer in self.fleet.nodes:
            link = peer.links.get(self.own_address)
            if link is not None and link.state.store_reachable is not reachable:
                self._tell_reachable(peer, link, reachable)
        self.fleet.send_requests(self)
        self.control.tick(self.now_ms())

    def _tell_reachable(
        self, peer: "ModelNode", link: ModelLink, reachable: bool
    ) -> None:
        def apply() -> None:
            link.state.store_reachable = reachable

        self.fleet.send(self, peer, apply)

    def read_orders(self) -> None:
        """Read new orders, if no node before it in its data centre does."""
        before = [
            link
            for link in self.live_links()
            if link.endpoint.data_centre == self.data_centre
            and link.address < self.own_address
            and link.state.store_reachable
        ]
        if before or not self._reaches_store() or not self.alive or self.paused:
            return
        orders, key = self.fleet.store.orders, rollout_key(SERVICE)
        if self.read_offset is None:
            for offset, value in list(enumerate(orders))[-1:]:
                self.control.apply_record(key, value, offset, live=False)
        else:
            for offset in range(self.read_offset, len(orders)):
                self.control.apply_record(key, orders[offset], offset, live=True)
        self.read_offset = len(orders)

    def role_of(self, version: str) -> VersionRole:
        """Return the role of a version at this node."""
        return self.rollouts.role_of(SERVICE, version, self.now_ms())

    def phase_of(self, version: str) -> Phase | None:
        """Return the phase of the order of a version, if it is this node's latest."""
        rollout = self.rollouts.get(SERVICE)
        if rollout is None or rollout.new_version != version:
            return None
        return rollout.phase

    def _reaches_store(self) -> bool:
        return self.index not in self.fleet.store.away


def address_of(index: int) -> tuple[str, int]:
    """Return the address of a node."""
    return f"10.0.0.{index + 1:03}", 7102


def endpoint_of(node: ModelNode) -> SimpleNamespace:
    """Return a node's backend server as peers see it."""
    return SimpleNamespace(
        service=SERVICE,
        version=node.version,
        slots=4,
        usable=True,
        key=node.own_address,
        data_centre=node.data_centre,
        node=node,
    )
