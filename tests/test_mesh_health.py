"""Backend servers that fail requests while their health probes succeed."""

import asyncio
from random import Random

import pytest

from azurestep.mesh.decisions.choice import Endpoint, SelectionCriteria, choose_endpoint
from azurestep.mesh.decisions.health import Health
from standins.signing_server import Received, signed

from .fixtures_inbound import InboundHarness, RecordingReceiver
from .fixtures_mesh import MeshFleet

TICKS_IN_3_S = 30


def health_after_failures(runs: int) -> Health:
    health = Health()
    for _ in range(runs):
        health.record(failed=True)
    return health


def test_one_failure_does_not_close_a_quiet_server() -> None:
    assert health_after_failures(1).failure_ratio <= 0.4


def test_a_server_that_fails_all_runs_has_a_high_failure_ratio() -> None:
    assert health_after_failures(15).failure_ratio >= 0.8


def test_the_failure_ratio_falls_within_three_seconds_without_runs() -> None:
    health = health_after_failures(15)
    for _ in range(TICKS_IN_3_S):
        health.tick()
    assert health.failure_ratio <= 0.3


def test_a_new_incarnation_has_no_failures() -> None:
    health = health_after_failures(15)
    health.clear()
    assert health.failure_ratio == 0.0


def test_a_failing_server_is_chosen_only_when_the_others_are_overloaded() -> None:
    failing = Endpoint("failing", "shop", b"f", "dc", slots=4, failure_ratio=0.6)
    other = Endpoint("other", "shop", b"o", "dc", slots=4, in_flight=4)
    criteria = SelectionCriteria("shop", "read", 400.0, 150.0, 1.5, "dc")
    random = Random(3)
    found = {
        choose_endpoint([failing, other], criteria, set(), 0.0, random)
        for _ in range(50)
    }
    assert found == {other}
    other.in_flight = 40
    assert choose_endpoint([failing, other], criteria, set(), 0.0, random) is failing


def withdraw_after(harness: InboundHarness, pause_ms: float) -> float:
    """Withdraw a run with 1200 ms to its deadline; return the failure ratio."""
    receiver = RecordingReceiver()
    run = harness.submit(receiver, 1200.0)
    harness.loop.run_due()
    harness.loop.now_ms += pause_ms
    run.withdraw()
    assert receiver.outcomes == ["failed TIMEOUT"]
    return harness.inbound.health.failure_ratio


def test_a_run_withdrawn_before_its_deadline_is_no_failure(
    harness: InboundHarness,
) -> None:
    harness.inbound.admission.record_run("read", 700.0)
    assert withdraw_after(harness, 600.0) == 0.0
    assert harness.inbound.admission.mean_run_ms("read") == 700.0


@pytest.mark.parametrize("pause_ms", [1150.0, 1200.0])
def test_a_run_withdrawn_at_its_deadline_is_a_failure(
    harness: InboundHarness, pause_ms: float
) -> None:
    assert withdraw_after(harness, pause_ms) > 0.0
    assert harness.inbound.admission.mean_run_ms("read") == pause_ms


def answer_500(received: Received) -> bytes:
    return signed(received, b"no", status=500)


async def test_payments_avoid_a_server_that_fails_while_its_probe_succeeds(
    mesh: MeshFleet,
) -> None:
    failing_server = mesh.instances[0].server
    failing_server.answer_override = answer_500
    for index in range(20):
        await mesh.get(mesh.instances[index % 3], "/read/1", f"r{index}")
    async with asyncio.timeout(2):
        while not all(
            any(
                endpoint.failure_ratio > 0.2
                for endpoint in item.node.members.endpoints("shop")
            )
            for item in mesh.instances
        ):
            await mesh.get(mesh.instances[0], "/read/1", "again")
    statuses = []
    for index in range(12):
        async with mesh.session.post(
            mesh.instances[index % 3].url("/pay/1"),
            data=b"x",
            headers={
                "Host": "shop.example",
                "Attempt-Id": f"p{index}",
                "Deadline-Milliseconds": "1500",
            },
        ) as answer:
            statuses.append(answer.status)
    assert statuses == [200] * 12


@pytest.mark.parametrize("status", [504, 404])
async def test_statuses_504_and_404_are_no_failures(
    mesh: MeshFleet, status: int
) -> None:
    instance = mesh.instances[0]
    instance.server.answer_override = lambda received: signed(received, b"", status)
    for index in range(6):
        await mesh.get(instance, "/read/1", f"s{index}")
    assert instance.node.inbound.health.failure_ratio == 0.0
