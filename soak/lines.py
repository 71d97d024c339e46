"""What the nodes' own lines tell of faults of the program."""

import pathlib

from azurestep.lines.faults import ProgramFault, find_faults
from azurestep.lines.reader import read_files

TRACEBACK = b"Traceback "


def read_faults(directory: pathlib.Path) -> list[ProgramFault]:
    """Return the faults that the lines of all nodes of a run tell of."""
    return find_faults(read_files(_logs(directory)).lines).faults


def read_crashes(directory: pathlib.Path) -> list[str]:
    """Return the nodes whose process an error ended, which no numbered line tells."""
    return [
        path.stem
        for path in _logs(directory)
        if any(line.startswith(TRACEBACK) for line in path.read_bytes().splitlines())
    ]


def _logs(directory: pathlib.Path) -> list[pathlib.Path]:
    return sorted(directory.glob("*.log"))
