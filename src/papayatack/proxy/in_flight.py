"""The use of a slot and a grant by a request in flight at the upstream."""

import asyncio
import dataclasses

from papayatack.core.errors import ErrorKind
from papayatack.proxy.crashes import CrashDetector, Run
from papayatack.proxy.interface import Grant, Ownership, Permit
from papayatack.proxy.screening import Screening

__all__ = ["LOSS_KINDS", "InFlightUse"]

_REPRESENTATIVE_KINDS = frozenset({None, ErrorKind.UPSTREAM_TIMEOUT})
"""Results after which the service time measures the upstream's speed. A request that
was refused or cancelled ended sooner for another reason."""

LOSS_KINDS = frozenset({ErrorKind.UPSTREAM_LOST, ErrorKind.RESPONSE_TRUNCATED})
"""Results after which the upstream may have crashed."""

_ABANDONED_KINDS = frozenset({ErrorKind.CALLER_LEFT, ErrorKind.UPSTREAM_TIMEOUT})
"""Results after which the upstream may still work on the request."""


@dataclasses.dataclass(slots=True)
class InFlightUse:
    """The slot and grant of a request in flight, which must be released once.

    Attributes:
        left_s: Seconds until the request's deadline when it was sent.
    """

    ownership: Ownership
    permit: Permit
    grant: Grant
    started_s: float
    crashes: CrashDetector
    screening: Screening
    run: Run | None = None
    left_s: float = 0.0

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have reached the upstream."""
        return self.run is not None

    def read_duration_s(self) -> float:
        """Return for how many seconds the slot has been in use."""
        return asyncio.get_running_loop().time() - self.started_s

    def end(self, kind: ErrorKind | None) -> None:
        """Release the slot and finish the grant."""
        service_time_s = self.read_duration_s()
        error = None if kind is None else kind.value
        try:
            self.permit.release(service_time_s=service_time_s, error=error)
        finally:
            self._end_run(kind)
            if self.grant.shard:
                reported_s = service_time_s if kind in _REPRESENTATIVE_KINDS else None
                self.ownership.finish(self.grant, service_time_s=reported_s)

    def _end_run(self, kind: ErrorKind | None) -> None:
        if self.run is None:
            return
        if kind in _ABANDONED_KINDS:
            self.crashes.abandon(self.run)
        elif kind in LOSS_KINDS:
            self.crashes.note_loss(self.run)
        else:
            self.crashes.end(self.run)
        if kind is None:
            self.screening.report_end(self.run)
