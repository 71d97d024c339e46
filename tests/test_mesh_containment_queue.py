"""A fault in one request at a server ends only that request, with an outcome."""

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

LONG_MS = 60_000.0
SLOTS = 4


@contextlib.contextmanager
def broken(
    owner: type, method: str, faulty: Callable[..., bool] = lambda *_: True
) -> Iterator[None]:
    """Make a method raise where ``faulty`` is true."""
    sound = getattr(owner, method)

    def raising(self: Any, *arguments: Any, **named: Any) -> Any:
        if faulty(self, *arguments):
            raise KeyError("a fault of our own")
        return sound(self, *arguments, **named)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(owner, method, raising)
        yield


def occupy_slots(beside: Beside, count: int = SLOTS) -> list[Run]:
    """Occupy slots with long runs."""
    runs = [beside.submit(Listener(), LONG_MS) for _ in range(count)]
    beside.loop.run_due()
    return runs


def test_a_fault_in_the_start_of_a_run_leaks_no_slot(beside: Beside) -> None:
    with broken(Run, "start"):
        for _ in range(SLOTS):
            with pytest.raises(KeyError):
                beside.submit(Listener(), LONG_MS)
    assert beside.inbound.admission.in_flight == 0
    assert not beside.inbound.busy


def test_a_fault_in_requesting_a_body_leaks_no_transfer(beside: Beside) -> None:
    with broken(Listener, "on_slot_ready"):
        for _ in range(MAX_CONCURRENT_TRANSFERS):
            with pytest.raises(KeyError):
                upload(beside, LONG_MS)
    _, sound = upload(beside, LONG_MS)
    beside.loop.run_due()
    assert sound.asked == 1
    assert beside.inbound.admission.in_flight == 1


def test_a_fault_in_one_timeout_check_skips_no_other(beside: Beside) -> None:
    listeners = [Listener(), Listener()]
    faulty, _ = (beside.submit(one) for one in listeners)
    beside.loop.run_due()
    beside.loop.now_ms += 2000.0
    with broken(Run, "enforce_timeouts", lambda run, _: run is faulty):
        beside.inbound.tick()
        beside.loop.run_due()
    assert [one.outcomes for one in listeners] == [["failed FAULT"], ["failed TIMEOUT"]]
    assert beside.inbound.admission.in_flight == 0


def test_a_fault_in_a_timeout_check_does_not_prevent_a_reconnection(
    beside: Beside,
) -> None:
    occupy_slots(beside, 1)
    beside.inbound.unreachable = True
    swept: list[float] = []
    tried: list[object] = []

    async def connect(_: Inbound) -> ClientConnection | None:
        tried.append(None)
        return None

    with broken(Run, "enforce_timeouts"), pytest.MonkeyPatch.context() as patch:
        patch.setattr(IdlePool, "sweep", lambda idle, now_s: swept.append(now_s))
        patch.setattr(type(beside.inbound), "connect", connect)
        beside.inbound.tick()
        beside.loop.run_due()
    assert len(swept) == 1
    assert len(tried) == 1


def test_a_fault_in_refusing_a_request_does_not_block_the_queue(
    beside: Beside,
) -> None:
    running = occupy_slots(beside)
    stuck, waiting = Listener(), Listener()
    faulty = beside.submit(stuck)
    next_run = beside.submit(waiting, LONG_MS)
    faulty.ticket.deadline_ms = beside.loop.now_ms
    with broken(Run, "refuse", lambda run, *_: run is faulty):
        running[0].cancel()
        beside.loop.run_due()
    assert next_run.may_have_run
    assert stuck.outcomes == ["failed FAULT"]


def test_a_fault_in_starting_a_request_does_not_block_the_queue(
    beside: Beside,
) -> None:
    running = occupy_slots(beside)
    stuck = Listener()
    faulty = beside.submit(stuck)
    next_run = beside.submit(Listener(), LONG_MS)
    with broken(Run, "start", lambda run: run is faulty):
        running[0].cancel()
        beside.loop.run_due()
    assert stuck.outcomes == ["failed FAULT"]
    assert next_run.may_have_run
    assert len(beside.inbound.admission.running) == SLOTS


def test_a_fault_in_checking_an_upload_does_not_block_the_transfers(
    beside: Beside,
) -> None:
    uploads = [upload(beside, LONG_MS) for _ in range(MAX_CONCURRENT_TRANSFERS + 2)]
    faulty, stuck = uploads[MAX_CONCURRENT_TRANSFERS]
    _, following = uploads[MAX_CONCURRENT_TRANSFERS + 1]
    with broken(Run, "refuse_if_late", lambda run, _: run is faulty):
        uploads[0][0].cancel()
        beside.loop.run_due()
    assert following.asked == 1
    assert stuck.outcomes == ["failed FAULT"]


def is_outcome_count(_: Metrics, name: str, *__: object) -> bool:
    return name in ("refused_here", "failed_here")


def always(*_: object) -> bool:
    return True


FINISH_STEPS = [
    (Run, "_drop_connection", always),
    (Metrics, "count", is_outcome_count),
    (Admission, "remove", always),
    (Inbound, "release", always),
    (Inbound, "record_run", always),
    (BodyTransfers, "end", always),
]


def test_a_fault_in_the_end_of_a_run_still_reports_its_outcome() -> None:
    for step in FINISH_STEPS:
        beside = make_beside()
        refused, failed = Listener(), Listener()
        occupy_slots(beside, SLOTS - 1)
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


def test_a_fault_in_sending_a_request_ends_it(beside: Beside) -> None:
    listener = Listener()
    with broken(Run, "_send"):
        beside.submit(listener, LONG_MS)
        with contextlib.suppress(KeyError):
            beside.loop.run_due()
    beside.loop.run_due()
    assert listener.outcomes == ["failed FAULT"]
    assert beside.inbound.admission.in_flight == 0
