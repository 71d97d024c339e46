"""Parsing of the command line into typed options."""

import pathlib
from typing import Any

import docopt

from .. import __version__
from ..environment import Environment
from ..status import ExitStatus
from .definition import USAGE
from .options import NodeOptions, Options


def parse_arguments(
    arguments: list[str], environment: Environment
) -> Options | ExitStatus:
    """Return the options, or the exit status if there is nothing to run."""
    try:
        parsed: dict[str, Any] = docopt.docopt(
            USAGE, arguments, default_help=False, version=None
        )
    except docopt.DocoptExit as error:
        print(error.usage, file=environment.stderr)
        return ExitStatus.USAGE
    if parsed["--help"]:
        print(USAGE, file=environment.stdout)
        return ExitStatus.OK
    if parsed["--version"]:
        print(__version__, file=environment.stdout)
        return ExitStatus.OK
    return NodeOptions(pathlib.Path(parsed["SETTINGS"]))
