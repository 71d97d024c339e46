"""Holds a node's configuration, applies log pages and distributes versions.

Versions are pushed down a tree; a node that sees a newer digest pulls.
A reader that is not first sends a backup push if no push arrives in time. Lists of
instances that applied a version are merged and sent on; only ``Reporter`` counts.
Performs no I/O.
"""

import random
from collections import OrderedDict
from collections.abc import Callable
from functools import singledispatchmethod

import attrs
from returns.result import Failure

from ..config.delta import Delta, make_delta, make_snapshot
from ..config.document import Document
from ..config.fold import Accepted, Adopted, ConfigurationFold
from ..platform.records import Page
from ..settings import Address, ControlSettings
from .membership import Membership
from .messages import (
    Ack,
    AppliedReport,
    Digest,
    Message,
    Probe,
    Pull,
    PullReply,
    Push,
    RetryLater,
    Sender,
)
from .outputs import Output, RecordFolded, Send, VersionApplied, VersionConflict
from .reports import Reporter
from .ring import children, parent

MAX_HISTORY_VERSIONS = 8
PULL_TIMEOUT_MS = 1500
SNAPSHOTS_PER_SECOND = 20
SNAPSHOT_BURST = 10
APPLIED_DELAY_MS = 150  # lets the counts of the subtree arrive first
MIN_RETRY_AFTER_MS = 200
BACKUP_PUSH_DELAY_MS = 1000


@attrs.define
class TokenBucket:
    """Token bucket that limits a rate and allows bursts."""

    rate_per_s: float
    burst: float
    _tokens: float = attrs.field(init=False)
    _refilled_ms: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def take(self, now_ms: float) -> bool:
        """Take a token; return whether one was available."""
        elapsed_ms = max(0.0, now_ms - self._refilled_ms)
        refilled = self._tokens + elapsed_ms / 1000 * self.rate_per_s
        self._tokens = min(self.burst, refilled)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@attrs.frozen
class BackupPush:
    """A push to send if the first reader's push does not arrive in time."""

    base: Document
    due_ms: float


class Spread:
    """Holds the configuration of one node and distributes it to others.

    Parameters
    ----------
    membership : Membership
        Members from which the push tree is derived.
    settings : ControlSettings
        Fan-out of the tree (0 disables pushes), and whether deltas are sent.
    source : random.Random
        Source of jitter.
    wall_ms : callable
        Returns wall-clock time in milliseconds, for reports only.
    """

    def __init__(
        self,
        membership: Membership,
        settings: ControlSettings,
        source: random.Random,
        wall_ms: Callable[[], int],
    ) -> None:
        self.fold = ConfigurationFold()
        self.reporter = Reporter(membership)
        self._membership = membership
        self._settings = settings
        self._random = source
        self._wall_ms = wall_ms
        self._history: OrderedDict[bytes, Document] = OrderedDict()
        self._snapshots = TokenBucket(SNAPSHOTS_PER_SECOND, SNAPSHOT_BURST)
        self._next_pull_ms = 0.0
        self._applied: AppliedReport | None = None
        self._applied_to: str | None = None
        self._applied_due_ms = 0.0
        self._applied_ms = 0
        self._reported_to: str | None = None
        self._backup_push: BackupPush | None = None
        self._forwarded_roots: set[str] = set()

    @property
    def digest(self) -> Digest:
        """Version and hash of the configuration in force at this node."""
        state = self.fold.state
        return Digest(state.version, state.document.hash)

    # -- the log -------------------------------------------------------------

    def apply_page(
        self, page: Page, now_ms: float, is_first_reader: bool = True
    ) -> list[Output]:
        """Apply records that this node read from the log.

        The first reader pushes immediately; any other reader pushes only if the
        first reader's push does not arrive in time.
        """
        before = self.fold.state
        events = self.fold.apply_page(page)
        outputs: list[Output] = [RecordFolded(event) for event in events]
        if self.fold.state.version == before.version:
            return outputs
        versions = [e for e in events if isinstance(e, Accepted | Adopted)]
        outputs.extend(self._apply(before.document, now_ms, parent_name=None))
        if versions and is_first_reader:
            outputs.extend(self._push(self._membership.own.instance, before.document))
        elif versions:
            self._backup_push = BackupPush(
                before.document, now_ms + BACKUP_PUSH_DELAY_MS
            )
        return outputs

    # -- applying and forwarding --------------------------------------------

    def _apply(
        self, before: Document, now_ms: float, parent_name: str | None
    ) -> list[Output]:
        self._add_to_history(before)
        self._forwarded_roots.clear()
        self._membership.digest = self.digest
        self._applied_ms = self._wall_ms()
        self._schedule_applied(now_ms, parent_name)
        return [VersionApplied(self.fold.state.version)]

    def _schedule_applied(self, now_ms: float, parent_name: str | None) -> None:
        own = self._membership.own.instance
        at_ms = self._applied_ms
        self._applied = AppliedReport(self.digest, [own], at_ms, at_ms)
        self._applied_to = parent_name
        self._applied_due_ms = now_ms + APPLIED_DELAY_MS

    def _add_to_history(self, document: Document) -> None:
        self._history[document.hash] = document
        while len(self._history) > MAX_HISTORY_VERSIONS:
            self._history.popitem(last=False)

    def _push(self, root: str, base: Document) -> list[Output]:
        return self._send_to_children(Push(root, self._delta_from(base)))

    def _forward(self, message: Push) -> list[Output]:
        """Forward a push of the version in force, once for each tree.

        If two readers push the same version, this node has different children in
        each of the two trees.
        """
        if message.root in self._forwarded_roots:
            return []
        return self._send_to_children(message)

    def _send_to_children(self, message: Push) -> list[Output]:
        self._forwarded_roots.add(message.root)
        names = children(
            self._membership.order,
            message.root,
            self._membership.own.instance,
            self._settings.push_fan_out,
        )
        members = (self._membership.member(name) for name in names)
        return [Send(member.address, message) for member in members if member]

    def _delta_from(self, base: Document | None) -> Delta:
        state = self.fold.state
        if base is None or not base.entries or not self._settings.send_deltas:
            return make_snapshot(state.document, state.version, state.as_of)
        delta = make_delta(base, state.document, state.version, state.as_of)
        if len(delta.put) >= len(state.document.entries):
            return make_snapshot(state.document, state.version, state.as_of)
        return delta

    # -- time ----------------------------------------------------------------

    def tick(self, now_ms: float) -> list[Output]:
        """Send the messages that are due: applied counts, backup push, report."""
        outputs: list[Output] = []
        if self._applied is not None and now_ms >= self._applied_due_ms:
            applied, self._applied = self._applied, None
            outputs.extend(self._report(applied))
        self._check_reporter(now_ms)
        if self._backup_push is not None and now_ms >= self._backup_push.due_ms:
            base, self._backup_push = self._backup_push.base, None
            outputs.extend(self._push(self._membership.own.instance, base))
        outputs.extend(self.reporter.tick(now_ms, self.digest))
        return outputs

    def _check_reporter(self, now_ms: float) -> None:
        """Send the version in force to a new reporter, which has no counts yet."""
        reporter = self.reporter.instance()
        if reporter == self._reported_to:
            return
        self._reported_to = reporter
        if self.fold.state.version and self._applied is None:
            self._schedule_applied(now_ms, None)

    def _report(self, applied: AppliedReport) -> list[Output]:
        to = self._applied_to or self.reporter.instance()
        member = self._membership.member(to) if to else None
        if member is None or to == self._membership.own.instance:
            self.reporter.record_applied(applied)
            return []
        return [Send(member.address, applied)]

    # -- messages ------------------------------------------------------------

    @singledispatchmethod
    def handle(self, message: Message, sender: Sender, now_ms: float) -> list[Output]:
        """Handle a message; kinds not registered here are ignored."""
        return []

    @handle.register
    def _(self, message: Probe, sender: Sender, now_ms: float) -> list[Output]:
        return self._compare_digest(message.digest, sender.address, now_ms)

    @handle.register
    def _(self, message: Ack, sender: Sender, now_ms: float) -> list[Output]:
        return self._compare_digest(message.digest, sender.address, now_ms)

    def _compare_digest(
        self, digest: Digest, peer: Address, now_ms: float
    ) -> list[Output]:
        own = self.digest
        if digest.version and digest.version == own.version and digest.hash != own.hash:
            return [VersionConflict(own.version, peer)]
        if digest.version <= own.version or now_ms < self._next_pull_ms:
            return []
        self._next_pull_ms = now_ms + PULL_TIMEOUT_MS
        return [Send(peer, Pull(own))]

    @handle.register
    def _(self, message: Pull, sender: Sender, now_ms: float) -> list[Output]:
        if message.digest.version >= self.fold.state.version:
            return []
        base = self._history.get(message.digest.hash)
        if base is None and not self._snapshots.take(now_ms):
            wait_ms = MIN_RETRY_AFTER_MS + self._random.randrange(1000)
            return [Send(sender.address, RetryLater(wait_ms))]
        return [Send(sender.address, PullReply(self._delta_from(base)))]

    @handle.register
    def _(self, message: PullReply, sender: Sender, now_ms: float) -> list[Output]:
        self._next_pull_ms = 0.0
        return self._apply_delta(message.delta, sender, now_ms, parent_name=None)

    @handle.register
    def _(self, message: RetryLater, sender: Sender, now_ms: float) -> list[Output]:
        self._next_pull_ms = now_ms + min(message.retry_after_ms, 10_000)
        return []

    @handle.register
    def _(self, message: Push, sender: Sender, now_ms: float) -> list[Output]:
        self._backup_push = None
        if message.delta.version == self.fold.state.version:
            return self._forward(message)
        before = self.fold.state.document
        order = self._membership.order
        own = self._membership.own.instance
        parent_name = parent(order, message.root, own, self._settings.push_fan_out)
        outputs = self._apply_delta(message.delta, sender, now_ms, parent_name)
        if any(isinstance(output, VersionApplied) for output in outputs):
            outputs.extend(self._push(message.root, before))
        return outputs

    def _apply_delta(
        self, delta: Delta, sender: Sender, now_ms: float, parent_name: str | None
    ) -> list[Output]:
        before = self.fold.state
        if delta.version <= before.version:
            return []
        adopted = self.fold.adopt(delta)
        if isinstance(adopted, Failure):
            self._next_pull_ms = now_ms + PULL_TIMEOUT_MS
            return [Send(sender.address, Pull(self.digest))]
        outputs: list[Output] = [RecordFolded(event) for event in adopted.unwrap()]
        outputs.extend(self._apply(before.document, now_ms, parent_name))
        return outputs

    @handle.register
    def _(self, message: AppliedReport, sender: Sender, now_ms: float) -> list[Output]:
        if self._applied is not None and self._applied.digest == message.digest:
            self._applied = merge_applied(self._applied, message)
            return []
        if self._membership.own.instance == self.reporter.instance():
            self.reporter.record_applied(message)
            return []
        self._applied_to = None
        self._applied = message
        self._applied_due_ms = now_ms + APPLIED_DELAY_MS
        return []


def merge_applied(one: AppliedReport, other: AppliedReport) -> AppliedReport:
    """Return the union of the instances that two subtrees report as applied."""
    instances = sorted(set(one.instances) | set(other.instances))
    return AppliedReport(
        one.digest,
        instances,
        min(one.first_ms, other.first_ms),
        max(one.last_ms, other.last_ms),
    )
