"""Control sockets: one for receiving, one per peer for sending."""

import asyncio
from collections import OrderedDict

import attrs
import zmq
import zmq.asyncio
import zmq.auth.asyncio

from ..errors import MessageMalformedError, PortInUseError
from ..events import FRAME_DROPPED, emit
from ..settings import Address, FleetKey
from .codec import MAX_FRAME_BYTES, Envelope, decode, encode
from .messages import Message, Sender
from .waiting import OnDrop, WaitingFrames

SEND_QUEUE_FRAMES = 256
MAX_OUTBOUND_LINKS = 256
FLUSH_INTERVAL_S = 0.005
MS_PER_S = 1000
CURVE_ANY_DOMAIN = "*"


@attrs.define
class LinkCounters:
    """Traffic of the control sockets since startup.

    Attributes
    ----------
    sent_frames, sent_bytes, received_frames, received_bytes : int
        Frames and their sizes, without transport overhead.
    dropped_frames : int
        Received frames that could not be decoded.
    unsent_frames : int
        Frames dropped because a peer's queue was full or they expired unsent.
    """

    sent_frames: int = 0
    sent_bytes: int = 0
    received_frames: int = 0
    received_bytes: int = 0
    dropped_frames: int = 0
    unsent_frames: int = 0


class Links:
    """Control sockets of a node.

    Messages are one-way; an answer is a separate message to the sender's address.
    With a fleet key, CURVE authenticates and encrypts every connection.
    """

    def __init__(self, own: Sender, fleet_key: FleetKey | None) -> None:
        self.counters = LinkCounters()
        self._own = own
        self._key = fleet_key
        self._context = zmq.asyncio.Context()
        self._sync_context = zmq.Context(self._context)
        self._inbound: zmq.asyncio.Socket | None = None
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None
        self._waiting_frames = WaitingFrames()
        self._flush_handle: asyncio.TimerHandle | None = None
        self._outbound: OrderedDict[Address, zmq.Socket[bytes]] = OrderedDict()

    def open(self) -> None:
        """Listen on the node's control address.

        Raises
        ------
        PortInUseError
            If the address can't be bound.
        """
        self._start_authentication()
        socket = self._context.socket(zmq.PULL)
        socket.linger = 0
        socket.maxmsgsize = MAX_FRAME_BYTES
        if self._key is not None:
            socket.curve_server = True
            socket.curve_secretkey = self._key.secret_key.encode()
            socket.curve_publickey = self._key.public_key.encode()
        try:
            socket.bind(f"tcp://{self._own.address}")
        except zmq.ZMQError as error:
            socket.close()
            raise PortInUseError(
                f"cannot listen on control address {self._own.address}: {error}",
                "Free the port or set another control_port",
            ) from error
        self._inbound = socket

    def _start_authentication(self) -> None:
        if self._key is None:
            return
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
        self._authenticator.start()
        provider = _FleetKeyProvider(self._key.public_key)
        self._authenticator.configure_curve_callback(CURVE_ANY_DOMAIN, provider)

    async def receive(self) -> Envelope:
        """Return the next valid message; drop and log malformed frames."""
        if self._inbound is None:
            raise RuntimeError("the links are not open")
        while True:
            frame = await self._inbound.recv()
            self.counters.received_frames += 1
            self.counters.received_bytes += len(frame)
            try:
                return decode(frame)
            except MessageMalformedError as error:
                self.counters.dropped_frames += 1
                emit(FRAME_DROPPED, cause=str(error), size_bytes=len(frame))

    def send(
        self, to: Address, message: Message, on_drop: OnDrop | None = None
    ) -> bool:
        """Send without blocking; return whether the frame was sent or queued.

        A frame is queued for up to a second until its connection is established.

        Parameters
        ----------
        on_drop : callable, optional
            Called if the frame is dropped unsent, including when False is returned.
        """
        frame = encode(self._own, message)
        if not self._waiting_frames.has(to) and self._try_send(to, frame):
            return True
        if self._waiting_frames.add(to, frame, self._now_ms(), on_drop):
            self._schedule_flush()
            return True
        self.counters.unsent_frames += 1
        if on_drop is not None:
            on_drop()
        return False

    def _try_send(self, to: Address, frame: bytes) -> bool:
        try:
            self._outbound_socket(to).send(frame, zmq.DONTWAIT)
        except zmq.Again:
            return False
        self.counters.sent_frames += 1
        self.counters.sent_bytes += len(frame)
        return True

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * MS_PER_S

    def _schedule_flush(self) -> None:
        if self._flush_handle is None:
            loop = asyncio.get_running_loop()
            self._flush_handle = loop.call_later(FLUSH_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        self._flush_handle = None
        self._waiting_frames.flush(self._try_send)
        for dropped in self._waiting_frames.expire(self._now_ms()):
            self.counters.unsent_frames += 1
            if dropped.on_drop is not None:
                dropped.on_drop()
        if len(self._waiting_frames):
            self._schedule_flush()

    def _outbound_socket(self, to: Address) -> "zmq.Socket[bytes]":
        held = self._outbound.get(to)
        if held is not None:
            self._outbound.move_to_end(to)
            return held
        socket = self._sync_context.socket(zmq.PUSH)
        socket.linger = 0
        socket.sndhwm = SEND_QUEUE_FRAMES
        socket.immediate = True
        if self._key is not None:
            socket.curve_serverkey = self._key.public_key.encode()
            socket.curve_secretkey = self._key.secret_key.encode()
            socket.curve_publickey = self._key.public_key.encode()
        socket.connect(f"tcp://{to}")
        self._outbound[to] = socket
        if len(self._outbound) > MAX_OUTBOUND_LINKS:
            _, oldest = self._outbound.popitem(last=False)
            oldest.close()
        return socket

    def replace(self, to: Address) -> None:
        """Close the connection to a peer; the next message opens a new one."""
        socket = self._outbound.pop(to, None)
        if socket is not None:
            socket.close()

    async def close(self, flush_ms: int = 200) -> None:
        """Close all sockets, lingering up to ``flush_ms`` to send queued frames."""
        self._waiting_frames.flush(self._try_send)
        if self._flush_handle is not None:
            self._flush_handle.cancel()
        for socket in self._outbound.values():
            socket.close(linger=flush_ms)
        self._outbound.clear()
        if self._inbound is not None:
            self._inbound.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self._context.term)


class _FleetKeyProvider:
    """CURVE credentials provider that accepts only the fleet key."""

    def __init__(self, public_key: str) -> None:
        self._public_key = public_key.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer's public key is allowed."""
        return key == self._public_key
