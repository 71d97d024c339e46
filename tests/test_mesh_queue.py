"""Order of events at the end of a request.

The request is released first, then its receiver is called, and only then the queue is
scanned, from the event loop.
"""

from azurestep.http.client import ClientConnection

from .fixtures_inbound import Beside, Listener, answer, make_beside

SHORT_MS = 1.0
LONG_MS = 500_000.0
MANY = 400


def submit_waiting(beside: Beside, count: int, remaining_ms: float) -> list[Listener]:
    """Submit requests that wait behind the running ones."""
    listeners = [Listener() for _ in range(count)]
    for listener in listeners:
        beside.submit(listener, remaining_ms)
    beside.loop.run_due()
    assert not any(listener.outcomes for listener in listeners)
    return listeners


def test_a_leaving_server_refuses_a_long_queue() -> None:
    """Guards against recursion through the queue."""
    beside = make_beside(slots=1)
    beside.inbound.admission.record_run("read", SHORT_MS)
    first = beside.submit(Listener(), LONG_MS)
    waiting = submit_waiting(beside, MANY, LONG_MS)
    beside.leave()
    answer(first)
    beside.loop.run_due()
    assert [one.outcomes for one in waiting] == [["LEAVING"]] * MANY
    assert beside.inbound.admission.in_flight == 0
    assert not beside.inbound.busy


def test_cancelling_all_requests_of_a_lost_link_starts_none(beside: Beside) -> None:
    runs = [beside.submit(Listener()) for _ in range(8)]
    beside.loop.run_due()
    beside.inbound.return_connection(ClientConnection())
    assert [run.may_have_run for run in runs] == [True] * 4 + [False] * 4
    for run in runs:
        run.cancel()
    beside.loop.run_due()
    assert [run.may_have_run for run in runs] == [True] * 4 + [False] * 4
    assert beside.inbound.admission.in_flight == 0


def test_a_request_that_ends_while_others_are_refused_has_one_outcome(
    beside: Beside,
) -> None:
    answered = Listener()
    first, *others = [
        beside.submit(one, 5000.0) for one in (answered, *[Listener()] * 3)
    ]
    listeners = [Listener() for _ in range(3)]
    late = [beside.submit(one) for one in listeners]
    beside.loop.run_due()

    def end_another(event: str) -> None:
        late[1].cancel()
        raise RuntimeError("a receiver fails")

    listeners[0].react = end_another
    beside.inbound.admission.record_run("read", 30_000.0)
    answer(first)
    beside.loop.run_due()
    beside.after(100.0)
    assert answered.outcomes == ["answer"]
    assert [one.outcomes for one in listeners] == [["TOO_LATE"], [], ["TOO_LATE"]]
    assert [run.done for run in others] == [False] * 3
    assert beside.inbound.admission.in_flight == 3
