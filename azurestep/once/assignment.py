"""Assignment of slots to live members by rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from .fold import SlotId
from .records import NodeId


def preferred_owner(slot_id: SlotId, live: Iterable[NodeId]) -> NodeId | None:
    """Return the member that should own a slot, or None without members.

    Nodes that see different members may disagree; the order of the log then
    decides.
    """
    return max(live, key=lambda node: (_weight(slot_id, node), node), default=None)


def rank(slot_id: SlotId, node: NodeId, others: Iterable[NodeId]) -> int:
    """Return how many other nodes rank above a node for a slot."""
    own = (_weight(slot_id, node), node)
    return sum((_weight(slot_id, other), other) > own for other in others)


def _weight(slot_id: SlotId, node: NodeId) -> int:
    text = f"{slot_id.service}\n{slot_id.slot}\n{node.instance}"
    return xxhash.xxh3_64_intdigest(text.encode())
