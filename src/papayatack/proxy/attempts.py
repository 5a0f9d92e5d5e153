"""The attempts at one request of a caller, until it succeeds or none is left."""

import asyncio
import dataclasses
import http
import random
from collections.abc import Callable

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Outcome, Refusal, get_error_response
from papayatack.core.handover import (
    HANDOVER_ERRORS,
    BackoffState,
    HandoverBackoff,
    HandoverReason,
)
from papayatack.core.identity import IncarnationId
from papayatack.core.node_load import NodeLoad
from papayatack.core.ownership.selection import compute_rendezvous_rank
from papayatack.core.quarantine import RequestIdentity, compute_head_digest
from papayatack.core.work_times import WorkTimes
from papayatack.network.exchanges import PeerRequest, Response
from papayatack.observability.metrics import Metrics
from papayatack.proxy.body_wrappers import MonitoredBody, RewindableBody
from papayatack.proxy.buffering import is_buffered
from papayatack.proxy.decisions import RequestLog
from papayatack.proxy.forwarding import Forwarder
from papayatack.proxy.interface import Ownership, RetryPolicy, Route
from papayatack.proxy.late_responses import LateResponses
from papayatack.proxy.node_selector import NodeSelector
from papayatack.proxy.screening import ScreenedRequest, Screening
from papayatack.proxy.shutdown_guard import ShutdownGuard
from papayatack.proxy.work_kinds import find_work_kind

__all__ = ["AttemptRunner"]

MAX_REPLAY_BYTES = 128 * 1024
"""Longest request body that is kept for a retry."""

MAX_CRASHES = 1
"""Crashes of upstreams after which a request is retried once more."""

_UPSTREAM_ERROR = Refusal(
    kind=ErrorKind.UPSTREAM_FAILED, detail="the upstream returned a server error"
)
_Result = Result[Response, Refusal]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Series:
    """The attempts at one request so far.

    Attributes:
        peer_request: The request.
        body: Its body, kept for further attempts as far as that is possible.
        started_s: Event loop time of the first attempt.
        deadline_s: Event loop time after which the response is of no use.
        target_at_s: Event loop time of its target, ``None`` if it has none.
        is_suspected: Whether it was in flight at the crash of an upstream.
        state: For how long it has waited for an owner.
        late: Responses that may still come from nodes that became unresponsive.
        tried: Nodes that it was sent to.
        attempt: Number of the current attempt, without waits for an owner.
        unknown_refusal: Why an attempt that may have run got no response.
        lost_refusal: The same, if no late response of that attempt is awaited.
        error_result: A server error of an upstream.
    """

    peer_request: PeerRequest
    body: RewindableBody
    started_s: float
    deadline_s: float
    target_at_s: float | None
    is_suspected: bool
    late: LateResponses
    state: BackoffState = dataclasses.field(default_factory=BackoffState)
    tried: set[IncarnationId] = dataclasses.field(default_factory=set)
    attempt: int = 1
    unknown_refusal: Refusal | None = None
    lost_refusal: Refusal | None = None
    error_result: _Result | None = None

    def record_refusal(self, refusal: Refusal, *, is_late_awaited: bool) -> None:
        """Record why an attempt got no response."""
        if refusal.kind is ErrorKind.UPSTREAM_CRASHED:
            self.peer_request.crashes += 1
            self.is_suspected = True
        if not _is_unknown(refusal):
            return
        self.unknown_refusal = self.unknown_refusal or refusal
        if not is_late_awaited:
            self.lost_refusal = self.lost_refusal or refusal

    def find_owner_wait_end(self) -> float:
        """Return the event loop time until which the request may wait for an owner.

        A refusal with a retry time serves the caller better than a response that is
        certain to miss its target time.
        """
        if self.target_at_s is None or self.target_at_s <= self.started_s:
            return self.deadline_s
        return min(self.deadline_s, self.target_at_s)

    def build_attempt(self, now: float) -> PeerRequest:
        """Return the request with the time that is left until its target now."""
        if self.target_at_s is None or now <= self.started_s:
            return self.peer_request
        return dataclasses.replace(self.peer_request, target_s=self.target_at_s - now)

    async def find_result(self, refusal: Refusal) -> _Result:
        """Return the result if no further attempt is made after a refusal.

        Once an attempt may have run, it must not be a later refusal that claims that
        the request did not run. A server error of the upstream is returned unless
        another attempt succeeded. The response of a node that had become unresponsive
        is used when it arrives.
        """
        late_result = await self.late.wait()
        if late_result is not None and is_successful(late_result):
            return late_result
        if self.lost_refusal is not None:
            return self.error_result or Failure(self.lost_refusal)
        last = Failure(self.unknown_refusal or refusal)
        return self.error_result or late_result or last


class AttemptRunner:
    """Attempts requests of callers with retries.

    Args:
        ownership: Finds the nodes that serve a request.
        forwarder: Sends an attempt to one of them.
        screening: Refuses requests that crash upstreams.
        guard: Limits the times of requests in a shutdown.
        work_times: Records how long attempts take, by kind of request.
        metrics: Counts retries by cause.
        decisions: Logs attempts that are retried.
        retry: Decides whether a failed request is attempted again.
        handover: Decides how long a request waits for an owner.
        read_local_load: Returns the room and the work left at the local upstream.
    """

    def __init__(
        self,
        *,
        ownership: Ownership,
        forwarder: Forwarder,
        screening: Screening,
        guard: ShutdownGuard,
        work_times: WorkTimes,
        metrics: Metrics,
        decisions: RequestLog,
        retry: RetryPolicy,
        handover: HandoverBackoff,
        read_local_load: Callable[[], NodeLoad | None],
    ) -> None:
        self._ownership = ownership
        self._forwarder = forwarder
        self._screening = screening
        self._guard = guard
        self._work_times = work_times
        self._metrics = metrics
        self._decisions = decisions
        self._retry = retry
        self._handover = handover
        self._node_selector = NodeSelector(
            rng=random.Random(), count=metrics.count, read_local_load=read_local_load
        )

    def record_load(
        self, service: str, incarnation: IncarnationId, load: NodeLoad | None
    ) -> None:
        """Record what another node tells of its load with a response."""
        self._node_selector.record_load(_read_clock(), service, incarnation, load)

    async def run(self, peer_request: PeerRequest) -> _Result:
        """Attempt a request until it succeeds or no further attempt is allowed."""
        now = _read_clock()
        deadline_s = self._guard.limit_deadline(now + peer_request.remaining_s)
        self._retry.record_request(now)
        screened = await self._screening.screen(peer_request, deadline_s)
        if not is_successful(screened):
            return Failure(screened.failure())
        series = _start_series(screened.unwrap(), now, deadline_s)
        try:
            return await self._run_series(series)
        finally:
            series.late.close()
            self._handover.end_wait(series.state)

    async def _run_series(self, series: _Series) -> _Result:
        while True:
            late_before = series.late.added_count
            execution = self._attempt(series)
            result = await (
                series.late.race(execution) if series.late.pending else execution
            )
            if is_successful(result):
                self._handover.record_served(series.state.subject)
                if not _is_retryable_error(result.unwrap(), series.peer_request):
                    return result
                series.error_result = result
                refusal = _UPSTREAM_ERROR
            else:
                refusal = result.failure()
            is_late_awaited = series.late.added_count != late_before
            series.record_refusal(refusal, is_late_awaited=is_late_awaited)
            delay_s = self._find_delay(series, refusal)
            if delay_s is None:
                return await series.find_result(refusal)
            await asyncio.sleep(delay_s)
            series.body.rewind()

    def _find_delay(self, series: _Series, refusal: Refusal) -> float | None:
        """Return the delay in seconds before the next attempt, or ``None`` to stop."""
        if refusal.kind in HANDOVER_ERRORS:
            delay_s = self._find_handover_delay(series)
        else:
            delay_s = self._find_retry_delay(series, refusal)
            series.attempt += 1
        if delay_s is None:
            return None
        self._metrics.count("retry_causes", refusal.kind.value)
        if refusal.kind not in HANDOVER_ERRORS:
            self._decisions.log_attempt(
                series.peer_request,
                refusal,
                attempt=series.attempt - 1,
                node=next(iter(series.tried), ""),
            )
        return delay_s

    def _find_handover_delay(self, series: _Series) -> float | None:
        """Return the delay in seconds before the next look-up, or ``None`` to stop."""
        if not series.body.rewindable:
            self._metrics.count("retries_refused", "body-too-large")
            return None
        until_s = min(series.find_owner_wait_end(), self._find_dispatch_end(series))
        reason, delay_s = self._handover.decide(_read_clock(), series.state, until_s)
        self._metrics.count("handover_waits", reason.value)
        return delay_s if reason is HandoverReason.WAITING else None

    def _find_retry_delay(self, series: _Series, refusal: Refusal) -> float | None:
        """Return the delay in seconds before a retry, or ``None`` for no retry."""
        if not get_error_response(refusal.kind).retryable:
            return None
        obstacle = _find_retry_obstacle(series, refusal)
        if obstacle:
            self._metrics.count("retries_refused", obstacle)
            return None
        until_s = self._find_dispatch_end(series)
        return self._retry.allow_retry(_read_clock(), series.attempt, until_s)

    def _find_dispatch_end(self, series: _Series) -> float:
        """Return the event loop time until which an attempt may be sent."""
        work_s = self._work_times.estimate(find_work_kind(series.peer_request))
        return self._guard.limit_dispatch(series.deadline_s, work_s)

    async def _attempt(self, series: _Series) -> _Result:
        """Make one attempt and record how long it took."""
        started_s = _read_clock()
        result = await self._send(series)
        if is_successful(result):
            self._record_work(series.peer_request, result.unwrap(), started_s)
        return result

    def _record_work(
        self, peer_request: PeerRequest, response: Response, started_s: float
    ) -> None:
        """Record the duration of an attempt, up to the end of a long body."""
        if response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            return
        kind = find_work_kind(peer_request)

        def record(error: ErrorKind | None, detail: str) -> None:
            if error is None:
                self._work_times.record(kind, _read_clock() - started_s)

        if is_buffered(response):
            record(None, "")
        else:
            response.body = MonitoredBody(body=response.body, on_end=record)

    async def _send(self, series: _Series) -> _Result:
        peer_request = series.build_attempt(_read_clock())
        routed = self._find_route(series)
        series.state.subject = _find_outage_subject(peer_request, routed)
        if not is_successful(routed):
            return Failure(routed.failure())
        route = routed.unwrap()
        series.tried.add(route.incarnation)
        late = series.late if peer_request.repeatable else None
        if peer_request.key:
            return await self._forwarder.forward(
                peer_request, route, series.deadline_s, late
            )
        return await self._forward_measured(
            peer_request, route, series.deadline_s, late
        )

    async def _forward_measured(
        self,
        peer_request: PeerRequest,
        route: Route,
        deadline_s: float,
        late: LateResponses | None,
    ) -> _Result:
        """Forward a request without a key and record the result for load balancing."""
        use = self._node_selector.start_attempt(
            _read_clock(), peer_request.service, route.incarnation
        )
        error: ErrorKind | None = ErrorKind.CALLER_LEFT
        retry_after_s: float | None = None
        try:
            result = await self._forwarder.forward(
                peer_request, route, deadline_s, late
            )
            error = None
            if not is_successful(result):
                error = result.failure().kind
                retry_after_s = result.failure().retry_after_s
        finally:
            use.finish(_read_clock(), error, retry_after_s=retry_after_s)
        return result

    def _find_route(self, series: _Series) -> Result[Route, Refusal]:
        peer_request = series.peer_request
        if peer_request.key:
            return self._ownership.locate(peer_request.service, peer_request.key)
        nodes = self._ownership.list_nodes(peer_request.service)
        if series.is_suspected:
            untried = [
                route for route in nodes if route.incarnation not in series.tried
            ]
            if untried:
                identity = self._screening.identify(peer_request)
                return Success(_choose_for_suspect(identity, untried))
        return self._node_selector.choose(
            _read_clock(), peer_request, nodes, frozenset(series.tried)
        )


def _start_series(screened: ScreenedRequest, now: float, deadline_s: float) -> _Series:
    peer_request = screened.peer_request
    received = peer_request.request.received
    body = RewindableBody(
        body=peer_request.request.body,
        limit_bytes=MAX_REPLAY_BYTES,
        may_keep=received.keep if received is not None else lambda size: True,
    )
    peer_request.request.body = body
    target_s = peer_request.target_s
    return _Series(
        peer_request=peer_request,
        body=body,
        started_s=now,
        deadline_s=deadline_s,
        target_at_s=None if target_s is None else now + target_s,
        is_suspected=screened.is_suspected,
        late=LateResponses(),
    )


def _choose_for_suspect(identity: RequestIdentity, routes: list[Route]) -> Route:
    """Return the node that all nodes choose for the same suspect.

    That node runs it one at a time.
    """
    head = compute_head_digest(identity)
    return min(
        routes, key=lambda route: compute_rendezvous_rank(head, route.incarnation)
    )


def _find_retry_obstacle(series: _Series, refusal: Refusal) -> str:
    """Return why a request cannot be retried whatever the budget, or an empty text."""
    peer_request = series.peer_request
    if _is_unknown(refusal) and not peer_request.repeatable:
        return "not-repeatable"
    if refusal.kind is ErrorKind.UPSTREAM_COLD and peer_request.key:
        return "owner-cold"
    if peer_request.crashes > MAX_CRASHES:
        return "upstream-crashed"
    if not series.body.rewindable:
        return "body-too-large"
    if 0 < peer_request.max_attempts <= series.attempt:
        return "attempts-spent"
    return ""


def _find_outage_subject(
    peer_request: PeerRequest, routed: Result[Route, Refusal]
) -> str:
    """Return what has no owner while the request waits: its shard or its service.

    The backoff tracks outages by this name. If no owner is known, the detail of the
    refusal is the shard id.
    """
    if not peer_request.key:
        return peer_request.service
    return routed.unwrap().shard if is_successful(routed) else routed.failure().detail


def _is_retryable_error(response: Response, peer_request: PeerRequest) -> bool:
    """Whether the response is a server error that a retry may avoid."""
    failed = response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    return failed and peer_request.repeatable and is_buffered(response)


def _is_unknown(refusal: Refusal) -> bool:
    """Whether a refused request may have run at an upstream."""
    return get_error_response(refusal.kind).outcome is Outcome.UNKNOWN


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
