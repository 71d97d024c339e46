"""Requests with long bodies that hold a slot until their turn to be sent them comes."""

from azurestep.mesh.backend.run import Run
from azurestep.mesh.backend.transfers import AT_ONCE

from .fixtures_inbound import Beside, Listener

BODY = b"u" * 60_000


def upload(beside: Beside, budget_ms: float = 1200.0) -> tuple[Run, Listener]:
    """Submit a request whose body is sent when it is asked for."""
    listener = Listener()
    run = beside.submit(listener, budget_ms, held=True, body_bytes=len(BODY))
    return run, listener


def test_the_next_body_is_asked_for_as_soon_as_one_came(beside: Beside) -> None:
    uploads = [upload(beside) for _ in range(AT_ONCE + 1)]
    beside.loop.run_due()
    assert [listener.asked for _, listener in uploads] == [1] * AT_ONCE + [0]
    uploads[0][0].go()
    uploads[0][0].body(BODY, True)
    beside.loop.run_due()
    assert uploads[0][0].may_run
    assert [listener.asked for _, listener in uploads] == [1] * (AT_ONCE + 1)


def test_what_waits_for_its_turn_is_refused_once_it_is_late(beside: Beside) -> None:
    beside.inbound.admission.learn("read", 200.0)
    for _ in range(AT_ONCE):
        upload(beside)
    _, waiting = upload(beside, budget_ms=450.0)
    beside.after(200.0)
    assert waiting.outcomes == []
    beside.after(100.0)
    assert waiting.outcomes == ["TOO_LATE"]
    assert len(beside.inbound.admission.running) == AT_ONCE


def test_bodies_that_never_come_keep_no_others_waiting(beside: Beside) -> None:
    silent = [upload(beside, budget_ms=5000.0) for _ in range(AT_ONCE)]
    for run, _ in silent:
        run.go()
    _, sound = upload(beside, budget_ms=5000.0)
    for _ in range(5):
        beside.after(100.0)
    assert sound.asked == 1
    run, _ = silent[0]
    run.body(BODY, True)
    beside.loop.run_due()
    assert run.may_run, "a body that comes late still runs"


def test_a_request_whose_body_never_came_has_not_run(beside: Beside) -> None:
    beside.inbound.admission.learn("read", 200.0)
    run, silent = upload(beside)
    run.go()
    for _ in range(10):
        beside.after(100.0)
    assert silent.outcomes == []
    beside.after(100.0)
    assert silent.outcomes == ["TOO_LATE"]
    assert beside.inbound.health.failing == 0.0
    assert beside.inbound.admission.busy == 0
