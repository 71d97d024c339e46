import asyncio
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import attrs
import orjson
import pytest
import pytest_asyncio

from azurestep.audit.records import (
    DrainBegun,
    PublicationAccepted,
    PublicationRefused,
    VersionInForce,
)
from azurestep.audit.trail import Trail
from azurestep.config.fold import ConfigurationFold
from azurestep.config.records import (
    STREAM,
    Publication,
    ReplaceDocument,
    SwitchPreset,
    encode_record,
    entries_of,
)
from azurestep.config.validate import read_document
from azurestep.control.updates import DataCentreReport, MemberState, MemberStatus
from azurestep.environment import Environment
from azurestep.node.audit import AuditService
from azurestep.node.messages import AuditMessageReceived, AuditOut, ItemArose
from azurestep.operations.audit_reader import read_whole_trail
from azurestep.platform.client import LogClient
from azurestep.settings import AuditSettings, Settings
from standins.log import Faults, LogStandIn

from .fixtures_cli import EXAMPLE

INTERVAL_MS = 100


@attrs.define
class FakeControl:
    """One data centre's view, shared by the audit services of its nodes."""

    names: list[str]
    fold: ConfigurationFold = attrs.field(factory=ConfigurationFold)
    inputs: "asyncio.Queue[AuditOut]" = attrs.field(factory=asyncio.Queue)
    dead: set[str] = attrs.field(factory=set)

    @property
    def spread(self) -> Any:
        return SimpleNamespace(fold=self.fold)

    @property
    def membership(self) -> "FakeControl":
        return self

    @property
    def readers(self) -> Any:
        return SimpleNamespace(names=lambda: self.names[:2])

    def member(self, name: str) -> MemberState:
        status = MemberStatus.DEAD if name in self.dead else MemberStatus.ALIVE
        return MemberState(name, "kgn1", "r", 1, 1, int(status), "h", 1, 2)

    def members(self) -> list[MemberState]:
        return [self.member(name) for name in self.names]

    def reports(self) -> list[DataCentreReport]:
        state = self.fold.state
        count = len(self.names)
        digest = state.document.hash
        return [
            DataCentreReport(
                "kgn1", 1, "a", state.version, digest, count, count, [], 1, 2
            )
        ]


@attrs.define
class FakeDataCentre:
    """Audit services of a data centre whose messages this fake carries."""

    log: LogStandIn
    client: LogClient
    control: FakeControl
    services: dict[str, AuditService] = attrs.field(factory=dict)
    tasks: dict[str, "asyncio.Task[None]"] = attrs.field(factory=dict)

    def start_node(self, name: str) -> AuditService:
        settings = Settings(
            name,
            "kgn1",
            "127.0.0.1",
            1,
            2,
            3,
            4,
            platform_url=self.log.url,
            audit=AuditSettings(append_interval_ms=INTERVAL_MS),
        )
        view: Any = self.control
        service = AuditService(settings, Environment(), view, f"run-{name}")
        service.set_loop(asyncio.get_running_loop())
        self.services[name] = service
        self.tasks[name] = asyncio.create_task(service.start())
        return service

    async def kill_node(self, name: str) -> None:
        self.tasks.pop(name).cancel()
        await self.services.pop(name).stop()

    async def carry(self) -> None:
        while True:
            out = await self.control.inputs.get()
            receiver = self.services.get(out.instance)
            if receiver is not None:
                receiver.inputs.put_nowait(AuditMessageReceived("x", out.message))

    async def publish(self, base: int, change: Any, id: str) -> None:
        body = encode_record(Publication(id, base, "ana", change))
        await self.client.append_attempt(STREAM, body)
        offset = self.control.fold.next_offset
        page = (await self.client.read(STREAM, offset)).unwrap()
        self.control.fold.apply_page(page)

    async def trail(self) -> Trail:
        return await read_whole_trail(self.client)

    async def wait_for(self, kind: type, count: int) -> Trail:
        async with asyncio.timeout(20):
            while True:
                trail = await self.trail()
                if len(list(trail.of_kind(kind))) >= count:
                    return trail
                await asyncio.sleep(0.02)


@pytest_asyncio.fixture
async def data_centre(log: LogStandIn, http: Any) -> AsyncIterator[FakeDataCentre]:
    client = LogClient(http, log.url, Environment())
    fake = FakeDataCentre(log, client, FakeControl(["a", "b", "c"]))
    carrier = asyncio.create_task(fake.carry())
    for name in fake.control.names:
        fake.start_node(name)
    yield fake
    carrier.cancel()
    for name in list(fake.services):
        await fake.kill_node(name)


@pytest.fixture
def whole() -> ReplaceDocument:
    return ReplaceDocument(entries_of(read_document(EXAMPLE.read_bytes()).unwrap()))


async def test_change_is_written_with_its_verdict_and_application(
    data_centre: FakeDataCentre, whole: ReplaceDocument
) -> None:
    await data_centre.publish(0, whole, "first")
    await data_centre.publish(0, SwitchPreset("peak"), "late")
    trail = await data_centre.wait_for(VersionInForce, 1)
    trail = await data_centre.wait_for(PublicationRefused, 1)
    (accepted,) = trail.of_kind(PublicationAccepted)
    (refused,) = trail.of_kind(PublicationRefused)
    (applied,) = trail.of_kind(VersionInForce)
    assert (accepted.id, refused.id) == ("first", "late")
    assert applied.instances == ["a", "b", "c"]
    assert trail.gaps() == []


async def test_items_of_every_node_reach_the_log(data_centre: FakeDataCentre) -> None:
    for name, service in data_centre.services.items():
        service.inputs.put_nowait(ItemArose(DrainBegun(name, 1, 0)))
    trail = await data_centre.wait_for(DrainBegun, 3)
    assert sorted(d.instance for d in trail.of_kind(DrainBegun)) == ["a", "b", "c"]


async def test_successor_of_a_dead_writer_loses_nothing(
    data_centre: FakeDataCentre, whole: ReplaceDocument
) -> None:
    await data_centre.publish(0, whole, "first")
    await data_centre.wait_for(PublicationAccepted, 1)
    await data_centre.kill_node("a")
    await data_centre.publish(1, SwitchPreset("peak"), "second")
    data_centre.services["c"].inputs.put_nowait(ItemArose(DrainBegun("c", 1, 0)))
    data_centre.control.names = ["b", "c"]
    data_centre.control.dead = {"a"}
    trail = await data_centre.wait_for(PublicationAccepted, 2)
    trail = await data_centre.wait_for(DrainBegun, 1)
    assert [a.id for a in trail.of_kind(PublicationAccepted)] == ["first", "second"]


async def test_outage_delays_and_loses_nothing(
    data_centre: FakeDataCentre, whole: ReplaceDocument
) -> None:
    await data_centre.publish(0, whole, "first")
    data_centre.log.set_faults(Faults(outage=True))
    service = data_centre.services["b"]
    for number in range(50):
        service.inputs.put_nowait(ItemArose(DrainBegun("b", number, 0)))
    await asyncio.sleep(0.8)
    data_centre.log.set_faults(Faults())
    trail = await data_centre.wait_for(DrainBegun, 50)
    trail = await data_centre.wait_for(PublicationAccepted, 1)
    assert trail.gaps() == []


async def test_lost_answers_make_copies_that_count_once(
    data_centre: FakeDataCentre, whole: ReplaceDocument
) -> None:
    data_centre.log.set_faults(Faults(lose_answer_ratio=0.5, seed=3))
    await data_centre.publish(0, whole, "first")
    data_centre.services["b"].inputs.put_nowait(ItemArose(DrainBegun("b", 1, 0)))
    await data_centre.wait_for(DrainBegun, 1)
    trail = await data_centre.wait_for(PublicationAccepted, 1)
    assert len(list(trail.of_kind(DrainBegun))) == 1
    assert len(list(trail.of_kind(PublicationAccepted))) == 1


async def test_drain_waits_until_its_end_is_on_the_log(
    data_centre: FakeDataCentre,
) -> None:
    service = data_centre.services["c"]
    begun = service.begin_drain(in_flight=2)
    data_centre.control.names = ["a", "b"]
    assert await service.end_drain(begun, 0, True, timeout_s=15.0)
    trail = await data_centre.trail()
    assert [d.in_flight for d in trail.of_kind(DrainBegun)] == [2]


async def test_foreign_records_are_told_not_fatal(data_centre: FakeDataCentre) -> None:
    await data_centre.client.append_attempt("audit", orjson.dumps({"strange": [1]}))
    data_centre.services["a"].inputs.put_nowait(ItemArose(DrainBegun("a", 1, 0)))
    trail = await data_centre.wait_for(DrainBegun, 1)
    assert len(trail.gaps()) == 1
