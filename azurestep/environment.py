"""What a command or a service needs from the outside, passed in explicitly."""

import os
import sys
import time
from collections.abc import Mapping
from random import Random
from typing import Protocol, TextIO

import attrs


class Clock(Protocol):
    """Source of time."""

    def now_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the epoch."""
        ...

    def monotonic_ms(self) -> float:
        """Return a time in milliseconds that never goes back."""
        ...


class SystemClock:
    """The clock of the instance."""

    def now_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    def monotonic_ms(self) -> float:
        """Return a time in milliseconds that never goes back."""
        return time.monotonic() * 1000


@attrs.define(eq=False, repr=False)
class Environment:
    """Streams, clock and randomness of one run of the program.

    Attributes
    ----------
    stdin, stdout, stderr : TextIO
        Streams of the command.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter and of random choices.
    variables : Mapping of str to str
        Environment variables.
    debug : bool
        Whether errors show a traceback.
    """

    stdin: TextIO = attrs.field(factory=lambda: sys.stdin)
    stdout: TextIO = attrs.field(factory=lambda: sys.stdout)
    stderr: TextIO = attrs.field(factory=lambda: sys.stderr)
    clock: Clock = attrs.field(factory=SystemClock)
    random: Random = attrs.field(factory=Random)
    variables: Mapping[str, str] = attrs.field(factory=lambda: dict(os.environ))
    debug: bool = False

    @property
    def is_terminal(self) -> bool:
        """Whether the output is read by a person."""
        return self.stdout.isatty()
