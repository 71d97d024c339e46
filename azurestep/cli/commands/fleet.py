"""What the commands that reach the fleet share."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import aiohttp
import attrs
import uvloop

from ...environment import Environment
from ...operations.defaults import OperatorSettings, read_operator_settings, require
from ...operations.node_client import NodeClient
from ...platform.client import LogClient
from ..options import FleetOptions

Value = TypeVar("Value")


def run(work: Coroutine[Any, Any, Value]) -> Value:
    """Run a coroutine of a command to its end."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work)


def resolve(options: FleetOptions, environment: Environment) -> FleetOptions:
    """Fill what the command line leaves out from the operator's defaults."""
    held: OperatorSettings = read_operator_settings(environment.variables)
    return FleetOptions(
        options.node_url or held.node_url,
        options.platform_url or held.platform_url,
        options.operator or held.operator or environment.variables.get("USER"),
    )


@attrs.frozen
class Fleet:
    """Clients of one fleet."""

    session: aiohttp.ClientSession
    options: FleetOptions
    environment: Environment

    def node(self) -> NodeClient:
        """Return a client of the node."""
        url = require(self.options.node_url, "node_url")
        return NodeClient(self.session, url)

    def log(self) -> LogClient:
        """Return a client of the platform's log."""
        url = require(self.options.platform_url, "platform_url")
        return LogClient(self.session, url, self.environment)

    def operator(self) -> str:
        """Return who gives the command."""
        return require(self.options.operator, "operator")
