"""Running a stand-in as a process of its own."""

import asyncio
import signal
import sys
from typing import Any, Protocol

import aiomisc
import attrs
import orjson
import uvloop


class StandIn(Protocol):
    """What `run` needs of a stand-in."""

    finished: asyncio.Event

    async def start(self) -> Any:
        """Listen; return an attrs instance for the ready line."""

    async def close(self) -> None:
        """Release sockets and tasks."""

    def request_stop(self) -> None:
        """Begin to stop; set `finished` once that is done."""


class StandInService(aiomisc.Service):
    """aiomisc service that holds one stand-in.

    Parameters
    ----------
    stand_in : StandIn
        Stand-in to start and close.
    """

    stand_in: StandIn

    async def start(self) -> None:
        """Start the stand-in and print its ready line.

        Signals are handled before that line, as its reader may send one at once.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stand_in.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.stand_in.request_stop)
        ready = await self.stand_in.start()
        print_line(ready)

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the stand-in."""
        await self.stand_in.close()


def print_line(value: Any) -> None:
    """Write one JSON line to standard output and flush it."""
    sys.stdout.write(orjson.dumps(attrs.asdict(value)).decode() + "\n")
    sys.stdout.flush()


def run(stand_in: StandIn) -> None:
    """Run a stand-in until SIGINT or SIGTERM has stopped it.

    Parameters
    ----------
    stand_in : StandIn
        Stand-in that is not started yet.
    """
    service = StandInService(stand_in=stand_in)
    with aiomisc.entrypoint(
        service,
        loop_factory=uvloop.new_event_loop,
        log_config=False,
        catch_signals=(),
    ) as loop:
        loop.run_until_complete(stand_in.finished.wait())
