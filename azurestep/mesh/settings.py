"""Settings of a node on the platform, as ``deploy/settings.json`` renders them."""

import pathlib
from typing import Any

import attrs
import orjson

from ..errors import SettingsError
from ..platform.units import parse_duration_ms

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Return host and port of an address such as ``10.1.0.4:8624``.

    Raises
    ------
    SettingsError
        If the text is no such address.

    Examples
    --------
    >>> parse_address("10.1.0.4:8624")
    ('10.1.0.4', 8624)
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{text!r} is no address", "Write HOST:PORT")
    return host, int(port)


@attrs.frozen
class Bounds:
    """Times and budgets that the operators agreed on.

    Attributes
    ----------
    drain_ms : float
        After the acknowledgement of a leaving backend server, the longest time
        until it gets its last request.
    grace_ms : float
        Time between SIGTERM and SIGKILL.
    propagation_ms : float
        Longest time until a version is in force everywhere.
    retry_ratio, retry_extra, retry_window_ms : float
        Budget of repeated arrivals at a service: a share of its requests and a
        fixed number, in each window, over all nodes.
    stability_ms : float
        Calm after which a disturbed node counts as sound again.
    """

    drain_ms: float = 2000.0
    grace_ms: float = 6000.0
    propagation_ms: float = 2000.0
    retry_ratio: float = 0.2
    retry_extra: float = 62.0
    retry_window_ms: float = 10_000.0
    stability_ms: float = 3000.0


BOUND_FIELDS = {
    "drain": "drain_ms",
    "grace": "grace_ms",
    "config_propagation": "propagation_ms",
    "retry_budget_ratio": "retry_ratio",
    "budget_extra_retries": "retry_extra",
    "budget_window": "retry_window_ms",
    "stability_window": "stability_ms",
}


def parse_bounds(values: dict[str, Any]) -> Bounds:
    """Return the bounds of a table; unknown names are ignored.

    Examples
    --------
    >>> parse_bounds({"drain": "1500ms", "budget_extra_retries": 40}).drain_ms
    1500.0
    """
    known = {
        BOUND_FIELDS[name]: _parse_bound(value)
        for name, value in values.items()
        if name in BOUND_FIELDS
    }
    return Bounds(**known)


def _parse_bound(value: Any) -> float:
    if isinstance(value, int | float):
        return float(value)
    return parse_duration_ms(value)


@attrs.frozen
class MeshSettings:
    """What one node knows at its start.

    Attributes
    ----------
    caller_address : Address
        Where the callers of this instance send their requests.
    peer_address : Address
        Where other nodes send requests for the backend server of this instance.
    ready_address, announce_address, metrics_address : Address
        Readiness, announcements of the backend server, and metrics.
    backend_address : Address
        The backend server of this instance.
    store_address : Address
        The platform's store.
    peer_listen_address : Address, optional
        Where to listen for other nodes, if a relay stands at ``peer_address``.
    """

    instance: str
    data_centre: str
    service: str
    first_start: bool
    caller_address: Address
    peer_address: Address
    ready_address: Address
    announce_address: Address
    metrics_address: Address
    backend_address: Address
    store_address: Address
    bounds: Bounds = Bounds()
    peer_listen_address: Address | None = None


def read_settings(path: pathlib.Path) -> MeshSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or a field is missing or wrong.
    """
    try:
        return decode_settings(orjson.loads(path.read_bytes()))
    except OSError as error:
        raise SettingsError(
            f"{path} can't be read: {error}", "Name the settings file of this node"
        ) from error
    except orjson.JSONDecodeError as error:
        raise SettingsError(f"{path} is no JSON: {error}", "Mend the file") from error


def decode_settings(fields: dict[str, Any]) -> MeshSettings:
    """Return the settings that a decoded JSON object holds.

    Raises
    ------
    SettingsError
        If a field is missing or wrong.
    """
    try:
        return MeshSettings(
            instance=str(fields["instance"]),
            data_centre=str(fields["data_centre"]),
            service=str(fields["service"] or ""),
            first_start=bool(fields["first_start"]),
            caller_address=parse_address(fields["caller_address"]),
            peer_address=parse_address(fields["peer_address"]),
            ready_address=parse_address(fields["ready_address"]),
            announce_address=parse_address(fields["announce_address"]),
            metrics_address=(str(fields["ip_address"]), int(fields["metrics_port"])),
            backend_address=parse_address(fields["backend_address"]),
            store_address=parse_address(fields["store"]["address"]),
            bounds=parse_bounds(fields["bounds"]),
            peer_listen_address=_optional_address(fields.get("peer_listen_address")),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise SettingsError(
            f"field missing or wrong: {error!r}",
            "Compare the file with deploy/settings.json",
        ) from error


def _optional_address(value: Any) -> Address | None:
    return parse_address(value) if value else None
