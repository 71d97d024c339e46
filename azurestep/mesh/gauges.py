"""Gauges and status of a node, computed when they are read."""

import attrs
import orjson

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


@attrs.define(eq=False)
class NodeGauges:
    """Reads a node's components for its metrics and for operators."""

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

    def refresh(self) -> None:
        """Update all gauges in the node's metrics."""
        gauges, now_ms = self.runtime.metrics.gauges, self.runtime.now_ms()
        admission = self.inbound.admission
        refusals = self.outbound.context.refusals
        watcher = self.configuration_watcher
        gauges["members"] = self.members.count()
        gauges["configuration_version"] = self.configuration.version
        gauges["backend_running"] = len(admission.running)
        gauges["backend_busy"] = admission.in_flight
        gauges["backend_rate_limit"] = self.backend.rate_limit_per_s
        gauges["backend_slots_kept"] = admission.kept_slots(now_ms)
        gauges["calls_lacking"] = refusals.lack(self.members.called_routes)
        gauges["shed_ratio"] = self.outbound.load_shedder.max_ratio
        gauges["backend_work_ratio"] = admission.speed.ratio(now_ms)
        gauges["configuration_reader"] = float(watcher.is_reader)
        gauges["links_unsent_bytes"] = self.incoming_links.unsent_bytes()
        gauges["quota_teams_owned"] = len(self.quotas.owned)
        gauges["quota_teams_limited"] = self.quotas.limited_count()
        gauges["store_era"] = self.store_era.current
        gauges["store_reachable"] = float(watcher.store_reachable)
        for name in SERVICE_LOADS:
            gauges.pop(name, None)
        gauges |= self.members.service_loads()
        self.quotas.count_uses()
        self.runtime.metrics.teams.quota_gauges = {
            quota.team: _gauges_of(quota) for quota in describe_quotas(self.quotas)
        }

    def status(self, settings: MeshSettings) -> bytes:
        """Return the ``MeshStatus`` of the node, as JSON."""
        status = MeshStatus(
            settings.instance,
            settings.data_centre,
            settings.service,
            self.configuration.version,
            self.members.count(),
            self.store_era.current,
            self.configuration_watcher.store_reachable,
            describe_quotas(self.quotas),
        )
        return orjson.dumps(attrs.asdict(status))


def _gauges_of(quota: TeamQuotaStatus) -> dict[str, float]:
    return {
        "limit_per_s": quota.limit_per_s,
        "grant_per_s": quota.grant_per_s or 0.0,
        "limited": float(quota.limited),
        "owned": float(quota.is_owner),
    }
