"""``azurestep sidecar``: run a node on the users' platform."""

import gc
import pathlib

from ...environment import Environment
from ...errors import UsageError
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
    # Imports allocate much and free little, so collections would only cost time until
    # the node listens and enables them.
    gc.disable()
    try:
        from ...mesh.node import serve

        serve(path)
    finally:
        gc.enable()
    return ExitStatus.OK
