import asyncio
import importlib.util
import marshal
import pathlib
import py_compile
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
from azurestep.platform.boot import SETTINGS_VARIABLE
from azurestep.settings import Settings, unstructure_settings
from bench.fleet import free_ports, wait_for_port
from standins.log import LogStandIn
from tools.binary.build import collect, compile_module, write_binary

from .test_process_starts import TIMEOUT_S, answers, settings_content, wait_until


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


def test_modules_are_compiled_without_writing_files(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Replacing a file for each of 1,500 modules took over 120 s on a busy disk."""

    def replace(*arguments: object) -> None:
        raise AssertionError("a file was replaced")

    path = tmp_path / "module.py"
    path.write_text("VALUE = 7\n")
    monkeypatch.setattr("importlib._bootstrap_external._write_atomic", replace)
    compiled = compile_module("module.py", path)
    assert compiled is not None
    assert list(tmp_path.iterdir()) == [path]
    header, code = compiled[:16], marshal.loads(compiled[16:])
    assert header[8:] == importlib.util.source_hash(path.read_bytes())
    assert code.co_filename == "module.py"


def test_a_compiled_module_is_the_file_that_python_writes(
    tmp_path: pathlib.Path,
) -> None:
    """A wrong header would make the interpreter of the binary reject the module."""
    path, target = tmp_path / "module.py", tmp_path / "module.pyc"
    path.write_text("def add(a, b):\n    return a + b\n")
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    py_compile.compile(str(path), str(target), "module.py", invalidation_mode=mode)
    assert compile_module("module.py", path) == target.read_bytes()


def test_a_module_that_cannot_be_compiled_is_left_out(tmp_path: pathlib.Path) -> None:
    """A template in a library's package must not stop the build."""
    path = tmp_path / "template.py"
    path.write_text("{{ name }} = 1 +\n")
    assert compile_module("template.py", path) is None


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


@pytest.mark.parametrize("redirections", [">&-", "<&- >&- 2>&-"])
def test_closed_standard_descriptors_are_given_to_libraries(
    binary: Binary, redirections: str
) -> None:
    """Log lines were appended to the memory file of a library, and it ended with 1."""
    settings = binary.home / "settings.json"
    settings.write_bytes(settings_content())
    process = subprocess.Popen(
        ["/bin/sh", "-c", f'exec "$0" sidecar {redirections}', str(binary.path)],
        env={SETTINGS_VARIABLE: str(settings)},
    )
    try:
        wait_until(answers)
        opened = pathlib.Path(f"/proc/{process.pid}/fd")
        names = {str((opened / number).readlink()) for number in "012"}
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()
    assert not {name for name in names if name.startswith("/memfd:")}
