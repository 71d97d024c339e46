"""Shedding for the sake of the service behind the next one."""

from azurestep.mesh.pressure import PressureMeter, PressureView


def pressed(refuse_every: int, calls_refused: bool = False) -> PressureMeter:
    meter = PressureMeter()
    for index in range(120):
        meter.offered("book", 1, (b"shop", b"books", b"files")[index % 3])
        meter.offered("lookup", 1, b"shop")
        if index % refuse_every == 0:
            meter.refused("lookup" if calls_refused else "book")
    return meter


def test_a_route_used_by_one_service_only_is_taken_for_its_calls() -> None:
    assert pressed(2).report() == (("shop", 1, 0.5),)


def test_refused_calls_press_too() -> None:
    assert pressed(4, calls_refused=True).report() == (("shop", 1, 0.25),)


def test_without_refusals_nothing_is_told() -> None:
    assert pressed(1000).report() == ()


def test_pressure_fades() -> None:
    meter = pressed(2)
    for _ in range(100):
        meter.tick()
    assert meter.report() == ()


def test_a_route_that_callers_use_is_never_taken_for_calls() -> None:
    meter = PressureMeter()
    for index in range(300):
        meter.offered("book", 1, b"shop" if index else b"books")
        meter.refused("book")
    assert meter.report() == ()


def test_only_less_urgent_requests_are_shed() -> None:
    view = PressureView()
    view.update([("books", (("shop", 1, 0.5),))])
    assert view.share("shop", 2) == 0.5
    assert view.share("shop", 1) == 0.0
    assert view.share("files", 2) == 0.0
