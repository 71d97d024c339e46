"""One relayed TCP connection of the silent proxy."""

import asyncio
import enum
from collections.abc import Callable
from typing import cast

import attrs

from .serving import Address

CONNECT_TIMEOUT_S = 5.0


class Way(enum.Enum):
    """The two ways that bytes go through a connection."""

    TO_TARGET = "to_target"
    TO_CALLER = "to_caller"


class SideProtocol(asyncio.Protocol):
    """One end of a relayed connection.

    Parameters
    ----------
    on_open : callable
        Called with this protocol; returns its link, or None to refuse.
    way : Way
        Way of the bytes that arrive here.
    """

    def __init__(
        self,
        on_open: "Callable[[SideProtocol], Link | None]",
        way: Way = Way.TO_TARGET,
    ) -> None:
        self.way = way
        self.transport: asyncio.Transport | None = None
        self._on_open = on_open
        self._link: Link | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for the link that this end belongs to."""
        self.transport = cast(asyncio.Transport, transport)
        self._link = self._on_open(self)
        if self._link is None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Hand bytes to the link."""
        if self._link is not None:
            self._link.forward(self.way, data)

    def eof_received(self) -> bool:
        """Hand the end of the bytes to the link; stay open for the other way."""
        if self._link is not None:
            self._link.forward_eof(self.way)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the link."""
        if self._link is not None:
            self._link.lost(self.way)

    def pause_writing(self) -> None:
        """Stop reading at the other end until the bytes here have gone."""
        if self._link is not None:
            self._link.set_full(self.way, full=True)

    def resume_writing(self) -> None:
        """Read on at the other end."""
        if self._link is not None:
            self._link.set_full(self.way, full=False)


@attrs.define
class WayState:
    """What holds for one way of a connection.

    Attributes
    ----------
    silent : bool
        Bytes and their end are swallowed.
    held, full : bool
        Bytes wait: by the fault, or because the receiving end is full.
    ended : bool
        The sending end has sent its last byte.
    pending : bytearray
        Bytes that arrived while they had to wait; an event loop may deliver some
        after reading was paused.
    """

    silent: bool = False
    held: bool = False
    full: bool = False
    ended: bool = False
    pending: bytearray = attrs.Factory(bytearray)


class Link:
    """A caller's connection and the one to the target that belongs to it.

    Parameters
    ----------
    caller_side : SideProtocol
        The accepted connection.
    target : Address
        Where to connect.
    on_closed : callable
        Called with this link once neither end is open.
    """

    def __init__(
        self,
        caller_side: SideProtocol,
        target: Address,
        on_closed: "Callable[[Link], None]",
    ) -> None:
        self._target = target
        self._on_closed = on_closed
        self._states = {way: WayState() for way in Way}
        self._sources: dict[Way, SideProtocol] = {Way.TO_TARGET: caller_side}
        self._update(Way.TO_TARGET)
        self._connecting = asyncio.create_task(self._connect())

    def silence(self, way: Way) -> None:
        """Swallow all bytes of one way from now on, those that wait included."""
        state = self._states[way]
        state.silent = True
        state.pending.clear()

    def hold(self, way: Way, held: bool) -> None:
        """Hold the bytes of one way back, or let them go."""
        self._states[way].held = held
        self._update(way)

    def forward(self, way: Way, data: bytes) -> None:
        """Pass bytes on to the other end."""
        state = self._states[way]
        if state.silent:
            return
        state.pending.extend(data)
        self._flush(way)

    def forward_eof(self, way: Way) -> None:
        """Pass the end of the bytes on to the other end."""
        self._states[way].ended = True
        self._flush(way)

    def lost(self, way: Way) -> None:
        """Take note that the end where a way's bytes arrive has closed."""
        self._sources.pop(way, None)
        sink = self._sink(way)
        if not self._sources:
            self._connecting.cancel()
            self._on_closed(self)
            return
        if sink is not None and not self._states[way].silent:
            sink.close()

    def set_full(self, way: Way, full: bool) -> None:
        """Stop or go on reading what goes to the end of this way's source."""
        other = opposite(way)
        self._states[other].full = full
        self._update(other)

    def abort(self) -> None:
        """Reset both ends."""
        self._connecting.cancel()
        for source in list(self._sources.values()):
            if source.transport is not None:
                source.transport.abort()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: SideProtocol(self._opened, Way.TO_CALLER),
                    self._target.host,
                    self._target.port,
                )
        except OSError:
            self.abort()

    def _opened(self, side: SideProtocol) -> "Link | None":
        if Way.TO_TARGET not in self._sources:
            return None
        self._sources[Way.TO_CALLER] = side
        for way in Way:
            self._update(way)
        return self

    def _update(self, way: Way) -> None:
        source = self._sources.get(way)
        if source is not None and source.transport is not None:
            self._update_reading(way, source.transport)
        self._flush(way)

    def _update_reading(self, way: Way, source: asyncio.Transport) -> None:
        if source.is_closing():
            return
        if self._states[way].full or self._must_wait(way):
            source.pause_reading()
        else:
            source.resume_reading()

    def _must_wait(self, way: Way) -> bool:
        return self._states[way].held or self._sink(way) is None

    def _flush(self, way: Way) -> None:
        state = self._states[way]
        sink = self._sink(way)
        if sink is None or state.held or state.silent or sink.is_closing():
            return
        if state.pending:
            sink.write(bytes(state.pending))
            state.pending.clear()
        if not state.ended:
            return
        sink.write_eof()
        if all(other.ended for other in self._states.values()):
            sink.close()
            self._close_source(way)

    def _sink(self, way: Way) -> asyncio.Transport | None:
        side = self._sources.get(opposite(way))
        return side.transport if side is not None else None

    def _close_source(self, way: Way) -> None:
        source = self._sources.get(way)
        if source is not None and source.transport is not None:
            source.transport.close()


def opposite(way: Way) -> Way:
    """Return the other way of a connection."""
    return Way.TO_CALLER if way is Way.TO_TARGET else Way.TO_TARGET
