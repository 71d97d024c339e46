import pytest

from azurestep.audit.records import (
    Batch,
    DrainBegun,
    DrainEnded,
    Entry,
    Gap,
    PublicationAccepted,
    PublicationRefused,
    RequestRun,
    VersionInForce,
    encode_batch,
)
from azurestep.status import ExitStatus
from standins.log import Faults

from .fixtures_cli import FakeFleet, RunCommand

KEY = "0190163d-8694-739b-aea5-966c26f8ad91"
ITEMS = [
    PublicationAccepted(1, "p1", "ana", 0, "ReplaceDocument", "ordinary", 1000),
    PublicationRefused(2, "p2", "ben", "made against version 0", 1100),
    VersionInForce("kgn1", 1, "ff", 2, 2, ["a", "b"], [], 1200, 1300),
    DrainBegun("a", 1400, 3),
    DrainEnded("a", 1400, 1500, 0),
    RequestRun(KEY, "licensing", "b", "run", "ran", 1600),
    Gap("b", 1, 2, 7, "full"),
]


@pytest.fixture
async def audited(fleet: FakeFleet) -> FakeFleet:
    batch = Batch("b", "kgn1", "a", 2, [Entry(item) for item in ITEMS])
    await fleet.client.append_attempt("audit", encode_batch(batch))
    return fleet


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["versions"], "complete 2/2"),
        (["versions", "--at", "1970-01-01T00:00:02Z"], "300 ms"),
        (["versions", "--instance", "b"], "yes"),
        (["publications"], "made against version 0"),
        (["drains"], "1970-01-01T00:00:01.500Z"),
        (["requests", KEY], "ran once, sent by b"),
        (["gaps"], "full"),
    ],
)
async def test_answers_for_people(
    audited: FakeFleet, arguments: list[str], expected: str
) -> None:
    result = await audited.run("audit", *arguments)
    assert result.status is ExitStatus.OK, result.stderr
    assert expected in result.stdout


async def test_answer_for_programs_tells_its_gaps(audited: FakeFleet) -> None:
    result = await audited.run("audit", "versions", "--json")
    (version,) = result.json["versions"]
    assert version["data_centres"][0]["duration_ms"] == 300
    assert [gap["count"] for gap in result.json["gaps"]] == [7]


async def test_no_answer_is_not_an_empty_one(audited: FakeFleet) -> None:
    audited.log.set_faults(Faults(outage=True))
    result = await audited.run("audit", "publications")
    assert result.status is ExitStatus.PLATFORM_UNAVAILABLE
    assert result.stdout == ""


def test_key_that_is_none_is_refused(run_command: RunCommand) -> None:
    arguments = ["--platform", "http://127.0.0.1:1"]
    result = run_command("audit", "requests", "order-17", *arguments)
    assert result.status is ExitStatus.USAGE
    assert "UUID of version 7" in result.stderr
