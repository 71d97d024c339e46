"""HTTP headers that the stand-ins and azurestep's nodes exchange."""

IDEMPOTENCY_KEY = "Idempotency-Key"
DEADLINE_MS = "Azurestep-Deadline-Ms"
NOT_RUN = "Azurestep-Not-Run"
MAY_HAVE_RUN = "Azurestep-May-Have-Run"
CRASH = "X-Standin-Crash"
