"""Layers of the node's packages and the imports allowed between them."""

import ast
import graphlib
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parents[1] / "azurestep"
LAYERS = {
    "http": {"routing"},
    "routing": set(),
    "platform": {"http", "routing"},
    "mesh.decisions": {"mesh"},
    "mesh.backend": {"http", "routing", "platform", "mesh", "mesh.decisions"},
    "mesh.links": {"http", "platform", "mesh", "mesh.decisions", "mesh.backend"},
    "mesh.knowledge": {"platform", "routing", "mesh", "mesh.decisions", "mesh.links"},
    "mesh.rollouts": {
        "platform",
        "mesh",
        "mesh.decisions",
        "mesh.backend",
        "mesh.links",
        "mesh.knowledge",
    },
    "mesh.quotas": {"mesh", "mesh.decisions", "mesh.links"},
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
"""Allowed imports of each package."""
FORBIDDEN_IN_DECISIONS = {"asyncio", "socket", "uvloop", "time", "httptools", "os"}
"""Modules that ``mesh.decisions`` must not import, since its functions are pure."""


def imports_of(path: pathlib.Path) -> set[str]:
    """Return the full names of all modules that a module imports."""
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


def modules(layer: str) -> list[pathlib.Path]:
    return sorted((PACKAGE / layer.replace(".", "/")).glob("*.py"))


def layer_of(module: str) -> str | None:
    names = [
        layer for layer in [*LAYERS, "mesh"] if module.startswith(f"azurestep.{layer}.")
    ]
    return max(names, key=len, default=None)


@pytest.mark.parametrize("layer", LAYERS)
def test_layer_imports_only_lower_layers(layer: str) -> None:
    for path in modules(layer):
        used = {layer_of(module) for module in imports_of(path)} - {None, layer}
        assert used <= LAYERS[layer], path


def test_modules_have_no_import_cycles() -> None:
    paths = [path for layer in [*LAYERS, "mesh"] for path in modules(layer)]
    names = {
        "azurestep." + ".".join(path.relative_to(PACKAGE).with_suffix("").parts): path
        for path in paths
        if path.name != "__init__.py"
    }
    graph = {name: imports_of(path) & names.keys() for name, path in names.items()}
    assert list(graphlib.TopologicalSorter(graph).static_order())


def test_decisions_do_no_io_and_read_no_clock() -> None:
    for path in modules("mesh.decisions"):
        assert not imports_of(path) & FORBIDDEN_IN_DECISIONS, path
