"""Requests that crash the backend servers that run them: told apart and refused.

Pure and free of heavy imports, so that the lean node on the platform shares it with
the product's own.
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
