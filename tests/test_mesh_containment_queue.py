"""A fault in one request beside a server ends that one alone, and its sender hears."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from azurestep.http.client import ClientConnection, IdlePool
from azurestep.mesh.backend.inbound import Inbound
from azurestep.mesh.backend.run import Run
from azurestep.mesh.backend.transfers import MAX_CONCURRENT_TRANSFERS, BodyTransfers
from azurestep.mesh.decisions.admission import Admission
from azurestep.mesh.metrics import Metrics

from .fixtures_inbound import Beside, Listener, make_beside
from .test_mesh_bodies import upload

FAR_MS = 60_000.0
SLOTS = 4


@contextlib.contextmanager
def broken(
    owner: type, method: str, faulty: Callable[..., bool] = lambda *_: True
) -> Iterator[None]:
    """Let a method raise where it is called for what is faulty."""
    sound = getattr(owner, method)

    def raising(self: Any, *arguments: Any, **named: Any) -> Any:
        if faulty(self, *arguments):
            raise KeyError("a fault of our own")
        return sound(self, *arguments, **named)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(owner, method, raising)
        yield


def fill(beside: Beside, count: int = SLOTS) -> list[Run]:
    """Take slots with runs that last."""
    runs = [beside.submit(Listener(), FAR_MS) for _ in range(count)]
    beside.loop.run_due()
    return runs


def test_a_fault_in_the_start_of_a_run_takes_no_slot(beside: Beside) -> None:
    with broken(Run, "start"):
        for _ in range(SLOTS):
            with pytest.raises(KeyError):
                beside.submit(Listener(), FAR_MS)
    assert beside.inbound.admission.in_flight == 0
    assert not beside.inbound.busy


def test_a_fault_in_asking_for_a_body_takes_no_turn(beside: Beside) -> None:
    with broken(Listener, "on_slot_ready"):
        for _ in range(MAX_CONCURRENT_TRANSFERS):
            with pytest.raises(KeyError):
                upload(beside, FAR_MS)
    _, sound = upload(beside, FAR_MS)
    beside.loop.run_due()
    assert sound.asked == 1
    assert beside.inbound.admission.in_flight == 1


def test_a_fault_in_the_age_of_one_run_hides_no_other(beside: Beside) -> None:
    listeners = [Listener(), Listener()]
    faulty, _ = (beside.submit(one) for one in listeners)
    beside.loop.run_due()
    beside.loop.now_ms += 2000.0
    with broken(Run, "check_age", lambda run, _: run is faulty):
        beside.inbound.tick()
        beside.loop.run_due()
    assert [one.outcomes for one in listeners] == [["failed FAULT"], ["failed TIMEOUT"]]
    assert beside.inbound.admission.in_flight == 0


def test_a_fault_in_the_age_of_a_run_keeps_no_address_untried(
    beside: Beside,
) -> None:
    fill(beside, 1)
    beside.inbound.unreachable = True
    swept: list[float] = []
    tried: list[object] = []

    async def connect(_: Inbound) -> ClientConnection | None:
        tried.append(None)
        return None

    with broken(Run, "check_age"), pytest.MonkeyPatch.context() as patch:
        patch.setattr(IdlePool, "sweep", lambda idle, now_s: swept.append(now_s))
        patch.setattr(type(beside.inbound), "connect", connect)
        beside.inbound.tick()
        beside.loop.run_due()
    assert len(swept) == 1
    assert len(tried) == 1


def test_a_request_that_can_not_be_refused_keeps_no_other_waiting(
    beside: Beside,
) -> None:
    running = fill(beside)
    stuck, waiting = Listener(), Listener()
    faulty = beside.submit(stuck)
    next_run = beside.submit(waiting, FAR_MS)
    faulty.ticket.deadline_ms = beside.loop.now_ms
    with broken(Run, "refuse", lambda run, *_: run is faulty):
        running[0].cancel()
        beside.loop.run_due()
    assert next_run.may_have_run
    assert stuck.outcomes == ["failed FAULT"]


def test_a_waiting_request_that_can_not_start_keeps_no_other_waiting(
    beside: Beside,
) -> None:
    running = fill(beside)
    stuck = Listener()
    faulty = beside.submit(stuck)
    next_run = beside.submit(Listener(), FAR_MS)
    with broken(Run, "start", lambda run: run is faulty):
        running[0].cancel()
        beside.loop.run_due()
    assert stuck.outcomes == ["failed FAULT"]
    assert next_run.may_have_run
    assert len(beside.inbound.admission.running) == SLOTS


def test_an_upload_whose_lateness_can_not_be_told_keeps_no_other_waiting(
    beside: Beside,
) -> None:
    uploads = [upload(beside, FAR_MS) for _ in range(MAX_CONCURRENT_TRANSFERS + 2)]
    faulty, stuck = uploads[MAX_CONCURRENT_TRANSFERS]
    _, following = uploads[MAX_CONCURRENT_TRANSFERS + 1]
    with broken(Run, "refuse_if_late", lambda run, _: run is faulty):
        uploads[0][0].cancel()
        beside.loop.run_due()
    assert following.asked == 1
    assert stuck.outcomes == ["failed FAULT"]


def of_counted_end(_: Metrics, name: str, *__: object) -> bool:
    return name in ("refused_here", "failed_here")


def of_any(*_: object) -> bool:
    return True


STEPS_OF_AN_END = [
    (Run, "_drop_connection", of_any),
    (Metrics, "count", of_counted_end),
    (Admission, "leave", of_any),
    (Inbound, "release", of_any),
    (Inbound, "ran", of_any),
    (BodyTransfers, "end", of_any),
]


def test_a_fault_in_the_end_of_a_run_still_tells_its_receiver() -> None:
    for step in STEPS_OF_AN_END:
        beside = make_beside()
        refused, failed = Listener(), Listener()
        fill(beside, SLOTS - 1)
        run = beside.submit(failed)
        waiting = beside.submit(refused)
        beside.loop.run_due()
        beside.loop.now_ms += 1200.0
        with broken(*step):
            for one in (run, waiting):
                with contextlib.suppress(KeyError):
                    one.withdraw()
        assert failed.outcomes == ["failed TIMEOUT"], step
        assert refused.outcomes == ["TOO_LATE"], step


def test_a_connection_that_can_not_be_used_ends_its_request(beside: Beside) -> None:
    listener = Listener()
    with broken(Run, "_send"):
        beside.submit(listener, FAR_MS)
        with contextlib.suppress(KeyError):
            beside.loop.run_due()
    beside.loop.run_due()
    assert listener.outcomes == ["failed FAULT"]
    assert beside.inbound.admission.in_flight == 0
