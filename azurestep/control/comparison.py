"""Anti-entropy sync: two nodes send each other their newer updates."""

from .messages import ItemStamp, SyncReply, SyncRequest
from .table import UpdateTable, key_hash, key_of, stamp_of
from .updates import Update


def is_newer(table: UpdateTable, update: Update) -> bool:
    """Whether an update is newer than the one in the table."""
    held = table.get(key_of(update))
    return held is None or stamp_of(held) < stamp_of(update)


def sync_request(table: UpdateTable, only_global: bool = False) -> SyncRequest:
    """Return the stamps of all updates in the table, or of the global ones."""
    return SyncRequest(
        [
            ItemStamp(key_hash(key_of(update)), list(stamp_of(update)))
            for update in table.updates(only_global)
        ]
    )


def sync_reply(
    table: UpdateTable, request: SyncRequest, only_global: bool
) -> SyncReply:
    """Return the updates newer here and the key hashes of those newer there."""
    theirs = {item.key_hash: tuple(item.stamp) for item in request.stamps}
    newer = []
    for update in table.updates(only_global):
        hashed = key_hash(key_of(update))
        if theirs.get(hashed, ()) < stamp_of(update):
            newer.append(update)
    wanted = []
    for hashed, stamp in theirs.items():
        held = table.by_hash(hashed)
        if held is None or stamp_of(held) < stamp:
            wanted.append(hashed)
    return SyncReply(newer, wanted)
