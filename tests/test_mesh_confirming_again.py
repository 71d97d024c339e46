"""Requests that wait at another node begin only while their sender wants them."""

import asyncio

import pytest

from azurestep.mesh.backend.run import CONFIRMATION_TIMEOUT_MS, CONFIRMED_FOR_MS
from azurestep.mesh.links.connection import RemoteStream

from .fixtures_inbound import InboundHarness, RecordingReceiver, answer
from .fixtures_mesh import MeshFleet, MeshInstance, caller_headers
from .test_mesh_faults import eventually
from .test_mesh_refusals import drain_all_but, read
from .test_mesh_uploads import BODY

LONG_MS = 4000.0


@pytest.mark.parametrize("needs_confirmation", [False, True])
@pytest.mark.parametrize("confirms_again", [False, True])
@pytest.mark.parametrize("waited_ms", [CONFIRMED_FOR_MS - 50, CONFIRMED_FOR_MS + 50])
def test_sender_is_asked_before_a_request_begins_that_waited_for_long(
    harness: InboundHarness,
    waited_ms: float,
    confirms_again: bool,
    needs_confirmation: bool,
) -> None:
    running = [harness.submit(RecordingReceiver(), LONG_MS) for _ in range(4)]
    receiver = RecordingReceiver()
    waiting = harness.submit(
        receiver, LONG_MS, needs_confirmation, confirms_again=confirms_again
    )
    harness.loop.run_due()
    harness.after(waited_ms)
    answer(running[0])
    harness.loop.run_due()
    is_asked = needs_confirmation or (confirms_again and waited_ms > CONFIRMED_FOR_MS)
    assert receiver.asked == is_asked
    assert waiting.may_have_run != is_asked
    waiting.proceed()
    harness.loop.run_due()
    assert waiting.may_have_run
    answer(waiting)
    assert receiver.outcomes == ["answer"]


def test_request_that_is_not_confirmed_again_has_not_run_and_frees_its_slot(
    harness: InboundHarness,
) -> None:
    running = [harness.submit(RecordingReceiver(), LONG_MS) for _ in range(4)]
    receiver = RecordingReceiver()
    waiting = harness.submit(receiver, LONG_MS, confirms_again=True)
    harness.loop.run_due()
    harness.after(CONFIRMED_FOR_MS + 1)
    answer(running[0])
    harness.loop.run_due()
    harness.after(CONFIRMATION_TIMEOUT_MS + 1)
    assert receiver.outcomes == ["TOO_LATE"]
    waiting.proceed()
    harness.loop.run_due()
    assert not waiting.may_have_run
    assert harness.inbound.admission.in_flight == 3


def test_confirmed_payment_is_confirmed_again_if_its_connection_took_long(
    harness: InboundHarness,
) -> None:
    receiver = RecordingReceiver()
    payment = harness.submit(receiver, LONG_MS, True, confirms_again=True)
    payment.proceed()
    harness.loop.now_ms += CONFIRMED_FOR_MS + 1
    harness.loop.run_due()
    assert (payment.may_have_run, receiver.asked) == (False, 2)
    payment.proceed()
    harness.loop.run_due()
    assert payment.may_have_run


async def upload(mesh: MeshFleet, instance: MeshInstance, name: str) -> int:
    async with mesh.session.post(
        instance.url("/pay/1?ms=100"), data=BODY, headers=caller_headers(name)
    ) as answered:
        return answered.status


async def test_upload_that_is_confirmed_again_arrives_whole_and_once(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent: list[bytes] = []
    write_body = RemoteStream.write_body

    def record(stream: RemoteStream, data: bytes, whole: bool) -> None:
        sent.append(data)
        write_body(stream, data, whole)

    monkeypatch.setattr(RemoteStream, "write_body", record)
    serving, away = mesh.instances[:2]
    await drain_all_but(mesh, serving)
    serving.server.work_s = 0.9
    slots = serving.server.slots
    running = [
        asyncio.create_task(read(mesh, serving, f"r{index}")) for index in range(slots)
    ]
    await eventually(lambda: serving.server.running == slots)
    assert await upload(mesh, away, "up") == 200
    assert await asyncio.gather(*running) == [200] * slots
    received = [one.body for one in serving.server.received if one.method == "POST"]
    assert received == [BODY]
    assert b"".join(sent) == BODY
