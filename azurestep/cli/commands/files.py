"""Reading the files that a command names."""

import pathlib

from returns.result import Failure, Result, Success

from ...config.validate import MAX_DOCUMENT_BYTES
from ...faults import Fault


def read_file(path: pathlib.Path) -> Result[bytes, Fault]:
    """Return the bytes of a file, one more than the maximum at most.

    The bound keeps a hostile or endless file from filling the memory; the check
    of its size refuses it afterwards.
    """
    try:
        with path.open("rb") as stream:
            return Success(stream.read(MAX_DOCUMENT_BYTES + 1))
    except OSError as error:
        return Failure(
            Fault("$", f"can't be read: {error.strerror}", "name a readable file")
        )
