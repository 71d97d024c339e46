"""Quarantine of requests that crash the backend servers that run them.

Used by ``azurestep.balancing`` and ``azurestep.mesh``; does no I/O.
"""

from .fingerprints import BODY_PREFIX_BYTES, fingerprint
from .suspects import QuarantineStatus, QuarantineUpdate
from .table import Quarantine

__all__ = [
    "BODY_PREFIX_BYTES",
    "Quarantine",
    "QuarantineUpdate",
    "QuarantineStatus",
    "fingerprint",
]
