"""Settings of the at-most-once guarantee."""

import attrs

MAX_INTERVAL_MS = 3_600_000
KEY_SCOPE = "fleet"  # service name under which all services share one key space


@attrs.frozen
class OnceSettings:
    """Intervals, timeouts and limits of ownership.

    Attributes
    ----------
    slot_count : int
        Slots of the key space, a power of two up to 256. The first claim on the
        log fixes it for the lifetime of the fleet.
    ownership_interval_ms : int
        Length of an ownership interval; at most ``MAX_INTERVAL_MS``. Requests
        keep running during a platform outage of up to half an interval. New keys
        of a crashed owner's slots are not accepted for up to one interval.
    extend_jitter_ratio : float
        Maximum jitter of an extension as a ratio of half an interval.
    backdate_ms : int
        How far before now a new interval may start, for callers whose clock is
        behind.
    claim_ahead_ms : int
        How long before the end of a crashed owner's interval the next is claimed.
    settle_ms : int
        How long the membership must be unchanged before slots are reassigned.
    key_window_ms : int
        Age at which keys expire from the table.
    max_keys : int
        Keys in the table of a node; a full table refuses new keys.
    max_answer_bytes, max_answers_bytes : int
        Maximum size of one kept answer, and of all kept answers together.
    max_waiters : int
        Requests that may wait for the answer of one key.
    wait_timeout_ms, forward_timeout_ms : int
        Maximum wait for the answer of a running key, and for an owner's answer.
    append_timeout_ms : int
        Time after which an append that was not read back is retried.
    handover_timeout_ms : int
        Maximum wait for running keys, and then for the successor's receipt.
    rebalance_interval_ms : int
        Minimum time between two moves of slots to their preferred owners.
    checkpoint_records, checkpoint_interval_ms : int
        Records and time after which a checkpoint is appended.
    retry_after_ms : int
        Delay after which a refused caller should retry.
    """

    slot_count: int = 256
    ownership_interval_ms: int = 600_000
    extend_jitter_ratio: float = 0.2
    backdate_ms: int = 120_000
    claim_ahead_ms: int = 60_000
    settle_ms: int = 3000
    key_window_ms: int = 1_800_000
    max_keys: int = 100_000
    max_answer_bytes: int = 65_536
    max_answers_bytes: int = 33_554_432
    max_waiters: int = 16
    wait_timeout_ms: int = 5000
    forward_timeout_ms: int = 5000
    append_timeout_ms: int = 5000
    handover_timeout_ms: int = 3000
    rebalance_interval_ms: int = 30_000
    checkpoint_records: int = 500
    checkpoint_interval_ms: int = 900_000
    retry_after_ms: int = 500
