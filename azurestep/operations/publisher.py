"""Publishing: append a proposal and learn the fold's verdict on it."""

import asyncio
import uuid

import attrs
from returns.result import Failure, Result, Success

from ..config.delta import make_delta, make_snapshot
from ..config.document import Document, document_to_dict
from ..config.fold import Accepted, ConfigurationFold, Refused
from ..config.records import (
    STREAM,
    Change,
    EditEntries,
    Publication,
    ReplaceDocument,
    SwitchPreset,
    encode_record,
    entries_of,
)
from ..control.updates import DataCentreReport
from ..environment import Environment
from ..errors import (
    AzurestepError,
    ConfigurationError,
    LogRestoredError,
    OutcomeUnknownError,
    PlatformRefusedError,
)
from ..platform.backoff import Backoff
from ..platform.client import LogClient
from ..platform.records import Page
from .node_client import HeldConfiguration, NodeClient
from .waiting import wait_in_force

POLL_WAIT_MS = 1000
RETRY_INTERVAL_S = 0.1


@attrs.frozen
class Verdict:
    """What became of a publication.

    Attributes
    ----------
    id : str
        The publication.
    event : Accepted or Refused
        Decision of the fold.
    version : int
        Version in force after the decision.
    winner : Accepted or None
        Publication that came first, if this one lost a race.
    """

    id: str
    event: Accepted | Refused
    version: int = 0
    winner: Accepted | None = None

    @property
    def is_accepted(self) -> bool:
        """Whether the publication became the version in force."""
        return isinstance(self.event, Accepted)


@attrs.frozen
class Unchanged:
    """There was nothing to publish: the version in force is the same."""

    version: int


Outcome = Result[Verdict | Unchanged, AzurestepError]


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

    async def publish_document(self, target: Document, deadline_ms: float) -> Outcome:
        """Publish a whole configuration as a change to the one in force."""
        held = await self._node.configuration()
        if held.version and held.document.hash == target.hash:
            return Success(Unchanged(held.version))
        change = change_between(held.document, target)
        return await self.publish(change, held, deadline_ms)

    async def switch_preset(self, preset: str, deadline_ms: float) -> Outcome:
        """Publish that another preset is to be in force.

        Raises
        ------
        ConfigurationError
            If the configuration in force has no such preset.
        """
        held = await self._node.configuration()
        _require_preset(held, preset)
        if _active_preset_of(held.document) == preset:
            return Success(Unchanged(held.version))
        return await self.publish(SwitchPreset(preset), held, deadline_ms)

    async def publish(
        self, change: Change, held: HeldConfiguration, deadline_ms: float
    ) -> Outcome:
        """Append a change made against a held configuration.

        Returns
        -------
        Result
            The verdict, or the error that kept it from being known.
        """
        blocked = await self._why_not(held, deadline_ms)
        if blocked is not None:
            return Failure(blocked)
        publication = Publication(
            uuid.uuid4().hex, held.version, self._operator, change
        )
        appended = await self._log.append(
            STREAM, publication.id, encode_record(publication), deadline_ms
        )
        if isinstance(appended, Failure):
            return Failure(_failed_append(publication.id, appended.failure()))
        return await self._await_verdict(publication.id, held, deadline_ms)

    async def _why_not(
        self, held: HeldConfiguration, deadline_ms: float
    ) -> AzurestepError | None:
        """Look at the end of the log before anything is sent to it."""
        backoff = Backoff(self._environment.random)
        while True:
            result = await self._log.read(STREAM, held.as_of, limit=1)
            if isinstance(result, Success):
                return _regression(result.unwrap(), held)
            if self._environment.clock.monotonic_ms() >= deadline_ms:
                return _not_published(result.failure())
            await asyncio.sleep(backoff.next_ms() / 1000)

    async def _await_verdict(
        self, id: str, held: HeldConfiguration, deadline_ms: float
    ) -> Outcome:
        fold = ConfigurationFold()
        if held.version:
            snapshot = make_snapshot(held.document, held.version, held.as_of)
            fold.adopt(snapshot)
        winner: Accepted | None = None
        while self._environment.clock.monotonic_ms() < deadline_ms:
            result = await self._log.read(STREAM, fold.next_offset, POLL_WAIT_MS)
            if isinstance(result, Failure):
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            page = result.unwrap()
            for event in fold.apply_page(page):
                if isinstance(event, Accepted | Refused) and event.id == id:
                    return Success(_verdict_on(event, fold, winner))
                if isinstance(event, Accepted):
                    winner = event
        return Failure(
            OutcomeUnknownError(
                f"publication {id} is on the log, but its verdict is not known yet",
                f"Look for {id} in `azurestep audit publications`; don't publish "
                "again before",
            )
        )

    async def wait_in_force(
        self, version: int, deadline_ms: float
    ) -> list[DataCentreReport]:
        """Return the reports of the data centres not in force at the deadline.

        Raises
        ------
        NodeUnreachableError
            If the node told nothing in all that time.
        """
        waited = await wait_in_force(
            self._node, version, deadline_ms, self._environment
        )
        if not waited.is_complete and not waited.behind:
            await self._node.status()
        return list(waited.behind)


def _verdict_on(
    event: Accepted | Refused, fold: ConfigurationFold, winner: Accepted | None
) -> Verdict:
    if isinstance(event, Accepted):
        return Verdict(event.id, event, event.version)
    lost_race = winner if not event.faults else None
    return Verdict(event.id, event, fold.state.version, lost_race)


def _regression(page: Page, held: HeldConfiguration) -> AzurestepError | None:
    if page.next_offset > held.as_of:
        return None
    return LogRestoredError(
        f"the platform's log ends at offset {page.next_offset - 1}, but the fleet "
        f"has read up to {held.as_of}; nothing was published",
        "The log was restored from an older copy: follow 'Restored platform log' "
        "in docs/OPERATIONS.md; the fleet goes on with what it has",
    )


def _not_published(error: AzurestepError) -> AzurestepError:
    return type(error)(f"{error.problem}; nothing was published", error.remedy)


def _failed_append(id: str, error: AzurestepError) -> AzurestepError:
    if isinstance(error, PlatformRefusedError):
        return _not_published(error)
    return OutcomeUnknownError(
        f"publication {id} was sent, but {error.problem}",
        f"It may be on the log: look for {id} in `azurestep audit publications` "
        "before you publish again",
    )


def _active_preset_of(document: Document) -> str:
    return str(document_to_dict(document).get("active_preset", ""))


def _require_preset(held: HeldConfiguration, preset: str) -> None:
    names = [preset["name"] for preset in document_to_dict(held.document)["presets"]]
    if preset in names:
        return
    raise ConfigurationError(
        f"version {held.version} has no preset {preset!r}",
        f"Name one of {', '.join(names)}" if names else "Publish a configuration first",
    )
