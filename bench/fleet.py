"""Starts and ends the processes of an experiment on this instance."""

import asyncio
import contextlib
import pathlib
import random
import signal
import socket
import sys
import tempfile
from typing import Any

import attrs
import orjson
import zmq

from azurestep.settings import (
    Address,
    ControlSettings,
    FleetKey,
    Settings,
    unstructure_settings,
)

HOST = "127.0.0.1"
STOP_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 30.0
WAVE = 12
START_ATTEMPTS = 3
PORT_RANGE = (10_000, 32_000)


class ProcessEndedError(Exception):
    """A process ended before it listened."""


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago.

    They lie below the range from which the kernel numbers outgoing
    connections, so that none of these takes a port before its process does.
    """
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            item = socket.socket()
            try:
                item.bind((HOST, random.randrange(*PORT_RANGE)))
            except OSError:
                item.close()
                continue
            sockets.append(item)
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


@attrs.define
class Process:
    """A process that this experiment started."""

    name: str
    process: asyncio.subprocess.Process
    log: pathlib.Path

    def records(self, event: int) -> list[dict[str, Any]]:
        """Return the log records of one event that the process has written."""
        mark = f'"event":{event},'.encode()
        lines = self.log.read_bytes().splitlines()
        return [orjson.loads(line) for line in lines if mark in line]

    async def stop(self, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal and wait for the end; return the exit code."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal_number)
        try:
            return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            return await self.process.wait()


@attrs.define
class NodeProcess:
    """A node together with its settings."""

    settings: Settings
    process: Process

    @property
    def operator_url(self) -> str:
        """Address of the operator endpoint."""
        return f"http://{HOST}:{self.settings.operator_port}"

    @property
    def traffic_url(self) -> str:
        """Address for callers."""
        return f"http://{HOST}:{self.settings.traffic_port}"

    @property
    def announce_url(self) -> str:
        """Address for the backend server."""
        return f"http://{HOST}:{self.settings.announce_port}"


class Fleet:
    """Processes of one experiment; ends all it started."""

    def __init__(self, control: ControlSettings | None = None) -> None:
        self._control = control or ControlSettings()
        self._directory = tempfile.TemporaryDirectory()
        self._path = pathlib.Path(self._directory.name)
        public, secret = zmq.curve_keypair()
        self.key = FleetKey(public.decode(), secret.decode())
        self._processes: list[Process] = []
        self.nodes: list[NodeProcess] = []
        self.log_url = ""

    async def __aenter__(self) -> "Fleet":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start_log(self, *arguments: str) -> Process:
        """Start the stand-in of the platform's log."""
        (port,) = free_ports(1)
        process = await self._start(
            "log", "-m", "standins.log", "--port", str(port), *arguments
        )
        await wait_for_port(port)
        self.log_url = f"http://{HOST}:{port}"
        return process

    async def start_node(
        self, instance: str, data_centre: str, seeds: list[Address]
    ) -> NodeProcess:
        """Start a node and wait until its operator endpoint listens.

        Raises
        ------
        ProcessEndedError
            If the node ended each time; another program may take a port
            between its choice and its use, so it is tried with other ports.
        """
        for attempt in range(START_ATTEMPTS):
            settings = self._settings(instance, data_centre, seeds)
            try:
                node = await self.restart_node(settings)
            except ProcessEndedError:
                if attempt == START_ATTEMPTS - 1:
                    raise
                continue
            break
        self.nodes.append(node)
        return node

    def _settings(
        self, instance: str, data_centre: str, seeds: list[Address]
    ) -> Settings:
        return Settings(
            instance,
            data_centre,
            HOST,
            *free_ports(4),
            platform_url=self.log_url,
            peers=seeds,
            fleet_key=self.key,
            control=self._control,
        )

    async def start_nodes(
        self, places: list[tuple[str, str]], seeds: list[Address]
    ) -> None:
        """Start nodes, given as instance and data centre, a wave at a time."""
        for first in range(0, len(places), WAVE):
            wave = places[first : first + WAVE]
            await asyncio.gather(*(self.start_node(i, dc, seeds) for i, dc in wave))

    async def restart_node(self, settings: Settings) -> NodeProcess:
        """Start a node with settings that were used before."""
        path = self._path / f"{settings.instance}.json"
        path.write_bytes(orjson.dumps(unstructure_settings(settings)))
        process = await self._start(
            settings.instance, "-m", "azurestep", "node", str(path)
        )
        await wait_for_port(settings.operator_port, process)
        return NodeProcess(settings, process)

    async def start_backend_server(
        self, name: str, service: str, node: NodeProcess, *arguments: str
    ) -> Process:
        """Start a stand-in backend server beside a node."""
        return await self._start(
            name,
            "-m",
            "standins.backend_server",
            "--service",
            service,
            "--announce",
            node.announce_url,
            *arguments,
        )

    async def start_lone_backend_server(self, name: str, *arguments: str) -> Process:
        """Start a stand-in backend server that announces itself to no node."""
        return await self._start(
            name, "-m", "standins.backend_server", "--service", name, *arguments
        )

    async def _start(self, name: str, *arguments: str) -> Process:
        log = self._path / f"{name}.log"
        with log.open("ab") as stream:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=stream, stderr=stream
            )
        started = Process(name, process, log)
        self._processes.append(started)
        return started

    async def stop(self, signal_number: int = signal.SIGTERM) -> None:
        """End every process that was started, then remove its files."""
        running = [p for p in self._processes if p.process.returncode is None]
        await asyncio.gather(*(process.stop(signal_number) for process in running))
        self._directory.cleanup()


async def wait_for_port(port: int, process: Process | None = None) -> None:
    """Wait until something listens on a port.

    Raises
    ------
    TimeoutError
        If nothing does in time.
    ProcessEndedError
        If the process that should listen ended instead.
    """
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(HOST, port)
            except OSError:
                if process is not None and process.process.returncode is not None:
                    raise ProcessEndedError(
                        f"{process.name} ended with {process.process.returncode}: "
                        + process.log.read_text()[-500:]
                    ) from None
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
