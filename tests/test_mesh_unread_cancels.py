"""Nothing is begun on a confirmation or a body whose cancel lies unread behind it."""

import asyncio
import time

import attrs
import pytest

from azurestep.mesh.backend.run import CONFIRMED_FOR_MS
from azurestep.mesh.decisions.transfers import PIECE_BYTES
from azurestep.mesh.messages import Kind, Request, encode, fields_of

from .fixtures_inbound import InboundHarness, RecordingReceiver
from .fixtures_mesh import MeshFleet, MeshInstance
from .test_mesh_departed_callers import make_link_request, open_link
from .test_mesh_faults import eventually
from .test_mesh_refusals import read

LONG_MS = 4000.0
BODY = bytes(1000)


def make_payment(instance: MeshInstance, name: str) -> Request:
    read = make_link_request(instance, name, LONG_MS)
    return attrs.evolve(read, method=b"POST", idempotent=False, needs_confirmation=True)


def make_upload(instance: MeshInstance, name: str) -> Request:
    payment = make_payment(instance, name)
    return attrs.evolve(payment, length=len(BODY), whole=False, body_in_pieces=True)


async def test_confirmations_and_bodies_read_with_their_cancels_begin_nothing(
    mesh: MeshFleet,
) -> None:
    # The node stood still while they arrived, and reads them together.
    instance = mesh.instances[0]
    for _ in range(3):
        # Leaves idle connections to the backend server, which are used at once.
        await asyncio.gather(*(read(mesh, instance, f"r{i}") for i in range(8)))
    link = await open_link(instance)
    node = instance.node
    link.sendall(
        encode(Kind.REQUEST, 1, *fields_of(make_payment(instance, "pay")))
        + encode(Kind.REQUEST, 2, *fields_of(make_upload(instance, "up")))
    )
    await eventually(lambda: len(node.inbound._runs) == 2)
    await asyncio.sleep(0.05)
    before = node.runtime.metrics.counters["backend_requests", ""]
    link.sendall(
        encode(Kind.PROCEED, 1)
        + encode(Kind.PROCEED, 2)
        + encode(Kind.BODY, 2, BODY, True)
        + encode(Kind.CANCEL, 1)
        + encode(Kind.CANCEL, 2)
    )
    await eventually(lambda: not node.inbound._runs)
    assert node.runtime.metrics.counters["backend_requests", ""] == before
    assert node.inbound.admission.in_flight == 0
    link.close()


@pytest.mark.parametrize("body_bytes", [0, PIECE_BYTES, 3 * PIECE_BYTES])
@pytest.mark.parametrize("unread_ms", [0.0, CONFIRMED_FOR_MS + 50])
def test_sender_is_asked_again_if_what_confirms_a_request_lay_unread(
    harness: InboundHarness, body_bytes: int, unread_ms: float
) -> None:
    receiver = RecordingReceiver()
    run = harness.submit(
        receiver,
        LONG_MS,
        True,
        body_bytes,
        body_in_pieces=True,
        confirms_again=True,
    )
    harness.loop.run_due()
    harness.inbound.tick()
    harness.loop.run_due()
    asked = receiver.asked
    harness.loop.now_ms += unread_ms
    run.proceed()
    for begin in range(0, body_bytes, PIECE_BYTES):
        run.add_body(bytes(PIECE_BYTES), begin + PIECE_BYTES >= body_bytes)
    harness.loop.run_due()
    assert run.may_have_run == (not unread_ms)
    if unread_ms:
        assert receiver.asked == asked + 1
        run.proceed()
        harness.loop.run_due()
        assert run.may_have_run


async def test_payment_whose_confirmation_lies_unread_does_not_begin_late(
    mesh: MeshFleet,
) -> None:
    # The cancel comes with the next read, as many messages lie between.
    instance = mesh.instances[0]
    await asyncio.gather(*(read(mesh, instance, f"r{i}") for i in range(8)))
    link = await open_link(instance)
    link.sendall(encode(Kind.REQUEST, 1, *fields_of(make_payment(instance, "pay"))))
    await eventually(lambda: len(instance.node.inbound._runs) == 1)
    await asyncio.sleep(0.05)
    link.sendall(encode(Kind.PROCEED, 1) + encode(Kind.CANCEL, 1)[:1])
    time.sleep((CONFIRMED_FOR_MS + 100) / 1000)
    await asyncio.sleep(0.05)
    link.sendall(encode(Kind.CANCEL, 1)[1:])
    await eventually(lambda: not instance.node.inbound._runs)
    assert instance.server.runs["pay"] == 0
    link.close()
