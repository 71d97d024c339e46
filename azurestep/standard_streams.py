"""Standard streams of a process that may be closed."""

import os


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
