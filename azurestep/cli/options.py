"""Options of the commands, as the command line gives them."""

import pathlib
from enum import StrEnum

import attrs

from ..values import Value


@attrs.frozen(eq=False, repr=False)
class NodeOptions(Value):
    """Options of ``azurestep node``."""

    settings: pathlib.Path


@attrs.frozen(eq=False, repr=False)
class SidecarOptions(Value):
    """Options of ``azurestep sidecar``; None leaves the file to the environment."""

    settings: pathlib.Path | None = None


@attrs.frozen(eq=False, repr=False)
class CheckOptions(Value):
    """Options of ``azurestep check``."""

    files: tuple[pathlib.Path, ...]
    as_json: bool = False


@attrs.frozen(eq=False, repr=False)
class FleetOptions(Value):
    """Where the fleet is; None leaves a field to the operator's defaults.

    Attributes
    ----------
    node_url, platform_url : str or None
        Operator endpoint of a node, and base address of the platform's log.
    operator : str or None
        Who gives the command.
    """

    node_url: str | None = None
    platform_url: str | None = None
    operator: str | None = None


@attrs.frozen(eq=False, repr=False)
class PublishOptions(Value):
    """Options of ``azurestep publish``."""

    file: pathlib.Path
    fleet: FleetOptions
    wait: bool = False
    timeout_ms: int = 30_000
    as_json: bool = False


@attrs.frozen(eq=False, repr=False)
class PresetOptions(Value):
    """Options of ``azurestep preset``."""

    preset: str
    fleet: FleetOptions
    wait: bool = False
    timeout_ms: int = 30_000
    as_json: bool = False


@attrs.frozen(eq=False, repr=False)
class StatusOptions(Value):
    """Options of ``azurestep status``.

    Attributes
    ----------
    settings : pathlib.Path or None
        Settings of a node on the users' platform.
    metrics_address : str or None
        Metrics address of such a node.
    """

    fleet: FleetOptions
    as_json: bool = False
    settings: pathlib.Path | None = None
    metrics_address: str | None = None


@attrs.frozen(eq=False, repr=False)
class DrainOptions(Value):
    """Options of ``azurestep drain``."""

    fleet: FleetOptions
    as_json: bool = False


class AuditQuestion(StrEnum):
    """What ``azurestep audit`` is asked."""

    VERSIONS = "versions"
    PUBLICATIONS = "publications"
    DRAINS = "drains"
    REQUESTS = "requests"
    GAPS = "gaps"


@attrs.frozen(eq=False, repr=False)
class AuditOptions(Value):
    """Options of ``azurestep audit``.

    Attributes
    ----------
    at_ms : int or None
        Moment in milliseconds since the epoch.
    instance, service : str or None
        What to narrow the answer to.
    key : str
        Idempotency key of the request asked for.
    """

    question: AuditQuestion
    fleet: FleetOptions
    at_ms: int | None = None
    instance: str | None = None
    service: str | None = None
    key: str = ""
    as_json: bool = False


@attrs.frozen(eq=False, repr=False)
class KeysOptions(Value):
    """Options of ``azurestep keys``."""

    as_json: bool = False


@attrs.frozen(eq=False, repr=False)
class ExplainOptions(Value):
    """Options of ``azurestep explain``."""

    request_id: str
    files: tuple[pathlib.Path, ...]
    as_json: bool = False


@attrs.frozen(eq=False, repr=False)
class LossesOptions(Value):
    """Options of ``azurestep losses``; None draws no plot."""

    files: tuple[pathlib.Path, ...]
    plot: pathlib.Path | None = None
    as_json: bool = False


@attrs.frozen(eq=False, repr=False)
class FaultsOptions(Value):
    """Options of ``azurestep faults``."""

    files: tuple[pathlib.Path, ...]
    as_json: bool = False


Options = (
    NodeOptions
    | SidecarOptions
    | CheckOptions
    | PublishOptions
    | PresetOptions
    | StatusOptions
    | DrainOptions
    | AuditOptions
    | KeysOptions
    | ExplainOptions
    | LossesOptions
    | FaultsOptions
)
