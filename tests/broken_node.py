"""A node with one promise broken on purpose, to see that the soak finds it.

Run as ``python -m tests.broken_node BREAKAGE sidecar``.
"""

import itertools
import math
import sys
from collections.abc import Callable
from http import HTTPStatus

import attrs

from azurestep.core import main
from azurestep.http.exchange import Exchange
from azurestep.http.server import ServerConnection
from azurestep.mesh import node as run
from azurestep.mesh.backend.state import LocalBackend
from azurestep.mesh.callers import call, outbound
from azurestep.mesh.callers.answer_writer import AnswerWriter
from azurestep.mesh.callers.outbound import Outbound
from azurestep.mesh.decisions.quota_account import QuotaAccount, QuotaLimit
from azurestep.mesh.decisions.quota_demand import Demand
from azurestep.mesh.decisions.stopping import ShutdownPlan
from azurestep.mesh.knowledge import configuration
from azurestep.mesh.links.connection import PeerConnection
from azurestep.mesh.messages import Answer, Failure, Reason
from azurestep.mesh.quotas.control import Quotas
from azurestep.platform.announcement import Heartbeat
from azurestep.routing.authentication import Access, Identity
from azurestep.routing.model import Route
from azurestep.routing.teams import TeamDirectory


def repeat_payments() -> None:
    """Run a payment that failed on another backend server, as if it were a read."""
    plain = call.Call.__init__

    def init(self, *arguments) -> None:  # type: ignore[no-untyped-def]
        context, exchange, caller, target, attempt = arguments
        route = attrs.evolve(target.route, idempotent=True, max_attempts=4)
        changed = attrs.evolve(target, route=route)
        plain(self, context, exchange, caller, changed, attempt)

    call.Call.__init__ = init  # type: ignore[method-assign]


def keep_departed_calls() -> None:
    """Go on with the requests of callers that have left."""
    ServerConnection.has_hung_up = lambda self: False  # type: ignore[method-assign]
    call.Call.on_disconnect = lambda self: None  # type: ignore[method-assign]


def cancel_late() -> None:
    """Hold cancels back for a second and more."""
    send = PeerConnection.send_cancel

    def send_late(self: PeerConnection, stream_id: int) -> None:
        self.link.runtime.loop.call_later(1.5, send, self, stream_id)

    PeerConnection.send_cancel = send_late  # type: ignore[method-assign]


def deny_runs() -> None:
    """Say of requests that may have run that they have not."""

    def on_failure(self: call.Call, failure: Failure) -> None:
        if not self.done:
            self._refuse(Reason(failure.reason), 50.0)

    call.Call.on_failure = on_failure  # type: ignore[method-assign]


def alter_answers() -> None:
    """Answer with another body than the backend server's."""
    plain = AnswerWriter.write_whole

    def write_whole(self: AnswerWriter, answer: Answer) -> None:
        plain(self, attrs.evolve(answer, body=b"other"))

    AnswerWriter.write_whole = write_whole  # type: ignore[method-assign]


def ignore_limits() -> None:
    """Send requests to a backend server beyond its rate limit."""
    LocalBackend.rate_limit_per_s = math.inf  # type: ignore[assignment]


def ignore_leaving() -> None:
    """Send requests to a backend server that leaves."""
    LocalBackend.is_leaving = lambda self: False  # type: ignore[method-assign]
    LocalBackend.admits = lambda self, now_ms: bool(self.instance_id)  # type: ignore[method-assign]


def keep_first_version() -> None:
    """Put no version in force but the first."""
    plain = configuration.Configuration.apply

    def apply(
        self: configuration.Configuration,
        content: bytes,
        origin: configuration.Origin,
        took_ms: float = 0.0,
    ) -> configuration.Applied:
        if self.version:
            return configuration.Applied.KNOWN
        return plain(self, content, origin, took_ms)

    configuration.Configuration.apply = apply  # type: ignore[method-assign]


def stop_at_once() -> None:
    """End at SIGTERM without answering what is under way."""
    run.Node.stop = lambda self: sys.exit(0)  # type: ignore[method-assign]


def end_unanswered() -> None:
    """End at the end of the grace time whatever is not answered."""
    late = property(lambda self: self.exit_deadline_ms + 60_000.0)
    ShutdownPlan.drain_deadline_ms = late  # type: ignore[method-assign, assignment]


def fail_to_handle() -> None:
    """Fail now and then, by a fault of the program, to take a request."""
    plain = Outbound.handle
    count = itertools.count(1)

    def handle(self: Outbound, exchange: Exchange) -> None:
        if next(count) % 50 == 0:
            raise KeyError("a fault")
        plain(self, exchange)

    Outbound.handle = handle  # type: ignore[method-assign]


def never_answer() -> None:
    """Leave each request unanswered."""
    call.Call._on_timeout = lambda self: None  # type: ignore[method-assign]
    AnswerWriter.write_whole = lambda self, answer: None  # type: ignore[method-assign]


def accept_any_key() -> None:
    """Take a request with an unknown key for one of some team."""
    plain = outbound.identify

    def identify(
        teams: TeamDirectory, route: Route, keys: list[bytes], **known: bool
    ) -> Identity:
        found = plain(teams, route, keys, **known)
        if found.access is Access.ALLOWED:
            return found
        return Identity(Access.ALLOWED, next(iter(teams)))

    outbound.identify = identify


def keep_first_keys() -> None:
    """Keep the teams of the first version."""
    plain = configuration.Configuration.apply
    first: list[TeamDirectory | None] = []

    def apply(
        self: configuration.Configuration,
        content: bytes,
        origin: configuration.Origin,
        took_ms: float = 0.0,
    ) -> configuration.Applied:
        applied = plain(self, content, origin, took_ms)
        if self.table is not None:
            first.append(self.table.teams)
            object.__setattr__(self.table.document, "teams", first[0])
        return applied

    configuration.Configuration.apply = apply  # type: ignore[method-assign]


def ignore_peers() -> None:
    """Take a version after the first one only from the store."""
    plain = configuration.Configuration.apply

    def apply(
        self: configuration.Configuration,
        content: bytes,
        origin: configuration.Origin,
        took_ms: float = 0.0,
    ) -> configuration.Applied:
        if self.version and origin is not configuration.Origin.STORE:
            return configuration.Applied.KNOWN
        return plain(self, content, origin, took_ms)

    configuration.Configuration.apply = apply  # type: ignore[method-assign]


def forward_keys() -> None:
    """Leave the key of a caller in its request."""
    outbound._with_team = lambda caller, identity: caller


def overfill_servers() -> None:
    """Send a backend server more requests than it has slots."""
    plain = LocalBackend.apply_heartbeat

    def apply_heartbeat(
        self: LocalBackend, heartbeat: Heartbeat, now_ms: float
    ) -> None:
        plain(self, attrs.evolve(heartbeat, slots=4 * heartbeat.slots), now_ms)

    LocalBackend.apply_heartbeat = apply_heartbeat  # type: ignore[method-assign]


def count_bodies_as_heads() -> None:
    """Count the read that ends a head as part of it, also the body's bytes."""
    plain = ServerConnection.data_received

    def data_received(self: ServerConnection, data: bytes) -> None:
        limit_bytes = 4 * self.state.limits.header_bytes
        if self._meter.in_head and len(data) > limit_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        else:
            plain(self, data)

    ServerConnection.data_received = data_received  # type: ignore[method-assign]


def keep_accounts() -> None:
    """Go on as quota owner during a stop, beside the node that takes over.

    Peers report to that one, so the whole rate is left to the node that stops.
    """

    def begin_shutdown(self: Quotas) -> None:
        for owned in self.owned.values():
            owned.account.demand = Demand()

    Quotas.begin_shutdown = begin_shutdown  # type: ignore[method-assign]


def begin_in_debt() -> None:
    """Begin each account with a debt that nobody made, and take no tokens over."""
    debt = property(lambda self: -20.0 * self.rate_per_s)
    QuotaLimit.start_tokens = debt  # type: ignore[method-assign, assignment]
    QuotaAccount.adopt = lambda *arguments: None  # type: ignore[method-assign]


BREAKAGES: dict[str, Callable[[], None]] = {
    function.__name__: function
    for function in (
        repeat_payments,
        keep_departed_calls,
        cancel_late,
        deny_runs,
        alter_answers,
        ignore_limits,
        ignore_leaving,
        keep_first_version,
        stop_at_once,
        end_unanswered,
        fail_to_handle,
        never_answer,
        accept_any_key,
        keep_first_keys,
        ignore_peers,
        forward_keys,
        overfill_servers,
        count_bodies_as_heads,
        keep_accounts,
        begin_in_debt,
    )
}

if __name__ == "__main__":
    BREAKAGES[sys.argv.pop(1)]()
    sys.exit(main())
