"""Application of presets to a configuration."""

from typing import TypeVar

import attrs

from .model import Configuration, Preset, Route, RoutePatch, Service, ServicePatch

Item = TypeVar("Item", Service, Route)


def active_preset(configuration: Configuration) -> Preset:
    """Return the preset in force of a valid configuration."""
    return next(
        preset
        for preset in configuration.presets
        if preset.name == configuration.active_preset
    )


def apply_active_preset(configuration: Configuration) -> Configuration:
    """Return the configuration with the patches of the active preset applied.

    Examples
    --------
    >>> from azurestep.config.model import Preset, Route, RoutePatch, Service
    >>> peak = Preset("peak", routes=[RoutePatch("bulk", enabled=False)])
    >>> route = Route("bulk", "catalogue")
    >>> base = Configuration(1, "peak", [Service("catalogue")], [route], [peak])
    >>> apply_active_preset(base).routes[0].enabled
    False
    """
    preset = active_preset(configuration)
    service_patches = {patch.service: patch for patch in preset.services}
    route_patches = {patch.route: patch for patch in preset.routes}
    services = [
        _patched(service, service_patches.get(service.name))
        for service in configuration.services
    ]
    routes = [
        _patched(route, route_patches.get(route.name)) for route in configuration.routes
    ]
    return attrs.evolve(configuration, services=services, routes=routes)


def _patched(item: Item, patch: ServicePatch | RoutePatch | None) -> Item:
    if patch is None:
        return item
    reference_field = "service" if isinstance(patch, ServicePatch) else "route"
    values = {
        field.name: getattr(patch, field.name)
        for field in attrs.fields(type(patch))
        if field.name != reference_field and getattr(patch, field.name) is not None
    }
    return attrs.evolve(item, **values)
