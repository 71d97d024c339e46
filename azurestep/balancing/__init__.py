"""Traffic decisions: choice, limits, retries, quarantine and whole answers.

All of them are pure: typed messages, a monotonic time in milliseconds and a
``random.Random`` go in, typed messages come out. Nothing here opens a socket,
reads a clock or logs.

How a proxy drives them, per service:

1. Keep one ``Admission``, one ``RetryBudget`` and one ``Quarantine``. Feed the
   directory with ``Admission.replace_endpoints`` on each change, a new
   configuration with ``configure``, load reports with ``report``.
2. On arrival compute ``limit_budget``; answer "not run" when it is ``expired``
   or ``too_deep``. A re-send from a caller below takes ``RetryBudget.spend``
   (refuse with ``RETRY_BUDGET`` if that is false), any other request counts
   with ``earn``.
3. If ``Quarantine.active``, compute the ``fingerprint`` and ask ``standing``:
   refuse ``REFUSED``; for ``SUSPECT`` add ``Quarantine.occupied`` to ``avoid``
   and never retry. Tell ``started`` and, at the end, ``answered``, ``lost`` or
   ``ended``.
4. ``Admission.request`` gives ``Admitted``, ``Queued`` or ``Refused``. After a
   ``Queued``, the ticket comes back in a ``Granted`` or ``Dropped`` out of any
   later ``finish``, ``cancel``, ``tick``, ``configure`` or
   ``replace_endpoints``. Call ``tick`` at ``next_tick_ms`` or every 50 ms.
5. Send with ``next_budget``. Every ``Admitted`` or ``Granted`` ends in exactly
   one ``finish`` when the whole answer is through; its ``latency_ms`` runs to
   the first byte of the answer.
6. After a failure call ``finish`` first, then ``decide_retry``. For ``Retry``
   ask ``Admission.request`` again with the tried keys in ``avoid``. For
   ``ProbeFirst`` connect once to the same address, tell the quarantine
   ``server_died`` or ``server_alive``, and ask again with ``server_died`` set.
   ``GiveUp.mark_final`` goes into the ``Azurestep-Retried`` header of the answer;
   set ``marked_final`` when a backend server's answer carries it.
7. When a body ends too soon, ``decide_cut`` says how to go on; check the head
   of a resumed answer with ``continues``. Never end a body that ``is_whole``
   denies as though it were complete.

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
>>> request = RequestArrived(Priority.INTERACTIVE, now_ms=1.0, deadline_ms=500.0)
>>> decision = admission.request(request)
>>> decision.endpoint.key == key
True
>>> admission.finish(decision.ticket, Outcome(OutcomeKind.SUCCESS, 5.0), 6.0)
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
from .deadlines import Budget, limit_budget, next_budget
from .limiter import LimiterKind
from .messages import (
    Admitted,
    Decision,
    Dropped,
    Endpoint,
    EndpointKey,
    Granted,
    LoadReport,
    Outcome,
    OutcomeKind,
    Queued,
    RefusalReason,
    Refused,
    Release,
    RequestArrived,
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
    CutAnswer,
    Resume,
    ResumedAnswer,
    RetryElsewhere,
    continues,
    decide_cut,
    is_whole,
)

__all__ = [
    "BODY_PREFIX_BYTES",
    "Abort",
    "Admission",
    "Admitted",
    "Balancer",
    "Budget",
    "CutAnswer",
    "Decision",
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
    "Outcome",
    "OutcomeKind",
    "ProbeFirst",
    "Quarantine",
    "QuarantineUpdate",
    "Queued",
    "RefusalReason",
    "Refused",
    "Release",
    "RequestArrived",
    "Resume",
    "ResumedAnswer",
    "Retry",
    "RetryBudget",
    "RetryDecision",
    "RetryElsewhere",
    "QuarantineStatus",
    "Ticket",
    "TicketState",
    "continues",
    "decide_cut",
    "decide_retry",
    "fingerprint",
    "is_whole",
    "limit_budget",
    "next_budget",
]
