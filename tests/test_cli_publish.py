import asyncio
import pathlib

import orjson

from azurestep.status import ExitStatus
from standins.log import Faults

from .fixtures_cli import EXAMPLE, FakeFleet, WriteConfiguration


def service_with_timeout(timeout_ms: int) -> list[dict]:
    services = orjson.loads(EXAMPLE.read_bytes())["services"]
    services[0]["timeout_ms"] = timeout_ms
    return services


async def test_publish_tells_the_version(fleet: FakeFleet) -> None:
    result = await fleet.run("publish", EXAMPLE, "--json")
    assert result.status is ExitStatus.OK
    assert (result.json["outcome"], result.json["version"]) == ("accepted", 1)
    assert result.json["in_force"] is None


async def test_publish_waits_until_in_force(fleet: FakeFleet) -> None:
    result = await fleet.run("publish", EXAMPLE, "--wait")
    assert result.status is ExitStatus.OK
    assert "in force everywhere" in result.stdout


async def test_wait_names_the_missing_instances(fleet: FakeFleet) -> None:
    fleet.missing = ["kgn1-catalogue-2"]
    result = await fleet.run("publish", EXAMPLE, "--wait", "--timeout", "0.5")
    assert result.status is ExitStatus.NOT_IN_FORCE
    assert "missing kgn1-catalogue-2" in result.stdout


async def test_same_configuration_appends_nothing(fleet: FakeFleet) -> None:
    await fleet.run("publish", EXAMPLE)
    result = await fleet.run("publish", EXAMPLE, "--json")
    assert result.json["outcome"] == "unchanged"
    assert fleet.log.stats().total.appends == 1


async def test_loser_of_a_race_learns_the_winner(
    fleet: FakeFleet, write_configuration: WriteConfiguration
) -> None:
    await fleet.run("publish", EXAMPLE)
    await fleet.follow()
    fleet.frozen = True
    first = write_configuration(services=service_with_timeout(1111))
    won = await fleet.run("publish", first, AZURESTEP_OPERATOR="ben")
    second = write_configuration(services=service_with_timeout(2222))
    lost = await fleet.run("publish", second)
    assert won.status is ExitStatus.OK
    assert lost.status is ExitStatus.REFUSED
    assert "ben published version 2 first" in lost.stdout
    assert "version 2 stays in force" in lost.stdout


async def test_two_at_once_have_one_winner(
    fleet: FakeFleet, tmp_path: pathlib.Path
) -> None:
    plain = orjson.loads(EXAMPLE.read_bytes())
    files = []
    for index in range(4):
        path = tmp_path / f"{index}.json"
        plain["services"][0]["timeout_ms"] = 1000 + index
        path.write_bytes(orjson.dumps(plain))
        files.append(path)
    fleet.frozen = True
    results = await asyncio.gather(*(fleet.run("publish", f) for f in files))
    statuses = sorted(result.status for result in results)
    assert statuses == [ExitStatus.OK] + [ExitStatus.REFUSED] * 3


async def test_lost_answer_publishes_once(fleet: FakeFleet) -> None:
    fleet.log.set_faults(Faults(lose_answer_ratio=1.0))
    result = await fleet.run("publish", EXAMPLE, "--json")
    assert result.status is ExitStatus.OK
    assert fleet.log.stats().total.appends == 1


async def test_unreachable_platform_publishes_nothing(fleet: FakeFleet) -> None:
    fleet.log.set_faults(Faults(outage=True))
    fleet.frozen = True
    result = await fleet.run("publish", EXAMPLE, "--timeout", "0.3")
    assert result.status is ExitStatus.PLATFORM_UNAVAILABLE
    assert "nothing was published" in result.stderr
    assert result.stderr.count("\n") == 1


async def test_restored_log_is_refused_with_its_remedy(
    fleet: FakeFleet, write_configuration: WriteConfiguration
) -> None:
    await fleet.run("publish", EXAMPLE)
    changed = write_configuration(services=service_with_timeout(1234))
    await fleet.run("publish", changed)
    await fleet.follow()
    fleet.frozen = True
    fleet.log.restore(2)
    result = await fleet.run("publish", EXAMPLE)
    assert result.status is ExitStatus.REFUSED
    assert "Restored platform log" in result.stderr
    assert fleet.log.stats().total.appends == 2


async def test_unreachable_node_publishes_nothing(fleet: FakeFleet) -> None:
    result = await fleet.run("publish", EXAMPLE, AZURESTEP_NODE="http://127.0.0.1:1")
    assert result.status is ExitStatus.NODE_UNREACHABLE
    assert fleet.log.stats().total.appends == 0


async def test_faulty_file_publishes_nothing(
    fleet: FakeFleet, write_configuration: WriteConfiguration
) -> None:
    path = write_configuration(active_preset="no-such", extra=1)
    result = await fleet.run("publish", path)
    assert result.status is ExitStatus.INVALID
    assert "$.extra" in result.stderr
    assert fleet.log.stats().total.appends == 0


async def test_preset_is_switched(fleet: FakeFleet) -> None:
    await fleet.run("publish", EXAMPLE)
    result = await fleet.run("preset", "peak", "--wait", "--json")
    assert (result.status, result.json["preset"]) == (ExitStatus.OK, "peak")


async def test_unknown_preset_names_the_known(fleet: FakeFleet) -> None:
    await fleet.run("publish", EXAMPLE)
    result = await fleet.run("preset", "carnival")
    assert result.status is ExitStatus.INVALID
    assert "maintenance" in result.stderr


async def test_status_shows_version_and_data_centre(fleet: FakeFleet) -> None:
    await fleet.run("publish", EXAMPLE)
    result = await fleet.run("status")
    assert result.status is ExitStatus.OK
    assert "kgn1         1        2/2" in result.stdout


async def test_drain_asks_the_node(fleet: FakeFleet) -> None:
    result = await fleet.run("drain")
    assert result.status is ExitStatus.OK
    assert fleet.drained


async def test_restored_log_is_past_with_records_that_change_nothing(
    fleet: FakeFleet, write_configuration: WriteConfiguration
) -> None:
    await fleet.run("publish", EXAMPLE)
    changed = write_configuration(services=service_with_timeout(1234))
    await fleet.run("publish", changed)
    await fleet.follow()
    fleet.log.restore(1)
    for _ in range(2):
        await fleet.client.append_attempt("configuration", b'{"kind":"filler"}')
    result = await fleet.run("publish", EXAMPLE, "--wait", "--json")
    assert result.status is ExitStatus.OK, result.stderr
    assert result.json["version"] == 3
