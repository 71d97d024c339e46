"""The fleet of one run: node processes, stand-ins and relays on loopback addresses."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

import attrs
import orjson
from aiohttp import ClientSession, ClientTimeout, web

from azurestep.platform.boot import SETTINGS_VARIABLE
from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC
from standins.serving import Address
from standins.signing_server import SigningServer
from standins.silent_proxy import SilentProxy
from standins.store import StoreStandIn

from .document import document
from .plan import DRAIN_S, STOP_LASTS_S
from .records import ProcessEnd
from .teams import PUBLIC_PATH, SERVER_QUEUE, Keyring

CALLER_PORT, PEER_PORT, PEER_LISTEN_PORT, READY_PORT = 7201, 7202, 7203, 7204
ANNOUNCE_PORT, METRICS_PORT, BACKEND_PORT, STORE_PORT = 7205, 7206, 7207, 7208
NODE = ("-m", "azurestep", "sidecar")
HEARTBEAT_S = 0.5
WORK_S = 0.06
ACKNOWLEDGED_WITHIN_S = 1.0
LINK_MBPS = 1000.0
OK = 200


def catches(status: str, number: signal.Signals) -> bool:
    """Return whether the status of a process says that it catches a signal.

    Examples
    --------
    >>> catches("Name: python SigCgt: 0000000000000001", signal.SIGHUP)
    True
    """
    mask = status.partition("SigCgt:")[2].split()[0]
    return bool(int(mask, 16) >> (number - 1) & 1)


@attrs.define(eq=False)
class Instance:
    """One instance: a node process, its relay, and a backend server.

    Attributes
    ----------
    wanted : bool
        Whether the process is to run; it is started again while it is.
    beating : bool
        Whether the backend server sends heartbeats.
    ends : list of ProcessEnd
        How the former processes ended.
    """

    index: int
    host: str
    directory: pathlib.Path
    store: Address
    relay: SilentProxy
    server: SigningServer
    process: subprocess.Popen[bytes] | None = None
    first_start: bool = True
    wanted: bool = True
    beating: bool = True
    beats: int = 0
    program: tuple[str, ...] = NODE
    drain_s: float = DRAIN_S
    ends: list[ProcessEnd] = attrs.field(factory=list)
    _handled: set[signal.Signals] = attrs.field(factory=set)
    _stop_asked: bool = False
    _stopped_early: bool = False

    def start(self) -> None:
        """Start the node's process."""
        self.record_end()
        self.settings_path.write_bytes(self.settings_content())
        log = (self.directory / f"node-{self.index}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, *self.program],
            env={**os.environ, SETTINGS_VARIABLE: str(self.settings_path)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.first_start = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            if number == signal.SIGTERM and not self._stop_asked:
                self._stop_asked = True
                self._stopped_early = not self.handles(number)
            self.process.send_signal(number)

    def record_end(self) -> None:
        """Record how the last process ended, if it has."""
        if self.process is not None and not self.running:
            name = f"node-{self.index}"
            status = self.process.returncode
            asked, early = self._stop_asked, self._stopped_early
            self.ends.append(ProcessEnd(name, status, asked, early))
            self.process = None
        self._stop_asked = self._stopped_early = False
        self._handled.clear()

    def handles(self, number: signal.Signals) -> bool:
        """Return whether the process has begun to handle a signal."""
        if self.process is None or not self.running:
            return False
        if number not in self._handled:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            if catches(status, number):
                self._handled.add(number)
        return number in self._handled

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def settings_path(self) -> pathlib.Path:
        """Path of the settings file."""
        return self.directory / f"settings-{self.index}.json"

    def settings_content(self, **changes: object) -> bytes:
        """Return the content of the settings file, with some fields changed."""
        return orjson.dumps({**self._settings(), **changes})

    def _settings(self) -> dict[str, object]:
        host = self.host
        return {
            "instance": f"node-{self.index}",
            "data_centre": f"dc-{self.index % 2}",
            "service": "shop",
            "first_start": self.first_start,
            "ip_address": host,
            "caller_address": f"{host}:{CALLER_PORT}",
            "peer_address": f"{host}:{PEER_PORT}",
            "peer_listen_address": f"{host}:{PEER_LISTEN_PORT}",
            "ready_address": f"{host}:{READY_PORT}",
            "announce_address": f"{host}:{ANNOUNCE_PORT}",
            "backend_address": f"{host}:{BACKEND_PORT}",
            "metrics_port": METRICS_PORT,
            "link_mbps": LINK_MBPS,
            "bounds": {
                "drain": f"{self.drain_s:.0f}s",
                "grace": f"{STOP_LASTS_S:.0f}s",
            },
            "store": {"address": f"{self.store.host}:{self.store.port}"},
        }


@attrs.define(eq=False)
class Fleet:
    """All instances of a run, and the store.

    Attributes
    ----------
    program : tuple of str
        Arguments of the interpreter that start a node.
    drain_s : float
        How long a node that stops still takes requests.
    keyring : Keyring or None
        Keys of callers; None where the configuration has no teams.
    """

    network: str
    directory: pathlib.Path
    store: StoreStandIn
    session: ClientSession
    program: tuple[str, ...] = NODE
    drain_s: float = DRAIN_S
    instances: list[Instance] = attrs.field(factory=list)
    paths: list[str] = attrs.field(factory=lambda: ["/read/"])
    version: int = 0
    keyring: Keyring | None = None
    _runner: web.AppRunner | None = None
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def use_teams(self, quota_per_s: float) -> None:
        """Have teams in the configuration, and a public route."""
        self.keyring = Keyring(quota_per_s)
        self.paths.append(PUBLIC_PATH)

    async def start(self, count: int) -> None:
        """Start the store and all instances, and wait until all are ready."""
        self.publish()
        self._runner = web.AppRunner(self.store.application(), shutdown_timeout=0)
        await self._runner.setup()
        store = Address(f"{self.network}.250", STORE_PORT)
        await web.TCPSite(self._runner, store.host, store.port).start()
        for index in range(count):
            self.instances.append(await self._new_instance(index, store))
        for instance in self.instances:
            instance.start()
            self._tasks.append(asyncio.create_task(self._keep_running(instance)))
            self._tasks.append(asyncio.create_task(self._beat(instance)))
        await asyncio.gather(*(self._ready(one) for one in self.instances))

    def publish(self, path: str = "") -> int:
        """Publish a version, with one more route if a path is given."""
        self.version += 1
        if path:
            self.paths.append(path)
        self.publish_again()
        return self.version

    def publish_again(self) -> None:
        """Publish the latest version once more, as after the store lost it."""
        teams = None if self.keyring is None else self.keyring.entries()
        content = document(self.version, self.paths, teams)
        self.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)

    async def announce(self, instance: Instance, state: str = "ready") -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        instance.beats += 1
        body = {
            "address": f"{instance.host}:{BACKEND_PORT}",
            "information": {
                "service": "shop",
                "version": "v1",
                "zone": "dc-0",
                "slots": instance.server.slots,
            },
            "status": {
                "state": state,
                "sequence": instance.beats,
                "cold_remaining": "0ms",
            },
        }
        name = instance.server.instance_id
        path = f"/v1/instances/{name}/heartbeat"
        url = f"http://{instance.host}:{ANNOUNCE_PORT}{path}"
        timeout = ClientTimeout(total=ACKNOWLEDGED_WITHIN_S)
        try:
            async with self.session.post(url, json=body, timeout=timeout) as answer:
                return answer.status == OK
        except (OSError, TimeoutError):
            return False

    async def stop(self) -> None:
        """End all processes that were started here, and the stand-ins."""
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            instance.wanted = False
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()
                instance.record_end()
            await instance.server.stop()
            await instance.relay.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _new_instance(self, index: int, store: Address) -> Instance:
        host = f"{self.network}.{index + 1}"
        server = SigningServer(f"i-{index}-0", work_s=WORK_S, slots=8)
        if self.keyring is not None:
            server.work_percent, server.queue_length = 100, SERVER_QUEUE
        await server.start(host, BACKEND_PORT)
        relay = SilentProxy(Address(host, PEER_LISTEN_PORT), Address(host, PEER_PORT))
        await relay.start()
        return Instance(
            index,
            host,
            self.directory,
            store,
            relay,
            server,
            program=self.program,
            drain_s=self.drain_s,
        )

    async def _keep_running(self, instance: Instance) -> None:
        while True:
            await asyncio.sleep(0.05)
            if instance.wanted and not instance.running:
                instance.start()

    async def _beat(self, instance: Instance) -> None:
        while True:
            if instance.beating:
                await self.announce(instance)
            await asyncio.sleep(HEARTBEAT_S)

    async def _ready(self, instance: Instance) -> None:
        url = f"http://{instance.host}:{READY_PORT}/v1/ready"
        async with asyncio.timeout(20):
            while True:
                await asyncio.sleep(0.05)
                try:
                    async with self.session.get(url) as answer:
                        if answer.status == OK:
                            return
                except OSError:
                    continue
