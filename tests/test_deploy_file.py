"""The platform's build of a node, without its download of libraries."""

import pathlib
import shutil
import subprocess
import sys
import sysconfig
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[1]
UNCHECKED_HASH = b"\x01\x00\x00\x00"
"""Flags of a compiled module that is used without a look at its source (PEP 552)."""


@pytest.fixture(scope="module")
def build() -> str:
    """Return the build command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    command: str = deploy["build"]
    return command


@pytest.fixture
def checkout(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return a copy of the package and of the file that names its libraries."""
    skipped = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "azurestep", tmp_path / "azurestep", ignore=skipped)
    (tmp_path / "deploy").mkdir()
    shutil.copy(ROOT / "deploy" / "requirements.txt", tmp_path / "deploy")
    return tmp_path


def run_build(
    build: str, checkout: pathlib.Path, platform: str = "", pip_status: int = 0
) -> list[str]:
    """Run the build; return the calls of pip, which installs only an empty file.

    Parameters
    ----------
    build, checkout : str, pathlib.Path
        The command and its working directory.
    platform : str
        What another Python or machine tells of itself; the own ones by default.
    pip_status : int
        Exit status of pip.
    """
    calls = checkout / "pip-calls"
    calls.touch()
    functions = (
        f'python3() {{ if [ "$2" = pip ]; then mkdir -p target/deps; '
        f'touch "target/deps/library-{platform}"; echo "$*" >> pip-calls; '
        f"return {pip_status}; "
        f'elif [ "$1" = -c ] && [ -n "{platform}" ]; then echo "{platform}"; '
        f'else {sys.executable} "$@"; fi; }}\n'
    )
    result = subprocess.run(
        ["sh", "-c", functions + build], cwd=checkout, check=False, timeout=60
    )
    assert (result.returncode == 0) == (pip_status == 0)
    return calls.read_text().splitlines()


def test_nodes_start_from_compiled_modules(build: str, checkout: pathlib.Path) -> None:
    """Compiling its modules took a third of the processor time of each start."""
    run_build(build, checkout)
    built = checkout / "target" / "deps" / "azurestep"
    tag = f".{sys.implementation.cache_tag}.pyc"
    for source in built.rglob("*.py"):
        compiled = source.parent / "__pycache__" / (source.stem + tag)
        assert compiled.read_bytes()[4:8] == UNCHECKED_HASH, source


def test_a_build_takes_changed_sources_and_libraries(
    build: str, checkout: pathlib.Path
) -> None:
    """Guards against a node that runs what a former build left in target."""
    run_build(build, checkout)
    (checkout / "azurestep" / "__init__.py").write_text("CHANGED = True\n")
    assert len(run_build(build, checkout)) == 1
    built = checkout / "target" / "deps" / "azurestep"
    assert (built / "__init__.py").read_text() == "CHANGED = True\n"
    with (checkout / "deploy" / "requirements.txt").open("a") as stream:
        stream.write("# another library\n")
    assert len(run_build(build, checkout)) == 2


@pytest.mark.parametrize("platform", ["3.12 linux-aarch64", "3.11 linux-x86_64"])
def test_libraries_of_another_python_or_machine_are_kept(
    build: str, checkout: pathlib.Path, platform: str
) -> None:
    """Compiled libraries that the machine can't import end each start."""
    run_build(build, checkout, "3.11 linux-aarch64")
    assert len(run_build(build, checkout, platform)) == 2
    libraries = (checkout / "target" / "deps").glob("library-*")
    assert [path.name for path in libraries] == [f"library-{platform}"]
    assert len(run_build(build, checkout, platform)) == 2


def test_the_own_python_and_machine_are_named(
    build: str, checkout: pathlib.Path
) -> None:
    run_build(build, checkout)
    stamp = (checkout / "target" / "installed.txt").read_text()
    for value in ("SOABI", "VERSION"):
        assert str(sysconfig.get_config_var(value)) in stamp
    assert sysconfig.get_platform() in stamp


def test_an_interrupted_installation_counts_as_complete(
    build: str, checkout: pathlib.Path
) -> None:
    """The next build would take half of the libraries for all of them."""
    run_build(build, checkout)
    with (checkout / "deploy" / "requirements.txt").open("a") as stream:
        stream.write("# another library\n")
    run_build(build, checkout, pip_status=1)
    requirements = checkout / "deploy" / "requirements.txt"
    shutil.copy(ROOT / "deploy" / "requirements.txt", requirements)
    assert len(run_build(build, checkout)) == 3
    assert len(run_build(build, checkout)) == 3


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
