"""A node: construction, main loop and reload of its settings."""

import asyncio
import gc
import math
import pathlib
import socket
import time
from collections.abc import Callable
from functools import partial

import attrs
import uvloop

from .. import signals
from ..errors import SettingsError
from ..http.connection_limit import count_descriptors, limit_connections
from ..http.exchange import Handler
from ..http.server import ServerConnection
from ..http.server_state import Rejection, ServerState
from ..http.taking import EndedConnection
from ..listening import BACKLOG, close_listener
from ..platform.store import StoreClient
from ..quarantine import QuarantineUpdate
from ..routing.table import RoutingTable
from ..routing.teams import Team
from . import endpoints, events
from .backend.crashes import CrashTracker
from .backend.inbound import Inbound
from .backend.probing import Prober
from .backend.state import LocalBackend
from .binding import await_listeners
from .callers.context import CallContext
from .callers.outbound import Outbound
from .callers.own_answers import answer_bad_gateway
from .decisions.pressure import (
    PressureReport,
    RefusalRatio,
    find_called_services,
)
from .decisions.quota_account import QuotaAccount
from .decisions.retry_budget import RetryBudget
from .decisions.rollout_table import RolloutTable
from .gauges import NodeGauges
from .knowledge.configuration import Configuration, Origin
from .knowledge.configuration_watcher import ConfigurationWatcher
from .knowledge.discovery import Discovery
from .knowledge.store_era import StoreEra
from .knowledge.version_fetcher import VersionFetcher
from .knowledge.version_server import VersionServer
from .link_messages import RolloutUpdate, TrialCounts
from .links.members import Members
from .links.server import IncomingLink, IncomingLinks
from .messages import FEATURE_LEVEL, PROTOCOL_VERSION, Hello, State
from .quotas.control import Quotas
from .quotas.peers import FleetPeers
from .quotas.records import QuotaTeam
from .rollouts.control import Rollouts
from .runtime import Runtime
from .settings import Address, MeshSettings, read_settings
from .settings_file import SettingsFile
from .settings_wait import await_settings
from .signal_delivery import log_stopped_start, run_with_signals
from .stopping import GracefulShutdown

TICK_S = 0.1
"""Interval of the main loop."""
STATE_BROADCAST_TICKS = 2
"""Ticks between state broadcasts to peers."""
EXPIRY_TICKS = 10
"""Ticks between removals of expired entries from the table of returning callers."""
MEMBER_COUNT_TICKS = 5
"""Ticks between counts of the nodes that share the retry budget."""
SETTINGS_CHECK_TICKS = 20
"""Ticks between checks for a changed settings file."""
READY_AFTER_MS = 600.0
"""Time after the start at which a node counts as ready even without links."""
FLEET_KNOWN_AFTER_MS = 2000.0
"""Time after the start at which a node takes the peers that it knows for the fleet,
even without the store; peers reconnect within about a second."""
MIN_SUBTRACTED_DELAY_MS = 30.0
"""Event loop delay above which it is subtracted from the time that peers took to
answer probes, and callers to send a head, which would otherwise include it.

With a limit of 300 ms, nodes of 0.43 core took peers for unresponsive in bursts
whenever a configuration came.
"""
DEFAULT_MEMORY_MB = 300
CALLER_MEMORY_RATIO = 0.35
"""Part of the instance's memory for what callers' connections hold, as it is counted;
messages to peers and backend servers, and the node itself, take the rest."""
STALL_LOG_MS = 300.0
"""Event loop delay above which it is logged as a stall."""
GC_THRESHOLD = 20_000
"""Allocations between garbage collections of generation 0.

Requests break their references at their end, so collections find little.
"""


ProtocolFactory = Callable[[], asyncio.Protocol]


@attrs.define(eq=False, repr=False)
class Node:
    """Connects the components of a node and runs its main loop."""

    settings: MeshSettings
    path: pathlib.Path
    runtime: Runtime
    backend: LocalBackend = attrs.field(init=False)
    crashes: CrashTracker = attrs.field(init=False)
    inbound: Inbound = attrs.field(init=False)
    members: Members = attrs.field(init=False)
    configuration: Configuration = attrs.field(init=False)
    store_era: StoreEra = attrs.field(init=False)
    configuration_watcher: ConfigurationWatcher = attrs.field(init=False)
    version_fetcher: VersionFetcher = attrs.field(init=False)
    version_server: VersionServer = attrs.field(init=False)
    discovery: Discovery = attrs.field(init=False)
    call_context: CallContext = attrs.field(init=False)
    outbound: Outbound = attrs.field(init=False)
    incoming_links: IncomingLinks = attrs.field(init=False)
    rollouts: Rollouts = attrs.field(init=False)
    quotas: Quotas = attrs.field(init=False)
    prober: Prober = attrs.field(init=False)
    callers: ServerState = attrs.field(init=False)
    shutdown: GracefulShutdown = attrs.field(init=False)
    settings_file: SettingsFile = attrs.field(init=False)
    started_ms: float = 0.0
    listening: asyncio.Event = attrs.field(factory=asyncio.Event)
    _servers: list[asyncio.Server] = attrs.field(factory=list)
    _stopped: asyncio.Event = attrs.field(factory=asyncio.Event)
    _broadcast_due: bool = False
    _ticks: int = 0
    _last_tick_ms: float = 0.0
    _last_pressure: PressureReport | None = None

    def __attrs_post_init__(self) -> None:
        settings, runtime = self.settings, self.runtime
        bounds = settings.bounds
        self.started_ms = runtime.now_ms()
        self.settings_file = SettingsFile(self.path)
        self.backend = LocalBackend(bounds.drain_ms)
        self.crashes = CrashTracker(
            settings.peer_address[0], self._report_crashes, self._count_servers
        )
        self.inbound = Inbound(
            runtime,
            settings.backend_address,
            self.backend,
            self.schedule_state_broadcast,
            self.crashes,
            rollouts=RolloutTable(
                bounds.exposure_ratio,
                bounds.exposure_extra,
                self._is_store_reachable,
            ),
            table=lambda: self.configuration.table,
        )
        self.store_era = StoreEra(self._on_store_era)
        self.members = Members(
            runtime,
            settings.peer_address,
            settings.data_centre,
            self.inbound,
            self.hello,
            self._on_peer_change,
            self.store_era.accept,
            self._apply_rollout,
            self._apply_trial_counts,
        )
        self._apply_link_rate()
        self.configuration = Configuration(
            self._on_configuration, random=runtime.random
        )
        self.version_fetcher = VersionFetcher(runtime, self.configuration, self.members)
        self.members.apply_notice = self.version_fetcher.on_notice
        self.members.apply_configuration = self.version_fetcher.on_answer
        self.members.apply_store_contact = self._confirm_keys
        self.configuration_watcher = ConfigurationWatcher(
            runtime,
            self._make_store_client(),
            self.configuration,
            self.members,
            self.store_era,
            self.schedule_state_broadcast,
            self._apply_order,
            self._on_store_contact,
            restarted=not self.settings.first_start,
        )
        self.discovery = Discovery(
            runtime,
            self._make_store_client(),
            self.members,
            self.store_era,
            epoch=time.time_ns() // 1_000_000,
        )
        budget = RetryBudget(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window_ms,
            members=0,
            restarted=not settings.first_start,
        )
        self.call_context = CallContext(
            runtime,
            self.members,
            budget,
            settings.service,
            self.crashes,
            self.inbound.rollouts,
        )
        self.outbound = Outbound(
            self.call_context, lambda: self.configuration.table, self._is_outdated
        )
        self.outbound.key_freshness.confirmed_ms = self.started_ms
        self._apply_revocation_bound()
        self.incoming_links = IncomingLinks(
            runtime,
            self.inbound,
            self.hello,
            self.state,
            lambda hello: self.members.add(
                (hello.peer_address[0], hello.peer_address[1])
            ),
            lambda: self.store_era.current,
            self.inbound.condition,
            settings.data_centre,
            self.members.body_sender,
        )
        self.version_server = VersionServer(
            runtime,
            self.configuration,
            self.members,
            self.incoming_links,
            settings.link_mbps,
        )
        self.incoming_links.on_query = self.version_server.on_query
        self.rollouts = Rollouts(
            runtime,
            self._make_store_client(),
            self.members,
            self.incoming_links,
            self.inbound,
            self.store_era,
        )
        self.quotas = Quotas(
            settings.peer_address,
            FleetPeers(self.members, self.incoming_links, self._knows_teams),
            bounds,
            runtime.now_ms,
            self._find_team,
            self._log_limited,
            self._log_ownership,
            runtime.metrics.teams,
        )
        self.members.apply_grant = self.quotas.on_grant
        self.incoming_links.on_usage = self.quotas.on_usage
        self.incoming_links.on_handover = self.quotas.on_handover
        self.call_context.quotas = self.quotas
        self.prober = Prober(
            runtime,
            self.inbound,
            lambda: self.configuration.table,
            settings.service,
            restarted=not settings.first_start,
            counts_former_runs=settings.counts_former_runs,
        )
        self.callers = ServerState(
            self.outbound.handle,
            runtime.fault_handler("caller"),
            answer_bad_gateway,
            on_reject=self._log_rejection,
            on_end=self._log_ended_caller,
        )
        self._apply_limits()
        self.shutdown = GracefulShutdown(
            runtime,
            settings.instance,
            self.callers,
            self.outbound,
            self.inbound,
            self.incoming_links,
            self._stop_accepting,
        )

    def _apply_limits(self) -> None:
        """Apply the limits of the instance to all callers together."""
        memory_mb = self.settings.memory_mb or DEFAULT_MEMORY_MB
        self.callers.budget.limit_bytes = CALLER_MEMORY_RATIO * memory_mb * 1_000_000
        descriptors = count_descriptors(self.settings.file_descriptors)
        self.callers.max_connections = limit_connections(descriptors)

    async def run(self) -> None:
        """Serve until the node is stopped."""
        settings = self.settings
        loop = self.runtime.loop
        loop.set_exception_handler(self.runtime.on_loop_error)
        http_endpoints = [
            (settings.ready_address, endpoints.readiness(self.is_ready)),
            (
                settings.announce_address,
                endpoints.announcements(
                    self.backend,
                    self.runtime,
                    self.configuration.allows_service,
                    self._on_announcement,
                ),
            ),
            (
                settings.metrics_address,
                endpoints.metrics(NodeGauges(self), self.runtime),
            ),
        ]
        peer_address = settings.peer_listen_address or settings.peer_address
        endpoint_addresses = [address for address, _ in http_endpoints]
        listeners = await await_listeners(
            [settings.caller_address, *endpoint_addresses, peer_address],
            settings.bounds.grace_ms,
            lambda: self.is_stopping,
        )
        if not listeners:
            self.shutdown.finish()
            events.WRITER.flush()
            return
        states = [self.callers]
        await self._listen(listeners[0], self.callers)
        for listener, (_, handler) in zip(listeners[1:-1], http_endpoints, strict=True):
            states.append(await self._listen_endpoint(listener, handler))
        await self._listen_peers(listeners[-1])
        self.listening.set()
        events.log(
            events.STARTED,
            node=settings.instance,
            data_centre=settings.data_centre,
            service=settings.service,
            first_start=settings.first_start,
            **signals.RECEIVED.fields(),
        )
        self.runtime.spawn(self.configuration_watcher.run())
        self.runtime.spawn(self.discovery.run())
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        gc.enable()
        self._last_tick_ms = self.runtime.now_ms()
        while not self._stopped.is_set():
            self.runtime.run_guarded("tick", self._tick, states)
            await asyncio.sleep(TICK_S)
        self.runtime.run_guarded("stop", self.shutdown.finish)
        self.runtime.run_guarded("stop", events.WRITER.flush)

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        if not self.shutdown.begin(self.settings.bounds.grace_ms):
            return
        self.rollouts.stopping = True
        # The state goes first: peers that know it ignore later grants of this node, and
        # report again to its successor what it has not answered.
        self.runtime.run_guarded("stop", self.incoming_links.broadcast_state)
        self.runtime.run_guarded("stop", self.quotas.begin_shutdown)
        self.runtime.spawn(self.discovery.deregister())

    def abort(self) -> None:
        """Close all sockets immediately, as a crash does."""
        for server in self._servers:
            server.close()
        self.members.close()
        for peer in list(self.incoming_links.links):
            peer.abort()
        for connection in list(self.callers.connections):
            connection.abort()
        self.runtime.cancel_all()

    def reload(self) -> None:
        """Reload the settings file."""
        self.settings_file.remember()
        try:
            settings = read_settings(self.path)
        except SettingsError as error:
            events.log(events.SETTINGS_REJECTED, cause=error.problem)
            return
        if settings == self.settings:
            events.log(events.RELOADED, changed=False)
            return
        self.settings = settings
        self.backend.drain_ms = settings.bounds.drain_ms
        self.call_context.calling_service = settings.service
        budget = self.call_context.retry_budget
        budget.ratio = settings.bounds.retry_ratio
        budget.extra = settings.bounds.retry_extra
        budget.window_ms = settings.bounds.retry_window_ms
        self.quotas.set_bounds(settings.bounds)
        self.inbound.address = settings.backend_address
        self._apply_revocation_bound()
        self._apply_limits()
        events.log(events.RELOADED, changed=True, service=settings.service)

    @property
    def is_stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.shutdown.plan is not None

    @property
    def is_accepting(self) -> bool:
        """Whether callers or peers may have connected to this node."""
        return bool(self._servers)

    def is_ready(self) -> bool:
        """Whether the node is ready for requests of callers."""
        if self.is_stopping or not self.configuration.version:
            return False
        age_ms = self.runtime.now_ms() - self.started_ms
        linked = self.members.count() > 1 and self.discovery.done
        return linked or age_ms > READY_AFTER_MS

    def hello(self) -> Hello:
        """Return the first message that this node sends on a link."""
        return Hello(
            PROTOCOL_VERSION,
            self.settings.peer_address,
            self.settings.data_centre,
            int(self.started_ms),
            self.configuration.version,
            FEATURE_LEVEL,
        )

    def state(self) -> State:
        """Return the state that is broadcast to peers."""
        backend = self.backend
        return State(
            backend.service,
            backend.incarnation.instance_id,
            backend.incarnation.started_ms,
            self.inbound.open,
            backend.slots,
            self.inbound.admission.in_flight,
            backend.cold_remaining_ms(self.runtime.now_ms()),
            self.configuration.version,
            self.configuration_watcher.store_reachable,
            self.is_stopping,
            self.inbound.health.failure_ratio,
            self.inbound.caller_detector.calling_services(),
            self._refusal_ratios(),
            self.quotas.is_found,
        )

    def schedule_state_broadcast(self) -> None:
        """Schedule one broadcast for all state changes in this loop iteration."""
        if not self._broadcast_due:
            self._broadcast_due = True
            self.runtime.loop.call_soon(self._broadcast_state)

    def _broadcast_state(self) -> None:
        self._broadcast_due = False
        self.incoming_links.broadcast_state()

    def _report_crashes(self, service: str, updates: list[QuarantineUpdate]) -> None:
        events.log(
            events.CRASH_SUSPECTED,
            service=service,
            instance=self.backend.instance_id,
            suspects=len(updates),
            refused=sum(1 for update in updates if update.refused_for_ms > 0),
        )
        self.incoming_links.broadcast_crashes(service, updates)

    def _count_servers(self, service: str) -> int:
        return len(self.members.endpoints(service))

    def _on_announcement(self) -> None:
        self.inbound.apply_announcement()
        self.prober.check()

    def _on_peer_change(self) -> None:
        self.configuration_watcher.wake()
        self.quotas.on_reachability_change()
        self._update_retry_budget()

    def knows_fleet(self) -> bool:
        """Whether this node has had the time to find all peers.

        Those that run have opened a link to it by then, also if the store is away.
        """
        age_ms = self.runtime.now_ms() - self.started_ms
        return self.discovery.done or age_ms > FLEET_KNOWN_AFTER_MS

    def _knows_teams(self) -> bool:
        """Whether this node knows the teams, and all peers that share their quotas."""
        return self.configuration.version > 0 and self.knows_fleet()

    def _log_limited(self, team: QuotaTeam, account: QuotaAccount) -> None:
        event = events.QUOTA_LIMITED if account.limited else events.QUOTA_RELEASED
        events.log(
            event,
            team=team.name,
            limit_per_s=round(account.limit.rate_per_s, 3),
            demand_per_s=round(account.demand.total(self.runtime.now_ms()), 1),
            nodes=account.nodes,
        )

    def _log_ownership(
        self, team: QuotaTeam, account: QuotaAccount, begins: bool
    ) -> None:
        events.log(
            events.QUOTA_OWNER,
            team=team.name,
            begins=begins,
            tokens=round(account.tokens, 1),
            limit_per_s=round(account.limit.rate_per_s, 3),
            nodes=account.nodes,
        )

    def _log_ended_caller(self, ended: EndedConnection) -> None:
        self.runtime.metrics.count("caller_connections_ended", ended.reason)
        events.log_routine(
            events.CALLER_ENDED,
            reason=str(ended.reason),
            held_bytes=ended.held_bytes,
            pending=ended.pending,
            connections=ended.connections,
        )

    def _log_rejection(self, rejection: Rejection) -> None:
        status = int(rejection.status)
        self.runtime.metrics.count("caller_rejections", str(status))
        events.log(
            events.CALLER_REJECTED,
            status=status,
            head_bytes=rejection.head_bytes,
            body_bytes=rejection.body_bytes,
            read_bytes=rejection.read_bytes,
            requests=rejection.requests,
            pending=rejection.pending,
        )

    def _find_team(self, name: str) -> Team | None:
        table = self.configuration.table
        return None if table is None or table.teams is None else table.teams.get(name)

    def _apply_order(self, key: str, value: bytes, offset: int, live: bool) -> None:
        self.rollouts.apply_record(key, value, offset, live)

    def _apply_rollout(self, update: RolloutUpdate) -> None:
        self.rollouts.apply_update(update, from_peer=True)

    def _apply_trial_counts(self, address: Address, counts: TrialCounts) -> None:
        self.rollouts.apply_counts(address, counts)

    def _is_outdated(self) -> bool:
        """Whether this node may lack the latest version of the configuration."""
        if self.members.newest_version > self.configuration.version:
            return True
        isolated = self.members.count() == 1
        return isolated and not self.configuration_watcher.store_reachable

    def _apply_link_rate(self) -> None:
        if self.settings.link_mbps:
            rate_bytes_per_ms = self.settings.link_mbps * 125
            self.inbound.transfers.link_bytes_per_ms = rate_bytes_per_ms
            self.members.body_sender.pacer.link_bytes_per_ms = rate_bytes_per_ms

    def _apply_revocation_bound(self) -> None:
        bounds = self.settings.bounds
        self.outbound.key_freshness.bound_ms = (
            bounds.revoke_ms if bounds.strict_revocation else math.inf
        )

    def _on_store_contact(self) -> None:
        """Confirm the keys in force, here and at peers with the same version."""
        if self.settings.bounds.strict_revocation:
            version = self.configuration.version
            self._confirm_keys(version)
            self.incoming_links.broadcast_store_contact(version)

    def _confirm_keys(self, version: int) -> None:
        if self.configuration.version >= version:
            now_ms = self.runtime.now_ms()
            self.outbound.key_freshness.confirmed_ms = now_ms

    def _is_store_reachable(self) -> bool:
        """Whether the first reader of the data centre reaches the store."""
        own = (self.settings.peer_address, self.configuration_watcher.store_reachable)
        peers = [
            (link.address, link.state.store_reachable)
            for link in self.members.live_links()
            if link.state is not None
            and link.endpoint.data_centre == self.settings.data_centre
        ]
        return min([own, *peers])[1]

    def _on_store_era(self, former: int, era: int) -> None:
        """Invalidate what is remembered of the store, and write again what is lost."""
        events.log(events.STORE_RETURNED, former=former, era=era)
        self.runtime.metrics.count("store_returns")
        self.configuration_watcher.forget_offset()
        self.discovery.register_again()
        self.rollouts.on_store_era()
        self.incoming_links.broadcast_store_era()

    def _on_configuration(self, table: RoutingTable) -> None:
        self.callers.limits = table.limits
        self.schedule_state_broadcast()
        origin = self.configuration.origin
        root = self.settings.peer_address
        if origin is Origin.LOCAL_PEER:
            root = self.version_fetcher.root
        self.version_server.announce(origin, root)
        self.configuration_watcher.wake()
        self.prober.check()

    def _make_store_client(self) -> StoreClient:
        metrics = self.runtime.metrics
        return StoreClient(
            self.runtime.loop,
            self.settings.store_address,
            lambda kind: metrics.count("store_calls", kind),
        )

    def _stop_accepting(self) -> None:
        listener = self._servers[0]
        self.runtime.spawn(close_listener(listener, self._make_caller_connection))

    def _make_caller_connection(self) -> ServerConnection:
        return ServerConnection(self.callers)

    async def _listen(self, listener: socket.socket, state: ServerState) -> None:
        await self._serve(listener, lambda: ServerConnection(state))

    async def _listen_endpoint(
        self, listener: socket.socket, handler: Handler
    ) -> ServerState:
        state = ServerState(
            handler,
            self.runtime.fault_handler("endpoint"),
            limits=endpoints.ENDPOINT_LIMITS,
            request_timeout_ms=endpoints.ENDPOINT_REQUEST_TIMEOUT_MS,
        )
        await self._listen(listener, state)
        return state

    async def _listen_peers(self, listener: socket.socket) -> None:
        await self._serve(listener, lambda: IncomingLink(self.incoming_links))

    async def _serve(self, listener: socket.socket, factory: ProtocolFactory) -> None:
        server = await self.runtime.loop.create_server(
            factory, sock=listener, backlog=BACKLOG
        )
        self._servers.append(server)

    def _tick(self, states: list[ServerState]) -> None:
        now_ms = self.runtime.now_ms()
        now_s = self.runtime.loop.time()
        delay_ms = now_ms - self._last_tick_ms - TICK_S * 1000
        self._last_tick_ms = now_ms
        if delay_ms > STALL_LOG_MS:
            events.log(events.LOOP_STALLED, pause_ms=round(delay_ms))
        if delay_ms > MIN_SUBTRACTED_DELAY_MS:
            self.runtime.run_guarded("tick", self.members.discount_pause, delay_ms)
            for state in states:
                self.runtime.run_guarded("tick", state.exclude_pause, delay_ms / 1000)
        run_guarded = partial(self.runtime.run_guarded, "tick")
        run_guarded(self.members.tick, now_ms)
        run_guarded(self.inbound.tick)
        run_guarded(self.prober.check)
        run_guarded(self.rollouts.tick, now_ms)
        run_guarded(self.quotas.tick, now_ms)
        run_guarded(self.call_context.refusals.tick)
        run_guarded(self._update_load_shedder)
        run_guarded(self._check_retry_budget)
        run_guarded(self._update_called_routes)
        run_guarded(self.configuration_watcher.tick)
        run_guarded(self.version_fetcher.tick, now_ms)
        run_guarded(self.callers.abort_abandoned)
        self._ticks += 1
        if self._ticks % STATE_BROADCAST_TICKS == 0:
            run_guarded(self.schedule_state_broadcast)
        if self._ticks % EXPIRY_TICKS == 0:
            run_guarded(self.call_context.returning_callers.expire, now_ms)
        if self._ticks % 5 == 0:
            for state in states:
                run_guarded(state.sweep, now_s)
        if self._ticks % SETTINGS_CHECK_TICKS == 0:
            run_guarded(self._check_settings)
        run_guarded(self._check_stop, now_ms)
        run_guarded(events.WRITER.flush)

    def _check_stop(self, now_ms: float) -> None:
        # The exit doesn't wait for a step of the shutdown that fails each time.
        if self.shutdown.is_overdue(now_ms):
            self._stopped.set()
        if self.shutdown.advance(now_ms):
            self._stopped.set()

    def _check_retry_budget(self) -> None:
        is_shared = self.call_context.retry_budget.members > 0
        if self._ticks % MEMBER_COUNT_TICKS == 0 or not is_shared:
            self._update_retry_budget()

    def _update_called_routes(self) -> None:
        self.members.called_routes.update(self.inbound.caller_detector.called_routes())

    def _update_retry_budget(self) -> None:
        """Share the retry budget with all nodes that may run, once these are known."""
        known = self.members.known_count() if self.knows_fleet() else 0
        self.call_context.retry_budget.members = known

    def _update_load_shedder(self) -> None:
        """Pass on the reports of all nodes if one of them has changed."""
        own_report = self._own_pressure_report()
        if own_report == self._last_pressure and not self.members.pressure_changed:
            return
        reports = [*self._peer_pressure_reports(), own_report]
        self.outbound.load_shedder.update(reports)
        self.call_context.called_services = find_called_services(reports)
        self._last_pressure = own_report
        self.members.pressure_changed = False

    def _refusal_ratios(self) -> tuple[RefusalRatio, ...]:
        return self.call_context.refusals.report(
            self.backend.service, self.members.called_routes
        )

    def _own_pressure_report(self) -> PressureReport:
        return PressureReport(
            self.backend.service,
            self.inbound.caller_detector.calling_services(),
            self._refusal_ratios(),
        )

    def _peer_pressure_reports(self) -> list[PressureReport]:
        states = [link.state for link in self.members.live_links()]
        return [
            PressureReport(state.service, state.callers, state.refusals)
            for state in states
            if state is not None
        ]

    def _check_settings(self) -> None:
        if self.settings_file.has_changed():
            self.reload()


def serve(path: pathlib.Path) -> None:
    """Run a node until it is stopped.

    Parameters
    ----------
    path : pathlib.Path
        Settings file.

    Raises
    ------
    SettingsError
        If the settings can't be used.
    PortInUseError
        If a listening address is already in use.
    """
    signals.take_over("sidecar")
    settings_file = SettingsFile(path)
    settings_file.remember()
    events.WRITER.open()
    try:
        settings = await_settings(path)
    except SettingsError:
        if not signals.RECEIVED.stop_requested:
            raise
        log_stopped_start("")
        return
    uvloop.run(_serve(settings, settings_file))


async def _serve(settings: MeshSettings, settings_file: SettingsFile) -> None:
    runtime = Runtime(asyncio.get_running_loop())
    node = Node(settings, settings_file.path, runtime)
    node.settings_file = settings_file
    await run_with_signals(node)
