"""Which instances died, so that their last audit items may be lost."""

from collections.abc import Callable, Mapping

from ..control.updates import MemberState, MemberStatus
from .records import Gap

HAND_OVER_MS = 2000
DIED = "the instance died; items that it had not handed over are lost"


class LossTracker:
    """Compares the live members of a data centre from one look to the next."""

    def __init__(self) -> None:
        self._alive_ms: dict[str, int] = {}

    def take(
        self,
        statuses: Mapping[str, int],
        member: Callable[[str], MemberState | None],
        wall_ms: int,
    ) -> list[Gap]:
        """Return a gap for each instance that died since the last look.

        Parameters
        ----------
        statuses : Mapping of str to int
            ``MemberStatus`` of each live instance.
        member : callable
            Returns what is believed of an instance that is no longer live.
        """
        gaps = []
        for instance in [name for name in self._alive_ms if name not in statuses]:
            since_ms = self._alive_ms.pop(instance) - HAND_OVER_MS
            gone = member(instance)
            if gone is not None and gone.status == MemberStatus.DEAD:
                gaps.append(Gap(instance, since_ms, wall_ms, 0, DIED))
        for instance, status in statuses.items():
            if status == MemberStatus.ALIVE:
                self._alive_ms[instance] = wall_ms
        return gaps
