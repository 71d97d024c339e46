"""Load shedding on behalf of called services."""

import pytest

from azurestep.mesh.decisions.calling_services import (
    MIN_PRESUMED_REQUESTS,
    CallerDetector,
)
from azurestep.mesh.decisions.pressure import (
    CALLS_PRIORITY,
    MAX_LACK_SHED_RATIO,
    TOLERATED_LACK,
    URGENT_GAIN,
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


def test_requests_presumed_to_be_calls_are_detected_sooner() -> None:
    """For two seconds after a restart of all nodes, no node knew who calls whom."""
    detector = CallerDetector()
    for _ in range(MIN_PRESUMED_REQUESTS - 1):
        detector.record_request("lookup", 1, b"shop", presumed=True)
    assert detector.calling_services() == ()
    detector.record_request("lookup", 1, b"shop", presumed=True)
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


def calls_lacking(ratio: float) -> list[PressureReport]:
    """Return the reports of nodes whose runs' calls get no answer in time."""
    books = PressureReport("books", (("shop", 17),), ())
    shop = PressureReport("shop", (), (("shop", CALLS_PRIORITY, ratio),))
    return [books, shop, shop]


def test_requests_of_all_priorities_are_shed_if_their_calls_lack_capacity() -> None:
    """Calls of route priority 1 count as 17, as do the requests that make them.

    Those were never shed, so that they ran and failed.
    """
    shedder = LoadShedder()
    shedder.update(calls_lacking(0.4))
    for priority in (0, 16, 17, 33):
        assert shedder.shed_ratio("shop", priority) == pytest.approx(0.4)
        assert shedder.shed_ratio("books", priority) == 0.0
    shedder.update(calls_lacking(1.0))
    assert shedder.shed_ratio("shop", 17) == MAX_LACK_SHED_RATIO
    assert shedder.max_ratio == MAX_LACK_SHED_RATIO
    shedder.update(calls_lacking(TOLERATED_LACK))
    assert shedder.shed_ratio("shop", 17) == 0.0


def test_the_lack_is_the_mean_over_the_nodes_of_the_calling_service() -> None:
    """The mean over all nodes made the ratio smaller the more services there are."""
    shedder = LoadShedder()
    others = [PressureReport("files", (), ())] * 10
    shedder.update([*calls_lacking(0.4), *others])
    assert shedder.shed_ratio("shop", 17) == pytest.approx(0.4)


def test_a_node_reports_the_calls_that_got_no_answer_in_time() -> None:
    meter = RefusalMeter()
    for index in range(40):
        meter.record_offered("lookup", "books", 17)
        meter.record_offered("read", "books", 18)
        if index % 2 == 0:
            meter.record_late("read")
        if index % 4 == 0:
            meter.record_refused("lookup")
        elif index % 4 == 1:
            meter.record_late("lookup")
    rows = (("books", 17, 0.25),)
    assert meter.report() == rows
    assert meter.report("shop", {"lookup"}) == (*rows, ("shop", CALLS_PRIORITY, 0.5))
    assert meter.report("shop", {"read"})[-1] == ("shop", CALLS_PRIORITY, 0.5)


def test_some_late_calls_are_not_reported() -> None:
    """Guards against messages from nodes whose calls are served."""
    meter = RefusalMeter()
    for index in range(50):
        meter.record_offered("lookup", "books", 17)
        if index % 10 == 0:
            meter.record_late("lookup")
    assert meter.report("shop", {"lookup"}) == ()


CALLED_BY_SHOP = PressureReport("books", (("shop", 17),), (("books", 16, 0.1),))


def test_less_urgent_runs_are_shed_for_urgent_requests_that_are_refused() -> None:
    """Calls of bookings went before charges, of which a fifth was refused."""
    shedder = LoadShedder()
    shedder.update([CALLED_BY_SHOP])
    assert shedder.urgent_shed_ratio("shop", 18) == pytest.approx(URGENT_GAIN * 0.1)
    assert shedder.urgent_shed_ratio("shop", 16) == 0.0
    assert shedder.urgent_shed_ratio("books", 18) == 0.0


def test_some_less_urgent_runs_start_whatever_is_refused() -> None:
    """They show when the called service has capacity again."""
    shedder = LoadShedder()
    refused = (("books", 16, 1.0),)
    shedder.update([PressureReport("books", (("shop", 17),), refused)])
    assert shedder.urgent_shed_ratio("shop", 18) == MAX_LACK_SHED_RATIO


def test_refusals_count_for_the_least_urgent_team_of_a_route() -> None:
    """All work was shed for the refusals of one urgent team's first request."""
    meter = RefusalMeter()
    for priority in (0, 16, 16, 16, 16):
        meter.record_offered("charge", "books", priority)
        meter.record_refused("charge")
    assert meter.report() == (("books", 16, 1.0),)


def test_refused_calls_count_where_they_are_more_urgent_than_their_runs() -> None:
    """Their runs hold slots and fail; one that has not started costs nothing."""
    shedder = LoadShedder()
    refused = (("books", 17, 0.1),)
    shedder.update([PressureReport("books", (("shop", 17),), refused)])
    assert shedder.urgent_shed_ratio("shop", 18) == pytest.approx(URGENT_GAIN * 0.1)
    assert shedder.urgent_shed_ratio("shop", 17) == 0.0


def test_the_priority_of_a_route_is_that_of_its_recent_requests() -> None:
    """One request of a less urgent team hid the refusals of urgent ones for good."""
    meter = RefusalMeter()
    meter.record_offered("charge", "books", 33)
    for _ in range(100):
        meter.tick()
    for _ in range(40):
        meter.record_offered("charge", "books", 16)
        meter.record_refused("charge")
    assert meter.report() == (("books", 16, 1.0),)
