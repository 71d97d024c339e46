"""The store and its clients in a model of nodes that decide roll-outs."""

from collections.abc import Generator
from typing import TYPE_CHECKING

import attrs
import orjson

from azurestep.platform.outcomes import (
    Appended,
    Conflict,
    KeyedRecord,
    LatestRecords,
    Refused,
    Unanswered,
)
from azurestep.platform.rollout import (
    RolloutStatus,
    read_status,
    rollout_key,
    write_status,
)

if TYPE_CHECKING:
    from .rollout_model import RolloutFleet
    from .rollout_node import ModelNode

SERVICE = "shop"
STORE_MS = (1.0, 30.0)
"""Time of a call on its way to the store, and of its answer."""


class Wait:
    """Suspends a coroutine of a node for a part of a call to the store."""

    def __init__(self, delay_ms: float, at_node: bool) -> None:
        self.delay_ms, self.at_node = delay_ms, at_node

    def __await__(self) -> Generator["Wait", None, None]:
        yield self


@attrs.define(eq=False)
class ModelStore:
    """The store: orders, and statuses with conditional writes.

    Attributes
    ----------
    statuses : list of RolloutStatus
        The status topic; the last one is the latest of its key.
    written : list of tuple
        Time, status and index of its writer, of all writes.
    away : set of int
        Nodes whose calls are refused.
    loses_answers : bool
        Whether calls are carried out without an answer.
    lag : int
        Number of the latest writes that reads don't show yet.
    """

    fleet: "RolloutFleet"
    orders: list[bytes] = attrs.field(factory=list)
    statuses: list[RolloutStatus] = attrs.field(factory=list)
    written: list[tuple[float, RolloutStatus, int]] = attrs.field(factory=list)
    away: set[int] = attrs.field(factory=set)
    loses_answers: bool = False
    lag: int = 0

    def order(self, version: str, duration_ms: float) -> int:
        """Write an order and return its offset."""
        fields = {
            "service": SERVICE,
            "new_version": version,
            "duration": f"{duration_ms:.0f}ms",
        }
        self.orders.append(orjson.dumps(fields))
        return len(self.orders) - 1


@attrs.define(eq=False)
class ModelClient:
    """Calls of one node to the store."""

    store: ModelStore
    node: "ModelNode"

    async def read_latest(self, topic: str) -> LatestRecords | Refused:
        """Return the latest status, or an older one while the store lags."""
        self.node.fleet.on_read(self.node)
        await self._travel(at_node=False)
        refused = self.node.index in self.store.away
        end = max(0, len(self.store.statuses) - self.store.lag)
        latest = [
            KeyedRecord(rollout_key(SERVICE), write_status(status), end - 1)
            for status in self.store.statuses[:end][-1:]
        ]
        await self._travel(at_node=True)
        return Refused(503) if refused else LatestRecords(latest, end, era=1)

    async def put(
        self, topic: str, key: str, value: bytes, at: int
    ) -> Appended | Conflict | Refused | Unanswered:
        """Write a status if the topic ends at an offset."""
        await self._travel(at_node=False)
        store, outcome = self.store, None
        if self.node.index in store.away:
            outcome = Refused(503)
        elif at != len(store.statuses):
            outcome = Conflict(len(store.statuses), era=1)
        else:
            status = read_status(value)
            assert status is not None
            store.statuses.append(status)
            self.node.fleet.on_write(status, self.node)
            outcome = Appended(at, at + 1, era=1)
            if store.loses_answers:
                outcome = Unanswered("lost")
        await self._travel(at_node=True)
        return outcome

    async def _travel(self, at_node: bool) -> None:
        await Wait(self.node.fleet.random.uniform(*STORE_MS), at_node)
