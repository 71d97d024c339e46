"""The metrics task: samples the node and sends the values to statsd."""

import asyncio
import resource
import time

import aiomisc
import statsd

from .. import metrics
from ..control.updates import MemberStatus
from ..environment import Environment
from ..metrics import CounterDeltas, MetricKind, Sample, prefix_of
from ..settings import Settings
from ..traffic.proxy import Proxy
from .audit import AuditService
from .control import ControlService

KIB_BYTES = 1024


class MetricsService(aiomisc.Service):
    """Sends samples over UDP each interval; without statsd it does nothing."""

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        control: ControlService,
        proxy: Proxy,
        audit: AuditService,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.environment = environment
        self.control = control
        self.proxy = proxy
        self.audit = audit
        self._deltas = CounterDeltas()

    async def start(self) -> None:
        """Sample and send until stopped."""
        self.start_event.set()
        target = self.settings.statsd
        if target is None:
            return
        prefix = prefix_of(self.settings.data_centre, self.settings.instance)
        client = statsd.StatsClient(target.host, target.port, prefix=prefix)
        interval_s = target.interval_ms / 1000
        while True:
            due_ms = self.environment.clock.monotonic_ms() + target.interval_ms
            await asyncio.sleep(interval_s)
            lag_ms = max(0.0, self.environment.clock.monotonic_ms() - due_ms)
            self._send(client, self.samples(lag_ms))

    def _send(self, client: statsd.StatsClient, samples: list[Sample]) -> None:
        with client.pipeline() as pipe:
            for sample in samples:
                if sample.metric.kind is MetricKind.GAUGE:
                    pipe.gauge(sample.metric.name, sample.value)
                else:
                    pipe.incr(sample.metric.name, self._deltas.take(sample))

    def samples(self, loop_lag_ms: float) -> list[Sample]:
        """Return the present value of every metric."""
        return [
            *self._configuration_samples(),
            *self._member_samples(),
            *self._control_samples(),
            *self._traffic_samples(),
            Sample(metrics.AUDIT_WAITING, len(self.audit.outbox)),
            *_process_samples(loop_lag_ms),
        ]

    def _configuration_samples(self) -> list[Sample]:
        state = self.control.spread.fold.state
        own = self.settings.data_centre
        reports = self.control.membership.reports()
        missing = sum(r.members - r.in_force for r in reports if r.data_centre == own)
        return [
            Sample(metrics.VERSION, state.version),
            Sample(metrics.AS_OF, state.as_of),
            Sample(metrics.MISSING_INSTANCES, missing),
        ]

    def _member_samples(self) -> list[Sample]:
        members = self.control.membership.members()
        suspects = sum(m.status == MemberStatus.SUSPECT for m in members)
        is_reachable = self.control.membership.own.log_reachable
        return [
            Sample(metrics.MEMBERS, len(members)),
            Sample(metrics.SUSPECTS, suspects),
            Sample(metrics.LOG_REACHABLE, int(is_reachable)),
        ]

    def _control_samples(self) -> list[Sample]:
        counters = self.control.links.counters
        return [
            Sample(metrics.SENT_BYTES, counters.sent_bytes),
            Sample(metrics.RECEIVED_BYTES, counters.received_bytes),
            Sample(metrics.DROPPED_FRAMES, counters.dropped_frames),
            Sample(metrics.UNSENT_FRAMES, counters.unsent_frames),
        ]

    def _traffic_samples(self) -> list[Sample]:
        latency = self.proxy.latency_summary()
        return [
            Sample(metrics.IN_FLIGHT, self.proxy.in_flight),
            Sample(metrics.REQUESTS, latency.count),
            Sample(metrics.ADDED_P99, round(latency.p99_ms * 1000)),
        ]


def _process_samples(loop_lag_ms: float) -> list[Sample]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return [
        Sample(metrics.LOOP_LAG, round(loop_lag_ms * 1000)),
        Sample(metrics.CPU_TIME, round(time.process_time() * 1000)),
        Sample(metrics.MEMORY, usage.ru_maxrss * KIB_BYTES),
    ]
