"""Playing of a case: its record, its exit status, and whether it has its disruption."""

import asyncio
import os
import pathlib
import sys
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from standins import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(
    folder: pathlib.Path, scenario: Callable[[Record], Coroutine[Any, Any, int]]
) -> None:
    """Play a case, and exit with its status; 2 if it couldn't run."""
    record = Record(folder / "record.txt")
    try:
        status = asyncio.run(scenario(record))
    except Exception:
        traceback.print_exc()
        record.write("the case couldn't run")
        status = NOT_RUN
    finally:
        record.close()
    sys.exit(status)
