"""Standard streams of a process that may be closed or broken."""

import contextlib
import os
from typing import TextIO


def occupy_standard_descriptors() -> None:
    """Open the null device in place of closed standard descriptors.

    Otherwise a socket or file would get such a number, and what is printed.
    """
    for descriptor in (0, 1, 2):
        try:
            os.fstat(descriptor)
        except OSError:
            opened = os.open(os.devnull, os.O_RDWR)
            if opened != descriptor:
                os.dup2(opened, descriptor)
                os.close(opened)


def write_if_possible(text: str, stream: TextIO | None) -> None:
    """Write a text to a stream that may be missing, closed or broken."""
    if stream is None:
        return
    try:
        stream.write(text)
        stream.flush()
    except (OSError, ValueError):
        _discard(stream)


def _discard(stream: TextIO) -> None:
    """Discard what a stream holds, whose flush at the exit would fail."""
    with contextlib.suppress(OSError, ValueError):
        null = os.open(os.devnull, os.O_WRONLY)
        os.dup2(null, stream.fileno())
        os.close(null)
        stream.flush()
