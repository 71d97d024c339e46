"""Stand-ins for the review's scripts: store, servers, relays and the platform.

They need the standard library only and speak what PROTOCOL.md says. All of them run in
one event loop; the nodes are processes of their own, started as the deploy file says.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
from collections.abc import Iterable

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "shop.example"
NODE = ("python3", "-P", "-S", "-m", "azurestep", "sidecar")
"""The command ``run`` of deploy/system.toml."""
HEARTBEAT_S = 1.5
HEARTBEAT_RETRY_S = 0.3
RESTART_DELAY_S = 0.3
READ_BYTES = 65_536
RECORD_LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
Head = tuple[str, dict[str, str]]
PORTS = ("caller", "peer", "listen", "ready", "announce", "backend", "metrics")


class Record:
    """The lines of ``record.txt``: what was sent, answered and run, and when."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def at_s(self, time_s: float) -> float:
        """Return a time as the lines show it."""
        return time_s - self._start_s

    def write(self, *words: object) -> None:
        """Write one line."""
        now_s = self.at_s(time.monotonic())
        self._file.write(f"{now_s:9.4f} " + " ".join(map(str, words)) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the first line and the headers, or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the whole body of a message."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


def message(first: str, headers: Iterable[str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [first, *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def call(
    address: str, method: str, path: str, body: object, timeout_s: float = 1.0
) -> tuple[int, bytes] | None:
    """Make one call on a connection of its own; return status and content or None."""
    host, port = address.split(":")
    content = b"" if body is None else json.dumps(body).encode()
    names = [f"Host: {address}", "Content-Type: application/json", "Connection: close"]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(message(f"{method} {path} HTTP/1.1", names, content))
            head = await read_head(reader)
            if head is None:
                return None
            found = await read_body(reader, head[1])
            return int(head[0].split(" ")[1]), found
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


def free_port(host: str) -> int:
    """Return a port that is free on a loopback address."""
    with socket.socket() as one:
        one.bind((host, 0))
        return int(one.getsockname()[1])


def route(
    prefix: str, kind: str, service: str, timeout_ms: int, aim_ms: int
) -> dict[str, object]:
    """Return a route of a configuration."""
    return {
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout": f"{timeout_ms}ms",
        "aim": f"{aim_ms}ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def configuration(
    version: int,
    routes: dict[str, object],
    services: Iterable[str],
    tenants: dict[str, object] | None = None,
) -> bytes:
    """Return a configuration as the operator writes it."""
    document: dict[str, object] = {
        "version": version,
        "routes": routes,
        "services": {name: {"health_check_path": "/health"} for name in services},
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 67_108_864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
    if tenants is not None:
        document["tenants"] = tenants
    return json.dumps(document).encode()


class Listener:
    """A TCP listener whose connections are served one by one."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, host, port)

    async def stop(self) -> None:
        """Close the listener and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._run(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self.serve(reader, writer)
            writer.close()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
        except asyncio.CancelledError:
            writer.transport.abort()
            raise

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Topic:
    """One partition of the store's log."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.grown = asyncio.Event()

    def append(self, record: bytes, keyed: bool) -> None:
        """Append a record and wake the readers."""
        if keyed:
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (len(self.records), value)
        self.records.append(record)
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()


class Producer:
    """What one producer has appended to a topic."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.sequence = -1
        self.answers: dict[int, dict[str, object]] = {}


class Store(Listener):
    """The platform's store, as far as nodes call it."""

    def __init__(self) -> None:
        super().__init__()
        self._topics: dict[str, Topic] = {}
        self._producers: dict[tuple[str, str], Producer] = {}

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self._topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a key, as the operator does."""
        name = key.encode()
        self.topic(topic).append(bytes([len(name)]) + name + value, keyed=True)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer calls until the connection ends."""
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head[1])
            status, content = await self._answer(head[0], body)
            names = ["Content-Type: application/json", "Store-Era: 1"]
            writer.write(message(f"HTTP/1.1 {status} X", names, content))
            await writer.drain()

    async def _answer(self, first: str, body: bytes) -> tuple[int, bytes]:
        path, _, text = first.split(" ")[1].partition("?")
        query = dict(one.split("=", 1) for one in text.split("&") if one)
        if path == "/v1/log-append":
            status, fields = self._append(query, body)
            return status, json.dumps(fields).encode()
        if path == "/v1/log-newest":
            return 200, json.dumps(self._newest(query)).encode()
        return await self._read(query)

    def _append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, object]]:
        topic = self.topic(query["topic"])
        end = len(topic.records)
        if int(query.get("at", end)) != end:
            return 412, {"end_offset": end}
        producer, sequence = None, int(query.get("sequence", 0))
        if "producer" in query:
            name, epoch = (query["topic"], query["producer"]), int(query["epoch"])
            producer = self._producers.get(name)
            if producer is None or epoch > producer.epoch:
                producer = self._producers[name] = Producer(epoch)
            elif epoch < producer.epoch:
                return 409, {"why": "fenced"}
            elif sequence in producer.answers:
                return 200, producer.answers[sequence]
            elif sequence != producer.sequence + 1:
                return 409, {"why": "seq", "sequence": producer.sequence + 1}
        while body:
            (size,) = RECORD_LENGTH.unpack_from(body)
            topic.append(body[4 : 4 + size], query["topic"].startswith("keyed."))
            body = body[4 + size :]
        answer: dict[str, object] = {
            "offset": end,
            "end_offset": len(topic.records),
        }
        if producer is not None:
            producer.sequence = sequence
            producer.answers[sequence] = answer
        return 200, answer

    def _newest(self, query: dict[str, str]) -> dict[str, object]:
        topic, after = self.topic(query["topic"]), query.get("after", "")
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(topic.newest.items())
            if key > after
        ]
        return {"items": items, "has_more": False, "end_offset": len(topic.records)}

    async def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        topic, start = self.topic(query["topic"]), int(query["from"])
        if start > len(topic.records):
            return 410, json.dumps({"first_offset": 0}).encode()
        wait_s = int(query.get("wait_ms", 0)) / 1000
        if start == len(topic.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.grown.wait(), wait_s)
        content = OFFSETS.pack(len(topic.records), 0)
        room = int(query.get("max_kilobytes", 1024)) * 1024
        for index, record in enumerate(topic.records[start:]):
            room -= RECORD_LENGTH.size + len(record)
            if index and room < 0:
                break
            content += RECORD_LENGTH.pack(len(record)) + record
        return 200, content


class Relay(Listener):
    """Relays connections, and holds back what crosses the border of a cut zone.

    Parameters
    ----------
    target : tuple
        Host and port to which connections lead.
    zone : str
        Zone of the target; empty for the store, which is in none.
    zones : sequence of str
        Names of all zones. The first bytes of a link between nodes name the zone of
        its sender.
    cut : set of str
        Zones that are cut off now, shared by all relays.
    source : str
        Zone of the callers; empty if the first bytes tell it.
    """

    def __init__(
        self,
        target: tuple[str, int],
        zone: str,
        zones: Iterable[str],
        cut: set[str],
        source: str = "",
    ) -> None:
        super().__init__()
        self._target = target
        self._zone = zone
        self._zones = tuple(zones)
        self._cut = cut
        self._source = source

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until one end closes it."""
        first = await reader.read(READ_BYTES)
        named = [zone for zone in self._zones if zone.encode() in first]
        source = self._source or (named[0] if named else self._zone)
        await self._wait(source)
        answers, target = await asyncio.open_connection(*self._target)
        ways = (
            asyncio.create_task(self._pass(reader, target, source, first)),
            asyncio.create_task(self._pass(answers, writer, source, b"")),
        )
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
            target.transport.abort()
            writer.transport.abort()

    async def _wait(self, source: str) -> None:
        """Wait while a cut lies between the ends of a connection."""
        while source != self._zone and {source, self._zone} & self._cut:
            await asyncio.sleep(0.01)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        first: bytes,
    ) -> None:
        data = first or await reader.read(READ_BYTES)
        while data:
            await self._wait(source)
            writer.write(data)
            await writer.drain()
            data = await reader.read(READ_BYTES)


class Server(Listener):
    """An application server, which signs its answers and counts its runs.

    Attributes
    ----------
    runs : dict
        When each request began to run, by its id.
    received : list of tuple
        Id, first line and body of each request that ran.
    """

    def __init__(
        self, name: str, service: str, record: Record, work_s: float, slots: int = 8
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.runs: dict[str, list[float]] = {}
        self.received: list[tuple[str, str, bytes]] = []
        self._running = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer requests until the connection ends."""
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head[1])
            writer.write(await self._answer(head[0], head[1], body))
            await writer.drain()

    async def _answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes:
        load = f"Server-Load: {self._running},0,{self.slots}"
        own = f"Instance-Id: {self.name}"
        if first.split(" ")[1] == "/health":
            return message("HTTP/1.1 200 X", [own, load])
        if headers.get("expected-instance") != self.name:
            return message("HTTP/1.1 421 X", [own])
        if self._running >= self.slots:
            return message("HTTP/1.1 503 X", ["Not-Executed: 1", load])
        name = headers.get("attempt-id", "")
        self.runs.setdefault(name, []).append(time.monotonic())
        self.received.append((name, first, body))
        self.record.write("run", name, "at", self.name, first, len(body), "bytes")
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        names = [f"Attempt-Id: {name}", "Response-Signature: s1", load]
        return message("HTTP/1.1 200 X", names, body or b"hello")


class Node:
    """One machine: a node process beside an application server."""

    def __init__(self, fleet: "Fleet", index: int, zone: str, store: str) -> None:
        self.fleet = fleet
        self.index = index
        self.zone = zone
        self.store = store
        self.host = f"{fleet.network}.{index + 1}"
        self.ports = {name: free_port(self.host) for name in PORTS}
        self.servers: list[Server] = []
        self.is_relayed = False
        self.process: subprocess.Popen[bytes] | None = None
        self.first_start = True

    @property
    def server(self) -> Server:
        """The application server that runs now."""
        return self.servers[-1]

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def address(self, name: str) -> str:
        """Return one of the machine's addresses."""
        return f"{self.host}:{self.ports[name]}"

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.fleet.directory / f"settings-{self.index}.json"
        path.write_text(json.dumps(self._settings()), encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.fleet.directory),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "AZURESTEP_BOOT": str(path),
        }
        with (self.fleet.directory / f"node-{self.index}.log").open("ab") as log:
            self.process = subprocess.Popen(
                NODE, env=environment, cwd=ROOT, stdout=log, stderr=log
            )
        self.first_start = False
        self.fleet.record.write("node", self.index, self.zone, "started")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.running:
            self.fleet.record.write("node", self.index, self.zone, "gets", number.name)
            self.process.send_signal(number)

    def _settings(self) -> dict[str, object]:
        """Return the settings as deploy/settings.json renders them.

        A relay in front of the node needs another address to listen on.
        """
        relayed = {"peer_listen_address": self.address("listen")}
        return {
            "instance": f"sidecar-{self.zone}-{self.index}",
            "data_centre": self.zone,
            "service": self.server.service,
            "first_start": self.first_start,
            "ip_address": self.host,
            "caller_address": self.address("caller"),
            "peer_address": self.address("peer"),
            "ready_address": self.address("ready"),
            "announce_address": self.address("announce"),
            "backend_address": self.address("backend"),
            "metrics_port": self.ports["metrics"],
            "link_mbps": 1000.0,
            "bounds": self.fleet.bounds,
            "store": {"address": self.store},
            **(relayed if self.is_relayed else {}),
        }


class Fleet:
    """All machines, and the platform that starts their processes again."""

    def __init__(self, record: Record, bounds: dict[str, object]) -> None:
        self.record = record
        self.bounds = bounds
        self.network = f"127.{random.randrange(10, 250)}.{random.randrange(250)}"
        self.nodes: list[Node] = []
        self._folder = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self._folder.name)
        self._tasks: list[asyncio.Task[None]] = []

    def add(self, zone: str, store: str, server: Server) -> Node:
        """Add a machine with an application server."""
        node = Node(self, len(self.nodes), zone, store)
        node.servers.append(server)
        self.nodes.append(node)
        return node

    async def start(self) -> None:
        """Start all machines, and wait until all nodes are ready."""
        for node in self.nodes:
            await node.server.start(node.host, node.ports["backend"])
            node.start()
            self._tasks.append(asyncio.create_task(self._keep_running(node)))
            self._tasks.append(asyncio.create_task(self._send_heartbeats(node)))
        for node in self.nodes:
            await self.wait_until_ready(node)

    async def wait_until_ready(self, node: Node, limit_s: float = 20.0) -> None:
        """Wait until a node says that it is ready; raises TimeoutError."""
        async with asyncio.timeout(limit_s):
            while True:
                found = await call(node.address("ready"), "GET", "/v1/ready", None)
                if found is not None and found[0] == 200:
                    return
                await asyncio.sleep(0.05)

    async def terminate(self, node: Node, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL after the grace time."""
        process = node.process
        node.send(signal.SIGTERM)
        end_s = time.monotonic() + grace_s
        while node.process is process and node.running:
            if time.monotonic() > end_s:
                node.send(signal.SIGKILL)
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """End all processes that were started here, and the servers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            if node.process is not None and node.running:
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
            await node.server.stop()
        self._folder.cleanup()

    async def _keep_running(self, node: Node) -> None:
        """Start a process again a short time after it has ended."""
        while True:
            await asyncio.sleep(0.02)
            if node.process is not None and not node.running:
                code = node.process.returncode
                self.record.write("node", node.index, node.zone, "ended with", code)
                await asyncio.sleep(RESTART_DELAY_S)
                node.start()

    async def _send_heartbeats(self, node: Node) -> None:
        while True:
            acknowledged = await self._send_heartbeat(node)
            await asyncio.sleep(HEARTBEAT_S if acknowledged else HEARTBEAT_RETRY_S)

    async def _send_heartbeat(self, node: Node) -> bool:
        server = node.server
        server.sequence += 1
        body = {
            "address": node.address("backend"),
            "born": server.born_ms,
            "information": {
                "service": server.service,
                "version": "v1",
                "zone": node.zone,
                "slots": server.slots,
            },
            "status": {
                "state": "ready",
                "sequence": server.sequence,
                "cold_remaining": "0ms",
            },
        }
        path = f"/v1/instances/{server.name}/heartbeat"
        found = await call(node.address("announce"), "POST", path, body)
        return found is not None and found[0] == 200
