"""Decisions of two node processes that share an ownership log."""

import random

import attrs
import pytest

from azurestep.once import NodeId, OnceDecision, OnceSettings
from azurestep.once import messages as m
from azurestep.once.fold import LogEntry
from azurestep.once.key import generate_key
from azurestep.once.records import Claim, encode_record

SERVICE = "licensing"
NOW_MS = 1_800_000_000_000


@attrs.define
class Pair:
    """Two node processes with a shared log; the test delivers their messages."""

    nodes: list[OnceDecision]
    log: list[LogEntry] = attrs.field(factory=list)
    elapsed_ms: int = 0

    @property
    def now(self) -> m.Moment:
        return m.Moment(NOW_MS + self.elapsed_ms, self.elapsed_ms)

    def send(self, index: int, message: m.Input) -> list[m.Output]:
        """Handle an input and carry out the outputs of both nodes."""
        seen = []
        todo = [(index, output) for output in self.handle(index, message)]
        while todo:
            sender, output = todo.pop(0)
            seen.append(output)
            if isinstance(output, m.AppendRecord):
                self.append(output.record)
            if isinstance(output, m.SendToPeer):
                peer = self.index_of(output.receiver)
                arrived = m.PeerSent(self.nodes[sender].node, output.message)
                todo += [(peer, found) for found in self.handle(peer, arrived)]
        return seen

    def handle(self, index: int, message: m.Input) -> list[m.Output]:
        return self.nodes[index].handle(message, self.now)

    def append(self, record: object) -> None:
        self.log.append(LogEntry(len(self.log), encode_record(record)))
        for index, node in enumerate(self.nodes):
            start = node.fold.next_offset
            read = m.LogRecordsRead(start, tuple(self.log[start:]), len(self.log))
            self.handle(index, read)

    def index_of(self, node_id: NodeId) -> int:
        return [node.node for node in self.nodes].index(node_id)

    def advance(self, duration_ms: int) -> list[m.Output]:
        self.elapsed_ms += duration_ms
        return self.send(0, m.Tick()) + self.send(1, m.Tick())


@pytest.fixture
def pair() -> Pair:
    ids = [NodeId("a", "a1"), NodeId("b", "b1")]
    pair = Pair(
        [
            OnceDecision(
                node, SERVICE, OnceSettings(slot_count=32), random.Random(seed)
            )
            for seed, node in enumerate(ids)
        ]
    )
    for index in range(2):
        pair.handle(index, m.LogRecordsRead(0, (), 0))
        pair.handle(index, m.MembersChanged(SERVICE, tuple(ids)))
    for _ in range(10):
        pair.advance(1000)
    return pair


def request(pair: Pair, request_id: str = "r1", **fields) -> m.RequestArrived:
    key = generate_key(pair.now.wall_ms, fields.pop("slot", 0), random.Random(7)).text
    values = {"key": key, "fingerprint": "f", "attempt": 0, "remaining_ms": 2000}
    return m.RequestArrived(request_id, SERVICE, **(values | fields))


def slots_of(pair: Pair, index: int) -> list[int]:
    return sorted(slot_id.slot for slot_id in pair.nodes[index].owner.slot_ids)


def find(outputs: list[m.Output], kind: type):
    return [output for output in outputs if isinstance(output, kind)]


def test_slots_are_divided_between_the_members(pair):
    assert slots_of(pair, 0) and slots_of(pair, 1)
    assert sorted(slots_of(pair, 0) + slots_of(pair, 1)) == list(range(32))


@pytest.mark.parametrize("owner", [0, 1])
def test_request_runs_at_its_owner_and_its_answer_is_replayed(pair, owner):
    slot = slots_of(pair, owner)[0]
    (run,) = find(pair.send(0, request(pair, slot=slot)), m.RunHere)
    answer = m.KeptAnswer(201, (), b"paid")
    first = pair.send(owner, m.BackendServerAnswered(run.run_id, answer))
    again = pair.send(0, request(pair, "r2", slot=slot))
    assert not find(again, m.RunHere)
    (first_answer,) = find(first, m.AnswerCaller)
    (second_answer,) = find(again, m.AnswerCaller)
    assert first_answer.outcome is second_answer.outcome is m.Outcome.RAN
    assert second_answer.answer == answer
    assert (first_answer.replayed, second_answer.replayed) == (False, True)


def test_second_request_waits_for_the_first(pair):
    slot = slots_of(pair, 0)[0]
    (run,) = find(pair.send(0, request(pair, slot=slot)), m.RunHere)
    assert pair.send(0, request(pair, "r2", slot=slot)) == []
    done = pair.send(0, m.BackendServerAnswered(run.run_id, m.KeptAnswer(200)))
    assert [answer.request_id for answer in done] == ["r1", "r2"]


def test_invalid_key_is_refused_permanently(pair):
    (answer,) = pair.send(0, request(pair, key="order-17"))
    assert (answer.outcome, answer.final) == (m.Outcome.NOT_RUN, True)
    assert "UUID of version 7" in answer.remedy


def test_missing_key_is_created_for_a_local_slot(pair):
    (run,) = pair.send(1, request(pair, key=""))
    assert isinstance(run, m.RunHere) and run.sender is None


def test_reused_key_is_refused(pair):
    pair.send(0, request(pair, slot=slots_of(pair, 0)[0]))
    reused = request(pair, "r2", slot=slots_of(pair, 0)[0], fingerprint="other")
    (answer,) = pair.send(0, reused)
    assert answer.outcome is m.Outcome.KEY_REUSED


@pytest.mark.parametrize(
    ("bytes_sent", "outcome"),
    [(False, m.Outcome.NOT_RUN), (True, m.Outcome.MAY_HAVE_RUN)],
)
def test_failed_dispatch_is_retried_only_if_nothing_was_sent(pair, bytes_sent, outcome):
    slot = slots_of(pair, 0)[0]
    (run,) = find(pair.send(0, request(pair, slot=slot)), m.RunHere)
    (answer,) = pair.send(0, m.DispatchFailed(run.run_id, bytes_sent))
    assert answer.outcome is outcome
    again = pair.send(0, request(pair, "r2", slot=slot))
    assert bool(find(again, m.RunHere)) is not bytes_sent


@pytest.mark.parametrize(
    ("attempt", "outcome"),
    [(1, m.Outcome.NOT_RUN), (0, m.Outcome.MAY_HAVE_RUN), (2, m.Outcome.MAY_HAVE_RUN)],
)
def test_request_for_an_unreachable_owner_is_not_run_only_on_a_first_attempt(
    pair, attempt, outcome
):
    slot = slots_of(pair, 1)[0]
    pair.handle(0, m.MembersChanged(SERVICE, (pair.nodes[0].node,)))
    (answer,) = pair.send(0, request(pair, slot=slot, attempt=attempt))
    assert answer.outcome is outcome
    assert answer.open_slots == tuple(slots_of(pair, 0))


def test_key_time_that_no_node_can_own_never_runs(pair):
    slot = slots_of(pair, 1)[0]
    key = generate_key(pair.now.wall_ms + 10_000_000, slot, random.Random(1)).text
    late = Claim("x", NodeId("c", "c1"), SERVICE, 32, (slot,), NOW_MS + 20_000_000, 0)
    pair.append(attrs.evolve(late, end_ms=late.start_ms + 1000))
    (answer,) = pair.send(0, request(pair, key=key))
    assert (answer.outcome, answer.final) == (m.Outcome.NOT_RUN, True)


def test_shutdown_hands_slots_and_answers_to_the_successor(pair):
    slot = slots_of(pair, 0)[0]
    paid = request(pair, slot=slot)
    (run,) = find(pair.send(0, paid), m.RunHere)
    pair.send(0, m.BackendServerAnswered(run.run_id, m.KeptAnswer(200, (), b"paid")))
    pair.send(0, m.StopRequested())
    assert m.Stopped(0) in pair.advance(100)
    assert slots_of(pair, 1) == list(range(32))
    (answer,) = pair.send(1, attrs.evolve(paid, request_id="r2"))
    assert (answer.outcome, answer.answer.body) == (m.Outcome.RAN, b"paid")


def test_successor_without_the_table_answers_may_have_run(pair):
    slot = slots_of(pair, 0)[0]
    before = request(pair, slot=slot)
    find(pair.send(0, before), m.RunHere)
    pair.handle(0, m.StopRequested())
    for _ in range(8):
        pair.elapsed_ms += 2000
        for output in pair.handle(0, m.Tick()):
            if isinstance(output, m.AppendRecord):
                pair.append(output.record)
    (answer,) = pair.send(1, attrs.evolve(before, request_id="r2"))
    assert answer.outcome is m.Outcome.MAY_HAVE_RUN
    assert find(pair.send(1, request(pair, "r3", slot=slot)), m.RunHere)


def test_full_table_refuses_new_keys(pair):
    node = pair.nodes[0]
    node.owner.table.settings = attrs.evolve(node.settings, max_keys=1)
    first, second = slots_of(pair, 0)[:2]
    pair.send(0, request(pair, slot=first))
    (answer,) = pair.send(0, request(pair, "r2", slot=second))
    assert (answer.outcome, answer.reason) == (
        m.Outcome.NOT_RUN,
        m.Reason.TABLE_FULL,
    )


def test_large_answer_is_passed_on_and_kept_without_its_body(pair):
    slot = slots_of(pair, 0)[0]
    (run,) = find(pair.send(0, request(pair, slot=slot)), m.RunHere)
    body = b"x" * (pair.nodes[0].settings.max_answer_bytes + 1)
    (first,) = pair.send(
        0, m.BackendServerAnswered(run.run_id, m.KeptAnswer(200, (), body))
    )
    (again,) = pair.send(0, request(pair, "r2", slot=slot))
    assert first.answer.body == body
    assert (again.outcome, again.answer.trimmed) == (m.Outcome.RAN, True)


def test_clock_far_ahead_of_the_other_owners_claims_nothing(pair):
    for name in ("c", "d", "e"):
        end_ms = pair.now.wall_ms + 600_000
        other = Claim(name, NodeId(name, name), "catalogue", 1, (0,), NOW_MS, end_ms)
        pair.append(attrs.evolve(other, service=name))
    pair.advance(1000)
    ahead = m.Moment(pair.now.wall_ms + 86_400_000, pair.now.monotonic_ms + 10_000)
    outputs = pair.nodes[0].handle(m.Tick(), ahead)
    assert not find(outputs, m.AppendRecord)
    assert [output.event.number for output in find(outputs, m.Emit)] == [7007]


def test_log_that_lost_records_ends_ownership(pair):
    slot = slots_of(pair, 0)[0]
    pair.handle(0, m.LogRegressed())
    (answer,) = pair.send(0, request(pair, slot=slot))
    assert answer.outcome is m.Outcome.MAY_HAVE_RUN


def test_slots_of_a_former_service_are_handed_over_under_its_name(pair):
    pair.nodes[0].set_service("catalogue")
    pair.send(0, m.StopRequested())
    assert m.Stopped(0) in pair.advance(100)
    assert slots_of(pair, 1) == list(range(32))


def test_node_without_a_service_appends_nothing(pair):
    pair.nodes[0].set_service("")
    pair.append(Claim("x", NodeId("c", "c1"), "other", 1, (0,), 0, 1))
    pair.elapsed_ms += 10 * pair.nodes[0].settings.checkpoint_interval_ms
    assert not find(pair.handle(0, m.Tick()), m.AppendRecord)
    assert not find(pair.handle(0, m.Tick()), m.AppendRecord)
