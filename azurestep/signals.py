"""Signals of a long-running command, from the first line of the program to its end.

Handlers of an event loop stand only while it runs, and the default action of a signal
that comes before or after would end the process. The handlers here are installed before
the imports and stay; they count the signals, and tell the event loop once it runs.
"""

import signal
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
HANDLED = {"sidecar": (*STOP_SIGNALS, RELOAD_SIGNAL), "node": STOP_SIGNALS}
"""Signals that each long-running command handles."""


# Not an attrs class, as importing attrs takes longer than the start of the interpreter.
class ReceivedSignals:
    """Counts the signals of the process and passes them on.

    Attributes
    ----------
    counts : dict
        How often each signal was received; signals that the kernel merged count once.
    """

    def __init__(self) -> None:
        self.counts = dict.fromkeys((*STOP_SIGNALS, RELOAD_SIGNAL), 0)
        self._notify: Callable[[int], object] | None = None

    @property
    def stop_requested(self) -> bool:
        """Whether a signal has asked the process to stop."""
        return any(self.counts[number] for number in STOP_SIGNALS)

    @property
    def reload_requested(self) -> bool:
        """Whether a signal has asked the process to read its settings again."""
        return self.counts[RELOAD_SIGNAL] > 0

    def take_over(self, numbers: tuple[signal.Signals, ...]) -> None:
        """Handle signals, also those that a parent process has blocked."""
        for number in numbers:
            signal.signal(number, self.record)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)

    def pass_to(self, notify: Callable[[int], object] | None) -> None:
        """Call a function with the number of each signal from now on.

        It is called between any two instructions of the main thread, so it may do no
        more than schedule a callback.
        """
        self._notify = notify

    def fields(self) -> dict[str, int]:
        """Return the counts as fields of a log line."""
        return {f"received_{one.name.lower()}": n for one, n in self.counts.items()}

    def record(self, number: int, frame: object = None) -> None:
        """Count a signal; a handler for ``signal.signal``."""
        self.counts[signal.Signals(number)] += 1
        if self._notify is not None:
            self._notify(number)


RECEIVED = ReceivedSignals()


def take_over(command: str) -> None:
    """Handle the signals of a command, if it is a long-running one."""
    RECEIVED.take_over(HANDLED.get(command, ()))


def ignore(command: str) -> None:
    """Ignore the signals of a command until the process has ended.

    The interpreter's finalization puts the default actions back, except for signals
    that are ignored.
    """
    for number in HANDLED.get(command, ()):
        signal.signal(number, signal.SIG_IGN)
