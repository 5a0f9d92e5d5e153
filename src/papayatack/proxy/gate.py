"""Admission of requests to the local upstream."""

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
from papayatack.core.admission.entry import EntryState
from papayatack.core.admission.room import RoomMeter
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.health import Attempt, HealthState, HealthTracker
from papayatack.core.inventory import Partner
from papayatack.core.node_load import NodeLoad
from papayatack.core.reported_load import (
    USUAL_PACE,
    ReportedLoad,
    UpstreamReports,
)
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.proxy.cold_watch import ColdWatch
from papayatack.proxy.interface import AdmissionRequest, Permit

__all__ = ["AdmissionGate"]

logger = logging.getLogger(__name__)


LOCAL_UPSTREAM = "own"
_CLOSED = Refusal(kind=ErrorKind.NODE_DRAINING, detail="node is shutting down")


class _SlotPermit:
    """A slot in use, which must be released once."""

    __slots__ = ("_attempt", "_entry", "_gate")

    def __init__(
        self, *, gate: "AdmissionGate", entry: QueueEntry, attempt: Attempt
    ) -> None:
        self._gate = gate
        self._entry = entry
        self._attempt = attempt

    def record_sent(self) -> None:
        """Record that the request is sent to the upstream now."""
        self._gate.record_sent(self._entry)

    def release(self, *, service_time_s: float, error: str | None = None) -> None:
        """Release the slot and report the service time and error of the request."""
        kind = None if error is None else _parse_error(error)
        self._gate.release(
            self._entry, self._attempt, service_time_s=service_time_s, error=kind
        )


class AdmissionGate:
    """Runs an :class:`AdmissionController` on the clock of the event loop.

    While the upstream fails or does not respond, requests are refused at once, except
    for single requests that probe it.

    Args:
        admission: The admission state, which only the gate may change.
        metrics: Counts admissions and refusals.
        rng: Adds jitter to the times of probes.
        ejects_upstream: Whether the gate ejects a failing upstream. Otherwise this is
            left to the component that monitors the upstream's heartbeats.

    Attributes:
        cold: Follows whether the upstream is cold.
    """

    def __init__(
        self,
        *,
        admission: AdmissionController,
        metrics: Metrics,
        rng: random.Random | None = None,
        ejects_upstream: bool = True,
    ) -> None:
        self._ejects_upstream = ejects_upstream
        self._admission = admission
        self._metrics = metrics
        self._health: HealthTracker[str] = HealthTracker(
            nodes=(LOCAL_UPSTREAM,),
            max_ejected_share=1.0,
            rng=rng,
            count=metrics.count,
        )
        self._state = HealthState.HEALTHY
        self._reports = UpstreamReports()
        self._room = RoomMeter()
        self._waiters: dict[QueueEntry, asyncio.Future[Result[Permit, Refusal]]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_s = 0.0
        self._closed = False
        self.cold = ColdWatch(
            limit=admission.cold_limit, metrics=metrics, on_change=self._apply_news
        )

    async def acquire(
        self, admission_request: AdmissionRequest
    ) -> Result[Permit, Refusal]:
        """Wait for a slot; the wait may be cancelled.

        A request that waited goes on one turn of the event loop after it got its slot,
        as its caller may have left in the same turn.

        Returns:
            The permit, or why the request is not admitted.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        if self._closed:
            self._metrics.count("admission_refusals", ErrorKind.NODE_DRAINING)
            return Failure(_CLOSED)
        if not self._accepts(now, admission_request):
            self._metrics.count("admission_refusals", ErrorKind.UPSTREAM_EJECTED)
            return Failure(self._build_ejection_refusal(now))
        self._update_pace(now)
        entry = self._admission.offer(
            now,
            partner=admission_request.partner,
            request_class=admission_request.request_class,
            cost=admission_request.cost,
            deadline_s=admission_request.deadline_s,
            target_s=admission_request.target_s,
            rank=admission_request.rank,
        )
        waiter: asyncio.Future[Result[Permit, Refusal]] = loop.create_future()
        self._waiters[entry] = waiter
        self._process_queue(now)
        if waiter.done():
            return waiter.result()
        try:
            result = await waiter
            await asyncio.sleep(0)
            return result
        except asyncio.CancelledError:
            self._abandon(entry, waiter)
            raise

    def record_sent(self, entry: QueueEntry) -> None:
        """Record that the request of an admitted entry is sent to the upstream."""
        self._admission.record_sent(asyncio.get_running_loop().time(), entry)

    def release(
        self,
        entry: QueueEntry,
        attempt: Attempt,
        *,
        service_time_s: float | None,
        error: ErrorKind | None,
    ) -> None:
        """Release the slot of a queue entry and record how its request ended."""
        now = asyncio.get_running_loop().time()
        self._health.finish_attempt(now, LOCAL_UPSTREAM, attempt, error=error)
        self._update_pace(now)
        if entry.state is EntryState.RUNNING:
            self._room.finish(
                entry,
                service_time_s=service_time_s if error is None else None,
                pace=self._reports.pace.read(now),
            )
        self._admission.release(now, entry, service_time_s=service_time_s, error=error)
        self._process_queue(now)

    def build_permit(self, entry: QueueEntry) -> Permit:
        """Return the permit of an entry that has just been admitted."""
        now = asyncio.get_running_loop().time()
        attempt = self._health.start_attempt(
            now, LOCAL_UPSTREAM, kind=entry.request_class
        )
        self._room.start(entry)
        return _SlotPermit(gate=self, entry=entry, attempt=attempt)

    def observe_limit(self, requests_per_s: float | None) -> None:
        """Record the limit that a response of the upstream names, if any."""
        before = self._admission.requests_per_s
        if before is None and requests_per_s is None:
            return
        now = asyncio.get_running_loop().time()
        self._admission.observe_limit(now, requests_per_s)
        after = self._admission.requests_per_s
        if (before is None) != (after is None):
            log_event(logger, Event.UPSTREAM_LIMITED, requests_per_s=after)
            self._process_queue(now)

    def observe_load(self, load: ReportedLoad) -> None:
        """Record the load that a response of the upstream reports."""
        now = asyncio.get_running_loop().time()
        if not self._reports.is_reported(now):
            log_event(logger, Event.UPSTREAM_REPORTS_LOAD, slots=load.slots)
        self._reports.record(now, load)
        self._update_pace(now)

    def read_load(self) -> NodeLoad | None:
        """Return the room and the work left, ``None`` if no pace is reported."""
        now = asyncio.get_running_loop().time()
        if not self._reports.is_reported(now) or self._reports.last.pace is None:
            return None
        pace = self._reports.pace.read(now)
        return self._room.read(now, self._admission, pace=pace)

    def read_pace(self) -> tuple[float, float] | None:
        """Return the present pace of the upstream and the age of its last report.

        Returns:
            ``None`` if the upstream has reported no load.
        """
        if self._reports.last is None:
            return None
        now = asyncio.get_running_loop().time()
        return self._reports.pace.read(now), self._reports.find_age_s(now)

    def report_health(self, *, healthy: bool) -> None:
        """Record the result of the upstream's health endpoint, which is only a hint."""
        now = asyncio.get_running_loop().time()
        self._health.record_health_report(now, LOCAL_UPSTREAM, healthy=healthy)

    def configure(
        self, *, limits: AdmissionLimits, partners: Iterable[Partner]
    ) -> None:
        """Apply the limits and partners of a changed inventory."""
        now = asyncio.get_running_loop().time()
        self._admission.configure(limits=limits, partners=partners)
        self._admission.cold_limit.configure(now, limits.cold)
        self._process_queue(now)

    def restart(self) -> None:
        """Begin a slow start, since the upstream has restarted and is cold."""
        now = asyncio.get_running_loop().time()
        self._admission.restart(now)
        self._admission.set_pace(USUAL_PACE)
        self._reports.clear()
        self._room.clear_service()
        self._process_queue(now)

    def note_return(self) -> None:
        """Begin slowly: an upstream that got no requests for a while may be cold."""
        self.restart()

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse all queued requests."""
        self._admission.refuse_queued(refusal)
        self._process_queue(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Refuse all queued and later requests, since the node is shutting down."""
        self._closed = True
        self.refuse_waiting(_CLOSED)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _abandon(
        self, entry: QueueEntry, waiter: asyncio.Future[Result[Permit, Refusal]]
    ) -> None:
        """End the entry of a caller that left, whether queued or already admitted."""
        self._waiters.pop(entry, None)
        self._metrics.count("admission_cancellations", entry.request_class)
        if waiter.done() and not waiter.cancelled():
            waiter.result().map(_release_unused)
            return
        now = asyncio.get_running_loop().time()
        self._admission.cancel(now, entry)
        self._process_queue(now)

    def _process_queue(self, now: float) -> None:
        """Deliver admission decisions and set the timer for the next one."""
        if self._ejects_upstream:
            self._update_health(now)
        if self.cold.update(now):
            self._admission.refuse_unreachable(now)
        while decisions := self._admission.poll(now):
            for decision in decisions:
                self._deliver(now, decision)
        self.cold.ask_if_wanted(now)
        check_s = self._health.next_check() if self._ejects_upstream else None
        times_s = (self._admission.next_wakeup(now), check_s)
        wakeup_s = min((at_s for at_s in times_s if at_s is not None), default=None)
        if wakeup_s is None or self._is_timer_due_by(wakeup_s):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_s = wakeup_s
        self._timer = asyncio.get_running_loop().call_at(wakeup_s, self._wake)

    def _update_pace(self, now: float) -> None:
        """Let admission expect the service times of this moment."""
        if self._reports.last is None:
            return
        pace = self._reports.pace.read(now)
        self._admission.set_pace(pace)
        self._metrics.set_gauge("upstream_pace", pace)
        age_s = self._reports.find_age_s(now)
        self._metrics.set_gauge("upstream_load_age_seconds", age_s)

    def _update_health(self, now: float) -> None:
        """Log a change of the upstream's health; on ejection refuse queued requests."""
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
            self._admission.refuse_queued(self._build_ejection_refusal(now))
        elif state is HealthState.HEALTHY:
            log_event(logger, Event.UPSTREAM_RECOVERED)

    def _accepts(self, now: float, admission_request: AdmissionRequest) -> bool:
        """Return whether the upstream's health allows a request to enter the queue."""
        if not self._ejects_upstream:
            return True
        if self._state is not HealthState.HEALTHY and self._admission.queued:
            return False
        return self._health.allows(
            now, LOCAL_UPSTREAM, repeatable=admission_request.repeatable
        )

    def _is_timer_due_by(self, wakeup_s: float) -> bool:
        """Return whether the timer fires by ``wakeup_s``; firing early is harmless."""
        return self._timer is not None and self._timer_s <= wakeup_s

    def _wake(self) -> None:
        self._timer = None
        self._apply_news()

    def _apply_news(self) -> None:
        self._process_queue(asyncio.get_running_loop().time())

    def _build_ejection_refusal(self, now: float) -> Refusal:
        return Refusal(
            kind=ErrorKind.UPSTREAM_EJECTED,
            detail="upstream is ejected",
            retry_after_s=self._health.read_retry_after(now, LOCAL_UPSTREAM),
        )

    def _deliver(self, now: float, decision: AdmissionDecision) -> None:
        _count_decision(decision, self._metrics)
        waiter = self._waiters.pop(decision.entry, None)
        if waiter is None or waiter.done():
            # The waiter was cancelled, but its task has not run since then.
            self._admission.cancel(now, decision.entry)
            return
        waiter.set_result(_build_result(decision, self))


def _release_unused(permit: Permit) -> None:
    """Release a slot whose caller left before it received the permit."""
    permit.release(service_time_s=0.0, error=ErrorKind.CALLER_LEFT)


@functools.singledispatch
def _build_result(
    decision: AdmissionDecision, gate: AdmissionGate
) -> Result[Permit, Refusal]:
    """Return what a request that waited for a slot gets."""
    raise NotImplementedError(decision)


@_build_result.register
def _build_permit(decision: Admitted, gate: AdmissionGate) -> Result[Permit, Refusal]:
    return Success(gate.build_permit(decision.entry))


@_build_result.register
def _build_refusal(decision: Refused, gate: AdmissionGate) -> Result[Permit, Refusal]:
    return Failure(decision.refusal)


@functools.singledispatch
def _count_decision(decision: AdmissionDecision, metrics: Metrics) -> None:
    """Count a decision, also by the rank of its request."""
    raise NotImplementedError(decision)


@_count_decision.register
def _count_admission(decision: Admitted, metrics: Metrics) -> None:
    metrics.count("admissions", decision.entry.request_class)
    metrics.count("admissions_by_rank", str(decision.entry.rank))


@_count_decision.register
def _count_refusal(decision: Refused, metrics: Metrics) -> None:
    metrics.count("admission_refusals", decision.refusal.kind)
    metrics.count("admission_refusals_by_rank", str(decision.entry.rank))


def _parse_error(error: str) -> ErrorKind:
    """Return the kind of an error, ``INTERNAL`` if the value is unknown."""
    try:
        return ErrorKind(error)
    except ValueError:
        return ErrorKind.INTERNAL
