"""Ring, rendezvous hash and broadcast tree, computed from the member list.

Nodes with the same members compute the same result, so no election is needed.
"""

from collections.abc import Iterable, Sequence
from functools import lru_cache

import xxhash


@lru_cache(maxsize=8192)
def ring_hash(name: str) -> int:
    """Return the position of an instance on the ring."""
    return xxhash.xxh3_64_intdigest(name.encode())


@lru_cache(maxsize=65536)
def weight(purpose: str, name: str) -> int:
    """Return the rendezvous weight of an instance for a purpose."""
    return xxhash.xxh3_64_intdigest(f"{purpose}/{name}".encode())


def ring_order(names: Iterable[str]) -> list[str]:
    """Return instances in ring order."""
    return sorted(names, key=lambda name: (ring_hash(name), name))


def rendezvous(purpose: str, names: Iterable[str], count: int) -> list[str]:
    """Return the instances with the highest weight for a purpose.

    Examples
    --------
    >>> rendezvous("reader", ["a", "b", "c"], 2) == rendezvous(
    ...     "reader", ["c", "b", "a"], 2
    ... )
    True
    """
    ranked = sorted(names, key=lambda name: (-weight(purpose, name), name))
    return ranked[:count]


def neighbours(order: Sequence[str], own: str) -> list[str]:
    """Return the successors of an instance at distances 1, 2, 4, ... on the ring.

    The degree grows with the logarithm of the member count, and so does the
    number of hops between any two members.

    Examples
    --------
    >>> neighbours(["a", "b", "c", "d", "e"], "d")
    ['e', 'a', 'c']
    """
    if own not in order:
        return list(order[:1])
    start = order.index(own)
    found: list[str] = []
    distance = 1
    while distance < len(order):
        found.append(order[(start + distance) % len(order)])
        distance *= 2
    return found


def children(order: Sequence[str], root: str, own: str, fan_out: int) -> list[str]:
    """Return the children of an instance in the broadcast tree of ``root``.

    Parameters
    ----------
    order : sequence of str
        Members in ring order.
    root, own : str
        Members; one that is not in ``order`` has no children.
    fan_out : int
        Children of each node.

    Examples
    --------
    >>> children(["a", "b", "c", "d", "e"], "c", "c", 2)
    ['d', 'e']
    >>> children(["a", "b", "c", "d", "e"], "c", "d", 2)
    ['a', 'b']
    """
    if root not in order or own not in order or fan_out < 1:
        return []
    size = len(order)
    start = order.index(root)
    index = (order.index(own) - start) % size
    first = index * fan_out + 1
    last = min(first + fan_out, size)
    return [order[(start + position) % size] for position in range(first, last)]


def parent(order: Sequence[str], root: str, own: str, fan_out: int) -> str | None:
    """Return the parent of an instance in the broadcast tree; None for the root.

    Examples
    --------
    >>> parent(["a", "b", "c", "d", "e"], "c", "a", 2)
    'd'
    """
    if root not in order or own not in order or own == root or fan_out < 1:
        return None
    size = len(order)
    start = order.index(root)
    index = (order.index(own) - start) % size
    return order[(start + (index - 1) // fan_out) % size]
