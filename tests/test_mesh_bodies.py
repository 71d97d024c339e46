"""Requests with long bodies that hold a slot until their turn to be sent them comes."""

import pytest

from azurestep.http.client import ClientConnection
from azurestep.mesh.backend.run import Run
from azurestep.mesh.backend.transfers import MAX_CONCURRENT_TRANSFERS

from .fixtures_inbound import Beside, Listener, make_beside

BODY = b"u" * 60_000
FAR_MS = 60_000.0
"""Time to a deadline that is far beyond a node's end."""


def upload(beside: Beside, budget_ms: float = 1200.0) -> tuple[Run, Listener]:
    """Submit a request whose body is sent when it is asked for."""
    listener = Listener()
    run = beside.submit(
        listener, budget_ms, needs_confirmation=True, body_bytes=len(BODY)
    )
    return run, listener


def test_the_next_body_is_asked_for_as_soon_as_one_came(beside: Beside) -> None:
    uploads = [upload(beside) for _ in range(MAX_CONCURRENT_TRANSFERS + 1)]
    beside.loop.run_due()
    assert [listener.asked for _, listener in uploads] == [
        1
    ] * MAX_CONCURRENT_TRANSFERS + [0]
    uploads[0][0].proceed()
    uploads[0][0].body(BODY, True)
    beside.loop.run_due()
    assert uploads[0][0].may_have_run
    assert [listener.asked for _, listener in uploads] == [1] * (
        MAX_CONCURRENT_TRANSFERS + 1
    )


def test_what_waits_for_its_turn_is_refused_once_it_is_late(beside: Beside) -> None:
    beside.inbound.admission.learn("read", 200.0)
    for _ in range(MAX_CONCURRENT_TRANSFERS):
        upload(beside)
    _, waiting = upload(beside, budget_ms=450.0)
    beside.after(200.0)
    assert waiting.outcomes == []
    beside.after(100.0)
    assert waiting.outcomes == ["TOO_LATE"]
    assert len(beside.inbound.admission.running) == MAX_CONCURRENT_TRANSFERS


def test_bodies_that_never_come_keep_no_others_waiting(beside: Beside) -> None:
    silent = [upload(beside, budget_ms=5000.0) for _ in range(MAX_CONCURRENT_TRANSFERS)]
    for run, _ in silent:
        run.proceed()
    _, sound = upload(beside, budget_ms=5000.0)
    for _ in range(5):
        beside.after(100.0)
    assert sound.asked == 1
    run, _ = silent[0]
    run.body(BODY, True)
    beside.loop.run_due()
    assert run.may_have_run, "a body that comes late still runs"


def test_a_request_whose_body_never_came_has_not_run(beside: Beside) -> None:
    beside.inbound.admission.learn("read", 200.0)
    run, silent = upload(beside)
    run.proceed()
    for _ in range(10):
        beside.after(100.0)
    assert silent.outcomes == []
    beside.after(100.0)
    assert silent.outcomes == ["TOO_LATE"]
    assert beside.inbound.health.failure_ratio == 0.0
    assert beside.inbound.admission.in_flight == 0


def test_an_upload_that_waits_for_its_turn_leaves_a_stopping_node(
    beside: Beside,
) -> None:
    beside.inbound.admission.learn("read", 3000.0)
    for _ in range(MAX_CONCURRENT_TRANSFERS):
        upload(beside, budget_ms=FAR_MS)
    _, waiting = upload(beside, budget_ms=FAR_MS)
    beside.inbound.stop(beside.loop.now_ms + 2000.0)
    beside.loop.run_due()
    assert waiting.outcomes == ["STOPPING"]


def test_a_body_that_comes_too_late_is_not_run() -> None:
    for budget_ms, reason in ((800.0, "TOO_LATE"), (FAR_MS, "STOPPING")):
        beside = make_beside()
        beside.inbound.admission.learn("read", 500.0)
        run, listener = upload(beside, budget_ms)
        run.proceed()
        if reason == "STOPPING":
            beside.inbound.stop(beside.loop.now_ms + 600.0)
        beside.after(400.0)
        run.body(BODY, True)
        beside.loop.run_due()
        assert not run.may_have_run
        assert listener.outcomes == [reason]
        assert beside.inbound.admission.in_flight == 0


def test_a_held_request_that_is_let_go_too_late_is_not_run(beside: Beside) -> None:
    beside.inbound.admission.learn("read", 500.0)
    listener = Listener()
    run = beside.submit(listener, FAR_MS, needs_confirmation=True)
    beside.inbound.stop(beside.loop.now_ms + 600.0)
    beside.loop.now_ms += 350.0
    run.proceed()
    beside.loop.run_due()
    assert not run.may_have_run
    assert listener.outcomes == ["STOPPING"]


def test_a_held_request_gets_a_free_slot_though_its_route_is_slow(
    beside: Beside,
) -> None:
    beside.inbound.admission.learn("read", 5000.0)
    run = beside.submit(Listener(), needs_confirmation=True)
    beside.loop.now_ms += 3.0
    run.proceed()
    beside.loop.run_due()
    assert run.may_have_run, "a mean that is too long is only corrected by runs"


def test_a_server_hears_of_the_end_of_the_node_beside_it(
    beside: Beside, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent: list[bytes] = []
    monkeypatch.setattr(
        ClientConnection, "send", lambda self, data, sink, whole: sent.append(data)
    )
    beside.inbound.stop(beside.loop.now_ms + 900.0)
    beside.submit(Listener(), FAR_MS)
    beside.loop.run_due()
    assert b"\r\nDeadline-Milliseconds: 900\r\n" in sent[0]
