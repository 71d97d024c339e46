"""Exit statuses of the command."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What the exit code of a command says."""

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    REFUSED = 4
    NOT_IN_FORCE = 5
    PLATFORM_UNAVAILABLE = 6
    NODE_UNREACHABLE = 7
    INTERRUPTED = 130
