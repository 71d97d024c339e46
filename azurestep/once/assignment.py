"""Which node should own a slot: rendezvous hashing over the live members."""

from collections.abc import Iterable

import xxhash

from .fold import SlotId
from .records import NodeId


def preferred_owner(slot_id: SlotId, live: Iterable[NodeId]) -> NodeId | None:
    """Return the member that a slot prefers, or None without members.

    Nodes that see different members may answer differently; the log decides
    such a race.
    """
    return max(live, key=lambda node: (_weight(slot_id, node), node), default=None)


def rank(slot_id: SlotId, node: NodeId, others: Iterable[NodeId]) -> int:
    """Return how many other nodes a slot prefers to a node."""
    own = (_weight(slot_id, node), node)
    return sum((_weight(slot_id, other), other) > own for other in others)


def _weight(slot_id: SlotId, node: NodeId) -> int:
    text = f"{slot_id.service}\n{slot_id.slot}\n{node.instance}"
    return xxhash.xxh3_64_intdigest(text.encode())
