"""Callers who connect while a node starts are not refused."""

import asyncio
import socket
import subprocess
import sys
import time

import pytest

from azurestep.errors import PortInUseError
from azurestep.mesh.listeners import open_listener, open_listeners
from azurestep.mesh.node import READY_AFTER_MS, Node

from .fixtures_mesh import CALLER_PORT, NETWORK, MeshFleet, MeshInstance, caller_headers

BEFORE_START_S = 0.3


@pytest.fixture
def never_ready(mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no node that starts from now on become ready."""
    monkeypatch.setattr(Node, "is_ready", lambda self: False)


def stop(instance: MeshInstance) -> None:
    """End a node's process as a crash does."""
    assert instance.task is not None
    instance.task.cancel()
    instance.node.abort()


async def read_status(address: tuple[str, int], request_id: str) -> bytes:
    """Send a read over a connection of its own; return the first line of the answer."""
    reader, writer = await asyncio.open_connection(*address)
    headers = {"Host": "shop.example", **caller_headers(request_id)}
    lines = [f"{name}: {value}" for name, value in headers.items()]
    text = "\r\n".join(["GET /read/1 HTTP/1.1", *lines, "", ""])
    writer.write(text.encode())
    line = await reader.readline()
    writer.close()
    return line


async def test_a_request_sent_before_the_node_runs_is_answered(mesh: MeshFleet) -> None:
    instance = mesh.instances[0]
    stop(instance)
    node = mesh.new_node(instance)
    node.listeners.update(open_listeners(node.settings))
    asking = asyncio.create_task(read_status(node.settings.caller_address, "early"))
    await asyncio.sleep(BEFORE_START_S)
    assert not asking.done()
    instance.node = node
    mesh.start_node(instance)
    assert b" 200 " in await asking


async def test_callers_are_accepted_soon_even_if_nothing_can_be_served(
    mesh: MeshFleet, never_ready: None
) -> None:
    instance = mesh.instances[0]
    stop(instance)
    node = instance.node = mesh.new_node(instance)
    mesh.start_node(instance)
    await node.listening.wait()
    before = time.monotonic()
    line = await read_status((instance.host, CALLER_PORT), "unready")
    assert line.split()[1] in (b"200", b"503")
    assert time.monotonic() - before < READY_AFTER_MS / 1000 + 0.4


async def test_a_node_that_stops_before_it_is_ready_answers_its_callers(
    mesh: MeshFleet, never_ready: None
) -> None:
    instance = mesh.instances[0]
    stop(instance)
    node = instance.node = mesh.new_node(instance)
    mesh.start_node(instance)
    await node.listening.wait()
    asking = asyncio.create_task(read_status((instance.host, CALLER_PORT), "stopping"))
    await asyncio.sleep(0.05)
    node.stop()
    async with asyncio.timeout(READY_AFTER_MS / 2000):
        assert (await asking).split()[1] in (b"200", b"503")


def test_sockets_open_before_the_program_is_imported() -> None:
    code = (
        "import sys, azurestep.core, azurestep.cli.commands.sidecar;"
        "print({'asyncio', 'uvloop', 'azurestep.mesh.node'} & set(sys.modules))"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "set()"


def test_a_port_in_use_is_told_with_a_remedy() -> None:
    address = (f"{NETWORK}.240", CALLER_PORT)
    with open_listener(address), pytest.raises(PortInUseError) as caught:
        open_listener(address)
    assert "Stop the process" in caught.value.remedy


def test_a_listener_queues_connections_that_nobody_accepts() -> None:
    address = (f"{NETWORK}.241", CALLER_PORT)
    with open_listener(address), socket.create_connection(address, timeout=1.0):
        pass
