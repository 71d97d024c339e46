"""Settings of a node, read from a JSON file and checked at start."""

import pathlib
from typing import Any

import attrs
import cattrs
import orjson
from returns.result import Failure, Result, Success

from .config.model import Configuration
from .errors import SettingsError
from .faults import Fault
from .once.settings import OnceSettings
from .settings_values import check_values
from .shape import find_faults, shaped

SETTINGS_MAXIMUM_BYTES = 1024 * 1024
LOG_FORMATS = ("json", "human")
LOG_LEVELS = ("debug", "info", "warning", "error")


@attrs.frozen
class Address:
    """A TCP or UDP address by IP number.

    Attributes
    ----------
    host : str
        IP number.
    port : int
        Port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class FleetKey:
    """CURVE key pair shared by the nodes of a fleet, in Z85 text.

    Attributes
    ----------
    public_key, secret_key : str
        Half of the pair, 40 characters.
    """

    public_key: str
    secret_key: str = attrs.field(repr=False)


@attrs.frozen
class StatsdSettings:
    """Where metrics go and how often they are sent.

    Attributes
    ----------
    host, port : str, int
        Address of the statsd server.
    interval_ms : int
        Time between two samples.
    """

    host: str = "127.0.0.1"
    port: int = 8125
    interval_ms: int = 10_000


@attrs.frozen
class ControlSettings:
    """Pace of membership and of spreading configurations.

    Attributes
    ----------
    probe_interval_ms : int
        Time between two membership probes of a node.
    probe_timeout_ms : int
        Time after which a probe counts as unanswered.
    suspicion_ms : int
        Time that a suspected member has to refute.
    push_fan_out : int
        Children of a node in the push tree; 0 turns pushing off.
    readers_per_data_centre : int
        Nodes of a data centre that follow the platform's log.
    bridges_per_data_centre : int
        Nodes of a data centre that exchange summaries with the others.
    poll_wait_ms : int
        Duration of one long poll at the platform's log.
    checkpoint_records : int
        Records after which a new checkpoint is appended.
    checkpoint_interval_ms : int
        Time after which a new checkpoint is appended; keep it under half of the
        time for which the platform retains records.
    send_deltas : bool
        Whether versions travel as deltas; otherwise as whole snapshots, which
        serves as a baseline of the measurements.
    """

    probe_interval_ms: int = 1000
    probe_timeout_ms: int = 300
    suspicion_ms: int = 3000
    push_fan_out: int = attrs.field(default=4, metadata=shaped(0, 64))
    readers_per_data_centre: int = attrs.field(default=2, metadata=shaped(1, 16))
    bridges_per_data_centre: int = attrs.field(default=2, metadata=shaped(1, 16))
    poll_wait_ms: int = 6_000
    checkpoint_records: int = attrs.field(default=500, metadata=shaped(10, 100000))
    checkpoint_interval_ms: int = 600_000
    send_deltas: bool = True


@attrs.frozen
class AuditSettings:
    """How much the audit trail may use of the platform's log.

    Attributes
    ----------
    append_interval_ms : int
        Least time between two appends of a data centre.
    record_runs : bool
        Whether each run of a request that must not repeat is an item.
    """

    append_interval_ms: int = 1000
    record_runs: bool = True


@attrs.frozen
class Settings:
    """Settings of one node.

    Attributes
    ----------
    instance, data_centre, region : str
        Identity and place of the node.
    host : str
        IP number that the node listens on.
    traffic_port, control_port, operator_port, announce_port : int
        Ports for callers, peers, operators and the local backend server.
    platform_url : str
        Base address of the platform's log.
    peers : list of Address
        Control addresses that a starting node tries first.
    fleet_key : FleetKey or None
        Key pair that authenticates nodes to each other; None sends in clear
        and is meant for tests.
    statsd : StatsdSettings or None
        Where metrics go; None sends none.
    control : ControlSettings
        Pace of membership and of spreading configurations.
    audit : AuditSettings
        How much the audit trail may use of the platform's log.
    once : OnceSettings
        Pace and bounds of the at-most-once guarantee.
    log_format : str
        ``json`` for programs, ``human`` for a terminal.
    log_level : str
        Least level of the events that are logged.
    """

    instance: str
    data_centre: str
    host: str
    traffic_port: int
    control_port: int
    operator_port: int
    announce_port: int
    platform_url: str
    region: str = "default"
    peers: list[Address] = attrs.field(factory=list)
    fleet_key: FleetKey | None = None
    statsd: StatsdSettings | None = None
    control: ControlSettings = attrs.field(factory=ControlSettings)
    audit: AuditSettings = attrs.field(factory=AuditSettings)
    once: OnceSettings = attrs.field(factory=OnceSettings)
    log_format: str = attrs.field(default="json", metadata=shaped(choices=LOG_FORMATS))
    log_level: str = attrs.field(default="info", metadata=shaped(choices=LOG_LEVELS))


CONVERTER = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)


def read_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or a field is wrong; the message lists every
        fault with its JSON path and the remedy.
    """
    try:
        with path.open("rb") as stream:
            raw = stream.read(SETTINGS_MAXIMUM_BYTES + 1)
    except OSError as error:
        raise SettingsError(
            f"{path} can't be read: {error.strerror}", "Name a readable settings file"
        ) from error
    return parse_settings(raw)


def parse_settings(raw: bytes) -> Settings:
    """Structure and check settings from JSON text.

    Raises
    ------
    SettingsError
        If there are faults; the message lists all of them.
    """
    result = settings_of(raw)
    if isinstance(result, Failure):
        faults = result.failure()
        listed = "; ".join(str(fault) for fault in faults)
        raise SettingsError(
            f"settings have {len(faults)} faults: {listed}", "Correct each named field"
        )
    return result.unwrap()


def settings_of(raw: bytes) -> Result[Settings, tuple[Fault, ...]]:
    """Return settings from JSON text, or every fault with its JSON path."""
    if len(raw) > SETTINGS_MAXIMUM_BYTES:
        problem = f"is larger than {SETTINGS_MAXIMUM_BYTES} bytes"
        return Failure((Fault("$", problem, "name a settings file"),))
    try:
        plain = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        problem = f"is not JSON: {error}"
        return Failure((Fault("$", problem, "correct the text at that place"),))
    faults = find_faults(plain, Settings)
    if isinstance(plain, dict):
        faults.extend(check_values(plain, {fault.path for fault in faults}))
    if faults:
        return Failure(tuple(faults))
    try:
        return Success(CONVERTER.structure(plain, Settings))
    except cattrs.BaseValidationError as error:
        lines = cattrs.transform_error(error, path="$")
        return Failure(tuple(Fault("$", line, "correct the field") for line in lines))


def looks_like_settings(raw: bytes) -> bool:
    """Whether JSON text is more like settings than like a configuration."""
    try:
        plain = orjson.loads(raw)
    except orjson.JSONDecodeError:
        return False
    if not isinstance(plain, dict):
        return False
    settings_names = {field.name for field in attrs.fields(Settings)}
    configuration_names = {field.name for field in attrs.fields(Configuration)}
    as_settings = len(settings_names & plain.keys())
    return as_settings > len(configuration_names & plain.keys())


def check_settings(settings: Settings) -> list[Fault]:
    """Return the faults of settings that were made by a program."""
    plain = unstructure_settings(settings)
    faults = find_faults(plain, Settings)
    return [*faults, *check_values(plain, {fault.path for fault in faults})]


def unstructure_settings(settings: Settings) -> Any:
    """Return settings as plain data that JSON can carry."""
    return CONVERTER.unstructure(settings)
