"""Log lines of nodes, decoded into typed fields."""

import pathlib
from collections.abc import Iterable, Iterator
from datetime import datetime

import attrs
import msgspec

from ..errors import UsageError


@attrs.frozen(slots=True)
class LogLine:
    """One line of a node.

    Attributes
    ----------
    time : datetime
        When it was written.
    event, message : int, str
        What happened, by its number in the catalogue.
    node : str
        Who wrote it.
    id, route, service, instance : str
        The request and what else it concerns; empty where the event has no such thing.
    status : int
        Of the answer to the caller; 0 where there is none.
    reason : str
        Why a request was refused or failed.
    asked, runs : int
        Nodes that were asked, and backend servers that may have run the request.
    after_ms : int
        Time since the attempt came.
    left_ms : int or None
        Time left until the answer loses value, negative once it has; None where the
        line does not tell it.
    returned : bool
        Whether the caller had asked before.
    waited_ms, ran_ms : int
        Time beside the backend server, and at it.
    running, busy, slots : float
        Load of the backend server when its node refused.
    run_ms : int
        How long a run without an answer took.
    lines : int
        Lines that the node left out above its rate.
    cause, traceback, place : str
        What went wrong, and where in the program.
    team : str
        Team of the caller; empty for none.
    version : int or str
        Version of the configuration by which the request was handled, or of backend
        servers; 0 where the line tells none.
    key : str
        First digits of the digest of an unknown key; ``none`` or ``several`` if that
        many came.
    limit_per_s, grant_per_s, grant_age_ms : float or None
        Quota of the team, and what its owner last granted this node.
    """

    time: datetime
    event: int
    message: str
    node: str = ""
    id: str = ""
    route: str = ""
    service: str = ""
    instance: str = ""
    status: int = 0
    reason: str = ""
    asked: int = 0
    runs: int = 0
    after_ms: int = 0
    left_ms: int | None = None
    returned: bool = False
    waited_ms: int = 0
    ran_ms: int = 0
    running: float = 0
    busy: int = 0
    slots: int = 0
    run_ms: int = 0
    lines: int = 0
    cause: str = ""
    traceback: str = ""
    place: str = ""
    team: str = ""
    version: int | str = 0
    key: str = ""
    limit_per_s: float | None = None
    grant_per_s: float | None = None
    grant_age_ms: float | None = None

    @property
    def at_ms(self) -> float:
        """When it was written, in Unix milliseconds."""
        return self.time.timestamp() * 1000


_DECODER = msgspec.json.Decoder(LogLine)


@attrs.frozen(slots=True)
class LineFile:
    """The lines of some files, and the texts that could not be read."""

    lines: list[LogLine]
    damaged: list[bytes]

    @property
    def unreadable(self) -> int:
        """How many could not be read."""
        return len(self.damaged)


def read_files(paths: Iterable[pathlib.Path]) -> LineFile:
    """Return the lines of several files in the order of their times.

    Raises
    ------
    UsageError
        If a file can't be opened.
    """
    found: list[LogLine] = []
    damaged: list[bytes] = []
    for path in paths:
        for line in _texts(path):
            decoded = decode_line(line, path.stem)
            if isinstance(decoded, LogLine):
                found.append(decoded)
            elif decoded:
                damaged.append(line)
    found.sort(key=lambda line: line.time)
    return LineFile(found, damaged)


def _texts(path: pathlib.Path) -> Iterator[bytes]:
    try:
        with path.open("rb") as stream:
            yield from stream
    except OSError as error:
        raise UsageError(
            f"{path} can't be read: {error.strerror}", "Name files of log lines"
        ) from error


def decode_line(text: bytes, node: str) -> LogLine | bool:
    """Return a line; False for text that is none, True for one that is damaged.

    Parameters
    ----------
    text : bytes
        A JSON object, perhaps behind what a log collector put before it: the last
        word of that names the node.
    node : str
        The node, where nothing stands before the object.

    Examples
    --------
    >>> text = b'{"time":"2026-01-31T10:00:00.5Z","event":9402,"message":"refused"}'
    >>> decode_line(b"1.5 node-7 " + text, "file").node
    'node-7'
    >>> decode_line(b"no line", "file"), decode_line(b"{}", "file")
    (False, True)
    """
    start = text.find(b"{")
    if start < 0:
        return False
    words = text[:start].split()
    try:
        line = _DECODER.decode(text[start:])
    except (msgspec.DecodeError, RecursionError):
        return True
    name = words[-1].decode("utf-8", "replace") if words else node
    return attrs.evolve(line, node=name)
