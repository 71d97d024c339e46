"""``azurestep sidecar``: run a node on the users' platform."""

import pathlib

from ...environment import Environment
from ...errors import UsageError
from ...mesh.listeners import open_listeners
from ...mesh.settings import read_settings
from ...platform.boot import SETTINGS_VARIABLE
from ...status import ExitStatus
from ..options import SidecarOptions


def run_sidecar_command(
    options: SidecarOptions, environment: Environment
) -> ExitStatus:
    """Run a node until it is asked to stop."""
    path = options.settings
    if path is None:
        named = environment.variables.get(SETTINGS_VARIABLE)
        if not named:
            raise UsageError(
                "no settings file is named",
                f"Give SETTINGS or set {SETTINGS_VARIABLE}",
            )
        path = pathlib.Path(named)
    settings = read_settings(path)
    listeners = open_listeners(settings)
    # Imported late, since it takes most of the start.
    from ...mesh.node import serve

    serve(settings, path, listeners)
    return ExitStatus.OK
