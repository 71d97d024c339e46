"""Schedule of the checkpoints of the ownership log."""

import attrs

from .assignment import rank
from .fold import OwnershipFold, SlotId
from .messages import Moment
from .records import NodeId
from .settings import OnceSettings

DELAY_RATIO_PER_RANK = 0.1


@attrs.define
class CheckpointSchedule:
    """Decides when this node appends a checkpoint.

    Every node computes the same ranking of the owners, which changes with each
    checkpoint. Lower-ranked nodes wait longer, so usually only the first appends.
    """

    node: NodeId
    settings: OnceSettings
    _as_of: int | None = None
    _due_records: float = 0.0
    _due_ms: float = 0.0

    def is_due(self, fold: OwnershipFold, now: Moment) -> bool:
        """Return whether to append a checkpoint now."""
        if self._as_of != fold.checkpoint_as_of:
            self._as_of = fold.checkpoint_as_of
            self._plan(fold, now)
        records = fold.next_offset - 1 - max(fold.checkpoint_as_of, 0)
        is_late = now.monotonic_ms >= self._due_ms and records > 1
        if records < self._due_records and not is_late:
            return False
        self._plan(fold, now)
        return True

    def _plan(self, fold: OwnershipFold, now: Moment) -> None:
        owners = {
            state.last.node for state in fold.states.values() if state.last is not None
        }
        # Input of the ranking's hash only; there is no such slot.
        ranking_key = SlotId("checkpoint", fold.checkpoint_as_of)
        position = rank(ranking_key, self.node, owners)
        if self.node not in owners:
            position += len(owners)
        delay = 1 + DELAY_RATIO_PER_RANK * position
        self._due_records = self.settings.checkpoint_records * delay
        self._due_ms = now.monotonic_ms + self.settings.checkpoint_interval_ms * delay
