"""Admission before the own upstream, for the tasks of requests."""

import asyncio
import functools
import logging
import random
from collections.abc import Iterable

from returns.result import Failure, Result, Success

from papayatack.core.admission import (
    AdmissionController,
    AdmissionDecision,
    AdmissionLimits,
    Admitted,
    QueueEntry,
    Refused,
)
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.health import Attempt, HealthState, HealthTracker
from papayatack.core.inventory import Partner
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.proxy.interface import AdmissionRequest, Permit

__all__ = ["AdmissionGate"]

logger = logging.getLogger(__name__)


LOCAL_UPSTREAM = "own"
_CLOSED = Refusal(kind=ErrorKind.NODE_DRAINING, detail="node is stopping")


class _SlotPermit:
    """A slot in use; it gives itself back once."""

    __slots__ = ("_attempt", "_entry", "_gate")

    def __init__(
        self, *, gate: "AdmissionGate", entry: QueueEntry, attempt: Attempt
    ) -> None:
        self._gate = gate
        self._entry = entry
        self._attempt = attempt

    def release(self, *, service_time_s: float, error: str | None = None) -> None:
        """Give the slot back, saying how the upstream did."""
        kind = None if error is None else _parse_error(error)
        self._gate.release(
            self._entry, self._attempt, service_time_s=service_time_s, error=kind
        )


class AdmissionGate:
    """Runs :class:`Admission` on the event loop's clock.

    While the upstream fails or is frozen, requests are refused at once, but for
    single ones that probe it.

    Args:
        admission: Its state, which no one else changes.
        metrics: Counts admissions and refusals.
        rng: Spreads the probes.
        judges_upstream: Whether an upstream that fails is taken out of use here;
            otherwise that is left to whoever follows its heartbeats.
    """

    def __init__(
        self,
        *,
        admission: AdmissionController,
        metrics: Metrics,
        rng: random.Random | None = None,
        judges_upstream: bool = True,
    ) -> None:
        self._judges_upstream = judges_upstream
        self._admission = admission
        self._metrics = metrics
        self._health: HealthTracker[str] = HealthTracker(
            nodes=(LOCAL_UPSTREAM,),
            max_ejected_share=1.0,
            rng=rng,
            count=metrics.count,
        )
        self._state = HealthState.HEALTHY
        self._waiters: dict[QueueEntry, asyncio.Future[Result[Permit, Refusal]]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_s = 0.0
        self._closed = False

    async def acquire(self, ticket: AdmissionRequest) -> Result[Permit, Refusal]:
        """Wait for a slot; the wait may be cancelled."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if self._closed:
            self._metrics.count("admission_refusals", ErrorKind.NODE_DRAINING)
            return Failure(_CLOSED)
        if not self._is_open(now, ticket):
            self._metrics.count("admission_refusals", ErrorKind.UPSTREAM_EJECTED)
            return Failure(self._build_ejection(now))
        entry = self._admission.offer(
            now,
            partner=ticket.partner,
            request_class=ticket.request_class,
            cost=ticket.cost,
            deadline_s=ticket.deadline_s,
            target_s=ticket.target_s,
        )
        waiter: asyncio.Future[Result[Permit, Refusal]] = loop.create_future()
        self._waiters[entry] = waiter
        self._settle(now)
        if waiter.done():
            return waiter.result()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._abandon(entry, waiter)
            raise

    def release(
        self,
        entry: QueueEntry,
        attempt: Attempt,
        *,
        service_time_s: float | None,
        error: ErrorKind | None,
    ) -> None:
        """Take back the slot of an entry."""
        now = asyncio.get_running_loop().time()
        self._health.finish_attempt(now, LOCAL_UPSTREAM, attempt, error=error)
        self._admission.release(now, entry, service_time_s=service_time_s, error=error)
        self._settle(now)

    def build_permit(self, entry: QueueEntry) -> Permit:
        """Return the permit of an entry that was admitted now."""
        now = asyncio.get_running_loop().time()
        attempt = self._health.start_attempt(
            now, LOCAL_UPSTREAM, kind=entry.request_class
        )
        return _SlotPermit(gate=self, entry=entry, attempt=attempt)

    def report_health(self, *, healthy: bool) -> None:
        """Note what the upstream's health endpoint says, as a hint."""
        now = asyncio.get_running_loop().time()
        self._health.record_health_report(now, LOCAL_UPSTREAM, healthy=healthy)

    def configure(
        self, *, limits: AdmissionLimits, partners: Iterable[Partner]
    ) -> None:
        """Put a changed inventory in force."""
        self._admission.configure(limits=limits, partners=partners)
        self._settle(asyncio.get_running_loop().time())

    def restart(self) -> None:
        """Ramp up again, for the upstream announced itself anew and is cold."""
        self._admission.restart(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Refuse all that wait or come, for the node is going down."""
        self._closed = True
        self._refuse_waiting(_CLOSED)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _abandon(
        self, entry: QueueEntry, waiter: asyncio.Future[Result[Permit, Refusal]]
    ) -> None:
        """End the entry of a caller that left, waiting or already admitted."""
        self._waiters.pop(entry, None)
        self._metrics.count("admission_cancellations", entry.request_class)
        if waiter.done() and not waiter.cancelled():
            waiter.result().map(_return_unused)
            return
        now = asyncio.get_running_loop().time()
        self._admission.cancel(now, entry)
        self._settle(now)

    def _settle(self, now: float) -> None:
        """Hand out verdicts and set the timer for the next one."""
        if self._judges_upstream:
            self._watch_health(now)
        while verdicts := self._admission.poll(now):
            for verdict in verdicts:
                self._announce(now, verdict)
        check_s = self._health.next_check() if self._judges_upstream else None
        times_s = (self._admission.next_wakeup(now), check_s)
        wakeup_s = min((at_s for at_s in times_s if at_s is not None), default=None)
        if wakeup_s is None or self._is_timer_set_by(wakeup_s):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_s = wakeup_s
        self._timer = asyncio.get_running_loop().call_at(wakeup_s, self._wake)

    def _watch_health(self, now: float) -> None:
        """Log a change of the upstream's health; refuse what waits for a bad one."""
        self._health.check(now)
        state = self._health.read_state(LOCAL_UPSTREAM)
        if state is self._state:
            return
        self._state = state
        if state is HealthState.EJECTED:
            log_event(
                logger,
                Event.UPSTREAM_EJECTED,
                level=logging.WARNING,
                waiting=self._admission.queued,
            )
            self._admission.refuse_queued(self._build_ejection(now))
        elif state is HealthState.HEALTHY:
            log_event(logger, Event.UPSTREAM_RECOVERED)

    def _is_open(self, now: float, ticket: AdmissionRequest) -> bool:
        """Return whether the upstream's health lets a request wait for a slot."""
        if not self._judges_upstream:
            return True
        if self._state is not HealthState.HEALTHY and self._admission.queued:
            return False
        return self._health.allows(now, LOCAL_UPSTREAM, repeatable=ticket.repeatable)

    def _is_timer_set_by(self, wakeup_s: float) -> bool:
        """Return whether the timer fires in time; an early one does no harm."""
        return self._timer is not None and self._timer_s <= wakeup_s

    def _wake(self) -> None:
        self._timer = None
        self._settle(asyncio.get_running_loop().time())

    def _refuse_waiting(self, refusal: Refusal) -> None:
        self._admission.refuse_queued(refusal)
        self._settle(asyncio.get_running_loop().time())

    def _build_ejection(self, now: float) -> Refusal:
        return Refusal(
            kind=ErrorKind.UPSTREAM_EJECTED,
            detail="upstream does not answer",
            retry_after_s=self._health.read_retry_after(now, LOCAL_UPSTREAM),
        )

    def _announce(self, now: float, verdict: AdmissionDecision) -> None:
        _count_verdict(verdict, self._metrics)
        waiter = self._waiters.pop(verdict.entry, None)
        if waiter is None or waiter.done():
            # The waiter was cancelled, and its task has not run since.
            self._admission.cancel(now, verdict.entry)
            return
        waiter.set_result(_build_result(verdict, self))


def _return_unused(permit: Permit) -> None:
    """Give back a slot whose caller left before it saw the permit."""
    permit.release(service_time_s=0.0, error=ErrorKind.CALLER_LEFT)


@functools.singledispatch
def _build_result(
    verdict: AdmissionDecision, gate: AdmissionGate
) -> Result[Permit, Refusal]:
    raise NotImplementedError(verdict)


@_build_result.register
def _build_permit(verdict: Admitted, gate: AdmissionGate) -> Result[Permit, Refusal]:
    return Success(gate.build_permit(verdict.entry))


@_build_result.register
def _build_refusal(verdict: Refused, gate: AdmissionGate) -> Result[Permit, Refusal]:
    return Failure(verdict.refusal)


@functools.singledispatch
def _count_verdict(verdict: AdmissionDecision, metrics: Metrics) -> None:
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
