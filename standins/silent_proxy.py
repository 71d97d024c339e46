"""TCP relay whose connections can go silent, be held back or be cut."""

import asyncio
import enum

import attrs
from aiohttp import web
from docopt import docopt

from .json_http import read_attrs
from .process import run
from .relay import Link, SideProtocol, Way
from .serving import DEFAULT_HOST, LISTEN_BACKLOG, Address, HttpServer

USAGE = """Relay TCP connections to a target, with faults on demand.

Usage:
  standins.silent_proxy --target HOST:PORT [options]

Options:
  --target HOST:PORT    Where connections lead to.
  --host IP             Address to listen on [default: 127.0.0.1].
  --port PORT           Port of the relay; 0 takes a free one [default: 0].
  --control-port PORT   Port of the fault endpoint; 0 takes a free one [default: 0].
"""


class Direction(enum.Enum):
    """Directions that a fault covers."""

    NONE = "none"
    TO_TARGET = "to_target"
    TO_CALLER = "to_caller"
    BOTH = "both"

    def covers(self, way: Way) -> bool:
        """Return whether the fault covers one way of a connection."""
        return self in {Direction.BOTH, Direction(way.value)}


@attrs.frozen
class Faults:
    """Faults of the relay; the defaults are none.

    Attributes
    ----------
    silent : Direction
        Connections open when this is set swallow all bytes in that direction
        for the rest of their life, their end included. New ones work.
    hold : Direction
        Bytes in that direction wait, on old and new connections, and are
        delivered once the fault is cleared.
    cut : bool
        Open connections are reset and new ones closed at once.
    """

    silent: Direction = Direction.NONE
    hold: Direction = Direction.NONE
    cut: bool = False


@attrs.frozen
class Ready:
    """Addresses in use: of the relay, and of its fault endpoint."""

    host: str
    port: int
    control_port: int


class SilentProxy:
    """TCP relay to one target.

    Parameters
    ----------
    target : Address
        Where connections lead to.
    address : Address
        Address to listen on.
    control : Address
        Address of the endpoint ``PUT /faults``.

    Attributes
    ----------
    opened : int
        Connections accepted so far.
    finished : asyncio.Event
        Set when the relay was asked to stop.
    """

    def __init__(
        self,
        target: Address,
        address: Address = Address(DEFAULT_HOST, 0),  # noqa: B008
        control: Address = Address(DEFAULT_HOST, 0),  # noqa: B008
    ) -> None:
        self.target = target
        self.address = address
        self.faults = Faults()
        self.opened = 0
        self.finished = asyncio.Event()
        self._links: set[Link] = set()
        self._listener: asyncio.Server | None = None
        self._control = HttpServer(self._application(), control)

    @property
    def control(self) -> Address:
        """Return the address of the fault endpoint."""
        return self._control.address

    @property
    def open_connections(self) -> int:
        """Return how many connections are open."""
        return len(self._links)

    async def start(self) -> Ready:
        """Listen, and return the addresses in use."""
        self._listener = await asyncio.get_running_loop().create_server(
            self._new_side, self.address.host, self.address.port, backlog=LISTEN_BACKLOG
        )
        port = self._listener.sockets[0].getsockname()[1]
        self.address = attrs.evolve(self.address, port=port)
        control = await self._control.start()
        return Ready(self.address.host, port, control.port)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._listener is not None:
            self._listener.close()
        self.reset_connections()
        await self._control.close()

    def request_stop(self) -> None:
        """Let the process end."""
        self.finished.set()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults in force; silent connections stay silent."""
        self.faults = faults
        if faults.cut:
            self.reset_connections()
        for link in self._links:
            self._apply(link)
            for way in Way:
                if faults.silent.covers(way):
                    link.silence(way)

    def reset_connections(self) -> None:
        """Reset every open connection, once."""
        for link in list(self._links):
            link.abort()

    def _new_side(self) -> asyncio.Protocol:
        return SideProtocol(self._new_link)

    def _new_link(self, side: SideProtocol) -> Link | None:
        if self.faults.cut:
            return None
        self.opened += 1
        link = Link(side, self.target, on_closed=self._links.discard)
        self._links.add(link)
        self._apply(link)
        return link

    def _apply(self, link: Link) -> None:
        for way in Way:
            link.hold(way, self.faults.hold.covers(way))

    def _application(self) -> web.Application:
        app = web.Application()
        app.router.add_put("/faults", self._handle_faults)
        return app

    async def _handle_faults(self, request: web.Request) -> web.Response:
        self.set_faults(await read_attrs(request, Faults))
        return web.Response(status=204)


def main() -> None:
    """Run the relay from the command line."""
    arguments = docopt(USAGE)
    target_host, _, target_port = arguments["--target"].rpartition(":")
    proxy = SilentProxy(
        target=Address(target_host, int(target_port)),
        address=Address(arguments["--host"], int(arguments["--port"])),
        control=Address(arguments["--host"], int(arguments["--control-port"])),
    )
    run(proxy)


if __name__ == "__main__":
    main()
