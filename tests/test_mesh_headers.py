"""Parsing and forwarding of headers between callers and backend servers."""

import pytest

from azurestep.platform.headers import (
    NO_RATE_LIMIT,
    read_answer,
    read_caller,
    to_backend,
)


def test_hop_by_hop_and_forged_headers_are_dropped() -> None:
    caller = read_caller(
        [
            (b"Host", b"Shop.example"),
            (b"Attempt-Id", b"a1"),
            (b"Deadline-Milliseconds", b"700"),
            (b"Calling-Service", b"forged"),
            (b"Expected-Instance", b"forged"),
            (b"Connection", b"close, X-Own"),
            (b"X-Own", b"1"),
            (b"X-Kept", b"2"),
        ]
    )
    assert caller.host == b"shop.example"
    assert caller.remaining_ms == 700.0
    assert caller.forwarded == [
        (b"Host", b"Shop.example"),
        (b"Attempt-Id", b"a1"),
        (b"X-Kept", b"2"),
    ]


def test_invalid_deadline_is_ignored() -> None:
    for value in (b"", b"-1", b"1e9", b"soon"):
        assert read_caller([(b"Deadline-Milliseconds", value)]).remaining_ms is None


def test_backend_server_gets_the_remaining_time() -> None:
    lines = b"".join(to_backend([(b"A", b"b")], 512.7, b"i-1", b"shop"))
    assert b"Deadline-Milliseconds: 512\r\n" in lines
    assert b"Expected-Instance: i-1\r\n" in lines
    assert b"Calling-Service: shop\r\n" in lines


def test_answer_headers_are_parsed() -> None:
    answer = read_answer(
        [
            (b"Attempt-Id", b"a1"),
            (b"Response-Signature", b"s"),
            (b"Keep-Alive", b"max=3, timeout=5"),
            (b"Connection", b"close"),
        ]
    )
    assert answer.signed
    assert answer.closing
    assert answer.keep_alive_ms == 5000.0
    assert (b"Response-Signature", b"s") in answer.forwarded


@pytest.mark.parametrize(
    ("values", "limit_per_s"),
    [
        ([], NO_RATE_LIMIT),
        ([b"47.9"], 47.9),
        ([b"0"], 0.0),
        ([b"8", b" 8"], 8.0),
        ([b"8", b"9"], None),
        ([b""], None),
        ([b"inf"], None),
        ([b"-4"], None),
        ([b"9" * 16], None),
    ],
)
def test_rate_limit_of_a_server_is_read_or_reported_as_malformed(
    values: list[bytes], limit_per_s: float | None
) -> None:
    headers = [(b"Server-Limit", value) for value in values]
    notice = read_answer([(b"Response-Signature", b"s"), *headers]).notice
    assert notice.rate_limit_per_s == limit_per_s
    assert notice.malformed == ((b"server-limit",) if limit_per_s is None else ())


@pytest.mark.parametrize(
    ("values", "leaving", "malformed"),
    [
        ([], False, False),
        ([b"1"], True, False),
        ([b"1", b" 1"], True, False),
        ([b"0"], False, True),
        ([b""], False, True),
        ([b"yes"], False, True),
        ([b"1", b"0"], False, True),
    ],
)
def test_leaving_of_a_server_is_read_or_reported_as_malformed(
    values: list[bytes], leaving: bool, malformed: bool
) -> None:
    notice = read_answer([(b"Server-Leaving", value) for value in values]).notice
    assert notice.leaving is leaving
    assert notice.malformed == ((b"server-leaving",) if malformed else ())


@pytest.mark.parametrize(
    ("load", "slots", "occupancy", "work_ratio"),
    [
        (b"3,1,8", 8, 4, None),
        (b"3,1,8,100", 8, 4, 1.0),
        (b" 3, 1, 8, 250 ", 8, 4, 2.5),
        (b"3,1,8,55", 8, 4, 0.55),
        # A malformed fourth figure must not invalidate the first three.
        (b"3,1,8,", 8, 4, None),
        (b"3,1,8,0", 8, 4, None),
        (b"3,1,8,-5", 8, 4, None),
        (b"3,1,8,1.5", 8, 4, None),
        (b"3,1,8,1e3", 8, 4, None),
        (b"3,1,8,\xb2", 8, 4, None),
        (b"3,1,8," + b"9" * 400, 8, 4, None),
        # Five figures are no load header that this program knows.
        (b"3,1,8,100,1", None, None, None),
        (b"3,1", None, None, None),
        (b"", None, None, None),
        (b"x,1,8,100", 8, None, 1.0),
    ],
)
def test_load_header_has_three_or_four_figures(
    load: bytes, slots: int | None, occupancy: int | None, work_ratio: float | None
) -> None:
    answer = read_answer([(b"Server-Load", load)])
    found = (answer.slots, answer.occupancy, answer.work_ratio)
    assert found == (slots, occupancy, work_ratio)
    assert answer.forwarded == []
