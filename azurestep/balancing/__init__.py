"""Traffic decisions: load balancing, limits, retries, quarantine, truncated answers.

The decisions are pure: typed messages, a monotonic time in milliseconds and a
``random.Random`` go in, typed messages come out. Nothing here opens a socket,
reads a clock or logs.

A class is a ``Priority``: each has a queue and a share of the capacity. A request is
refused on arrival or dropped from the queue; a backend server may shed it.

How a proxy uses the decisions, per service:

1. Keep one ``Admission``, one ``RetryBudget`` and one ``Quarantine``. Pass the
   backend servers to ``Admission.replace_endpoints`` on each change, a new
   configuration to ``configure`` and load reports to ``report``.
2. On arrival compute ``budget_on_arrival``; answer "not run" if it is ``expired`` or
   ``too_deep``. For a client retry call ``RetryBudget.try_spend`` and refuse with
   ``RETRY_BUDGET`` if it returns false; for any other request call
   ``RetryBudget.earn``.
3. If ``Quarantine.active``, compute the ``fingerprint`` and call ``status_of``. If
   the status is ``REFUSED``, refuse the request. If it is ``SUSPECT``, don't retry the
   request and add ``servers_with_suspects`` to ``avoid``. Call ``record_start`` and,
   at the end, ``record_answer``, ``record_loss`` or ``record_end``.
4. ``Admission.request`` returns ``Admitted``, ``Queued`` or ``Refused``. The ticket
   of a ``Queued`` is returned in a ``Granted`` or ``Dropped`` by a later ``finish``,
   ``cancel``, ``tick``, ``configure`` or ``replace_endpoints``. Call ``tick`` at
   ``next_tick_ms`` or every 50 ms.
5. Send with ``budget_for_next_hop``. Call ``finish`` exactly once for every
   ``Admitted`` or ``Granted``, after the whole answer was sent;
   ``AttemptOutcome.latency_ms`` is the time to the first byte of the answer.
6. After a failure call ``finish``, then ``decide_retry``. For ``Retry`` call
   ``Admission.request`` again with the tried keys in ``avoid``. For ``ProbeFirst``
   connect once to the same address, call the quarantine's ``record_crash`` or
   ``record_alive``, and call ``decide_retry`` again with ``server_crashed`` set.
   ``GiveUp.forbids_retry`` sets the ``Azurestep-Retried`` header of the answer;
   set ``retried_upstream`` if a backend server's answer has this header.
7. After a truncated body call ``decide_resumption``, and check the head of a
   resumed answer with ``is_continuation``. Never end a body as complete unless
   ``is_whole`` returns true.

Examples
--------
>>> import random
>>> from azurestep.config.model import ClassShares, Priority, Service
>>> admission = Admission(
...     Service("songs"), ClassShares(), "dc1", "i1", random.Random(1)
... )
>>> key = EndpointKey("127.0.0.1", 8001, 1)
>>> admission.replace_endpoints([Endpoint(key, "songs", "i2", "dc1", 12)], 0.0)
[]
>>> request = AdmissionRequest(Priority.INTERACTIVE, now_ms=1.0, deadline_ms=500.0)
>>> decision = admission.request(request)
>>> decision.endpoint.key == key
True
>>> admission.finish(decision.ticket, AttemptOutcome(OutcomeKind.SUCCESS, 5.0), 6.0)
[]
"""

from ..quarantine import (
    BODY_PREFIX_BYTES,
    Quarantine,
    QuarantineStatus,
    QuarantineUpdate,
    fingerprint,
)
from .admission import Admission
from .choice import Balancer
from .deadlines import DeadlineBudget, budget_for_next_hop, budget_on_arrival
from .limiter import LimiterKind
from .messages import (
    AdmissionDecision,
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Dropped,
    Endpoint,
    EndpointKey,
    Granted,
    LoadReport,
    OutcomeKind,
    Queued,
    QueueResult,
    RefusalReason,
    Refused,
    Ticket,
    TicketState,
)
from .queueing import Discipline
from .retries import (
    FailedAttempt,
    GiveUp,
    GiveUpReason,
    ProbeFirst,
    Retry,
    RetryBudget,
    RetryDecision,
    decide_retry,
)
from .whole_answers import (
    Abort,
    Resume,
    ResumedAnswer,
    RetryElsewhere,
    TruncatedAnswer,
    decide_resumption,
    is_continuation,
    is_whole,
)

__all__ = [
    "BODY_PREFIX_BYTES",
    "Abort",
    "Admission",
    "Admitted",
    "Balancer",
    "DeadlineBudget",
    "TruncatedAnswer",
    "AdmissionDecision",
    "Discipline",
    "Dropped",
    "Endpoint",
    "EndpointKey",
    "FailedAttempt",
    "GiveUp",
    "GiveUpReason",
    "Granted",
    "LimiterKind",
    "LoadReport",
    "AttemptOutcome",
    "OutcomeKind",
    "ProbeFirst",
    "Quarantine",
    "QuarantineUpdate",
    "Queued",
    "RefusalReason",
    "Refused",
    "QueueResult",
    "AdmissionRequest",
    "Resume",
    "ResumedAnswer",
    "Retry",
    "RetryBudget",
    "RetryDecision",
    "RetryElsewhere",
    "QuarantineStatus",
    "Ticket",
    "TicketState",
    "is_continuation",
    "decide_resumption",
    "decide_retry",
    "fingerprint",
    "is_whole",
    "budget_on_arrival",
    "budget_for_next_hop",
]
