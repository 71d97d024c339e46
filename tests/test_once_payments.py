"""Callers and statistics of the payments benchmark."""

import random

from azurestep.once.messages import Outcome
from bench.once_live import Answer, Copy, Payment, answer_of, next_copy, slot_of
from bench.once_prices import Timed, added_of, kill_of

NOW_MS = 1_800_000_000_000
FIRST = Copy("01890a5d-ac96-774b-bcce-b302099a8057")


def step(last, answer):
    return next_copy(last, answer, NOW_MS, random.Random(1))


def test_a_caller_follows_the_open_slots_with_a_new_key():
    answer = Answer(Outcome.NOT_RUN, open_slots=(7,))
    found = step(FIRST, answer)
    assert found.key != FIRST.key
    assert found.attempt == 1
    assert slot_of(found.key) == 7


def test_a_caller_keeps_its_key_once_a_copy_may_have_run():
    unsure = step(FIRST, Answer(Outcome.MAY_HAVE_RUN, open_slots=(7,)))
    assert unsure == Copy(FIRST.key, 2)
    assert step(unsure, Answer(Outcome.NOT_RUN, open_slots=(7,))) == Copy(FIRST.key, 3)
    assert step(FIRST, Answer("other")) == Copy(FIRST.key, 2)


def test_a_caller_takes_a_new_key_after_a_final_not_run_and_ends_when_served():
    final = Answer(Outcome.NOT_RUN, is_final=True, open_slots=(9,))
    assert slot_of(step(Copy(FIRST.key, 3), final).key) == 9
    assert step(FIRST, Answer(Outcome.RAN)) is None


def test_a_refused_run_is_not_counted_as_served():
    fields = {"Azurestep-Outcome": "ran"}
    assert answer_of(200, fields, b'{"instance":"a:1"}', 2.0).server == "a:1"
    assert answer_of(503, fields, b"", 2.0).outcome == "other"


def test_added_time_is_over_the_median_call_to_the_same_server():
    timed = [
        *(Timed("call", "fast", 2.0, True), Timed("call", "slow", 10.0, True)),
        *(Timed("pay", "fast", 3.0, True), Timed("pay", "slow", 11.0, True)),
        Timed("pay", "", 500.0, False),
    ]
    call, paid = added_of(timed, "call")
    assert (call.added_p50_ms, call.added_p99_ms) == (0.0, 0.0)
    assert (paid.added_p50_ms, paid.added_p99_ms) == (1.0, 1.0)
    assert (paid.calls, paid.not_served) == (3, 1)


def test_payments_after_a_kill_are_grouped_by_time_and_owner():
    before = Payment(900, ["k"], Outcome.RAN, Outcome.RAN, 5)
    hit = Payment(1100, ["k"], Outcome.NOT_RUN, Outcome.RAN, 510)
    lost = Payment(2500, ["k"], Outcome.MAY_HAVE_RUN, Outcome.MAY_HAVE_RUN, 5000)
    found = kill_of([before, hit, lost], [hit, lost], 1000)
    first, second = found.windows[:2]
    assert (first.payments, first.not_run, first.served) == (1, 1, 1)
    assert (second.payments, second.may_have_run, second.served) == (1, 1, 0)
    assert sum(window.payments for window in found.windows) == 2
    assert found.left_may_have_run == 1
