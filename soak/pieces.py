"""Callers that send their requests in pieces: long heads, large bodies, late reads."""

import asyncio

import attrs
from aiohttp import ClientSession

from standins.platform_names import TEAM_HEADER

from .callers import CUT, FORGED_TEAM, GIVE_UP_S, NO_CONNECTION, Caller, Sending
from .fleet import CALLER_PORT

BODY_BYTES = (0, 0, 1000, 60_000, 120_000, 240_000, 360_000)
PADDING_BYTES = (0, 0, 0, 4000, 12_000)
"""Added to heads, whose limit is 16,384 bytes."""
CHUNK_BYTES = 20_000
CHUNKED_SHARE = 0.3
MOST_CUTS = 3
LONGEST_GAP_S = 0.05
"""Far below the time that a caller may take for a head, 3 s."""
PIECES_PAUSE_S = 0.2
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@attrs.define(eq=False)
class PieceCaller(Caller):
    """Sends reads, many with a body, in pieces on a connection that it keeps."""

    _streams: Streams | None = None

    def draw(self, name: str) -> Sending:
        """Return the next request."""
        body = b"u" * self.random.choice(BODY_BYTES)
        return Sending("/read/", "/read/x", body, True)

    async def _call(self, session: ClientSession) -> None:
        await asyncio.sleep(self.random.uniform(0, 2 * PIECES_PAUSE_S))
        await super()._call(session)

    async def _send(
        self, session: ClientSession, name: str, sending: Sending, key: str | None
    ) -> tuple[int, bool]:
        content = self._content(name, sending, key)
        try:
            async with asyncio.timeout(sending.deadline_s + GIVE_UP_S):
                reader, writer = await self._connect()
                for piece in self._cut(content):
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(self.random.uniform(0, LONGEST_GAP_S))
                return await self._read(reader, name, sending)
        except (OSError, EOFError, TimeoutError):
            connected = self._streams is not None
            self._close()
            return (CUT if connected else NO_CONNECTION), False

    async def _connect(self) -> Streams:
        if self._streams is not None:
            reader, writer = self._streams
            if not (reader.at_eof() or writer.is_closing()):
                return self._streams
        self._close()
        host = self.fleet.instances[self.node].host
        self._streams = await asyncio.open_connection(host, CALLER_PORT)
        return self._streams

    def _content(self, name: str, sending: Sending, key: str | None) -> bytes:
        """Return the bytes of a request, with a length or in chunks."""
        lines = [
            f"{'POST' if sending.body else 'GET'} {sending.target} HTTP/1.1",
            "Host: shop.example",
            f"Attempt-Id: {name}",
            f"Deadline-Milliseconds: {round(sending.deadline_s * 1000)}",
            f"Padding: {'p' * self.random.choice(PADDING_BYTES)}",
        ]
        if key:
            lines.append(f"Authorization: Token {key}")
        if self.fleet.keyring is not None:
            lines.append(f"{TEAM_HEADER}: {FORGED_TEAM}")
        body = sending.body
        if body and self.random.random() < CHUNKED_SHARE:
            lines.append("Transfer-Encoding: chunked")
            body = _encode_chunks(body)
        elif body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    def _cut(self, content: bytes) -> list[bytes]:
        """Cut a request at random, mostly within its head."""
        head_bytes = content.index(b"\r\n\r\n") + 4
        places = [0, len(content)]
        for _ in range(self.random.randint(1, MOST_CUTS)):
            end = self.random.choice((head_bytes, head_bytes, len(content)))
            places.append(self.random.randrange(end))
        places.sort()
        return [
            content[begin:end] for begin, end in zip(places, places[1:], strict=False)
        ]

    async def _read(
        self, reader: asyncio.StreamReader, name: str, sending: Sending
    ) -> tuple[int, bool]:
        """Read an answer; return its status and whether it is the request's own."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        fields = {}
        for line in lines:
            field, _, value = line.partition(":")
            fields[field.lower()] = value.strip()
        content = await _read_body(reader, fields)
        if fields.get("connection", "").lower() == "close":
            self._close()
        own = fields.get("attempt-id") == name and content == (sending.body or b"hello")
        return int(first.split()[1]), own

    def _close(self) -> None:
        streams, self._streams = self._streams, None
        if streams is not None:
            streams[1].close()


def _encode_chunks(body: bytes) -> bytes:
    pieces = (body[at : at + CHUNK_BYTES] for at in range(0, len(body), CHUNK_BYTES))
    return b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in pieces) + b"0\r\n\r\n"


async def _read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", 0)))
    parts = []
    while size := int((await reader.readline()).split(b";")[0] or b"0", 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)
