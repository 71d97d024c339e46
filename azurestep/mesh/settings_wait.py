"""Reading the settings at the start, when the file may still be being written."""

import pathlib
import time

from .. import signals
from ..errors import SettingsError
from . import events
from .settings import MeshSettings, read_settings

SETTINGS_WAIT_S = 4.0
"""Longest time from the start until the settings file is valid."""
READ_INTERVAL_S = 0.05


def await_settings(path: pathlib.Path) -> MeshSettings:
    """Return the settings, waiting a bounded time for a file that isn't valid yet.

    A signal to stop ends the wait.

    Raises
    ------
    SettingsError
        If the file is still missing or invalid after ``SETTINGS_WAIT_S``.
    """
    deadline_s = time.monotonic() + SETTINGS_WAIT_S
    logged = False
    while True:
        try:
            return read_settings(path)
        except SettingsError as error:
            if time.monotonic() >= deadline_s or signals.RECEIVED.stop_requested:
                raise
            if not logged:
                _log_wait(path, error)
                logged = True
        time.sleep(READ_INTERVAL_S)


def _log_wait(path: pathlib.Path, error: SettingsError) -> None:
    events.log(
        events.SETTINGS_AWAITED,
        path=str(path),
        cause=error.problem,
        wait_s=SETTINGS_WAIT_S,
    )
    events.WRITER.flush()
