"""Configurations of a given size, made from a seed."""

import random

import orjson

from azurestep.config.document import (
    Document,
    EntryKey,
    canonical_json,
    document_from_dict,
)

TARGET_SERVICES = 73
ROUTES_PER_SERVICE = 3
HOST = "mesh.example"
PRESETS = ("ordinary", "peak", "maintenance")
METHODS = (["GET", "HEAD"], ["POST"], ["GET"])
PRIORITIES = ("interactive", "payment", "bulk")


def service_name(index: int) -> str:
    """Return the name of a generated service."""
    return f"service-{index:02d}"


def generate(seed: int, services: int = TARGET_SERVICES) -> Document:
    """Return a configuration with services, routes, rules and presets.

    Each service gets three routes, one of each priority; the peak and the
    maintenance preset patch about a quarter of the routes.
    """
    source = random.Random(seed)
    names = [service_name(index) for index in range(services)]
    routes = [
        _route(source, name, index)
        for name in names
        for index in range(ROUTES_PER_SERVICE)
    ]
    return document_from_dict(
        {
            "format": 1,
            "active_preset": PRESETS[0],
            "services": [_service(source, name) for name in names],
            "routes": routes,
            "presets": [_preset(source, name, routes) for name in PRESETS],
        }
    )


def _service(source: random.Random, name: str) -> dict:
    return {
        "name": name,
        "timeout_ms": source.choice((1000, 1500, 2000, 5000)),
        "limits": {"slots": source.randint(8, 24)},
        "retry": {"max_attempts": 2, "budget_ratio": source.choice((0.05, 0.1))},
    }


def _route(source: random.Random, service: str, index: int) -> dict:
    return {
        "name": f"{service}-{PRIORITIES[index]}",
        "host": HOST,
        "path_prefix": f"/{service}/{PRIORITIES[index]}",
        "methods": METHODS[index],
        "service": service,
        "priority": PRIORITIES[index],
        "idempotent": index != 1,
        "timeout_ms": source.choice((800, 1200, 3000)),
    }


def _preset(source: random.Random, name: str, routes: list[dict]) -> dict:
    if name == PRESETS[0]:
        return {"name": name}
    patched = source.sample(routes, len(routes) // 4)
    patches = [{"route": r["name"], "timeout_ms": 700} for r in patched]
    return {"name": name, "class_shares": {"bulk": 0.1}, "routes": patches}


def changed(document: Document, source: random.Random) -> dict[EntryKey, bytes]:
    """Return an ordinary change: one route gets another timeout."""
    keys = [key for key in sorted(document.entries) if key.section.field == "routes"]
    key = source.choice(keys)
    route = orjson.loads(document.entries[key])
    route["timeout_ms"] = source.randint(500, 30_000)
    return {key: canonical_json(route)}
