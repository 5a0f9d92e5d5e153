"""Requests that end each upstream that runs them, and how they are kept from it."""

from papayatack.core.quarantine.identity import (
    BODY_PREFIX_BYTES,
    Fingerprints,
    RequestIdentity,
    compute_fingerprints,
    compute_head_digest,
)
from papayatack.core.quarantine.suspicion import QUARANTINE_ROUNDS, Suspicion
from papayatack.core.quarantine.table import SuspicionTable
from papayatack.core.quarantine.verdict import Quarantine, Verdict, VerdictKind

__all__ = [
    "BODY_PREFIX_BYTES",
    "Fingerprints",
    "QUARANTINE_ROUNDS",
    "Quarantine",
    "RequestIdentity",
    "Suspicion",
    "SuspicionTable",
    "Verdict",
    "VerdictKind",
    "compute_fingerprints",
    "compute_head_digest",
]
