"""Selection of the backend server for a request."""

from collections import Counter
from random import Random

import pytest

from azurestep.mesh.decisions.choice import Endpoint, SelectionCriteria, choose_endpoint
from azurestep.mesh.decisions.sizes import AnswerSizes
from azurestep.mesh.incarnation import Incarnation


def endpoint(name: str, data_centre: str = "dc-1", **fields: object) -> Endpoint:
    made = Endpoint(name, "shop", Incarnation(name.encode()), data_centre, slots=4)
    for field, value in fields.items():
        setattr(made, field, value)
    return made


@pytest.fixture
def random() -> Random:
    return Random(7)


def pick(endpoints: list[Endpoint], random: Random, size_kib: float = 1.5) -> object:
    criteria = SelectionCriteria("shop", "read", 400.0, 150.0, size_kib, "dc-1")
    found = choose_endpoint(endpoints, criteria, set(), 0.0, random)
    return found and found.key


def test_the_local_data_centre_is_preferred(random: Random) -> None:
    near, far = endpoint("near"), endpoint("far", "dc-2")
    assert {pick([near, far], random) for _ in range(50)} == {"near"}


def test_a_read_goes_to_a_remote_data_centre_when_local_slots_are_taken(
    random: Random,
) -> None:
    near, far = endpoint("near", in_flight=8), endpoint("far", "dc-2")
    assert pick([near, far], random) == "far"


def test_an_upload_waits_rather_than_going_to_a_remote_data_centre(
    random: Random,
) -> None:
    near, far = endpoint("near", in_flight=5), endpoint("far", "dc-2")
    assert pick([near, far], random, size_kib=60.0) == "near"


def test_a_faster_backend_server_is_preferred(random: Random) -> None:
    slow = endpoint("slow", mean_run_ms={"read": 300.0})
    fast = endpoint("fast", mean_run_ms={"read": 80.0})
    assert pick([slow, fast], random) == "fast"


def test_equal_backend_servers_share_the_load(random: Random) -> None:
    endpoints = [endpoint(f"e{index}") for index in range(4)]
    counts: Counter[object] = Counter()
    for _ in range(400):
        key = pick(endpoints, random)
        counts[key] += 1
    assert min(counts.values()) > 50


def test_a_closed_or_excluded_server_is_never_chosen(random: Random) -> None:
    closed = endpoint("closed", open=False)
    criteria = SelectionCriteria("shop", "read", 400.0, 150.0, 1.5, "dc-1")
    assert choose_endpoint([closed], criteria, set(), 0.0, random) is None
    assert choose_endpoint([endpoint("a")], criteria, {"a"}, 0.0, random) is None


def test_a_failed_or_unresponsive_server_is_the_last_resort(random: Random) -> None:
    failed = endpoint("failed", failed_until_ms=100.0)
    unresponsive = endpoint("unresponsive", unresponsive=True)
    healthy = endpoint("healthy", in_flight=4)
    assert pick([failed, unresponsive, healthy], random) == "healthy"
    assert pick([unresponsive], random) == "unresponsive"


def test_own_requests_count_until_the_next_report(random: Random) -> None:
    one = endpoint("one")
    one.update_load(3)
    one.own_in_flight += 2
    assert one.load == 5
    one.update_load(1)
    assert one.load == 2


def test_a_server_without_samples_is_assumed_to_have_the_mean_run_time(
    random: Random,
) -> None:
    known = endpoint("known", mean_run_ms={"read": 400.0})
    unknown = endpoint("unknown", "dc-2")
    criteria = SelectionCriteria("shop", "read", 1200.0, 400.0, 1.5, "dc-1")
    found = [
        choose_endpoint([known, unknown], criteria, set(), 0.0, random)
        for _ in range(40)
    ]
    assert set(found) == {known}


def test_nodes_with_the_same_outdated_reports_choose_different_servers(
    random: Random,
) -> None:
    endpoints = [endpoint(f"e{index}", in_flight=4) for index in range(30)]
    endpoints[0].in_flight = 0
    picks = Counter(pick(endpoints, random) for _ in range(300))
    assert picks["e0"] < 150
    assert len(picks) > 20


def test_many_remote_servers_attract_no_local_requests(random: Random) -> None:
    near = [endpoint(f"n{index}") for index in range(9)]
    far = [endpoint(f"f{index}", "dc-2") for index in range(27)]
    picks = Counter(str(pick(near + far, random))[0] for _ in range(200))
    assert picks["f"] == 0


def test_a_long_answer_stays_local_where_a_read_goes_remote(random: Random) -> None:
    sizes = AnswerSizes()
    for _ in range(30):
        sizes.record_size("download", 90_000)
        sizes.record_size("read", 1_500)
    near, far = endpoint("near", in_flight=7), endpoint("far", "dc-2")
    assert pick([near, far], random, sizes.mean_kib("download")) == "near"
    assert pick([near, far], random, sizes.mean_kib("read")) == "far"


def test_a_server_is_chosen_only_as_often_as_its_rate_limit_allows(
    random: Random,
) -> None:
    limited = endpoint("limited", rate_limit_per_s=20.0, in_flight=4)
    other = endpoint("other", in_flight=2, mean_run_ms={"read": 200.0})
    assert pick([limited, other], random) == "other"
    limited.update_load(0)
    assert pick([limited, other], random) == "limited"


def test_a_limited_server_is_left_alone_for_as_long_as_it_refuses(
    random: Random,
) -> None:
    limited = endpoint("limited", rate_limit_per_s=2.0)
    other = endpoint("other", mean_run_ms={"read": 250.0})
    assert pick([limited, other], random) == "limited"
    limited.record_refusal(0, 400.0, now_ms=0.0)
    assert pick([limited, other], random) == "other"
    assert pick([limited], random) == "limited"


def test_a_server_that_takes_nothing_is_not_chosen(random: Random) -> None:
    assert pick([endpoint("limited", rate_limit_per_s=0.0)], random) is None


def test_a_limited_server_with_long_runs_gets_no_short_requests(
    random: Random,
) -> None:
    # Two long runs are no queue if the limit allows more of them at once.
    times_ms = {"read": 60.0, "report": 4000.0}
    limited = endpoint("limited", rate_limit_per_s=9.0, mean_run_ms=times_ms)
    other = endpoint("other", in_flight=3, mean_run_ms=dict(times_ms))
    limited.update_load(2)
    assert pick([limited, other], random) == "limited"


def test_run_times_of_zero_leave_the_slots_of_a_server_without_a_limit() -> None:
    assert endpoint("fast").usable_slots(0.0) == 4
