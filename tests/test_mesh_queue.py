"""One order of events beside a backend server, whatever a receiver does meanwhile.

A request that ends is taken off all books first, then its receiver hears of it, and
only then the queue is looked at, from the event loop and one request at a time.
"""

from azurestep.http.client import ClientConnection

from .fixtures_inbound import Beside, Listener, answer, make_beside

SHORT_MS = 1.0
LONG_MS = 500_000.0
MANY = 400


def queue_up(beside: Beside, count: int, budget_ms: float) -> list[Listener]:
    """Let requests wait behind those that run."""
    listeners = [Listener() for _ in range(count)]
    for listener in listeners:
        beside.submit(listener, budget_ms)
    beside.loop.run_due()
    assert not any(listener.outcomes for listener in listeners)
    return listeners


def test_a_leaving_server_refuses_a_long_queue() -> None:
    beside = make_beside(slots=1)
    beside.inbound.admission.learn("read", SHORT_MS)
    first = beside.submit(Listener(), LONG_MS)
    waiting = queue_up(beside, MANY, LONG_MS)
    beside.leave()
    answer(first)
    beside.loop.run_due()
    assert [one.outcomes for one in waiting] == [["LEAVING"]] * MANY
    assert beside.inbound.admission.in_flight == 0
    assert not beside.inbound.busy


def test_a_lost_link_starts_nothing_that_it_cancels(beside: Beside) -> None:
    runs = [beside.submit(Listener()) for _ in range(8)]
    beside.loop.run_due()
    beside.inbound.keep(ClientConnection())
    assert [run.may_have_run for run in runs] == [True] * 4 + [False] * 4
    for run in runs:
        run.cancel()
    beside.loop.run_due()
    assert [run.may_have_run for run in runs] == [True] * 4 + [False] * 4
    assert beside.inbound.admission.in_flight == 0


def test_a_request_that_ends_while_others_are_refused_ends_once(
    beside: Beside,
) -> None:
    answered = Listener()
    first, *others = [
        beside.submit(one, 5000.0) for one in (answered, *[Listener()] * 3)
    ]
    listeners = [Listener() for _ in range(3)]
    late = [beside.submit(one) for one in listeners]
    beside.loop.run_due()

    def end_another(news: str) -> None:
        late[1].cancel()
        raise RuntimeError("a receiver fails")

    listeners[0].react = end_another
    beside.inbound.admission.learn("read", 30_000.0)
    answer(first)
    beside.loop.run_due()
    beside.after(100.0)
    assert answered.outcomes == ["answer"]
    assert [one.outcomes for one in listeners] == [["TOO_LATE"], [], ["TOO_LATE"]]
    assert [run.done for run in others] == [False] * 3
    assert beside.inbound.admission.in_flight == 3
