"""Suspect requests on their way between the proxy and the peers."""

from collections.abc import Iterator

from ..balancing import EndpointKey, QuarantineUpdate
from ..control.updates import DeadServer, MemberState, SuspectRequest
from ..traffic.pool import QuarantineReport


def suspect_updates(
    report: QuarantineReport, own: MemberState, at_ms: int
) -> Iterator[SuspectRequest]:
    """Yield what peers are told of this node's quarantine."""
    for update in report.updates:
        dead = [DeadServer(k.host, k.port, k.incarnation) for k in update.crashes]
        yield SuspectRequest(
            own.data_centre,
            report.service,
            update.fingerprint,
            own.instance,
            at_ms,
            dead,
            int(update.refused_for_ms),
        )


def quarantine_report(update: SuspectRequest) -> QuarantineReport:
    """Return what the proxy is told of a peer's quarantine."""
    crashes = tuple(EndpointKey(d.host, d.port, d.incarnation) for d in update.dead)
    learned = QuarantineUpdate(update.fingerprint, crashes, update.refused_for_ms)
    return QuarantineReport(update.service, [learned])
