"""Gauges and status of a node, computed when they are read."""

from typing import Protocol

import attrs
import orjson

from . import events
from .backend.inbound import Inbound
from .backend.state import LocalBackend
from .callers.outbound import Outbound
from .knowledge.configuration import Configuration
from .knowledge.configuration_watcher import ConfigurationWatcher
from .knowledge.store_era import StoreEra
from .links.members import SERVICE_LOADS, Members
from .links.server import IncomingLinks
from .quotas.control import Quotas
from .quotas.overview import describe_quotas
from .runtime import Runtime
from .settings import MeshSettings
from .status import MeshStatus, TeamQuotaStatus


class ObservedNode(Protocol):
    """The components of a node that are read."""

    settings: MeshSettings
    runtime: Runtime
    members: Members
    configuration: Configuration
    configuration_watcher: ConfigurationWatcher
    store_era: StoreEra
    backend: LocalBackend
    inbound: Inbound
    incoming_links: IncomingLinks
    outbound: Outbound
    quotas: Quotas


@attrs.define(eq=False, repr=False)
class NodeGauges:
    """Reads a node's components for its metrics and for operators."""

    node: ObservedNode

    def refresh(self) -> None:
        """Update all gauges in the node's metrics."""
        node = self.node
        gauges, now_ms = node.runtime.metrics.gauges, node.runtime.now_ms()
        admission = node.inbound.admission
        refusals = node.outbound.context.refusals
        watcher = node.configuration_watcher
        gauges["members"] = node.members.count()
        gauges["configuration_version"] = node.configuration.version
        gauges["backend_running"] = len(admission.running)
        gauges["backend_busy"] = admission.in_flight
        gauges["backend_rate_limit"] = node.backend.rate_limit_per_s
        gauges["backend_slots_kept"] = admission.kept_slots(now_ms)
        gauges["calls_lacking"] = refusals.lack(node.members.called_routes)
        gauges["shed_ratio"] = node.outbound.load_shedder.max_ratio
        gauges["backend_work_ratio"] = admission.speed.ratio(now_ms)
        gauges["configuration_reader"] = float(watcher.is_reader)
        gauges["links_unsent_bytes"] = node.incoming_links.unsent_bytes()
        gauges["quota_teams_owned"] = len(node.quotas.owned)
        gauges["quota_teams_limited"] = node.quotas.limited_count()
        gauges["store_era"] = node.store_era.current
        gauges["store_reachable"] = float(watcher.store_reachable)
        counters = node.runtime.metrics.counters
        counters["log_lines_dropped", ""] = events.WRITER.total_dropped
        for name in SERVICE_LOADS:
            gauges.pop(name, None)
        gauges |= node.members.service_loads()
        node.quotas.count_uses()
        node.runtime.metrics.teams.quota_gauges = {
            quota.team: _gauges_of(quota) for quota in describe_quotas(node.quotas)
        }

    def status(self) -> bytes:
        """Return the ``MeshStatus`` of the node, as JSON."""
        node = self.node
        status = MeshStatus(
            node.settings.instance,
            node.settings.data_centre,
            node.settings.service,
            node.configuration.version,
            node.members.count(),
            node.store_era.current,
            node.configuration_watcher.store_reachable,
            describe_quotas(node.quotas),
        )
        return orjson.dumps(attrs.asdict(status))


def _gauges_of(quota: TeamQuotaStatus) -> dict[str, float]:
    return {
        "limit_per_s": quota.limit_per_s,
        "grant_per_s": quota.grant_per_s or 0.0,
        "limited": float(quota.limited),
        "owned": float(quota.is_owner),
    }
