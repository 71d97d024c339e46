"""Requests whose bodies are transferred only once they have a slot."""

import pytest

from azurestep.http.client import ClientConnection
from azurestep.mesh.backend.run import Run
from azurestep.mesh.backend.transfers import MAX_CONCURRENT_TRANSFERS

from .fixtures_inbound import InboundHarness, RecordingReceiver, make_inbound_harness

BODY = b"u" * 60_000
LONG_REMAINING_MS = 60_000.0
"""Time left to a deadline that is far beyond the node's shutdown."""


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
    uploads = [upload(harness) for _ in range(MAX_CONCURRENT_TRANSFERS + 1)]
    harness.loop.run_due()
    assert [receiver.asked for _, receiver in uploads] == [
        1
    ] * MAX_CONCURRENT_TRANSFERS + [0]
    uploads[0][0].proceed()
    uploads[0][0].add_body(BODY, True)
    harness.loop.run_due()
    assert uploads[0][0].may_have_run
    assert [receiver.asked for _, receiver in uploads] == [1] * (
        MAX_CONCURRENT_TRANSFERS + 1
    )


def test_upload_waiting_for_its_turn_is_refused_once_late(
    harness: InboundHarness,
) -> None:
    harness.inbound.admission.record_run("read", 200.0)
    for _ in range(MAX_CONCURRENT_TRANSFERS):
        upload(harness)
    _, waiting = upload(harness, budget_ms=450.0)
    harness.after(200.0)
    assert waiting.outcomes == []
    harness.after(100.0)
    assert waiting.outcomes == ["TOO_LATE"]
    assert len(harness.inbound.admission.running) == MAX_CONCURRENT_TRANSFERS


def test_body_that_never_arrives_does_not_block_others(harness: InboundHarness) -> None:
    silent = [
        upload(harness, budget_ms=5000.0) for _ in range(MAX_CONCURRENT_TRANSFERS)
    ]
    for run, _ in silent:
        run.proceed()
    _, other = upload(harness, budget_ms=5000.0)
    for _ in range(5):
        harness.after(100.0)
    assert other.asked == 1
    run, _ = silent[0]
    run.add_body(BODY, True)
    harness.loop.run_due()
    assert run.may_have_run, "a late body must still run"


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
    for _ in range(MAX_CONCURRENT_TRANSFERS):
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
