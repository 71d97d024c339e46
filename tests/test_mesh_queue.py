"""What ends beside a backend server while its queue is looked at."""

from .fixtures_inbound import Beside, Listener


def test_a_request_that_ends_while_others_are_refused_ends_once(
    beside: Beside,
) -> None:
    runs = [beside.submit(Listener(), 5000.0) for _ in range(4)]
    listeners = [Listener() for _ in range(3)]
    late = [beside.submit(one) for one in listeners]
    listeners[0].react = lambda news: late[1].cancel()
    beside.loop.run_due()
    beside.inbound.admission.learn("read", 30_000.0)
    beside.after(100.0)
    assert [one.outcomes for one in listeners] == [["TOO_LATE"], [], ["TOO_LATE"]]
    assert [run.done for run in runs] == [False] * 4
    assert beside.inbound.admission.busy == 4
