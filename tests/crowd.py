"""A crowd of connections beyond all limits, on non-blocking sockets in one thread."""

import itertools
import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterator

import attrs

Address = tuple[str, int]
Pieces = Callable[[], Iterator[bytes]]
"""Returns what one connection sends, piece by piece."""
POLL_S = 0.02


@attrs.frozen(eq=False)
class Client:
    """One connection, which reads nothing.

    Attributes
    ----------
    pieces : Iterator of bytes
        What it sends; each piece begins once the former one was taken.
    """

    endpoint: socket.socket
    pieces: Iterator[bytes]


@attrs.define(eq=False)
class Crowd:
    """Sends on many connections until the other ends close them.

    Attributes
    ----------
    addresses : list of Address
        Where the connections go, in turn.
    max_bytes, max_s : int, float
        What one connection sends at most, and how long the crowd stays.
    pause_s : float
        Time between two pieces of a connection; 0 sends as fast as taken.
    closed : int
        Connections that the other end has closed.
    sent_bytes : int
        Bytes that all connections sent.
    """

    addresses: list[Address]
    pieces: Pieces
    connections: int
    max_bytes: int
    max_s: float
    pause_s: float = 0.0
    closed: int = 0
    sent_bytes: int = 0
    refused: int = 0
    _stopped: threading.Event = attrs.field(factory=threading.Event)
    _thread: threading.Thread = attrs.field(init=False)

    def start(self) -> None:
        """Open the connections and begin to send."""
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    @property
    def presses(self) -> bool:
        """Whether the crowd still holds its connections."""
        return self._thread.is_alive()

    def stop(self) -> None:
        """Close the connections."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        selector = selectors.DefaultSelector()
        clients = []
        addresses = itertools.cycle(self.addresses)
        for _, address in zip(range(self.connections), addresses, strict=False):
            try:
                endpoint = socket.create_connection(address, timeout=10)
            except OSError:
                self.refused += 1
                continue
            endpoint.setblocking(False)
            client = Client(endpoint, self.pieces())
            clients.append(client)
            sender = self._send(client)
            next(sender)
            selector.register(endpoint, selectors.EVENT_WRITE, sender)
        end_s = time.monotonic() + self.max_s
        while time.monotonic() < end_s and not self._stopped.is_set():
            for key, _ in selector.select(POLL_S):
                try:
                    next(key.data)
                except (StopIteration, OSError) as error:
                    self.closed += isinstance(error, OSError)
                    selector.unregister(key.fileobj)
            if self.pause_s:
                time.sleep(self.pause_s)
            elif not selector.get_map():
                time.sleep(POLL_S)
        selector.close()
        for client in clients:
            client.endpoint.close()

    def _send(self, client: Client) -> Iterator[None]:
        """Send one buffer a step."""
        sent_bytes = 0
        yield
        for piece in client.pieces:
            rest = memoryview(piece)
            while rest:
                taken = client.endpoint.send(rest)
                rest = rest[taken:]
                sent_bytes += taken
                self.sent_bytes += taken
                yield
            if sent_bytes >= self.max_bytes:
                return
