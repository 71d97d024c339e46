"""The operators' document of a run."""

import orjson

from standins.platform_names import TEAMS_FIELD

from .plan import STOP_LASTS_S
from .teams import PUBLIC_PATH

LONG_PATH, LONG_PAYMENT_PATH = "/long/", "/long-pay/"


def document(
    version: int, paths: list[str], teams: dict[str, object] | None = None
) -> bytes:
    """Return the operators' document with a payment route and one per path."""
    common = {
        "host": "shop.example",
        "max_attempts": 2,
        "aim": "400ms",
        "timeout": "1800ms",
        "service": "shop",
    }
    routes = {
        f"read-{index}": {
            **common,
            "path_prefix": path,
            "route_kind": "safe",
            "priority": 2,
            **({"public": True} if path == PUBLIC_PATH else {}),
        }
        for index, path in enumerate(paths)
    }
    routes["pay"] = {
        **common,
        "path_prefix": "/pay/",
        "route_kind": "unsafe",
        "priority": 1,
    }
    long = {
        **common,
        "aim": f"{STOP_LASTS_S:.0f}s",
        "timeout": f"{2 * STOP_LASTS_S:.0f}s",
    }
    routes["long"] = {
        **long,
        "path_prefix": LONG_PATH,
        "route_kind": "safe",
        "priority": 2,
    }
    routes["long-pay"] = {
        **long,
        "path_prefix": LONG_PAYMENT_PATH,
        "route_kind": "unsafe",
        "priority": 1,
    }
    return orjson.dumps(
        {
            "version": version,
            "routes": routes,
            "services": {"shop": {"health_check_path": "/health"}},
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4_000_000,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
            },
            **({} if teams is None else {TEAMS_FIELD: teams}),
        }
    )
