"""Truncated answers and their resumption."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azurestep.balancing import (
    Abort,
    Resume,
    ResumedAnswer,
    RetryElsewhere,
    TruncatedAnswer,
    decide_resumption,
    is_continuation,
    is_whole,
)

TRUNCATED = TruncatedAnswer(
    safe_get=True,
    declared_bytes=1000,
    delivered_bytes=400,
    head_delivered=True,
    entity_tag='"v1"',
    accepts_ranges=True,
)
WANTED = Resume(400, 999, '"v1"')


def test_the_rest_is_requested():
    assert decide_resumption(TRUNCATED) == WANTED


def test_a_partial_answer_resumes_inside_its_range():
    assert decide_resumption(attrs.evolve(TRUNCATED, first_byte=5000)) == Resume(
        5400, 5999, '"v1"'
    )


def test_an_answer_truncated_before_its_head_is_retried():
    cut = attrs.evolve(TRUNCATED, head_delivered=False, delivered_bytes=0)
    assert decide_resumption(cut) == RetryElsewhere()


@pytest.mark.parametrize(
    "changes",
    [
        {"safe_get": False},
        {"safe_get": False, "head_delivered": False, "delivered_bytes": 0},
        {"entity_tag": 'W/"v1"'},
        {"entity_tag": ""},
        {"accepts_ranges": False},
        {"declared_bytes": None},
        {"resumptions": 3},
        {"remaining_ms": 0.0},
        {"delivered_bytes": 1001},
    ],
)
def test_an_answer_that_cannot_be_resumed_is_aborted(changes):
    assert decide_resumption(attrs.evolve(TRUNCATED, **changes)) == Abort()


@pytest.mark.parametrize(
    ("answer", "accepted"),
    [
        (ResumedAnswer(206, '"v1"', 400, 999), True),
        (ResumedAnswer(206, "", 400, 999), False),
        (ResumedAnswer(206, '"v2"', 400, 999), False),
        (ResumedAnswer(206, '"v1"', 0, 999), False),
        (ResumedAnswer(206, '"v1"', 400, 998), False),
        (ResumedAnswer(206, '"v1"', None, None), False),
        (ResumedAnswer(200, '"v1"', None, None), False),
    ],
)
def test_only_the_exact_rest_of_the_same_entity_is_appended(answer, accepted):
    assert is_continuation(WANTED, answer) is accepted


def test_a_body_is_whole_only_with_its_declared_or_marked_end():
    assert is_whole(10, 10, ended_cleanly=False)
    assert not is_whole(10, 9, ended_cleanly=True)
    assert not is_whole(10, 11, ended_cleanly=True)
    assert is_whole(None, 9, ended_cleanly=True)
    assert not is_whole(None, 9, ended_cleanly=False)


@settings(derandomize=True, max_examples=200)
@given(body=st.binary(min_size=1, max_size=200), cuts=st.lists(st.integers(0, 200)))
def test_resumed_parts_make_the_whole_body_or_none(body, cuts):
    delivered = b""
    cut = attrs.evolve(TRUNCATED, declared_bytes=len(body), delivered_bytes=0)
    for number, length in enumerate(cuts):
        decision = decide_resumption(
            attrs.evolve(cut, delivered_bytes=len(delivered), resumptions=number)
        )
        if not isinstance(decision, Resume):
            break
        assert decision.range_start == len(delivered)
        part = body[decision.range_start : decision.range_end + 1]
        delivered += part[:length]
    assert delivered == body[: len(delivered)]
    assert is_whole(len(body), len(delivered), True) == (delivered == body)
