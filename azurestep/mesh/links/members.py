"""The links to all peers, and the backend servers beside them.

A node opens a link to each peer that it finds in the store at its start, and to each
peer that opens a link to it.
"""

from collections.abc import Callable, Iterator

import attrs

from ...quarantine import QuarantineUpdate
from .. import events
from ..backend.inbound import Inbound
from ..decisions.cadence import MIN_IDLE_PROBE_INTERVAL_MS, idle_probe_interval_ms
from ..decisions.choice import Endpoint, EndpointGroup
from ..decisions.data_centre_loads import DataCentreLoads
from ..decisions.rollout import VersionRole
from ..incarnation import NO_INCARNATION
from ..link_messages import (
    CalledRoutes,
    ConfigurationDelta,
    ConfigurationUpdate,
    QuotaGrant,
    RolloutUpdate,
    TrialCounts,
    VersionNotice,
)
from ..messages import Hello, Request, State
from ..runtime import Runtime
from ..settings import Address
from .body_sender import BodySender
from .guarded import GuardedReceiver
from .interfaces import CallReceiver, Stream
from .link import PeerLink

EXPIRE_AFTER_MS = 300_000.0
"""Time without an answer after which a peer is dropped."""
NO_ENDPOINTS = EndpointGroup()
SERVICE_LOADS = ("service_load_local", "service_load_remote")
"""Gauges of ``service_loads``."""
WATCHED_READERS = 3
"""Nodes directly before this one in the order of readers whose loss is noticed soon.

Probing all of them would make the first ones answer all nodes of the data centre.
"""
FOCUS_SHARE = 0.75
"""Share of the canary requests that go to few servers.

These are as busy as servers of the old version, so that faults under load show.
"""


@attrs.define(slots=True, eq=False, repr=False)
class CanaryGroups:
    """Backend servers of a version that is tried by a share of the requests.

    Attributes
    ----------
    focus : EndpointGroup
        The few that get most of them.
    all : EndpointGroup
        All of them.
    """

    focus: EndpointGroup = attrs.field(factory=EndpointGroup)
    all: EndpointGroup = attrs.field(factory=EndpointGroup)


@attrs.define(eq=False, repr=False)
class Members:
    """Links to all known peers.

    Attributes
    ----------
    make_hello : Callable
        Returns this node's hello.
    on_change : Callable
        Called when a peer was reached or lost, or sent a new state.
    apply_notice : Callable
        Called with the link to a peer and the version that is in force there.
    apply_configuration : Callable
        Called with the link to a peer and a configuration that it sent.
    apply_store_era : Callable
        Called with an era of the store that a peer sent.
    apply_store_contact : Callable
        Called with the version of a peer if the store has just had no later one.
    apply_rollout : Callable
        Called with a roll-out that a peer sent.
    apply_trial_counts : Callable
        Called with a peer's address and the runs of its backend server during a
        roll-out.
    apply_grant : Callable
        Called with a quota owner's address and what it lets this node admit.
    newest_version : int
        Newest configuration that any peer was ever known to have in force.
    pressure_changed : bool
        Whether a peer that answers has reported other refusals or callers, or the
        peers that answer have changed, since this was last reset.
    called_routes : set of str
        Routes on which services call others, as any node found.
    body_sender : BodySender
        Sender of request bodies to all peers.
    """

    runtime: Runtime
    own_address: Address
    data_centre: str
    inbound: Inbound
    make_hello: Callable[[], Hello]
    on_change: Callable[[], None]
    apply_store_era: Callable[[int], object]
    apply_rollout: Callable[[RolloutUpdate], object] = lambda update: None
    apply_trial_counts: Callable[[Address, TrialCounts], object] = (
        lambda address, counts: None
    )
    apply_notice: Callable[[PeerLink, VersionNotice], None] = lambda link, notice: None
    apply_configuration: Callable[
        [PeerLink, ConfigurationUpdate | ConfigurationDelta], None
    ] = lambda link, update: None
    apply_store_contact: Callable[[int], None] = lambda version: None
    apply_grant: Callable[[Address, QuotaGrant], None] = lambda owner, grant: None
    links: dict[Address, PeerLink] = attrs.field(factory=dict)
    newest_version: int = 0
    pressure_changed: bool = True
    called_routes: set[str] = attrs.field(factory=set)
    body_sender: BodySender = attrs.field(init=False)
    _local: Endpoint = attrs.field(init=False)
    _up_count: int = 0
    _groups: dict[str, EndpointGroup] | None = None
    _canaries: dict[str, CanaryGroups] = attrs.field(factory=dict)
    _rollout_revision: int = 0
    _uses_loads: bool = False
    _watched: set[Address] | None = None

    def __attrs_post_init__(self) -> None:
        self.body_sender = BodySender(self.runtime)
        self._local = Endpoint(
            self.own_address, "", NO_INCARNATION, self.data_centre, open=False
        )

    def add(self, address: Address) -> None:
        """Open a link to a peer, or reconnect one that is down."""
        if address == self.own_address:
            return
        link = self.links.get(address)
        if link is None:
            self.links[address] = PeerLink(
                self.runtime, address, self, self.body_sender
            )
        elif not link.up:
            link.dial_soon()

    def endpoints(self, service: str) -> list[Endpoint]:
        """Return the backend servers of a service."""
        return list(self.endpoint_group(service))

    def endpoint_group(self, service: str) -> EndpointGroup:
        """Return the backend servers of a service, by data centre.

        Those whose version is tried or withheld during a roll-out are left out. The
        loads of data centres count if the backend server beside this node states how
        long work takes.
        """
        return self._current_groups().get(service, NO_ENDPOINTS)

    def service_loads(self) -> dict[str, float]:
        """Return the mean loads by which old reports of the own service count.

        Of other data centres, that of the least loaded one; empty if none count so.
        """
        loads = self.endpoint_group(self.inbound.backend.service).loads
        means = {} if loads is None else dict(loads.means)
        local, remote = SERVICE_LOADS
        found = {}
        if self.data_centre in means:
            found[local] = means.pop(self.data_centre)
        if means:
            found[remote] = min(means.values())
        return found

    def canary_groups(self, service: str) -> CanaryGroups | None:
        """Return the backend servers of the version that is tried, if there are any."""
        self._current_groups()
        return self._canaries.get(service)

    def all_endpoints(self) -> Iterator[Endpoint]:
        """Yield the backend servers of all services and versions."""
        self._refresh_local()
        yield self._local
        for link in self.live_links():
            yield link.endpoint

    def _current_groups(self) -> dict[str, EndpointGroup]:
        local, backend = self._local, self.inbound.backend
        if local.service != backend.service or local.version != backend.version:
            self._groups = None
        if self._rollout_revision != self.inbound.rollouts.revision:
            self._groups = None
        self._refresh_local()
        if self._uses_loads != local.speed.known:
            self._uses_loads = local.speed.known
            self._groups = None
        if self._groups is None:
            self._rollout_revision = self.inbound.rollouts.revision
            self._groups = self._group_endpoints()
        return self._groups

    def _group_endpoints(self) -> dict[str, EndpointGroup]:
        groups: dict[str, EndpointGroup] = {}
        canaries: dict[str, list[Endpoint]] = {}
        rollouts, now_ms = self.inbound.rollouts, self.runtime.now_ms()
        for endpoint in (self._local, *(link.endpoint for link in self.live_links())):
            role = rollouts.role_of(endpoint.service, endpoint.version, now_ms)
            if role is VersionRole.CURRENT:
                self._add(
                    groups.setdefault(endpoint.service, EndpointGroup()), endpoint
                )
            elif role is VersionRole.CANARY:
                canaries.setdefault(endpoint.service, []).append(endpoint)
        if self._uses_loads:
            for group in groups.values():
                group.loads = DataCentreLoads()
        self._canaries = {
            service: self._group_canaries(found, len(groups.get(service, ())))
            for service, found in canaries.items()
        }
        return groups

    def _group_canaries(self, found: list[Endpoint], current: int) -> CanaryGroups:
        """Return the groups of a tried version; all nodes focus on the same servers."""
        groups = CanaryGroups()
        focused = int(current * self.inbound.rollouts.canary_share * FOCUS_SHARE)
        ordered = sorted(found, key=lambda one: str(one.key))
        for index, endpoint in enumerate(ordered):
            self._add(groups.all, endpoint)
            if index < max(1, focused):
                self._add(groups.focus, endpoint)
        return groups

    def _add(self, group: EndpointGroup, endpoint: Endpoint) -> None:
        is_local = endpoint.data_centre == self.data_centre
        (group.local if is_local else group.remote).append(endpoint)

    def is_local(self, endpoint: Endpoint) -> bool:
        """Whether a backend server is the local one."""
        return endpoint is self._local

    def send(
        self, endpoint: Endpoint, request: Request, receiver: CallReceiver
    ) -> Stream | None:
        """Send a request to the node beside a backend server."""
        if endpoint is self._local:
            if request.needs_confirmation:
                request = attrs.evolve(request, needs_confirmation=False)
            guarded = GuardedReceiver(self.runtime, receiver, request.request_id)
            return self.inbound.submit(request, guarded)
        link = self.links.get(endpoint.key)  # type: ignore[call-overload]
        return None if link is None else link.send(request, receiver)

    def live_links(self) -> Iterator[PeerLink]:
        """Yield the links to peers that answer."""
        return (link for link in self.links.values() if link.up)

    def count(self) -> int:
        """Return how many nodes are reachable, including this one."""
        return 1 + self._up_count

    def known_count(self) -> int:
        """Return how many nodes run or may run, including this one.

        A lost peer may be cut off, unless it had begun to shut down.
        """
        return 1 + sum(
            link.up or link.state is None or not link.state.stopping
            for link in self.links.values()
        )

    def tick(self, now_ms: float) -> None:
        """Expire peers that were lost for long; maintain all other links when due."""
        pause_ms = idle_probe_interval_ms(len(self.links))
        watched = self._watched_readers()
        for link in [one for one in self.links.values() if one.due_ms <= now_ms]:
            if not link.up and now_ms - link.lost_since_ms > EXPIRE_AFTER_MS:
                link.close()
                del self.links[link.address]
                continue
            is_watched = link.address in watched
            link.idle_probe_interval_ms = (
                MIN_IDLE_PROBE_INTERVAL_MS if is_watched else pause_ms
            )
            self.runtime.run_guarded("tick", link.tick, now_ms)

    def preceding_readers(self) -> list[PeerLink]:
        """Return the peers that read the configuration rather than this node.

        They are in the data centre, in the order of their addresses.
        """
        own_host = self.own_address[0]
        preceding = [
            link
            for link in self.live_links()
            if link.endpoint.data_centre == self.data_centre
            and link.address[0] < own_host
            and link.state is not None
            and link.state.store_reachable
            and not link.state.stopping
        ]
        return sorted(preceding, key=lambda link: link.address)

    def _watched_readers(self) -> set[Address]:
        """Return the peers that are probed often even on an idle link."""
        if self._watched is None:
            links = self.preceding_readers()[-WATCHED_READERS:]
            self._watched = {link.address for link in links}
            for link in links:
                link.due_ms = 0.0
        return self._watched

    def regroup(self) -> None:
        """Group the backend servers again, as a withheld version may be usable."""
        self._groups = None

    def discount_pause(self, pause_ms: float) -> None:
        """Exclude a pause of this node from the peers' time to answer probes."""
        for link in self.links.values():
            link.discount_pause(pause_ms)

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()

    def hello(self) -> Hello:
        """Return this node's hello."""
        return self.make_hello()

    def on_link_up(self, link: PeerLink, hello: Hello) -> None:
        """Log that a peer answers."""
        events.log(
            events.PEER_REACHED,
            peer=link.address[0],
            version=hello.configuration_version,
        )
        self._up_count += 1
        self._on_reachability_change()

    def on_link_down(self, link: PeerLink, cause: str) -> None:
        """Log that a peer was lost."""
        events.log(events.PEER_LOST, peer=link.address[0], cause=cause)
        self._up_count -= 1
        self._on_reachability_change()

    def on_state(self, link: PeerLink, previous: State | None, state: State) -> None:
        """Record what a peer's state changes for this node."""
        self.newest_version = max(self.newest_version, state.configuration_version)
        if previous is None or _pressure(previous) != _pressure(state):
            self.pressure_changed = True
        if previous is None or previous.service != state.service:
            self._groups = None
        if previous is None or _role_criteria(previous) != _role_criteria(state):
            self._watched = None
            self.on_change()

    def _on_reachability_change(self) -> None:
        self._groups = None
        self._watched = None
        self.pressure_changed = True
        self.on_change()

    def on_version(self, link: PeerLink) -> None:
        """Group the backend servers again."""
        self._groups = None

    def on_called_routes(self, routes: CalledRoutes) -> None:
        """Record routes on which services call others."""
        self.called_routes.update(routes.names)

    def on_rollout(self, update: RolloutUpdate) -> None:
        """Pass on a roll-out that a peer sent."""
        self.apply_rollout(update)

    def on_trial_counts(self, link: PeerLink, counts: TrialCounts) -> None:
        """Pass on the runs of a peer's backend server during a roll-out."""
        self.apply_trial_counts(link.address, counts)

    def on_quota_grant(self, link: PeerLink, grant: QuotaGrant) -> None:
        """Pass on what a quota owner lets this node admit."""
        self.apply_grant(link.address, grant)

    def on_notice(self, link: PeerLink, notice: VersionNotice) -> None:
        """Pass on the version that is in force at a peer."""
        self.newest_version = max(self.newest_version, notice.version)
        self.apply_notice(link, notice)

    def on_configuration(
        self, link: PeerLink, update: ConfigurationUpdate | ConfigurationDelta
    ) -> None:
        """Pass on a configuration that a peer sent."""
        self.apply_configuration(link, update)

    def on_store_era(self, era: int) -> None:
        """Pass on an era of the store that a peer sent."""
        self.apply_store_era(era)

    def on_store_contact(self, version: int) -> None:
        """Pass on that the store has no later version than a peer's."""
        self.apply_store_contact(version)

    def on_crashes(self, service: str, updates: list[QuarantineUpdate]) -> None:
        """Merge a report of requests in flight at a backend server's crash."""
        self.inbound.crashes.merge(service, updates, self.runtime.now_ms())

    def _refresh_local(self) -> Endpoint:
        local, inbound = self._local, self.inbound
        backend = inbound.backend
        local.service = backend.service
        local.incarnation = backend.incarnation
        local.open = inbound.open
        local.slots = backend.slots
        local.version = backend.version
        local.rate_limit_per_s = backend.rate_limit_per_s
        local.failure_ratio = inbound.health.failure_ratio
        local.speed = inbound.admission.speed
        now_ms = self.runtime.now_ms()
        local.update_load(inbound.admission.in_flight, now_ms)
        local.cold_until_ms = now_ms + backend.cold_remaining_ms(now_ms)
        return local


def _role_criteria(state: State) -> tuple[bool, ...]:
    """Return what decides whether a peer reads from the store, and owns quotas."""
    return state.store_reachable, state.stopping, state.owns_quotas


def _pressure(state: State) -> tuple[object, ...]:
    """Return what a peer tells about refusals and about who calls its service."""
    return state.service, state.callers, state.refusals
