import asyncio
import pathlib
import shutil
import signal
import subprocess
from collections.abc import Iterator

import aiohttp
import attrs
import orjson
import psutil
import pytest

from azurestep import __version__
from azurestep.settings import Settings, unstructure_settings
from bench.fleet import free_ports, wait_for_port
from standins.log import LogStandIn
from tools.binary.build import collect, write_binary


@attrs.frozen
class Binary:
    """The binary in a directory of its own, with no interpreter in reach."""

    path: pathlib.Path
    home: pathlib.Path

    def start(self, *arguments: str) -> "subprocess.Popen[str]":
        home = str(self.home)
        return subprocess.Popen(
            [str(self.path), *arguments],
            cwd=home,
            env={"HOME": home, "TMPDIR": home, "PATH": ""},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )


@pytest.fixture(scope="module")
def built(tmp_path_factory: pytest.TempPathFactory) -> Iterator[pathlib.Path]:
    directory = tmp_path_factory.mktemp("binary")
    path = directory / "azurestep"
    write_binary(collect(), path)
    yield path
    shutil.rmtree(directory)


@pytest.fixture
def binary(built: pathlib.Path, tmp_path: pathlib.Path) -> Binary:
    return Binary(built, tmp_path)


def test_version_comes_from_one_file(binary: Binary) -> None:
    process = binary.start("--version")
    output, errors = process.communicate(timeout=60)
    assert (process.returncode, output.strip(), errors) == (0, __version__, "")
    assert list(binary.home.iterdir()) == []


def test_status_of_the_command_is_kept(binary: Binary) -> None:
    process = binary.start("check", "/nowhere.json")
    process.communicate(timeout=60)
    assert process.returncode == 3


async def test_node_is_one_process_that_writes_nothing(
    binary: Binary, log: LogStandIn, http: aiohttp.ClientSession, tmp_path: pathlib.Path
) -> None:
    settings = Settings("a", "kgn1", "127.0.0.1", *free_ports(4), platform_url=log.url)
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps(unstructure_settings(settings)))
    process = binary.start("node", str(path))
    try:
        await wait_for_port(settings.operator_port)
        url = f"http://127.0.0.1:{settings.operator_port}/v1/status"
        async with http.get(url) as response:
            assert (await response.json())["instance"] == "a"
        seen = psutil.Process(process.pid)
        assert seen.children(recursive=True) == []
        opened = {file.path for file in seen.open_files() if "w" in file.mode}
        assert {name for name in opened if not name.startswith("/memfd:")} == set()
    finally:
        process.send_signal(signal.SIGTERM)
        output, errors = await asyncio.to_thread(process.communicate, timeout=60)
    assert process.returncode == 0, errors
    assert list(tmp_path.iterdir()) == [path]
