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
from .test_mesh_stopping import CUT, LONG_MS, stop

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
class Stage:
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
            return CUT

    def check(self, statuses: list[int]) -> None:
        """Check the outcome of each upload."""
        assert CUT not in statuses
        for name, status in zip(NAMES, statuses, strict=True):
            runs = sum(item.server.runs[name] for item in self.mesh.instances)
            assert runs <= (0 if status == NOT_RUN else 1)
        assert not self.asked.node.calls.calls_in_flight


@pytest_asyncio.fixture
async def stage(mesh: MeshFleet) -> Stage:
    """Open one server, with runs of 8.5 s."""
    content = document(8, routes=long_routes())
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)
    await eventually(
        lambda: all(item.node.configuration.version == 8 for item in mesh.instances)
    )
    serving, asked = mesh.instances[:2]
    await drain_all_but(mesh, serving)
    serving.server.work_s = 8.5
    return Stage(mesh, serving, asked)


async def do_nothing(stage: Stage) -> None:
    """Leave the shutdown without another event."""


async def send_second_signal(stage: Stage) -> None:
    stage.asked.node.stop()


async def publish_version(stage: Stage) -> None:
    stage.asked.node.reload()
    content = document(9, routes=long_routes())
    stage.mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)


async def reset_link(stage: Stage) -> None:
    await asyncio.sleep(0.9)
    for server in list(stage.serving.node.incoming_links.links):
        server.abort()


async def silence_link(stage: Stage) -> None:
    await asyncio.sleep(0.9)
    block_sending(stage.serving)


async def stop_both(stage: Stage) -> None:
    await stop(stage.serving)


@pytest.mark.parametrize(
    "concurrent_event",
    [
        do_nothing,
        send_second_signal,
        publish_version,
        reset_link,
        silence_link,
        stop_both,
    ],
)
async def test_uploads_before_a_shutdown_are_all_answered(
    stage: Stage, concurrent_event: Callable[[Stage], Awaitable[None]]
) -> None:
    calls = [asyncio.create_task(stage.upload(name)) for name in NAMES]
    await asyncio.sleep(0.1)
    await asyncio.gather(stop(stage.asked), concurrent_event(stage))
    stage.check(await asyncio.gather(*calls))


async def test_uploads_at_the_node_of_the_server_are_all_answered(
    stage: Stage,
) -> None:
    stage = attrs.evolve(stage, asked=stage.serving)
    calls = [asyncio.create_task(stage.upload(name)) for name in NAMES]
    await asyncio.sleep(0.1)
    await stop(stage.asked)
    stage.check(await asyncio.gather(*calls))


async def test_uploads_during_a_shutdown_are_all_answered(stage: Stage) -> None:
    ended = asyncio.create_task(stop(stage.asked))
    calls = []
    for name in NAMES:
        await asyncio.sleep(0.2)
        calls.append(asyncio.create_task(stage.upload(name)))
    await ended
    stage.check(await asyncio.gather(*calls))
