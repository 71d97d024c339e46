"""Names of HTTP headers."""

IDEMPOTENCY_KEY = "Idempotency-Key"
DEADLINE_MS = "Azurestep-Deadline-Ms"
DEPTH = "Azurestep-Depth"
ATTEMPT = "Azurestep-Attempt"
RETRIED = "Azurestep-Retried"
OUTCOME = "Azurestep-Outcome"
REASON = "Azurestep-Reason"
NOT_RUN = "Azurestep-Not-Run"
VERSION = "Azurestep-Version"
REPLAYED = "Azurestep-Replayed"
TRIMMED = "Azurestep-Answer-Trimmed"
FINAL = "Azurestep-Final"
OPEN_SLOTS = "Azurestep-Open-Slots"
RETRY_AFTER = "Retry-After"
RETRY_AFTER_MS = "Retry-After-Ms"

RETRIED_FINAL = "final"

# Headers that a proxy must not forward (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
