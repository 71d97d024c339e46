"""Settings of a node, read from a JSON file and checked at start."""

import ipaddress
import pathlib
from typing import Any

import attrs
import cattrs
import orjson

from .errors import SettingsError
from .faults import Fault

PORT_MAXIMUM = 65535
CURVE_KEY_LENGTH = 40


@attrs.frozen
class Address:
    """A TCP or UDP address by IP number."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class FleetKey:
    """CURVE key pair shared by the nodes of a fleet, in Z85 text."""

    public_key: str
    secret_key: str = attrs.field(repr=False)


@attrs.frozen
class StatsdSettings:
    """Where metrics go and how often they are sent."""

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
    send_deltas : bool
        Whether versions travel as deltas; otherwise as whole snapshots, which
        serves as a baseline of the measurements.
    """

    probe_interval_ms: int = 1000
    probe_timeout_ms: int = 300
    suspicion_ms: int = 3000
    push_fan_out: int = 4
    readers_per_data_centre: int = 2
    bridges_per_data_centre: int = 2
    poll_wait_ms: int = 20_000
    checkpoint_records: int = 500
    send_deltas: bool = True


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
    log_format: str = "json"
    log_level: str = "info"


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
        raw = path.read_bytes()
    except OSError as error:
        raise SettingsError(
            f"{path} can't be read: {error.strerror}", "Name a readable settings file"
        ) from error
    return parse_settings(raw)


def parse_settings(raw: bytes) -> Settings:
    """Structure and check settings from JSON text."""
    try:
        document = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise SettingsError(
            f"settings are not JSON: {error}", "Correct the file at that place"
        ) from error
    try:
        settings = CONVERTER.structure(document, Settings)
    except cattrs.BaseValidationError as error:
        raise _error_of(cattrs.transform_error(error, path="$")) from error
    faults = check_settings(settings)
    if faults:
        raise _error_of([str(fault) for fault in faults])
    return settings


def _error_of(lines: list[str]) -> SettingsError:
    return SettingsError(
        "settings have faults: " + "; ".join(lines), "Correct each named field"
    )


def check_settings(settings: Settings) -> list[Fault]:
    """Return the faults that types alone don't show."""
    faults = []
    if not _is_ip_number(settings.host):
        faults.append(Fault("$.host", f"{settings.host!r} is no IP number", "give one"))
    for name in ("traffic_port", "control_port", "operator_port", "announce_port"):
        port = getattr(settings, name)
        if not 0 < port <= PORT_MAXIMUM:
            faults.append(
                Fault(f"$.{name}", f"{port} is no port", f"use 1 to {PORT_MAXIMUM}")
            )
    for name in ("instance", "data_centre"):
        if not getattr(settings, name):
            faults.append(Fault(f"$.{name}", "is empty", "give a name"))
    for index, peer in enumerate(settings.peers):
        if not _is_ip_number(peer.host):
            faults.append(
                Fault(
                    f"$.peers[{index}].host",
                    f"{peer.host!r} is no IP number",
                    "give one",
                )
            )
    return faults


def _is_ip_number(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def unstructure_settings(settings: Settings) -> Any:
    """Return settings as plain data that JSON can carry."""
    return CONVERTER.unstructure(settings)
