"""Changes of the settings file that no signal tells of."""

import asyncio
import pathlib

import orjson
import pytest_asyncio

from azurestep.mesh.node import Node
from azurestep.mesh.runtime import Runtime
from azurestep.mesh.settings import read_settings

from .test_mesh_settings import rendered


def content(service: str) -> bytes:
    return orjson.dumps({**rendered(), "service": service})


@pytest_asyncio.fixture
async def node(tmp_path: pathlib.Path) -> Node:
    """Return a node that doesn't run, and has checked its settings file once."""
    path = tmp_path / "settings.json"
    path.write_bytes(content("first"))
    node = Node(read_settings(path), path, Runtime(asyncio.get_running_loop()))
    node._check_settings()
    return node


async def test_settings_after_an_empty_file_are_never_read(node: Node) -> None:
    """Guards against a file that was empty at one check, as while it is written."""
    for written in (b"", content("second"), content("third")[:40], content("fourth")):
        node.path.write_bytes(written)
        node._check_settings()
        if written.endswith(b"}"):
            assert node.settings == read_settings(node.path)


async def test_settings_before_a_reload_that_return_are_never_read(node: Node) -> None:
    """Guards against a check that compares with what an earlier check has seen."""
    node.path.write_bytes(content("second"))
    node.reload()
    node.path.write_bytes(content("first"))
    node._check_settings()
    assert node.settings.service == "first"
