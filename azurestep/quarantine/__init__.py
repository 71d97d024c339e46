"""Quarantine of requests that crash the backend servers that run them.

Free of I/O and of heavy imports, as all kinds of nodes use it.
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
