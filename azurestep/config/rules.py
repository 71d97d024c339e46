"""Checks of names, ranges and references in a configuration."""

import re
from collections import Counter
from collections.abc import Iterator, Sequence

import attrs

from ..faults import Fault
from .model import (
    FORMAT,
    Configuration,
    LimitRule,
    Preset,
    RetryRule,
    Route,
    SelectionRule,
    Service,
)

MAX_TIMEOUT_MS = 3_600_000
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?")


def check_configuration(configuration: Configuration) -> Iterator[Fault]:
    """Yield the faults in names, ranges and references of a configuration."""
    if configuration.format > FORMAT:
        yield Fault(
            "$.format",
            f"{configuration.format} is newer than {FORMAT}",
            "upgrade this program first",
        )
    yield from _check_names("services", configuration.services)
    yield from _check_names("routes", configuration.routes)
    yield from _check_names("presets", configuration.presets)
    services = {service.name for service in configuration.services}
    routes = {route.name for route in configuration.routes}
    for index, service in enumerate(configuration.services):
        yield from _check_service(f"$.services[{index}]", service)
    for index, route in enumerate(configuration.routes):
        yield from _check_route(f"$.routes[{index}]", route, services)
    for index, preset in enumerate(configuration.presets):
        yield from _check_preset(f"$.presets[{index}]", preset, services, routes)
    if configuration.active_preset not in {p.name for p in configuration.presets}:
        yield Fault(
            "$.active_preset",
            f"{configuration.active_preset!r} is not a defined preset",
            "name one of the presets",
        )


def _check_names(
    field: str, items: Sequence[Service | Route | Preset]
) -> Iterator[Fault]:
    counts = Counter(item.name for item in items)
    for index, item in enumerate(items):
        path = f"$.{field}[{index}].name"
        if not NAME_PATTERN.fullmatch(item.name):
            yield Fault(
                path,
                f"{item.name!r} is not a valid name",
                "use up to 64 of a-z, 0-9, '.', '_' and '-'",
            )
        if counts[item.name] > 1:
            yield Fault(path, f"{item.name!r} is not unique", "rename one of them")


def _check_range(path: str, value: float, low: float, high: float) -> Iterator[Fault]:
    if not low <= value <= high:
        yield Fault(path, f"{value} is out of range", f"use {low} to {high}")


def _check_service(path: str, service: Service) -> Iterator[Fault]:
    yield from _check_range(f"{path}.timeout_ms", service.timeout_ms, 1, MAX_TIMEOUT_MS)
    yield from _check_range(
        f"{path}.connect_timeout_ms", service.connect_timeout_ms, 1, service.timeout_ms
    )
    yield from _check_rules(path, service.retry, service.limits, service.selection)


def _check_rules(
    path: str,
    retry: RetryRule | None,
    limits: LimitRule | None,
    selection: SelectionRule | None,
) -> Iterator[Fault]:
    if retry is not None:
        yield from _check_range(f"{path}.retry.max_attempts", retry.max_attempts, 1, 5)
        yield from _check_range(f"{path}.retry.budget_ratio", retry.budget_ratio, 0, 1)
    if limits is not None:
        yield from _check_range(f"{path}.limits.slots", limits.slots, 1, 100_000)
        yield from _check_range(
            f"{path}.limits.queue_length", limits.queue_length, 0, 100_000
        )
        yield from _check_range(
            f"{path}.limits.queue_timeout_ms",
            limits.queue_timeout_ms,
            0,
            MAX_TIMEOUT_MS,
        )
    if selection is not None:
        for name in ("spill_over_ratio", "ejection_ratio"):
            yield from _check_range(
                f"{path}.selection.{name}", getattr(selection, name), 0, 1
            )
        for name in ("ramp_up_ms", "ejection_ms"):
            yield from _check_range(
                f"{path}.selection.{name}",
                getattr(selection, name),
                0,
                MAX_TIMEOUT_MS,
            )


def _check_route(path: str, route: Route, services: set[str]) -> Iterator[Fault]:
    if route.service not in services:
        yield Fault(
            f"{path}.service",
            f"{route.service!r} is not a defined service",
            "name one of the services or add it",
        )
    if not route.path_prefix.startswith("/"):
        yield Fault(
            f"{path}.path_prefix",
            f"{route.path_prefix!r} does not begin with '/'",
            "write the whole path",
        )
    for index, method in enumerate(route.methods):
        if not (method.isascii() and method.isalpha() and method.isupper()):
            yield Fault(
                f"{path}.methods[{index}]",
                f"{method!r} is not a valid method",
                "use upper case, for example GET",
            )
    if route.timeout_ms is not None:
        yield from _check_range(
            f"{path}.timeout_ms", route.timeout_ms, 1, MAX_TIMEOUT_MS
        )


def _check_preset(
    path: str, preset: Preset, services: set[str], routes: set[str]
) -> Iterator[Fault]:
    shares = attrs.asdict(preset.class_shares)
    for name, share in shares.items():
        yield from _check_range(f"{path}.class_shares.{name}", share, 0, 1)
    for index, patch in enumerate(preset.services):
        patch_path = f"{path}.services[{index}]"
        if patch.service not in services:
            yield Fault(
                f"{patch_path}.service",
                f"{patch.service!r} is not a defined service",
                "name one of the services",
            )
        if patch.timeout_ms is not None:
            yield from _check_range(
                f"{patch_path}.timeout_ms", patch.timeout_ms, 1, MAX_TIMEOUT_MS
            )
        yield from _check_rules(patch_path, patch.retry, patch.limits, patch.selection)
    for index, route_patch in enumerate(preset.routes):
        patch_path = f"{path}.routes[{index}]"
        if route_patch.route not in routes:
            yield Fault(
                f"{patch_path}.route",
                f"{route_patch.route!r} is not a defined route",
                "name one of the routes",
            )
        if route_patch.service is not None and route_patch.service not in services:
            yield Fault(
                f"{patch_path}.service",
                f"{route_patch.service!r} is not a defined service",
                "name one of the services",
            )
