"""Any two readers of one log agree on every version that both hold."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from azurestep.config.delta import make_delta, make_snapshot
from azurestep.config.fold import ConfigurationFold
from azurestep.config.records import SwitchPreset
from tests.fixtures_fold import FakeLog, initial_change, timeout_change

CHANGES = st.one_of(
    st.integers(1, 50).map(lambda step: timeout_change(step * 100)),
    st.integers(-3, -1).map(timeout_change),
    st.sampled_from(["peak", "ordinary", "unknown"]).map(SwitchPreset),
)


class Readers(RuleBasedStateMachine):
    folds = Bundle("folds")
    pages = Bundle("pages")
    states = Bundle("states")

    @initialize(target=folds)
    def start(self):
        self.log = FakeLog()
        self.reference = ConfigurationFold()
        self.hashes = {0: self.reference.state.document.hash}
        self.seen = {}
        self.ids = 0
        self.readers = []
        self.append(0, initial_change())
        return self.new_reader()

    def new_reader(self):
        self.readers.append(ConfigurationFold())
        return self.readers[-1]

    def append(self, base, change, id=None):
        self.ids += 1
        self.log.publish(id or f"p{self.ids}", base, change)
        self.follow()

    def follow(self):
        self.log.feed(self.reference)
        state = self.reference.state
        self.hashes[state.version] = state.document.hash

    @rule(change=CHANGES, behind=st.sampled_from([0, 0, 0, 1, 2]))
    def publish(self, change, behind):
        versions = sorted(self.hashes)
        self.append(versions[max(0, len(versions) - 1 - behind)], change)

    @rule(pick=st.integers(0, 100))
    def repeat_a_record(self, pick):
        if self.log.records:
            self.log.append(self.log.records[pick % len(self.log.records)].value)
            self.follow()

    @rule(target=states, fold=folds)
    def begin_checkpoint(self, fold):
        return fold.state

    @rule(state=states)
    def append_begun_checkpoint(self, state):
        self.append_checkpoint(state)

    def append_checkpoint(self, state):
        if state.version:
            self.log.checkpoint(state)
            self.follow()

    @rule(change=CHANGES)
    def race_a_checkpoint(self, change):
        state = self.reference.state
        self.append(state.version, change)
        self.append_checkpoint(state)

    @rule(target=folds, keep=st.integers(0, 6))
    def join_in_mid_stream(self, keep):
        self.drop_old_records(keep)
        fold = self.new_reader()
        self.log.feed(fold)
        return fold

    @rule(keep=st.integers(0, 6))
    def expire_old_records(self, keep):
        self.drop_old_records(keep)

    def drop_old_records(self, keep):
        self.log.drop_before(max(self.log.first_offset, self.log.next_offset - keep))

    @rule(target=folds)
    def add_reader(self):
        return self.new_reader()

    @rule(target=pages, fold=folds, limit=st.integers(1, 5))
    def ask(self, fold, limit):
        return self.log.page(fold.next_offset, limit)

    @rule(fold=folds, page=pages)
    def answer(self, fold, page):
        fold.apply_page(page)

    @rule(fold=folds, limit=st.integers(1, 5))
    def read(self, fold, limit):
        fold.apply_page(self.log.page(fold.next_offset, limit))

    @rule(fold=folds, peer=folds, old=states)
    def hear_a_peer(self, fold, peer, old):
        state = peer.state
        if not state.version:
            return
        fold.adopt(make_delta(old.document, state.document, state.version, state.as_of))
        fold.adopt(make_snapshot(state.document, state.version, state.as_of))

    @invariant()
    def readers_agree_and_never_go_back(self):
        for fold in self.readers:
            state = fold.state
            assert state.version >= self.seen.get(id(fold), 0)
            assert self.hashes[state.version] == state.document.hash
            self.seen[id(fold)] = state.version

    def teardown(self):
        if not hasattr(self, "log"):
            return
        for fold in self.readers:
            if not fold.is_incomplete:
                self.log.feed(fold)
            if not fold.is_incomplete:
                assert fold.state.version == self.reference.state.version


TestReaders = Readers.TestCase
TestReaders.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True
)
