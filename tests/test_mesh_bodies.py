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
