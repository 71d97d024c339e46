"""Which nodes pass a new configuration on to which others.

Answers storms of large documents over narrow links: the bytes that one node sends for a
version don't grow with the fleet, and no other node fails to hear of it if one is dead.
"""

from collections.abc import Iterable, Mapping, Sequence

from ..settings import Address

FAN_OUT = 3
"""Children of a node in one tree."""
GATEWAYS = 2
"""Nodes of each other data centre that hear of a version."""


def choose_receivers(
    members: Iterable[Address], root: Address, own: Address
) -> list[Address]:
    """Return the nodes of the data centre to which this node passes a version on.

    They are its children in two trees over all members, both from the node that had
    the version first. The second tree has the others in reverse order, so that no node
    passes versions on in both, and the loss of one cuts off no other.

    Parameters
    ----------
    members : iterable
        All nodes of the data centre that this node knows.
    root : Address
        The node that had the version first.
    own : Address
        This node.

    Returns
    -------
    list
        Up to ``FAN_OUT`` nodes, at the root twice as many.

    Examples
    --------
    >>> members = [("node", number) for number in range(8)]
    >>> [port for _, port in choose_receivers(members, members[0], members[0])]
    [1, 2, 3, 7, 6, 5]
    >>> [port for _, port in choose_receivers(members, members[0], members[1])]
    [4, 5, 6]
    >>> [port for _, port in choose_receivers(members, members[0], members[4])]
    []
    """
    ring = sorted({*members, root, own})
    start = ring.index(root)
    others = ring[start + 1 :] + ring[:start]
    if own == root:
        children = others[:FAN_OUT] + others[-FAN_OUT:][::-1]
        return list(dict.fromkeys(children))
    return _children(others, own) + _children(others[::-1], own)


def _children(others: Sequence[Address], own: Address) -> list[Address]:
    """Return the children of a node in the tree over all nodes but the root."""
    first = (others.index(own) + 1) * FAN_OUT
    return list(others[first : first + FAN_OUT])


def choose_gateways(
    members_by_data_centre: Mapping[str, Iterable[Address]],
) -> list[Address]:
    """Return the nodes of other data centres that hear of a version.

    Examples
    --------
    >>> choose_gateways({"b": [("b", 3), ("b", 1), ("b", 2)], "c": [("c", 1)]})
    [('b', 1), ('b', 2), ('c', 1)]
    """
    return [
        member
        for _, members in sorted(members_by_data_centre.items())
        for member in sorted(members)[:GATEWAYS]
    ]
