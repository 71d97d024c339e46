"""Exit statuses of the command."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What the exit code of a command says.

    Attributes
    ----------
    OK : int
        Done as asked.
    ERROR : int
        An error that has no status of its own.
    USAGE : int
        The command line can't be understood; nothing was done.
    INVALID : int
        A file has faults; nothing was published or started.
    REFUSED : int
        The fold or the platform refused the publication; nothing changed.
    NOT_IN_FORCE : int
        Accepted, but not in force everywhere before the timeout.
    PLATFORM_UNAVAILABLE : int
        The platform's log gave no answer; nothing was published.
    NODE_UNREACHABLE : int
        The node gave no answer; nothing was published.
    OUTCOME_UNKNOWN : int
        The publication may be on the log; ask before publishing again.
    PORT_IN_USE : int
        A listening address of the node is taken; the node did not start.
    INTERRUPTED : int
        Ended by the keyboard.
    """

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    REFUSED = 4
    NOT_IN_FORCE = 5
    PLATFORM_UNAVAILABLE = 6
    NODE_UNREACHABLE = 7
    OUTCOME_UNKNOWN = 8
    PORT_IN_USE = 9
    INTERRUPTED = 130
