"""Results of the commands, as programs get them with ``--json``."""

import attrs

from ..control.updates import DataCentreReport
from ..faults import Fault
from ..settings import FleetKey


@attrs.frozen
class FileChecked:
    """A file and its faults.

    Attributes
    ----------
    kind : str
        ``settings`` or ``configuration``.
    """

    file: str
    kind: str
    faults: list[Fault]


@attrs.frozen
class CheckResult:
    """Result of ``azurestep check``."""

    files: list[FileChecked]


@attrs.frozen
class PublishResult:
    """Result of ``azurestep publish`` and ``azurestep preset``.

    Attributes
    ----------
    id : str
        The publication; it stands in the audit trail.
    outcome : str
        ``accepted``, ``refused`` or ``unchanged``.
    version : int
        Version that resulted, or that is in force if there is no new one.
    preset : str
        Preset in force with that version; empty if refused.
    reason : str
        Why it was refused.
    faults : list of Fault
        Faults of the configuration that would have resulted.
    in_force : bool or None
        Whether it is in force everywhere; None if that was not waited for.
    behind : list of DataCentreReport
        Data centres that are not there yet.
    """

    id: str
    outcome: str
    version: int
    preset: str = ""
    reason: str = ""
    faults: list[Fault] = attrs.field(factory=list)
    in_force: bool | None = None
    behind: list[DataCentreReport] = attrs.field(factory=list)


@attrs.frozen
class DrainResult:
    """Result of ``azurestep drain``."""

    node: str


@attrs.frozen
class KeysResult:
    """Result of ``azurestep keys``."""

    fleet_key: FleetKey
