"""Gates under comparison: the product's, and naive ones as baselines."""

import random
from collections import deque
from collections.abc import Iterable

from bench.policy.model import Request
from papayatack.core.admission import (
    AdmissionController,
    AdmissionLimits,
    Admitted,
    QueueEntry,
)
from papayatack.core.errors import ErrorKind
from papayatack.core.inventory import Partner

__all__ = ["FifoGate", "PolicyGate"]

LONG_AGO_S = -1000.0


class PolicyGate:
    """The product's admission, ramped up."""

    cancels_late = True

    def __init__(
        self, *, limits: AdmissionLimits, partners: Iterable[Partner], seed: int = 0
    ) -> None:
        self._admission = AdmissionController(
            now=LONG_AGO_S,
            limits=limits,
            partners=partners,
            rng=random.Random(seed),
        )
        self._requests: dict[QueueEntry, Request] = {}
        self._entries: dict[Request, QueueEntry] = {}

    def offer(self, now: float, request: Request) -> None:
        """Ask for a slot."""
        entry = self._admission.offer(
            now,
            partner=request.partner,
            request_class=request.request_class,
            cost=request.cost,
            deadline_s=request.deadline_s,
        )
        self._requests[entry] = request

    def poll(self, now: float) -> list[tuple[Request, ErrorKind | None]]:
        """Return what got a slot, and what was refused and why."""
        results = []
        for verdict in self._admission.poll(now):
            request = self._requests.pop(verdict.entry)
            if isinstance(verdict, Admitted):
                self._entries[request] = verdict.entry
                results.append((request, None))
            else:
                results.append((request, verdict.refusal.kind))
        return results

    def release(
        self, now: float, request: Request, service_s: float, error: ErrorKind | None
    ) -> None:
        """Give a slot back."""
        entry = self._entries.pop(request)
        self._admission.release(now, entry, service_time_s=service_s, error=error)

    def next_wakeup(self, now: float) -> float | None:
        """Return when to poll without another event."""
        return self._admission.next_wakeup(now)


class FifoGate:
    """One unbounded queue in the order of arrival, without classes.

    Args:
        slots: Requests that run at once.
        cancels_late: Whether it looks at deadlines: late requests are skipped, and
            running ones stopped.
    """

    def __init__(self, *, slots: int, cancels_late: bool = False) -> None:
        self.cancels_late = cancels_late
        self._slots = slots
        self._running = 0
        self._queue: deque[Request] = deque()

    def offer(self, now: float, request: Request) -> None:
        """Ask for a slot."""
        self._queue.append(request)

    def poll(self, now: float) -> list[tuple[Request, ErrorKind | None]]:
        """Return what got a slot, and what was refused and why."""
        results = []
        while self._queue and self._running < self._slots:
            request = self._queue.popleft()
            if self.cancels_late and now >= request.deadline_s:
                results.append((request, ErrorKind.DEADLINE_EXPIRED))
                continue
            self._running += 1
            results.append((request, None))
        return results

    def release(
        self, now: float, request: Request, service_s: float, error: ErrorKind | None
    ) -> None:
        """Give a slot back."""
        self._running -= 1

    def next_wakeup(self, now: float) -> float | None:
        """Return when to poll without another event."""
        return None
