"""Replicated table of updates; the highest stamp of each key wins."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from functools import singledispatch

import xxhash

from .updates import (
    LIVE,
    DataCentreReport,
    MemberState,
    ServiceSummary,
    SuspectRequest,
    Update,
)

MAX_SUSPECT_REQUESTS = 1024
Stamp = tuple[int, ...]


@singledispatch
def key_of(update: Update) -> str:
    """Return the table key of an update."""
    raise TypeError(f"{type(update).__name__} is no update")


@singledispatch
def stamp_of(update: Update) -> Stamp:
    """Return the stamp that orders the updates of one key."""
    raise TypeError(f"{type(update).__name__} is no update")


@singledispatch
def is_global(update: Update) -> bool:
    """Whether an update is sent to remote data centres."""
    return True


@key_of.register
def _(update: MemberState) -> str:
    return f"m/{update.instance}"


@stamp_of.register
def _(update: MemberState) -> Stamp:
    return (update.incarnation, update.sequence, update.status)


@is_global.register
def _(update: MemberState) -> bool:
    return False


@key_of.register
def _(update: ServiceSummary) -> str:
    return f"s/{update.data_centre}/{update.service}"


@stamp_of.register
def _(update: ServiceSummary) -> Stamp:
    return (update.stamp, key_hash(update.origin))


@key_of.register
def _(update: DataCentreReport) -> str:
    return f"r/{update.data_centre}"


@stamp_of.register
def _(update: DataCentreReport) -> Stamp:
    return (update.stamp, key_hash(update.origin))


@key_of.register
def _(update: SuspectRequest) -> str:
    return f"q/{update.service}/{update.fingerprint}/{update.origin}"


@stamp_of.register
def _(update: SuspectRequest) -> Stamp:
    return (update.stamp,)


def key_hash(key: str) -> int:
    """Return a 32-bit hash of a key, as used in sync messages."""
    return xxhash.xxh3_64_intdigest(key.encode()) >> 32


def _item_hash(update: Update) -> int:
    text = f"{key_of(update)}@{stamp_of(update)}"
    return xxhash.xxh3_64_intdigest(text.encode()) >> 16


def _is_hashed(update: Update) -> bool:
    # Nodes expire members that left or died at different times.
    return not isinstance(update, MemberState) or update.status in LIVE


class UpdateTable:
    """Updates by key, with incremental hashes of the local and global ones.

    Suspect requests are kept separately in bounded number. They are excluded from
    hashes and syncs, since each sync would restart the time of their refusal.
    """

    def __init__(self) -> None:
        self._suspect_requests: OrderedDict[str, SuspectRequest] = OrderedDict()
        self._updates: dict[str, Update] = {}
        self._by_hash: dict[int, str] = {}
        self._local_hash = 0
        self._global_hash = 0

    def hash(self, only_global: bool) -> int:
        """Return the hash of the whole table or of its global updates."""
        if only_global:
            return self._global_hash
        return self._global_hash ^ self._local_hash

    def merge(self, update: Update) -> bool:
        """Store an update if it is newer; return whether it was stored."""
        if isinstance(update, SuspectRequest):
            return self._merge_suspect_request(update)
        key = key_of(update)
        held = self._updates.get(key)
        if held is not None and stamp_of(held) >= stamp_of(update):
            return False
        if held is not None:
            self._toggle_hash(held)
        self._updates[key] = update
        self._by_hash[key_hash(key)] = key
        self._toggle_hash(update)
        return True

    def _merge_suspect_request(self, update: SuspectRequest) -> bool:
        key = key_of(update)
        held = self._suspect_requests.get(key)
        if held is not None and held.stamp >= update.stamp:
            return False
        self._suspect_requests[key] = update
        self._suspect_requests.move_to_end(key)
        if len(self._suspect_requests) > MAX_SUSPECT_REQUESTS:
            self._suspect_requests.popitem(last=False)
        return True

    def remove(self, key: str) -> None:
        """Remove a key, if present."""
        held = self._updates.pop(key, None)
        if held is None:
            return
        self._by_hash.pop(key_hash(key), None)
        self._toggle_hash(held)

    def _toggle_hash(self, update: Update) -> None:
        if not _is_hashed(update):
            return
        if is_global(update):
            self._global_hash ^= _item_hash(update)
        else:
            self._local_hash ^= _item_hash(update)

    def get(self, key: str) -> Update | None:
        """Return the update stored for a key."""
        return self._updates.get(key) or self._suspect_requests.get(key)

    def by_hash(self, hashed: int) -> Update | None:
        """Return the update whose key has this hash."""
        key = self._by_hash.get(hashed)
        return None if key is None else self._updates.get(key)

    def updates(self, only_global: bool = False) -> Iterator[Update]:
        """Iterate over the updates, without suspect requests."""
        held: Iterable[Update] = list(self._updates.values())
        return (u for u in held if not only_global or is_global(u))

    def __len__(self) -> int:
        return len(self._updates)
