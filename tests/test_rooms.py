"""Which room of the node may import which other one."""

import ast
import graphlib
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parents[1] / "azurestep"
ROOMS = {
    "http": {"routing"},
    "routing": set(),
    "platform": {"http", "routing"},
    "mesh.decisions": {"mesh"},
    "mesh.backend": {"http", "routing", "platform", "mesh", "mesh.decisions"},
    "mesh.links": {"http", "platform", "mesh", "mesh.decisions", "mesh.backend"},
    "mesh.knowledge": {"platform", "routing", "mesh", "mesh.links"},
    "mesh.callers": {
        "http",
        "routing",
        "platform",
        "mesh",
        "mesh.decisions",
        "mesh.backend",
        "mesh.links",
    },
}
"""Each room and the rooms below it; what stands in ``mesh`` itself is shared by all."""
WITHOUT_SOCKETS = {"asyncio", "socket", "uvloop", "time", "httptools", "os"}
"""What a decision has no business with: time and chance come in as arguments."""


def imports_of(path: pathlib.Path) -> set[str]:
    """Return what a module imports; own modules by their name below the package."""
    here = ["azurestep", *path.relative_to(PACKAGE).with_suffix("").parts]
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.level:
            base = here[: -node.level] + (node.module or "").split(".")
            whole = ".".join(part for part in base if part)
            found |= {whole, *(f"{whole}.{alias.name}" for alias in node.names)}
        elif isinstance(node, ast.ImportFrom):
            found.add(node.module or "")
    return found


def modules(room: str) -> list[pathlib.Path]:
    return sorted((PACKAGE / room.replace(".", "/")).glob("*.py"))


def room_of(module: str) -> str | None:
    names = [
        room for room in [*ROOMS, "mesh"] if module.startswith(f"azurestep.{room}.")
    ]
    return max(names, key=len, default=None)


@pytest.mark.parametrize("room", ROOMS)
def test_a_room_imports_only_rooms_below_it(room: str) -> None:
    for path in modules(room):
        used = {room_of(module) for module in imports_of(path)} - {None, room}
        assert used <= ROOMS[room], path


def test_no_two_modules_import_one_another() -> None:
    paths = [path for room in [*ROOMS, "mesh"] for path in modules(room)]
    names = {
        "azurestep." + ".".join(path.relative_to(PACKAGE).with_suffix("").parts): path
        for path in paths
        if path.name != "__init__.py"
    }
    graph = {name: imports_of(path) & names.keys() for name, path in names.items()}
    assert list(graphlib.TopologicalSorter(graph).static_order())


def test_decisions_know_no_sockets_and_no_clock() -> None:
    for path in modules("mesh.decisions"):
        assert not imports_of(path) & WITHOUT_SOCKETS, path
