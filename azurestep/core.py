"""The command: a thin shell that turns errors into exit statuses."""

import sys
import traceback

import orjson

from .cli.parse import parse_arguments
from .cli.registry import command_for
from .environment import Environment
from .errors import (
    AzurestepError,
    ConfigurationError,
    LogRestoredError,
    NodeUnreachableError,
    OutcomeUnknownError,
    PlatformRefusedError,
    PlatformUnavailableError,
    PortInUseError,
    PublicationRefusedError,
    SettingsError,
    UsageError,
)
from .standard_streams import occupy_standard_descriptors, write_if_possible
from .status import ExitStatus

STATUSES: dict[type[AzurestepError], ExitStatus] = {
    UsageError: ExitStatus.USAGE,
    SettingsError: ExitStatus.INVALID,
    ConfigurationError: ExitStatus.INVALID,
    PublicationRefusedError: ExitStatus.REFUSED,
    PlatformRefusedError: ExitStatus.REFUSED,
    LogRestoredError: ExitStatus.REFUSED,
    PlatformUnavailableError: ExitStatus.PLATFORM_UNAVAILABLE,
    NodeUnreachableError: ExitStatus.NODE_UNREACHABLE,
    OutcomeUnknownError: ExitStatus.OUTCOME_UNKNOWN,
    PortInUseError: ExitStatus.PORT_IN_USE,
}


def main(
    arguments: list[str] | None = None, environment: Environment | None = None
) -> ExitStatus:
    """Run the command and return its exit status.

    Parameters
    ----------
    arguments : list of str, optional
        Arguments after the program's name; the process's own by default.
    environment : Environment, optional
        Streams, clock and randomness; the process's own by default.
    """
    occupy_standard_descriptors()
    environment = environment or Environment()
    words = sys.argv[1:] if arguments is None else arguments
    environment.debug = "--debug" in words
    try:
        return program(words, environment)
    except AzurestepError as error:
        _report(error, environment, as_json="--json" in words)
        return STATUSES.get(type(error), ExitStatus.ERROR)
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    except BrokenPipeError:
        return ExitStatus.ERROR


def program(arguments: list[str], environment: Environment) -> ExitStatus:
    """Parse the arguments and run the command that they name."""
    options = parse_arguments(arguments, environment)
    if isinstance(options, ExitStatus):
        return options
    return command_for(options)(options, environment)


def _report(error: AzurestepError, environment: Environment, as_json: bool) -> None:
    if environment.debug:
        write_if_possible(traceback.format_exc(), environment.stderr)
    if as_json:
        plain = {
            "error": type(error).__name__,
            "problem": error.problem,
            "remedy": error.remedy,
        }
        write_if_possible(f"{orjson.dumps(plain).decode()}\n", environment.stderr)
        return
    write_if_possible(f"azurestep: {error}\n", environment.stderr)
