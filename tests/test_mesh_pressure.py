"""Load shedding on behalf of called services."""

from azurestep.mesh.decisions.pressure import (
    CallerDetector,
    LoadShedder,
    PressureReport,
    RefusalMeter,
)


def test_a_route_used_by_one_service_only_is_detected_as_its_calls() -> None:
    detector = CallerDetector()
    for index in range(120):
        detector.record_request("book", 1, (b"shop", b"books", b"files")[index % 3])
        detector.record_request("lookup", 1, b"shop")
    assert detector.calling_services() == (("shop", 1),)


def test_a_route_used_from_several_services_is_not_detected_as_calls() -> None:
    detector = CallerDetector()
    for index in range(300):
        detector.record_request("book", 1, b"books" if index % 10 == 0 else b"shop")
    assert detector.calling_services() == ()


def test_a_mislabelled_call_changes_nothing() -> None:
    detector = CallerDetector()
    for index in range(300):
        detector.record_request("lookup", 1, b"books" if index == 0 else b"shop")
    assert detector.calling_services() == (("shop", 1),)


def test_a_node_reports_the_ratio_that_it_refused() -> None:
    meter = RefusalMeter()
    for index in range(40):
        meter.record_offered("book", "books", 1)
        if index % 4 == 0:
            meter.record_refused("book")
    assert meter.report() == (("books", 1, 0.25),)


def test_refusals_decay() -> None:
    meter = RefusalMeter()
    for _ in range(40):
        meter.record_offered("book", "books", 1)
        meter.record_refused("book")
    for _ in range(100):
        meter.tick()
    assert meter.report() == ()


def test_only_less_urgent_requests_to_the_calling_service_are_shed() -> None:
    shedder = LoadShedder()
    shedder.update([PressureReport("books", (("shop", 1),), (("books", 1, 0.5),))])
    assert shedder.shed_ratio("shop", 2) == 0.5
    assert shedder.shed_ratio("shop", 1) == 0.0
    assert shedder.shed_ratio("files", 2) == 0.0


def test_refusals_of_less_urgent_requests_cause_no_shedding() -> None:
    shedder = LoadShedder()
    shedder.update([PressureReport("books", (("shop", 1),), (("books", 3, 0.5),))])
    assert shedder.shed_ratio("shop", 2) == 0.0


def test_refusals_of_services_without_callers_cause_no_shedding() -> None:
    shedder = LoadShedder()
    shedder.update([PressureReport("books", (), (("books", 1, 0.5),))])
    assert shedder.shed_ratio("shop", 2) == 0.0


def test_never_more_than_half_is_shed() -> None:
    shedder = LoadShedder()
    shedder.update([PressureReport("books", (("shop", 1),), (("books", 1, 0.95),))])
    assert shedder.shed_ratio("shop", 2) == 0.5
