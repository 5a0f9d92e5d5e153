"""Admission before the own upstream, for the tasks of requests."""

import asyncio
import functools

from returns.result import Failure, Result, Success

from papayatack.core.admission import Admission, Admitted, Entry, Refused, Verdict
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.observability.metrics import Metrics
from papayatack.proxy.interface import Permit, Ticket

__all__ = ["AdmissionGate"]


class _SlotPermit:
    """A slot in use; it gives itself back once."""

    __slots__ = ("_entry", "_gate")

    def __init__(self, *, gate: "AdmissionGate", entry: Entry) -> None:
        self._gate = gate
        self._entry = entry

    def release(self, *, service_time_s: float, error: str | None = None) -> None:
        """Give the slot back, saying how the upstream did."""
        self._gate.release(self._entry, service_time_s=service_time_s, error=error)


class AdmissionGate:
    """Runs :class:`Admission` on the event loop's clock.

    Args:
        admission: Its state, which no one else changes.
        metrics: Counts admissions and refusals.
    """

    def __init__(self, *, admission: Admission, metrics: Metrics) -> None:
        self._admission = admission
        self._metrics = metrics
        self._waiters: dict[Entry, asyncio.Future[Result[Permit, Refusal]]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, ticket: Ticket) -> Result[Permit, Refusal]:
        """Wait for a slot; the wait may be cancelled."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        entry = self._admission.offer(
            now,
            partner=ticket.partner,
            request_class=ticket.request_class,
            cost=ticket.cost,
            deadline_s=ticket.deadline_s,
        )
        waiter: asyncio.Future[Result[Permit, Refusal]] = loop.create_future()
        self._waiters[entry] = waiter
        self._settle(now)
        if waiter.done():
            return waiter.result()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._abandon(entry)
            raise

    def release(
        self, entry: Entry, *, service_time_s: float | None, error: str | None
    ) -> None:
        """Take back the slot of an entry."""
        now = asyncio.get_running_loop().time()
        kind = None if error is None else _parse_error(error)
        self._admission.release(now, entry, service_time_s=service_time_s, error=kind)
        self._settle(now)

    def close(self) -> None:
        """Refuse all that wait, for the node is going down."""
        refusal = Refusal(kind=ErrorKind.NODE_DRAINING, detail="node is stopping")
        self._admission.refuse_waiting(refusal)
        self._settle(asyncio.get_running_loop().time())

    def _abandon(self, entry: Entry) -> None:
        """End the entry of a caller that left, waiting or already admitted."""
        self._waiters.pop(entry, None)
        self._metrics.count("admission_cancellations", entry.request_class)
        now = asyncio.get_running_loop().time()
        self._admission.cancel(now, entry)
        self._settle(now)

    def _settle(self, now: float) -> None:
        """Hand out verdicts and set the timer for the next one."""
        for verdict in self._admission.poll(now):
            self._announce(verdict)
        wakeup_s = self._admission.next_wakeup(now)
        if wakeup_s is None or self._is_timer_set_by(wakeup_s):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(wakeup_s, self._wake)

    def _is_timer_set_by(self, wakeup_s: float) -> bool:
        """Return whether the timer fires in time; an early one does no harm."""
        return self._timer is not None and self._timer.when() <= wakeup_s

    def _wake(self) -> None:
        self._timer = None
        self._settle(asyncio.get_running_loop().time())

    def _announce(self, verdict: Verdict) -> None:
        _count_verdict(verdict, self._metrics)
        waiter = self._waiters.pop(verdict.entry, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(_build_result(verdict, self))


@functools.singledispatch
def _build_result(verdict: Verdict, gate: AdmissionGate) -> Result[Permit, Refusal]:
    raise NotImplementedError(verdict)


@_build_result.register
def _build_permit(verdict: Admitted, gate: AdmissionGate) -> Result[Permit, Refusal]:
    return Success(_SlotPermit(gate=gate, entry=verdict.entry))


@_build_result.register
def _build_refusal(verdict: Refused, gate: AdmissionGate) -> Result[Permit, Refusal]:
    return Failure(verdict.refusal)


@functools.singledispatch
def _count_verdict(verdict: Verdict, metrics: Metrics) -> None:
    raise NotImplementedError(verdict)


@_count_verdict.register
def _count_admission(verdict: Admitted, metrics: Metrics) -> None:
    metrics.count("admissions", verdict.entry.request_class)


@_count_verdict.register
def _count_refusal(verdict: Refused, metrics: Metrics) -> None:
    metrics.count("admission_refusals", verdict.refusal.kind)


def _parse_error(error: str) -> ErrorKind:
    """Return the kind of an error, ``INTERNAL`` if it is none of the list."""
    try:
        return ErrorKind(error)
    except ValueError:
        return ErrorKind.INTERNAL
