"""HTTP headers that the stand-ins and azurestep's nodes exchange."""

IDEMPOTENCY_KEY = "Idempotency-Key"
DEADLINE_MS = "Azurestep-Deadline-Ms"
NOT_RUN = "Azurestep-Not-Run"
OUTCOME = "Azurestep-Outcome"
MAY_HAVE_RUN = "may_have_run"
CRASH = "X-Standin-Crash"
