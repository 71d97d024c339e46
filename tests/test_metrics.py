import asyncio
import socket
from types import SimpleNamespace
from typing import Any

import pytest

from azurestep.environment import Environment
from azurestep.metrics import METRICS
from azurestep.node.audit import AuditService
from azurestep.node.control import ControlService
from azurestep.node.metrics import MetricsService
from azurestep.settings import Settings, StatsdSettings


@pytest.fixture
async def service() -> MetricsService:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    settings = Settings(
        "a.1",
        "kgn1",
        "127.0.0.1",
        1,
        2,
        3,
        4,
        platform_url="http://127.0.0.1:5",
        statsd=StatsdSettings(port=port, interval_ms=20),
    )
    environment = Environment()
    control = ControlService(settings, environment, asyncio.Queue())
    audit = AuditService(settings, environment, control, "run")
    latency = SimpleNamespace(count=7, p99_ms=0.5)
    proxy: Any = SimpleNamespace(in_flight=3, latency_summary=lambda: latency)
    return MetricsService(settings, environment, control, proxy, audit)


async def test_every_metric_is_sampled_once(service: MetricsService) -> None:
    names = [sample.metric.name for sample in service.samples(0.0)]
    assert sorted(names) == sorted(METRICS)


async def test_samples_reach_statsd(service: MetricsService) -> None:
    target = service.settings.statsd
    assert target is not None
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind((target.host, target.port))
        receiver.setblocking(False)
        service.set_loop(asyncio.get_running_loop())
        task = asyncio.create_task(service.start())
        received = ""
        async with asyncio.timeout(20):
            while received.count("traffic.requests") < 2:
                await asyncio.sleep(0.01)
                received += read_all(receiver)
        task.cancel()
    lines = received.split()
    assert "azurestep.kgn1.a_1.traffic.in_flight:3|g" in lines
    assert lines.count("azurestep.kgn1.a_1.traffic.requests:7|c") == 1
    assert "azurestep.kgn1.a_1.traffic.requests:0|c" in lines


def read_all(receiver: socket.socket) -> str:
    text = ""
    while True:
        try:
            text += receiver.recv(4096).decode() + "\n"
        except BlockingIOError:
            return text
