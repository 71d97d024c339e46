"""Client of a node's operator endpoint."""

from typing import Any

import aiohttp
import attrs
import cattrs
import orjson

from ..config.document import Document
from ..config.records import Entry, document_from_entries
from ..control.link import LinkCounters
from ..errors import NodeUnreachableError
from ..mesh.status import MeshStatus
from ..node.messages import NodeStatus

TIMEOUT_S = 5.0
CONVERTER = cattrs.Converter()
CONVERTER.register_structure_hook(bytes, lambda value, _type: bytes.fromhex(value))


@attrs.frozen
class HeldConfiguration:
    """The configuration that a node holds."""

    version: int
    as_of: int
    hash: str
    document: Document


class NodeClient:
    """Asks one node.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that carries the requests.
    base_url : str
        Address of the operator endpoint.
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")

    async def status(self) -> NodeStatus:
        """Return the state of the node."""
        return CONVERTER.structure(await self._get("/v1/status"), NodeStatus)

    async def mesh_status(self) -> MeshStatus:
        """Return the state of a node on the users' platform.

        The base address is that of its metrics.
        """
        plain = await self._get("/v1/status")
        try:
            return CONVERTER.structure(plain, MeshStatus)
        except cattrs.BaseValidationError as error:
            raise NodeUnreachableError(
                f"what answers at {self._base_url} is no metrics address of a node",
                "Give the metrics address, or --node for an operator endpoint",
            ) from error

    async def counters(self) -> LinkCounters:
        """Return the traffic of the node's control sockets since its start."""
        return CONVERTER.structure(await self._get("/v1/counters"), LinkCounters)

    async def configuration(self) -> HeldConfiguration:
        """Return the configuration in force at the node."""
        plain = await self._get("/v1/configuration")
        entries = CONVERTER.structure(plain["entries"], list[Entry])
        return HeldConfiguration(
            plain["version"],
            plain["as_of"],
            plain["hash"],
            document_from_entries(entries),
        )

    async def drain(self) -> None:
        """Ask the node to stop gracefully."""
        await self._call("POST", "/v1/drain")

    async def _get(self, path: str) -> Any:
        return await self._call("GET", path)

    async def _call(self, method: str, path: str) -> Any:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with self._session.request(
                method, self._base_url + path, timeout=timeout
            ) as response:
                return orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise NodeUnreachableError(
                f"the node at {self._base_url} gave no answer "
                f"({error or type(error).__name__})",
                "Check the address and that the node runs",
            ) from error
