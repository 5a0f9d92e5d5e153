"""Admission control for an upstream: fair queueing and concurrency limits."""

from papayatack.core.admission.cold_limit import ColdBounds, ColdSource, ColdState
from papayatack.core.admission.controller import AdmissionController
from papayatack.core.admission.entry import (
    AdmissionDecision,
    Admitted,
    QueueEntry,
    Refused,
)
from papayatack.core.admission.limits import DEFAULT_CLASS_SHARES, AdmissionLimits

__all__ = [
    "DEFAULT_CLASS_SHARES",
    "AdmissionController",
    "ColdBounds",
    "ColdSource",
    "ColdState",
    "Admitted",
    "QueueEntry",
    "AdmissionLimits",
    "Refused",
    "AdmissionDecision",
]
