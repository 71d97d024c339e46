import asyncio
import os
from collections.abc import Callable

import pytest
import uvloop
from hypothesis import settings

pytest_plugins = [
    "tests.fixtures_fold",
    "tests.fixtures_standins",
    "tests.fixtures_cli",
    "tests.fixtures_traffic",
    "tests.fixtures_world",
    "tests.fixtures_inbound",
    "tests.fixtures_mesh",
    "tests.plugin_known_red",
]

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.register_profile("soak", max_examples=5000, deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_asyncio_loop_factories(
    config: pytest.Config, item: pytest.Item
) -> dict[str, Callable[[], asyncio.AbstractEventLoop]]:
    return {"uvloop": uvloop.new_event_loop}
