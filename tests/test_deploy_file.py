"""The platform's build of a node, without its download of libraries."""

import pathlib
import subprocess
import sys
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[1]


@pytest.fixture(scope="module")
def build() -> str:
    """Return the build command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    command: str = deploy["build"]
    return command


def test_nodes_start_from_compiled_modules(build: str, tmp_path: pathlib.Path) -> None:
    """Compiling its modules took a third of the processor time of each start."""
    (tmp_path / "azurestep").symlink_to(ROOT / "azurestep")
    (tmp_path / "target" / "deps").mkdir(parents=True)
    _, _, local_part = build.partition("&&")
    python = f'python3() {{ {sys.executable} "$@"; }}\n'
    subprocess.run(["sh", "-c", python + local_part], cwd=tmp_path, check=True)
    sources = {path.stem for path in (ROOT / "azurestep").rglob("*.py")}
    built = tmp_path / "target" / "deps" / "azurestep"
    compiled = {path.name.partition(".")[0] for path in built.rglob("*.pyc")}
    assert compiled == sources


def test_a_node_imports_the_built_copy(tmp_path: pathlib.Path) -> None:
    """From the working directory it would import sources that are not compiled."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    options = deploy["roles"]["node"]["run"].split()[1:3]
    built = tmp_path / "azurestep"
    built.mkdir()
    (built / "__init__.py").write_text("")
    (built / "__main__.py").write_text("print(__file__)\n")
    found = subprocess.run(
        [sys.executable, *options, "-m", "azurestep"],
        cwd=ROOT,
        env={"PYTHONPATH": str(tmp_path)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout.strip() == str(built / "__main__.py")
