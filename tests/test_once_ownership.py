"""No key is accepted by two owners of a slot, also after late records."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from azurestep.once import slots
from azurestep.once.records import Claim, Extend, NodeId, Release
from azurestep.once.slots import SlotState

SERVICE = "licensing"
NODES = [NodeId("a", "a1"), NodeId("b", "b1"), NodeId("c", "c1")]
nodes = st.sampled_from(NODES)


class OwnersOfOneSlot(RuleBasedStateMachine):
    """Owners of one slot that see only the log and their predecessors' tables."""

    def __init__(self):
        super().__init__()
        self.state = SlotState()
        self.sent: list = []
        self.accepted: set[int] = set()
        self.known: dict[tuple[NodeId, str], set[int]] = {}
        self.complete_from: dict[tuple[NodeId, str], int] = {}
        self.count = 0

    def next_id(self) -> str:
        self.count += 1
        return f"r{self.count}"

    def append(self, record, tenure=""):
        self.sent.append((record, tenure))
        self.fold(record, tenure)

    def fold(self, record, tenure):
        if isinstance(record, Claim):
            self.state = slots.claim(self.state, record)
        elif isinstance(record, Extend):
            self.state = slots.extend(self.state, record)
        else:
            self.state = slots.release(self.state, record, tenure)

    @rule(node=nodes, delay_ms=st.integers(-2, 2), length_ms=st.integers(1, 8))
    def claim(self, node, delay_ms, length_ms):
        start_ms = max(0, self.state.last_end_ms + delay_ms)
        end_ms = start_ms + length_ms
        self.append(Claim(self.next_id(), node, SERVICE, 1, (0,), start_ms, end_ms))

    @precondition(lambda self: self.state.intervals)
    @rule(node=nodes, length_ms=st.integers(-2, 8))
    def extend(self, node, length_ms):
        end_ms = self.state.last_end_ms + length_ms
        self.append(Extend(self.next_id(), node, SERVICE, (0,), end_ms))

    @precondition(lambda self: self.state.last is not None)
    @rule(successor=st.none() | nodes, has_table=st.booleans())
    def release(self, successor, has_table):
        last = self.state.last
        held = (last.node, last.tenure)
        known = self.known.get(held, set())
        complete_from = self.complete_from.get(held, last.cut_ms)
        record_id = self.next_id()
        if successor and has_table:
            self.known[successor, record_id] = set(known)
            self.complete_from[successor, record_id] = complete_from
        cut_ms = max(known, default=0) + 1
        self.append(
            Release(record_id, last.node, SERVICE, (), cut_ms, successor), last.tenure
        )

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def repeat_a_late_record(self, data):
        self.fold(*data.draw(st.sampled_from(self.sent)))

    @precondition(lambda self: self.state.intervals)
    @rule(data=st.data(), count=st.integers(1, 20))
    def accept_keys(self, data, count):
        interval = data.draw(st.sampled_from(self.state.intervals))
        held = (interval.node, interval.tenure)
        known = self.known.setdefault(held, set())
        complete_from = self.complete_from.get(held, interval.cut_ms)
        start_ms = max(interval.start_ms, complete_from)
        end_ms = min(start_ms + count, interval.end_ms)
        fresh = set(range(start_ms, end_ms)) - known
        assert not fresh & self.accepted
        known |= fresh
        self.accepted |= fresh


OwnersOfOneSlot.TestCase.settings = settings(
    max_examples=300, stateful_step_count=25, derandomize=True, deadline=None
)
test_no_key_is_accepted_by_two_owners = OwnersOfOneSlot.TestCase
