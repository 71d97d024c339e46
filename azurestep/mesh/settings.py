"""Settings of a node.

The platform renders the file from the template ``deploy/settings.json``.
"""

import math
import pathlib
from typing import Any

import attrs
import orjson

from ..errors import SettingsError
from ..platform.units import parse_duration_ms
from ..values import Value

Address = tuple[str, int]
MAX_PORT_DIGITS = 5


def parse_address(text: str) -> Address:
    """Return host and port of an address such as ``10.1.0.4:8624``.

    Raises
    ------
    SettingsError
        If the text is not an address.

    Examples
    --------
    >>> parse_address("10.1.0.4:8624")
    ('10.1.0.4', 8624)
    """
    host, _, port = str(text).rpartition(":")
    is_host = host.isascii() and host.isprintable() and " " not in host
    is_port = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_host or not is_port or not 0 < int(port) < 65536:
        raise SettingsError(f"{text!r} is not an address", "Use the form HOST:PORT")
    return host, int(port)


@attrs.frozen(eq=False, repr=False)
class Bounds(Value):
    """Time limits and the retry budget.

    Attributes
    ----------
    drain_ms : float
        Longest time from the acknowledgement of a leaving notice until the backend
        server gets its last request.
    grace_ms : float
        Time between SIGTERM and SIGKILL.
    propagation_ms : float
        Longest time until a configuration is in force at all nodes.
    retry_ratio, retry_extra, retry_window_ms : float
        Retry budget of a service over all nodes: a ratio of its requests plus a
        fixed number of retries in each window.
    stability_ms : float
        Value of ``stability_window``, which the node does not use.
    exposure_ratio, exposure_extra : float
        Requests that may reach a bad version of a service: a ratio of all between the
        order and its deadline, plus a fixed number.
    revoke_ms : float
        Longest time for which a removed key may still be used at a node that can't
        receive the version that removed it, if revocation is strict.
    strict_revocation : bool
        Whether such a node refuses all requests with keys after that time.
    quota_window_ms, quota_overage, quota_slack : float
        Requests of a team that may run in any such window beyond its rate and burst: a
        ratio of these, plus a fixed number.
    """

    drain_ms: float = 2000.0
    grace_ms: float = 6000.0
    propagation_ms: float = 2000.0
    retry_ratio: float = 0.2
    retry_extra: float = 62.0
    retry_window_ms: float = 10_000.0
    stability_ms: float = 3000.0
    exposure_ratio: float = 0.1
    exposure_extra: float = 0.0
    revoke_ms: float = 5000.0
    strict_revocation: bool = attrs.field(default=False, converter=bool)
    quota_window_ms: float = 5000.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0


BOUND_FIELDS = {
    "drain": "drain_ms",
    "grace": "grace_ms",
    "config_propagation": "propagation_ms",
    "retry_budget_ratio": "retry_ratio",
    "budget_extra_retries": "retry_extra",
    "budget_window": "retry_window_ms",
    "stability_window": "stability_ms",
    "exposure_share": "exposure_ratio",
    "exposure_slack": "exposure_extra",
    "revoke": "revoke_ms",
    "strict_revocation": "strict_revocation",
    "quota_window": "quota_window_ms",
    "quota_overage": "quota_overage",
    "quota_slack": "quota_slack",
}


def parse_bounds(values: dict[str, Any]) -> Bounds:
    """Return the bounds in a settings table; unknown names are ignored.

    Raises
    ------
    TypeError, ValueError
        If the table or a value in it has a wrong shape.

    Examples
    --------
    >>> parse_bounds({"drain": "1500ms", "budget_extra_retries": 40}).drain_ms
    1500.0
    """
    if not isinstance(values, dict):
        raise TypeError(f"{values!r} is not a table of bounds")
    known = {
        BOUND_FIELDS[name]: _parse_bound(value)
        for name, value in values.items()
        if name in BOUND_FIELDS
    }
    return Bounds(**known)


def _parse_bound(value: Any) -> float:
    if isinstance(value, int | float):
        bound = float(value)
        if not 0 <= bound < math.inf:
            raise ValueError(f"{value!r} is not a bound")
        return bound
    return parse_duration_ms(value)


@attrs.frozen(eq=False, repr=False)
class MeshSettings(Value):
    """Settings of one node.

    Attributes
    ----------
    caller_address : Address
        Address that callers send requests to.
    peer_address : Address
        Address that other nodes connect to.
    ready_address, announce_address, metrics_address : Address
        Endpoints for readiness, announcements and metrics.
    backend_address : Address
        Address of the local backend server.
    store_address : Address
        Address of the platform's store.
    peer_listen_address : Address, optional
        Address to listen on for other nodes, if a relay listens on ``peer_address``.
    link_mbps : float
        Rate of the instance's network link in Mbit/s; 0 if unknown.
    counts_former_runs : bool
        Whether a restarted node starts no runs until it knows how many of its former
        process occupy the backend server. Needed where a server's queue is shorter than
        the number of its slots.
    file_descriptors : int
        Files and connections that the process may have open; 0 if only the limit of the
        process itself counts.
    memory_mb : int
        Memory of the instance in MB; 0 if unknown.
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
    link_mbps: float = 0.0
    counts_former_runs: bool = False
    file_descriptors: int = 0
    memory_mb: int = 0


def read_settings(path: pathlib.Path) -> MeshSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read, or a field is missing or invalid.
    """
    try:
        return decode_settings(orjson.loads(path.read_bytes()))
    except OSError as error:
        raise SettingsError(
            f"{path} can't be read: {error}", "Pass the path of the settings file"
        ) from error
    except orjson.JSONDecodeError as error:
        raise SettingsError(
            f"{path} is not valid JSON: {error}", "Correct the file"
        ) from error


def decode_settings(fields: dict[str, Any]) -> MeshSettings:
    """Return the settings in a decoded JSON object.

    Raises
    ------
    SettingsError
        If a field is missing or invalid.
    """
    try:
        return MeshSettings(
            instance=_parse_name(fields["instance"]),
            data_centre=_parse_name(fields["data_centre"]),
            service=_parse_name(fields["service"] or ""),
            first_start=bool(fields["first_start"]),
            caller_address=parse_address(fields["caller_address"]),
            peer_address=parse_address(fields["peer_address"]),
            ready_address=parse_address(fields["ready_address"]),
            announce_address=parse_address(fields["announce_address"]),
            metrics_address=parse_address(
                f"{_parse_name(fields['ip_address'])}:{fields['metrics_port']}"
            ),
            backend_address=parse_address(fields["backend_address"]),
            store_address=parse_address(fields["store"]["address"]),
            bounds=parse_bounds(fields["bounds"]),
            peer_listen_address=_optional_address(fields.get("peer_listen_address")),
            link_mbps=_parse_link_rate(fields["link_mbps"]),
            counts_former_runs=bool(fields.get("counts_former_runs", False)),
            file_descriptors=_parse_limit(fields.get("file_descriptors")),
            memory_mb=_parse_limit(fields.get("memory_mb")),
        )
    except (ArithmeticError, KeyError, TypeError, ValueError) as error:
        raise SettingsError(
            f"a field is missing or invalid: {error!r}",
            "Compare the file with deploy/settings.json",
        ) from error


def _parse_name(value: Any) -> str:
    if not isinstance(value, str | int):
        raise TypeError(f"{value!r} is not a name")
    return str(value)


def _parse_link_rate(value: Any) -> float:
    rate_mbps = float(value or 0)
    if not 0 <= rate_mbps < math.inf:
        raise ValueError(f"{value!r} is not a link rate in Mbit/s")
    return rate_mbps


def _parse_limit(value: Any) -> int:
    limit = int(value or 0)
    if limit < 0:
        raise ValueError(f"{value!r} is not a limit")
    return limit


def _optional_address(value: Any) -> Address | None:
    return parse_address(value) if value else None
