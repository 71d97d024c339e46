"""How many connections callers may have, by the descriptors of the process.

Load pattern: idle connections up to the limit of descriptors, which left none for
peers, backend servers and the store.
"""

import math
import resource
from collections.abc import Iterable
from typing import Protocol, TypeVar

MAX_RESERVED_DESCRIPTORS = 4096
"""Descriptors for peers, backend servers, the store, listeners and files: three for
each of 1,100 peers, and some for runs."""


class IdleConnection(Protocol):
    """A connection without a request that waits for an answer."""

    @property
    def busy(self) -> bool:
        """Whether an answer is pending or the write buffer has unsent bytes."""


C = TypeVar("C", bound=IdleConnection)


def count_descriptors(stated: int = 0) -> int:
    """Return how many descriptors the process may open; ``stated``: 0 if unknown."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    found = math.inf if limit == resource.RLIM_INFINITY else limit
    return int(min(found, stated or math.inf, 2**31))


def limit_connections(descriptors: int) -> int:
    """Return how many connections callers may have at once.

    Examples
    --------
    >>> [limit_connections(descriptors) for descriptors in (200, 1024, 20_000)]
    [100, 512, 15904]
    """
    return max(1, descriptors - min(descriptors // 2, MAX_RESERVED_DESCRIPTORS))


def choose_to_close(waiting: Iterable[C], new: C) -> C:
    """Return the connection that gives way to a new one.

    Parameters
    ----------
    waiting : iterable of IdleConnection
        Connections without a pending request, the longest idle one first.
    new : IdleConnection
        The new connection, which is closed if no other can be.
    """
    return next((one for one in waiting if one is not new and not one.busy), new)
