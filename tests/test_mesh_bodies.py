"""Requests whose bodies are received before they get a slot, as the link allows."""

import pytest

from azurestep.http.client import ClientConnection
from azurestep.mesh.backend.run import Run
from azurestep.mesh.decisions.transfers import PIECE_BYTES, WINDOW_MS

from .fixtures_inbound import InboundHarness, RecordingReceiver, make_inbound_harness

BODY = b"u" * 60_000
LINK_BYTES_PER_MS = 400.0
"""A body takes 150 ms; one that is sent whole fills the window."""
LONG_REMAINING_MS = 60_000.0
"""Time left to a deadline that is far beyond the node's shutdown."""


@pytest.fixture(autouse=True)
def narrow_link(harness: InboundHarness) -> None:
    """Give the node a narrow link."""
    harness.inbound.transfers.link_bytes_per_ms = LINK_BYTES_PER_MS


def upload(
    harness: InboundHarness, budget_ms: float = 1200.0
) -> tuple[Run, RecordingReceiver]:
    """Submit a request whose body is sent when the node asks for it."""
    receiver = RecordingReceiver()
    run = harness.submit(
        receiver, budget_ms, needs_confirmation=True, body_bytes=len(BODY)
    )
    return run, receiver


def test_next_body_is_requested_as_soon_as_one_arrived(harness: InboundHarness) -> None:
    uploads = [upload(harness) for _ in range(2)]
    harness.loop.run_due()
    assert [receiver.asked for _, receiver in uploads] == [1, 0]
    uploads[0][0].proceed()
    uploads[0][0].add_body(BODY, True)
    harness.loop.run_due()
    assert uploads[0][0].may_have_run
    assert [receiver.asked for _, receiver in uploads] == [1, 1]


def test_upload_waiting_for_its_turn_is_refused_once_late(
    harness: InboundHarness,
) -> None:
    harness.inbound.admission.record_run("read", 200.0)
    upload(harness)
    _, waiting = upload(harness, budget_ms=650.0)
    harness.after(400.0)
    assert waiting.outcomes == []
    harness.after(100.0)
    assert waiting.outcomes == ["TOO_LATE"]


def test_upload_that_would_wait_too_long_for_the_link_is_refused_at_once(
    harness: InboundHarness,
) -> None:
    harness.inbound.admission.record_run("read", 200.0)
    taken = [upload(harness)[1] for _ in range(3)]
    assert [one.outcomes for one in taken] == [[]] * 3
    _, refused = upload(harness, budget_ms=700.0)
    assert refused.outcomes == ["OVERLOADED"]


def test_bodies_on_the_way_keep_no_slots(harness: InboundHarness) -> None:
    for _ in range(3):
        upload(harness)
    harness.loop.run_due()
    assert harness.inbound.admission.in_flight == 0
    read = harness.submit(RecordingReceiver())
    harness.loop.run_due()
    assert read.may_have_run


def test_a_body_in_pieces_leaves_room_on_the_link(harness: InboundHarness) -> None:
    receiver = RecordingReceiver()
    run = harness.submit(
        receiver,
        needs_confirmation=True,
        body_bytes=len(BODY),
        body_in_pieces=True,
    )
    harness.loop.run_due()
    run.proceed()
    received = 0
    while received < len(BODY):
        granted = sum(receiver.credits) - received
        assert 0 < granted <= LINK_BYTES_PER_MS * WINDOW_MS + PIECE_BYTES
        piece = BODY[received : received + PIECE_BYTES]
        received += len(piece)
        run.add_body(piece, received == len(BODY))
        harness.loop.run_due()
    assert run.may_have_run


def test_body_that_never_arrives_does_not_block_others(harness: InboundHarness) -> None:
    silent, _ = upload(harness, budget_ms=5000.0)
    silent.proceed()
    _, other = upload(harness, budget_ms=5000.0)
    for _ in range(5):
        harness.after(100.0)
    assert other.asked == 1
    silent.add_body(BODY, True)
    harness.loop.run_due()
    assert silent.may_have_run, "a late body must still run"


def test_request_whose_body_never_arrived_has_not_run(harness: InboundHarness) -> None:
    harness.inbound.admission.record_run("read", 200.0)
    run, silent = upload(harness)
    run.proceed()
    for _ in range(10):
        harness.after(100.0)
    assert silent.outcomes == []
    harness.after(100.0)
    assert silent.outcomes == ["TOO_LATE"]
    assert harness.inbound.health.failure_ratio == 0.0
    assert harness.inbound.admission.in_flight == 0


def test_waiting_upload_is_refused_at_shutdown(
    harness: InboundHarness,
) -> None:
    harness.inbound.admission.record_run("read", 3000.0)
    upload(harness, budget_ms=LONG_REMAINING_MS)
    _, waiting = upload(harness, budget_ms=LONG_REMAINING_MS)
    harness.inbound.begin_shutdown(harness.loop.now_ms + 2000.0)
    harness.loop.run_due()
    assert waiting.outcomes == ["STOPPING"]


def test_request_whose_body_arrives_too_late_is_not_run() -> None:
    for budget_ms, reason in ((800.0, "TOO_LATE"), (LONG_REMAINING_MS, "STOPPING")):
        harness = make_inbound_harness()
        harness.inbound.admission.record_run("read", 500.0)
        run, receiver = upload(harness, budget_ms)
        run.proceed()
        if reason == "STOPPING":
            harness.inbound.begin_shutdown(harness.loop.now_ms + 600.0)
        harness.after(400.0)
        run.add_body(BODY, True)
        harness.loop.run_due()
        assert not run.may_have_run
        assert receiver.outcomes == [reason]
        assert harness.inbound.admission.in_flight == 0


def test_request_confirmed_too_late_is_not_run(harness: InboundHarness) -> None:
    harness.inbound.admission.record_run("read", 500.0)
    receiver = RecordingReceiver()
    run = harness.submit(receiver, LONG_REMAINING_MS, needs_confirmation=True)
    harness.inbound.begin_shutdown(harness.loop.now_ms + 600.0)
    harness.loop.now_ms += 350.0
    run.proceed()
    harness.loop.run_due()
    assert not run.may_have_run
    assert receiver.outcomes == ["STOPPING"]


def test_confirmed_request_gets_a_free_slot_though_its_route_is_slow(
    harness: InboundHarness,
) -> None:
    harness.inbound.admission.record_run("read", 5000.0)
    run = harness.submit(RecordingReceiver(), needs_confirmation=True)
    harness.loop.now_ms += 3.0
    run.proceed()
    harness.loop.run_due()
    assert run.may_have_run, "only runs can correct a mean that is too long"


def test_deadline_sent_to_the_server_is_limited_by_the_shutdown(
    harness: InboundHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent: list[bytes] = []
    monkeypatch.setattr(
        ClientConnection, "send", lambda self, data, sink, whole: sent.append(data)
    )
    harness.inbound.begin_shutdown(harness.loop.now_ms + 900.0)
    harness.submit(RecordingReceiver(), LONG_REMAINING_MS)
    harness.loop.run_due()
    assert b"\r\nDeadline-Milliseconds: 900\r\n" in sent[0]
