import pathlib
import subprocess
import sys

import pytest

from tools.known_red import parse_known_red

ROOT = pathlib.Path(__file__).parents[1]
LINE = "tests/test_a.py::test_{0}; cause {0}; {0}\n"
TESTS = "def test_fails():\n    assert False\n\n\ndef test_passes():\n    pass\n"
CONFTEST = """
import tools.known_red as known_red
import pathlib

known_red.PATH = pathlib.Path(__file__).with_name("KNOWN-RED.txt")
known_red.read_known_red.__defaults__ = (known_red.PATH,)
pytest_plugins = ["tests.plugin_known_red"]
"""


def run_pytest(
    path: pathlib.Path, listed: str, *options: str
) -> subprocess.CompletedProcess[str]:
    (path / "pytest.ini").write_text("[pytest]\ntestpaths = .\n")
    (path / "conftest.py").write_text(CONFTEST)
    (path / "test_sample.py").write_text(TESTS)
    (path / "KNOWN-RED.txt").write_text(listed)
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *options],
        cwd=path,
        env={"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=100,
        check=False,
    )


def test_listed_failure_is_passed_over_and_printed(tmp_path: pathlib.Path) -> None:
    result = run_pytest(tmp_path, "test_sample.py::test_fails; a real fault; 9\n")
    assert result.returncode == 0, result.stdout
    assert "KNOWN RED: test_sample.py::test_fails: a real fault" in result.stdout


def test_failure_that_is_not_listed_fails(tmp_path: pathlib.Path) -> None:
    assert run_pytest(tmp_path, "").returncode == 1


def test_listed_test_that_passes_fails(tmp_path: pathlib.Path) -> None:
    listed = "test_sample.py::test_fails; x; 1\ntest_sample.py::test_passes; y; 2\n"
    result = run_pytest(tmp_path, listed)
    assert result.returncode == 1
    assert "XPASS(strict)" in result.stdout


@pytest.mark.parametrize("options", [(), ("-n", "2")])
def test_line_that_names_no_test_fails(
    tmp_path: pathlib.Path, options: tuple[str, ...]
) -> None:
    listed = "test_sample.py::test_fails; x; 1\ntest_sample.py::test_gone; a fault; 2\n"
    result = run_pytest(tmp_path, listed, *options)
    assert result.returncode == 1, result.stdout
    assert "names no test: test_sample.py::test_gone" in result.stdout


def test_fourth_entry_is_refused(tmp_path: pathlib.Path) -> None:
    result = run_pytest(tmp_path, "".join(LINE.format(n) for n in range(4)))
    assert result.returncode != 0
    assert "3 at most" in result.stderr


def test_cases_of_clients_beyond_limits_do_not_count_against_the_maximum() -> None:
    """Guards against an exemption that covers other tests too."""
    case = "tests/test_clients_beyond_limits.py::test_a[kind-{0}]; cause; 61\n"
    exempt = "".join(case.format(n) for n in range(9))
    counted = "".join(LINE.format(n) for n in range(3))
    assert len(parse_known_red(exempt + counted)) == 12
    for other in (LINE.format(3), case.replace("limits.py", "limits_too.py")):
        with pytest.raises(ValueError, match="lists 4 tests"):
            parse_known_red(exempt + counted + other)


@pytest.mark.parametrize("text", ["a; b\n", "a\n", "a;;c\n", LINE.format(1) * 2])
def test_malformed_list_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        parse_known_red(text)


def test_comments_are_no_entries() -> None:
    assert parse_known_red("# one\n\n") == []
