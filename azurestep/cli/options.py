"""Options of the commands, as the command line gives them."""

import pathlib
from enum import StrEnum

import attrs


@attrs.frozen
class NodeOptions:
    """Options of ``azurestep node``."""

    settings: pathlib.Path


@attrs.frozen
class SidecarOptions:
    """Options of ``azurestep sidecar``; None leaves the file to the environment."""

    settings: pathlib.Path | None = None


@attrs.frozen
class CheckOptions:
    """Options of ``azurestep check``."""

    files: tuple[pathlib.Path, ...]
    as_json: bool = False


@attrs.frozen
class FleetOptions:
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


@attrs.frozen
class PublishOptions:
    """Options of ``azurestep publish``."""

    file: pathlib.Path
    fleet: FleetOptions
    wait: bool = False
    timeout_ms: int = 30_000
    as_json: bool = False


@attrs.frozen
class PresetOptions:
    """Options of ``azurestep preset``."""

    preset: str
    fleet: FleetOptions
    wait: bool = False
    timeout_ms: int = 30_000
    as_json: bool = False


@attrs.frozen
class StatusOptions:
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


@attrs.frozen
class DrainOptions:
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


@attrs.frozen
class AuditOptions:
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


@attrs.frozen
class KeysOptions:
    """Options of ``azurestep keys``."""

    as_json: bool = False


@attrs.frozen
class ExplainOptions:
    """Options of ``azurestep explain``."""

    request_id: str
    files: tuple[pathlib.Path, ...]
    as_json: bool = False


@attrs.frozen
class LossesOptions:
    """Options of ``azurestep losses``; None draws no plot."""

    files: tuple[pathlib.Path, ...]
    plot: pathlib.Path | None = None
    as_json: bool = False


@attrs.frozen
class FaultsOptions:
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
