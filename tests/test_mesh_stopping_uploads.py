"""Uploads during a shutdown are answered and run at most once, never if refused."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest
import pytest_asyncio
from aiohttp import ClientError

from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC

from .fixtures_mesh import MeshFleet, MeshInstance, caller_headers, document
from .test_mesh_faults import block_sending, eventually
from .test_mesh_refusals import drain_all_but
from .test_mesh_stopping import LONG_MS, NO_ANSWER, stop

BODY = b"u" * 60_000
NAMES = [f"u{index}" for index in range(10)]
NOT_RUN = 503


def long_routes() -> dict[str, object]:
    """Return reads and uploads that may outlast a shutdown."""
    route = {
        "host": "shop.example",
        "max_attempts": 2,
        "timeout": f"{LONG_MS}ms",
        "aim": f"{LONG_MS}ms",
        "priority": 2,
        "service": "shop",
    }
    return {
        "read": {**route, "path_prefix": "/read/", "route_kind": "safe"},
        "up": {**route, "path_prefix": "/up/", "route_kind": "upload"},
    }


@attrs.frozen
class UploadScenario:
    """A fleet with one open server, whose runs outlast a shutdown."""

    mesh: MeshFleet
    serving: MeshInstance
    asked: MeshInstance

    async def upload(self, name: str) -> int:
        """Send an upload to the asked node; return its status."""
        headers = caller_headers(name, LONG_MS)
        try:
            async with self.mesh.session.post(
                self.asked.url("/up/1"), data=BODY, headers=headers
            ) as answer:
                await answer.read()
                return answer.status
        except ClientError:
            return NO_ANSWER

    def check(self, statuses: list[int]) -> None:
        """Check the outcome of each upload."""
        assert NO_ANSWER not in statuses
        for name, status in zip(NAMES, statuses, strict=True):
            runs = sum(item.server.runs[name] for item in self.mesh.instances)
            assert runs <= (0 if status == NOT_RUN else 1)
        assert not self.asked.node.call_context.calls_in_flight


@pytest_asyncio.fixture
async def scenario(mesh: MeshFleet) -> UploadScenario:
    """Open one server, with runs of 8.5 s."""
    content = document(8, routes=long_routes())
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)
    await eventually(
        lambda: all(item.node.configuration.version == 8 for item in mesh.instances)
    )
    serving, asked = mesh.instances[:2]
    await drain_all_but(mesh, serving)
    serving.server.work_s = 8.5
    return UploadScenario(mesh, serving, asked)


async def do_nothing(scenario: UploadScenario) -> None:
    """Add no concurrent event."""


async def send_second_signal(scenario: UploadScenario) -> None:
    scenario.asked.node.stop()


async def publish_version(scenario: UploadScenario) -> None:
    scenario.asked.node.reload()
    content = document(9, routes=long_routes())
    scenario.mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)


async def reset_link(scenario: UploadScenario) -> None:
    await asyncio.sleep(0.9)
    for link in list(scenario.serving.node.incoming_links.links):
        link.abort()


async def suspend_link(scenario: UploadScenario) -> None:
    await asyncio.sleep(0.9)
    block_sending(scenario.serving)


async def stop_both(scenario: UploadScenario) -> None:
    await stop(scenario.serving)


@pytest.mark.parametrize(
    "concurrent_event",
    [
        do_nothing,
        send_second_signal,
        publish_version,
        reset_link,
        suspend_link,
        stop_both,
    ],
)
async def test_uploads_before_a_shutdown_are_all_answered(
    scenario: UploadScenario,
    concurrent_event: Callable[[UploadScenario], Awaitable[None]],
) -> None:
    calls = [asyncio.create_task(scenario.upload(name)) for name in NAMES]
    await asyncio.sleep(0.1)
    await asyncio.gather(stop(scenario.asked), concurrent_event(scenario))
    scenario.check(await asyncio.gather(*calls))


async def test_uploads_at_the_node_of_the_server_are_all_answered(
    scenario: UploadScenario,
) -> None:
    scenario = attrs.evolve(scenario, asked=scenario.serving)
    calls = [asyncio.create_task(scenario.upload(name)) for name in NAMES]
    await asyncio.sleep(0.1)
    await stop(scenario.asked)
    scenario.check(await asyncio.gather(*calls))


async def test_uploads_during_a_shutdown_are_all_answered(
    scenario: UploadScenario,
) -> None:
    ended = asyncio.create_task(stop(scenario.asked))
    calls = []
    for name in NAMES:
        await asyncio.sleep(0.2)
        calls.append(asyncio.create_task(scenario.upload(name)))
    await ended
    scenario.check(await asyncio.gather(*calls))
