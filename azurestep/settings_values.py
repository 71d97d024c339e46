"""Checks of settings that types and ranges don't show."""

import ipaddress
from collections.abc import Iterator
from typing import Any
from urllib.parse import urlsplit

from .faults import Fault
from .shape import show

CURVE_KEY_LENGTH = 40
PORTS = ("traffic_port", "control_port", "operator_port", "announce_port")


def check_values(plain: dict[str, Any], faulty: set[str]) -> Iterator[Fault]:
    """Yield the faults that types and ranges don't show.

    Parameters
    ----------
    plain : dict
        Settings as JSON data of any shape.
    faulty : set of str
        JSON paths that were found faulty before; they are left out.
    """
    for fault in _all_values(plain):
        if fault.path not in faulty:
            yield fault


def _all_values(plain: dict[str, Any]) -> Iterator[Fault]:
    yield from _check_ip_number("$.host", plain.get("host"))
    for name in ("instance", "data_centre", "region"):
        if plain.get(name) == "":
            yield Fault(f"$.{name}", "is empty", "give a name")
    yield from _check_url(plain.get("platform_url"))
    yield from _check_ports(plain)
    peers = plain.get("peers")
    for index, peer in enumerate(peers if isinstance(peers, list) else []):
        if isinstance(peer, dict):
            yield from _check_ip_number(f"$.peers[{index}].host", peer.get("host"))
    statsd = plain.get("statsd")
    if isinstance(statsd, dict) and "host" in statsd:
        yield from _check_ip_number("$.statsd.host", statsd["host"])
    key = plain.get("fleet_key")
    for name in ("public_key", "secret_key"):
        if isinstance(key, dict) and isinstance(key.get(name), str):
            yield from _check_curve_key(f"$.fleet_key.{name}", key[name])


def _check_ip_number(path: str, text: Any) -> Iterator[Fault]:
    if not isinstance(text, str):
        return
    try:
        ipaddress.ip_address(text)
    except ValueError:
        yield Fault(path, f"{show(text)} is no IP number", "write it as 10.0.0.1")


def _check_url(url: Any) -> Iterator[Fault]:
    if not isinstance(url, str):
        return
    try:
        parts = urlsplit(url)
        is_good = parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        is_good = False
    if not is_good:
        yield Fault(
            "$.platform_url", f"{show(url)} is no URL", "write it as http://HOST:PORT"
        )


def _check_ports(plain: dict[str, Any]) -> Iterator[Fault]:
    first_use: dict[int, str] = {}
    for name in PORTS:
        port = plain.get(name)
        if not isinstance(port, int):
            continue
        if port in first_use:
            yield Fault(
                f"$.{name}", f"{port} is also the {first_use[port]}", "use another one"
            )
        first_use.setdefault(port, name)


def _check_curve_key(path: str, text: str) -> Iterator[Fault]:
    if len(text) == CURVE_KEY_LENGTH and text.isascii():
        return
    yield Fault(
        path,
        f"is no CURVE key of {CURVE_KEY_LENGTH} characters",
        "make a pair with azurestep keys",
    )
