"""Fair queueing and limits before an upstream."""

from papayatack.core.admission.admission import Admission
from papayatack.core.admission.entry import Admitted, Entry, Refused, Verdict
from papayatack.core.admission.limits import CLASS_SHARES, Limits

__all__ = [
    "CLASS_SHARES",
    "Admission",
    "Admitted",
    "Entry",
    "Limits",
    "Refused",
    "Verdict",
]
