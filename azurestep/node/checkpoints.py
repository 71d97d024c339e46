"""When the next checkpoint of the configuration is due."""

import attrs

from ..config.fold import ConfigurationFold
from ..settings import ControlSettings


@attrs.define
class CheckpointPace:
    """Remembers the newest checkpoint on the log.

    Attributes
    ----------
    settings : ControlSettings
        Records and time between two checkpoints.
    at_ms : float
        Monotonic time at which it was read or appended.
    as_of : int
        Offset up to which it holds the configuration.
    """

    settings: ControlSettings
    at_ms: float
    as_of: int = 0

    def note(self, as_of: int, now_ms: float) -> None:
        """Note that a checkpoint stands on the log."""
        self.as_of = max(self.as_of, as_of)
        self.at_ms = now_ms

    def is_due(self, fold: ConfigurationFold, now_ms: float) -> bool:
        """Whether enough records or time came since."""
        if not fold.state.version or fold.is_incomplete:
            return False
        if fold.state.as_of - self.as_of >= self.settings.checkpoint_records:
            return True
        return now_ms - self.at_ms >= self.settings.checkpoint_interval_ms
