"""Uploads at a stopping node: each is answered, a refused one has not run, none twice.

Uploads have no shorter timeout than their callers' patience, which is as long as a node
stops; both requests that a stop cut were uploads, in the queue beside a server that was
short of room.
"""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest
import pytest_asyncio
from aiohttp import ClientError

from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC

from .fixtures_mesh import MeshFleet, MeshInstance, caller_headers, document
from .test_mesh_faults import eventually, silence
from .test_mesh_refusals import only
from .test_mesh_stopping import CUT, LONG_MS, stop

BODY = b"u" * 60_000
NAMES = [f"u{index}" for index in range(10)]
NOT_RUN = 503


def long_routes() -> dict[str, object]:
    """Return reads and uploads that may last longer than a node stops."""
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
    """A fleet with one open server, whose runs outlast a stop."""

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
        """Check what each upload came to."""
        assert CUT not in statuses
        for name, status in zip(NAMES, statuses, strict=True):
            runs = sum(item.server.runs[name] for item in self.mesh.instances)
            assert runs <= (0 if status == NOT_RUN else 1)
        assert not self.asked.node.calls.calls_in_flight


@pytest_asyncio.fixture
async def stage(mesh: MeshFleet) -> Stage:
    """Have one server open, with runs of 8.5 s."""
    content = document(8, routes=long_routes())
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)
    await eventually(
        lambda: all(item.node.configuration.version == 8 for item in mesh.instances)
    )
    serving, asked = mesh.instances[:2]
    await only(mesh, serving)
    serving.server.work_s = 8.5
    return Stage(mesh, serving, asked)


async def nothing_else(stage: Stage) -> None:
    """Let the stop be all that happens."""


async def second_signal(stage: Stage) -> None:
    stage.asked.node.stop()


async def new_version(stage: Stage) -> None:
    stage.asked.node.reload()
    content = document(9, routes=long_routes())
    stage.mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)


async def link_reset(stage: Stage) -> None:
    await asyncio.sleep(0.9)
    for server in list(stage.serving.node.incoming_links.links):
        server.abort()


async def link_silent(stage: Stage) -> None:
    await asyncio.sleep(0.9)
    silence(stage.serving)


async def both_stop(stage: Stage) -> None:
    await stop(stage.serving)


@pytest.mark.parametrize(
    "beside",
    [nothing_else, second_signal, new_version, link_reset, link_silent, both_stop],
)
async def test_uploads_before_a_stop_are_all_answered(
    stage: Stage, beside: Callable[[Stage], Awaitable[None]]
) -> None:
    calls = [asyncio.create_task(stage.upload(name)) for name in NAMES]
    await asyncio.sleep(0.1)
    await asyncio.gather(stop(stage.asked), beside(stage))
    stage.check(await asyncio.gather(*calls))


async def test_uploads_at_the_node_beside_the_server_are_all_answered(
    stage: Stage,
) -> None:
    stage = attrs.evolve(stage, asked=stage.serving)
    calls = [asyncio.create_task(stage.upload(name)) for name in NAMES]
    await asyncio.sleep(0.1)
    await stop(stage.asked)
    stage.check(await asyncio.gather(*calls))


async def test_uploads_that_come_during_a_stop_are_all_answered(stage: Stage) -> None:
    ended = asyncio.create_task(stop(stage.asked))
    calls = []
    for name in NAMES:
        await asyncio.sleep(0.2)
        calls.append(asyncio.create_task(stage.upload(name)))
    await ended
    stage.check(await asyncio.gather(*calls))
