"""A node's start: what it has imported when it listens, and what its classes compile.

Time isn't measured here, as it depends on the machine; docs/design/platform.md has the
figures. These tests fail when a change brings back work that a start doesn't need.
"""

import ast
import asyncio
import gc
import importlib
import pathlib
import subprocess
import sys
from collections.abc import Iterator

import attrs
import docopt
import orjson
import pytest

from azurestep.cli.definition import SIDECAR_USAGE, USAGE
from azurestep.cli.options import SidecarOptions
from azurestep.cli.parse import parse_arguments
from azurestep.environment import Environment
from azurestep.status import ExitStatus
from azurestep.values import Value

from .fixtures_cli import RunCommand
from .fixtures_mesh import MeshFleet
from .test_mesh_settings import rendered

ROOT = pathlib.Path(__file__).parents[1]
PACKAGE = ROOT / "azurestep"
REQUEST_PATH = ("http", "mesh", "routing")
"""Packages whose modules are all imported before the node listens."""
LIBRARIES = ("attrs", "docopt", "httptools", "msgpack", "msgspec", "orjson", "uvloop")
LIBRARIES_OF_BODIES = ("xxhash", "zstandard")
OWN_STANDARD_MODULES = {
    "bisect",
    "fnmatch",
    "hashlib",
    "http",
    "ipaddress",
    "ntpath",
    "pathlib",
    "random",
    "resource",
    "urllib",
    "urllib.parse",
    "zlib",
}
"""Public modules of the standard library that only the node's own code needs; others
come with its libraries. ``pathlib`` needs some of them."""
COMPARED_OFTEN = {
    "azurestep.endpoint_key.EndpointKey",
    "azurestep.mesh.decisions.pressure.PressureReport",
    "azurestep.mesh.decisions.quota_account.QuotaLimit",
    "azurestep.mesh.incarnation.Incarnation",
    "azurestep.mesh.link_messages.CalledRoutes",
    "azurestep.mesh.link_messages.ServerVersion",
}
"""Classes compared for each request or, for each link or team, several times a second;
their methods are compiled."""
LIST_MODULES = """
import os, sys
if sys.argv[1:]:
    import azurestep.mesh.node as node
    from azurestep.core import main
    real_log = node.events.log
    def log(event, **fields):
        if event is node.events.STARTED:
            print(*sys.modules, gc_enabled(), flush=True)
            os._exit(0)
        real_log(event, **fields)
    def gc_enabled():
        import gc
        return f"gc={gc.isenabled()}"
    node.events.log = log
    main(["sidecar", sys.argv[1]])
"""
IMPORT_LIBRARIES = f"""
import sys
import {", ".join((*LIBRARIES, *LIBRARIES_OF_BODIES))}
print(*sys.modules)
"""


def _run(program: str, *arguments: object) -> set[str]:
    """Run a program as the platform does, without ``site``; return what it prints."""
    paths = [path for path in sys.path if path.endswith("site-packages")]
    result = subprocess.run(
        [sys.executable, "-S", "-c", program, *map(str, arguments)],
        check=True,
        capture_output=True,
        cwd=ROOT,
        env={"PYTHONPATH": ":".join(paths), "PYTHONDONTWRITEBYTECODE": "1"},
        text=True,
        timeout=60,
    )
    return set(result.stdout.split())


@pytest.fixture(scope="module")
def at_listening(tmp_path_factory: pytest.TempPathFactory) -> set[str]:
    """Return the modules of a node that has just begun to listen."""
    host = "127.77.9.1"
    fields = {**rendered(), "ip_address": host, "metrics_port": 7601}
    for port, name in enumerate(("caller", "peer", "ready", "announce"), 7602):
        fields[f"{name}_address"] = f"{host}:{port}"
    path = tmp_path_factory.mktemp("node") / "settings.json"
    path.write_bytes(orjson.dumps(fields))
    return _run(LIST_MODULES, path)


def _is_public(module: str) -> bool:
    return not any(part.startswith("_") for part in module.split("."))


def test_listening_node_has_imported_no_other_libraries(at_listening) -> None:
    """A library that a node doesn't need costs up to a second of processor time."""
    expected = {"azurestep", "attr", *LIBRARIES, *LIBRARIES_OF_BODIES}
    # msgspec imports it where it is installed; deploy/requirements.txt doesn't have it.
    expected.add("typing_extensions")
    roots = {module.split(".")[0] for module in at_listening if _is_public(module)}
    others = roots - expected - sys.stdlib_module_names
    assert {name for name in others if name.isidentifier()} <= {"cython_runtime"}


def test_listening_node_has_imported_few_standard_modules(at_listening) -> None:
    """Modules such as ``statistics`` or ``email`` would come in unnoticed."""
    with_libraries = _run(IMPORT_LIBRARIES)
    own = {
        module
        for module in at_listening - with_libraries
        if _is_public(module) and module.split(".")[0] in sys.stdlib_module_names
    }
    assert own <= OWN_STANDARD_MODULES


def test_listening_node_has_imported_no_parts_of_the_own_node(at_listening) -> None:
    """A node on the platform uses few parts of ``azurestep node``."""
    parts = {"audit", "config", "control", "lines", "node", "once", "operations"}
    assert not {f"azurestep.{part}" for part in parts} & at_listening


def test_request_path_is_imported_before_the_node_listens(at_listening) -> None:
    """A failing import would otherwise end requests, and a slow one delay them."""
    expected = {
        ".".join(path.relative_to(ROOT).with_suffix("").parts)
        for package in REQUEST_PATH
        for path in (PACKAGE / package).rglob("*.py")
        if path.name != "__init__.py"
    }
    assert expected <= at_listening


def test_functions_on_the_request_path_import_nothing() -> None:
    """An import in a function would run at the first request."""
    for package in (*REQUEST_PATH, "platform", "quarantine"):
        for path in (PACKAGE / package).rglob("*.py"):
            for function in ast.walk(ast.parse(path.read_text())):
                if isinstance(function, ast.FunctionDef | ast.AsyncFunctionDef):
                    imports = ast.Import | ast.ImportFrom
                    found = [
                        node for node in ast.walk(function) if isinstance(node, imports)
                    ]
                    assert not found, path


def test_garbage_is_not_collected_before_the_node_listens(at_listening) -> None:
    assert "gc=False" in at_listening


async def test_garbage_is_collected_once_a_node_listens(mesh: MeshFleet) -> None:
    """Collections that stay off would let a process grow without bound."""
    gc.disable()
    try:
        added = await mesh.add(9)
        await added.node.listening.wait()
        async with asyncio.timeout(10):
            while not gc.isenabled():
                await asyncio.sleep(0.01)
    finally:
        gc.enable()


def test_garbage_is_collected_after_a_failed_start(run_command: RunCommand) -> None:
    """Collections that stay off would let a process grow without bound."""
    result = run_command("sidecar", "missing.json")
    assert result.status is ExitStatus.INVALID
    assert gc.isenabled()


def _classes(modules: set[str]) -> Iterator[type]:
    for name in sorted(modules):
        if name.startswith("azurestep."):
            for item in vars(importlib.import_module(name)).values():
                own = isinstance(item, type) and item.__module__ == name
                if own and "__attrs_attrs__" in vars(item):
                    yield item


def _compiled_methods(item: type) -> set[str]:
    """Return the methods that attrs compiled for a class."""
    return {
        name
        for name, method in vars(item).items()
        if "attrs generated" in getattr(method, "__code__", _run.__code__).co_filename
    }


def test_classes_compile_only_what_they_need(at_listening) -> None:
    """A representation, comparison and hash cost a node 0.3 to 0.6 ms each class."""
    found = list(_classes(at_listening))
    assert len(found) > 150
    for item in found:
        name = f"{item.__module__}.{item.__qualname__}"
        allowed = {"__init__"}
        if name in COMPARED_OFTEN:
            allowed |= {"__eq__", "__ne__", "__hash__"}
        if name == "azurestep.endpoint_key.EndpointKey":
            allowed.add("__repr__")
        message = f"declare {name} with eq=False, repr=False (azurestep/values.py)"
        assert _compiled_methods(item) <= allowed, message


def test_values_that_are_hashed_are_frozen(at_listening) -> None:
    """The hash of a value that changes would lose it in a set or dictionary."""
    for item in _classes(at_listening):
        if issubclass(item, Value):
            assert item.__setattr__ is not object.__setattr__, item


@attrs.frozen(eq=False, repr=False)
class _Key(Value):
    name: str
    secret: str = attrs.field(default="s", repr=False)
    cached: int = attrs.field(default=0, eq=False)


@attrs.frozen(eq=False, repr=False)
class _OtherKey(Value):
    name: str
    secret: str = "s"
    cached: int = 0


def test_values_compare_as_compiled_methods_do() -> None:
    """Fields keep what they declare, such as a secret that no log line may show."""
    assert repr(_Key("a")) == "_Key(name='a', cached=0)"
    assert _Key("a", cached=1) == _Key("a")
    assert hash(_Key("a", cached=1)) == hash(_Key("a"))
    assert _Key("a") != _Key("b")
    assert _Key("a") != _OtherKey("a")
    assert _Key("a") != "a"


@pytest.mark.parametrize(
    "arguments",
    [
        ["sidecar"],
        ["sidecar", "settings.json"],
        ["sidecar", "--debug"],
        ["sidecar", "--debug", "settings.json"],
        ["sidecar", "settings.json", "--deb"],
    ],
)
def test_short_usage_means_the_same(arguments: list[str]) -> None:
    """The usage that a node is started with is a copy of a line of the whole usage."""
    assert SIDECAR_USAGE.removeprefix("Usage: ") in USAGE
    whole = docopt.docopt(USAGE, arguments, default_help=False)
    named = whole["SETTINGS"]
    expected = SidecarOptions(pathlib.Path(named) if named else None)
    assert parse_arguments(arguments, Environment()) == expected


@pytest.mark.parametrize(
    "arguments", [["sidecar", "a", "b"], ["sidecar", "--json"], ["sidecar", "--help"]]
)
def test_wrong_arguments_show_the_whole_usage(
    run_command: RunCommand, arguments: list[str]
) -> None:
    result = run_command(*arguments)
    assert result.status is ExitStatus.USAGE
    assert "azurestep publish FILE" in result.stderr
