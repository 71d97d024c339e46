"""Which tests may fail: the lines of KNOWN-RED.txt.

Each line is ``test; cause; issue``, with the test as pytest names it. Empty lines
and lines that begin with ``#`` are left out.
"""

import pathlib

import attrs

PATH = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
MAXIMUM_TESTS = 3
UNCOUNTED = "tests/test_clients_beyond_limits.py::"
"""Begin of the names of tests that don't count against the maximum."""
PARTS = 3


@attrs.frozen
class KnownRed:
    """A test that may fail, for a real fault that is not mended yet."""

    test: str
    cause: str
    issue: str


def parse_known_red(text: str) -> list[KnownRed]:
    """Return the listed tests.

    Raises
    ------
    ValueError
        If a line is malformed, a test stands twice or there are too many.

    Examples
    --------
    >>> parse_known_red("tests/test_a.py::test_b; the fold halts; 12")[0].issue
    '12'
    """
    found = [_parse_line(line) for line in text.splitlines() if _is_entry(line)]
    counted = sum(1 for known in found if not known.test.startswith(UNCOUNTED))
    if counted > MAXIMUM_TESTS:
        raise ValueError(
            f"KNOWN-RED.txt lists {counted} tests; mend some, "
            f"{MAXIMUM_TESTS} at most may stand there"
        )
    if len({known.test for known in found}) < len(found):
        raise ValueError("KNOWN-RED.txt lists a test twice; remove one line")
    return found


def _is_entry(line: str) -> bool:
    return bool(line.strip()) and not line.lstrip().startswith("#")


def _parse_line(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(";")]
    if len(parts) != PARTS or not all(parts):
        raise ValueError(f"KNOWN-RED.txt: write {line!r} as test; cause; issue")
    return KnownRed(*parts)


def read_known_red(path: pathlib.Path = PATH) -> list[KnownRed]:
    """Return the listed tests; none if there is no file."""
    return parse_known_red(path.read_text()) if path.exists() else []
