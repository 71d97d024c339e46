"""Publishing: append a proposal and learn the fold's verdict on it."""

import asyncio
import uuid

import attrs
from returns.result import Failure, Result, Success

from ..config.delta import make_delta, make_snapshot
from ..config.document import Document
from ..config.fold import Accepted, ConfigurationFold, FoldEvent, Refused
from ..config.records import (
    STREAM,
    Change,
    Checkpoint,
    EditEntries,
    Filler,
    Publication,
    Record,
    ReplaceDocument,
    SwitchPreset,
    encode_record,
    entries_of,
)
from ..control.messages import DataCentreReport
from ..environment import Environment
from ..errors import AzurestepError, PlatformRegressedError, PlatformUnavailableError
from ..platform.client import LogClient
from ..platform.records import Receipt
from .node_client import HeldConfiguration, NodeClient

POLL_WAIT_MS = 1000
STATUS_INTERVAL_S = 0.1


@attrs.frozen
class Verdict:
    """What became of a publication.

    Attributes
    ----------
    id : str
        The publication.
    event : Accepted or Refused
        Decision of the fold.
    """

    id: str
    event: Accepted | Refused

    @property
    def is_accepted(self) -> bool:
        """Whether the publication became the version in force."""
        return isinstance(self.event, Accepted)


def change_between(base: Document, target: Document) -> Change:
    """Return the smallest change that leads from one document to another."""
    if not base.entries:
        return ReplaceDocument(entries_of(target))
    delta = make_delta(base, target, 0, 0)
    return EditEntries(delta.put, delta.removed)


class Publisher:
    """Publishes changes on behalf of one operator.

    Parameters
    ----------
    log : LogClient
        The platform's log.
    node : NodeClient
        A node that tells the configuration in force.
    environment : Environment
        Clock and randomness.
    operator : str
        Who publishes; it stands in the audit trail.
    """

    def __init__(
        self,
        log: LogClient,
        node: NodeClient,
        environment: Environment,
        operator: str,
    ) -> None:
        self._log = log
        self._node = node
        self._environment = environment
        self._operator = operator

    async def publish_document(
        self, target: Document, deadline_ms: float
    ) -> Result[Verdict, AzurestepError]:
        """Publish a whole configuration as a change to the one in force."""
        held = await self._node.configuration()
        change = change_between(held.document, target)
        return await self.publish(change, held, deadline_ms)

    async def switch_preset(
        self, preset: str, deadline_ms: float
    ) -> Result[Verdict, AzurestepError]:
        """Publish that another preset is to be in force."""
        held = await self._node.configuration()
        return await self.publish(SwitchPreset(preset), held, deadline_ms)

    async def publish(
        self, change: Change, held: HeldConfiguration, deadline_ms: float
    ) -> Result[Verdict, AzurestepError]:
        """Append a change made against a held configuration.

        Returns
        -------
        Result
            The verdict, or the error that kept it from being known.
        """
        end = await self._log.next_offset(STREAM)
        if isinstance(end, Success) and end.unwrap() <= held.as_of:
            return Failure(_regressed(end.unwrap(), held.as_of))
        publication = Publication(
            uuid.uuid4().hex, held.version, self._operator, change
        )
        appended = await self._append(publication, deadline_ms)
        if isinstance(appended, Failure):
            return Failure(_undecided(publication.id, appended.failure()))
        return await self._await_verdict(publication.id, held, deadline_ms)

    async def _await_verdict(
        self, id: str, held: HeldConfiguration, deadline_ms: float
    ) -> Result[Verdict, AzurestepError]:
        fold = ConfigurationFold()
        if held.version:
            snapshot = make_snapshot(held.document, held.version, held.as_of)
            fold.adopt(snapshot)
        while self._environment.clock.monotonic_ms() < deadline_ms:
            result = await self._log.read(STREAM, fold.next_offset, POLL_WAIT_MS)
            if isinstance(result, Failure):
                await asyncio.sleep(STATUS_INTERVAL_S)
                continue
            page = result.unwrap()
            events = fold.take(page)
            verdict = _verdict_among(id, events)
            if verdict is not None:
                return Success(verdict)
        return Failure(
            PlatformUnavailableError(
                f"publication {id} is on the log, but its verdict is not known yet",
                "Ask `azurestep status` or the audit trail for it",
            )
        )

    async def continue_log(
        self, held: HeldConfiguration, deadline_ms: float
    ) -> Result[int, AzurestepError]:
        """Go on after a restore of the platform with what the fleet has in force.

        Fillers bring the log back to the offset that the fleet has read; a
        checkpoint then gives the configuration to nodes that start later.

        Returns
        -------
        Result
            Number of fillers, or the error that kept the log from continuing;
            it may be repeated.
        """
        fillers = 0
        while True:
            end = await self._log.next_offset(STREAM)
            if isinstance(end, Failure):
                return Failure(end.failure())
            if end.unwrap() > held.as_of:
                break
            filler = Filler(uuid.uuid4().hex, self._operator)
            appended = await self._append(filler, deadline_ms)
            if isinstance(appended, Failure):
                return Failure(appended.failure())
            fillers += 1
        checkpoint = Checkpoint(
            uuid.uuid4().hex,
            held.as_of,
            held.version,
            entries_of(held.document),
            self._operator,
        )
        return (await self._append(checkpoint, deadline_ms)).map(lambda _: fillers)

    async def _append(
        self, record: Record, deadline_ms: float
    ) -> Result[Receipt, AzurestepError]:
        body = encode_record(record)
        return await self._log.append(STREAM, record.id, body, deadline_ms)

    async def wait_in_force(
        self, version: int, deadline_ms: float
    ) -> list[DataCentreReport]:
        """Wait until every data centre has a version, or one after it, in force.

        Returns
        -------
        list of DataCentreReport
            Reports of the data centres that are not there at the deadline.
        """
        while True:
            status = await self._node.status()
            behind = [r for r in status.reports if not _is_in_force(r, version)]
            if not behind:
                return []
            if self._environment.clock.monotonic_ms() >= deadline_ms:
                return behind
            await asyncio.sleep(STATUS_INTERVAL_S)


def _is_in_force(report: DataCentreReport, version: int) -> bool:
    return report.version >= version and report.in_force >= report.members


def _verdict_among(id: str, events: list[FoldEvent]) -> Verdict | None:
    for event in events:
        if isinstance(event, Accepted | Refused) and event.id == id:
            return Verdict(id, event)
    return None


def _undecided(id: str, error: AzurestepError) -> AzurestepError:
    if not isinstance(error, PlatformUnavailableError):
        return error
    return PlatformUnavailableError(
        f"{error.problem}; publication {id} may stand on the log all the same",
        "Ask the audit trail for it before publishing again",
    )


def _regressed(next_offset: int, as_of: int) -> PlatformRegressedError:
    return PlatformRegressedError(
        f"the platform's log ends before offset {next_offset}, but the fleet has "
        f"read up to {as_of}: the platform was restored from a backup",
        "Nodes keep what is in force; continue the log with it by "
        "`azurestep publish --continue-log`, then publish again",
    )
