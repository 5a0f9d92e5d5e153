"""Admission of requests on this node and forwarding to the local upstream."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Outcome, Refusal, get_error_response
from papayatack.core.identity import ShardId
from papayatack.core.inventory import RequestClass
from papayatack.core.work_times import WorkTimes
from papayatack.network.exchanges import PeerRequest, Request, Response
from papayatack.network.upstream_connection import UpstreamConnection
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.proxy.body_wrappers import RecordedBody
from papayatack.proxy.crashes import CrashDetector, Run
from papayatack.proxy.dialect import DefaultDialect, Dialect
from papayatack.proxy.in_flight import LOSS_KINDS, InFlightUse
from papayatack.proxy.interface import (
    AdmissionRequest,
    Gate,
    Grant,
    NoQuarantine,
    Ownership,
    Quarantine,
)
from papayatack.proxy.run_logs import log_crash, log_cut_run
from papayatack.proxy.screening import ScreenedRequest, Screening
from papayatack.proxy.shutdown_guard import ShutdownGuard
from papayatack.proxy.upstream_responses import UpstreamResponses
from papayatack.proxy.work_kinds import find_work_kind

__all__ = ["IdempotentAttempt", "LocalServer"]

_NEWLY_SUSPECTED = Refusal(
    kind=ErrorKind.REQUEST_HELD, detail="an upstream crashed while the request waited"
)
_NO_GRANT = Grant(shard=ShardId(""), token=0, remaining_s=0.0)


@dataclasses.dataclass(slots=True, kw_only=True)
class IdempotentAttempt:
    """One run of a request with an idempotency key.

    Attributes:
        is_current: Returns whether the shard still has the tenure in which the run was
            decided, and still contains the key.
        sent: Whether a byte of the request may have reached the upstream.
    """

    is_current: Callable[[], bool]
    sent: bool = False


class LocalServer:
    """Serves requests through the local upstream.

    Attributes:
        upstream: Connections to the upstream; ``None`` while there is none.
        screening: Keeps requests that crash upstreams from the upstream.
        crashes: Follows the requests in flight at the upstream.
        work_times: Estimates how long the upstream takes, by kind of request.
        responses: Checks the responses of the upstream.
        find_evacuation: Returns why nothing may be sent to the upstream now, ``None``
            if its data centre is not evacuated.
    """

    def __init__(
        self,
        *,
        ownership: Ownership,
        gate: Gate,
        metrics: Metrics,
        upstream: UpstreamPool | None = None,
        dialect: Dialect | None = None,
        quarantine: Quarantine | None = None,
        guard: ShutdownGuard | None = None,
    ) -> None:
        self.upstream = upstream
        self.work_times = WorkTimes()
        self._guard = guard or ShutdownGuard()
        self.find_evacuation: Callable[[], Refusal | None] = lambda: None
        self._dialect = dialect or DefaultDialect()
        self._ownership = ownership
        self._gate = gate
        self.screening = Screening(
            quarantine=quarantine or NoQuarantine(),
            dialect=self._dialect,
            metrics=metrics,
        )
        self.crashes = CrashDetector(metrics=metrics, report=self._report_crash)
        self.responses = UpstreamResponses(
            ownership=ownership,
            gate=gate,
            metrics=metrics,
            dialect=self._dialect,
            crashes=self.crashes,
            work_times=self.work_times,
        )

    async def serve(
        self,
        peer_request: PeerRequest,
        *,
        deadline_s: float,
        attempt: IdempotentAttempt | None = None,
    ) -> Result[Response, Refusal]:
        """Wait for a slot, then forward the request under the grant of its shard.

        Args:
            peer_request: The request.
            deadline_s: Event loop time after which the response is of no use.
            attempt: The run under the request's idempotency key, if it has one.

        Returns:
            The response, or why there is none.
        """
        while True:
            admitted = await self.screening.admit(peer_request, deadline_s)
            if not is_successful(admitted):
                return Failure(admitted.failure())
            screened = admitted.unwrap()
            try:
                result = await self._serve_admitted(screened, deadline_s, attempt)
            finally:
                self.screening.release(screened)
            match result:
                case Failure(refusal) if refusal is _NEWLY_SUSPECTED:
                    # Its body has been read and put back into the screened request.
                    peer_request = screened.peer_request
                case _:
                    return result

    async def _serve_admitted(
        self,
        screened: ScreenedRequest,
        deadline_s: float,
        attempt: IdempotentAttempt | None,
    ) -> Result[Response, Refusal]:
        peer_request = screened.peer_request
        if self.upstream is None:
            return _refuse(ErrorKind.UPSTREAM_DRAINING, "no upstream runs here")
        evacuation = self.find_evacuation()
        if evacuation is not None:
            return Failure(evacuation)
        shard = ShardId(peer_request.shard)
        obstacle = self._ownership.find_obstacle(shard) if shard else None
        if obstacle is not None:
            return Failure(obstacle)
        admission_request = AdmissionRequest(
            partner=peer_request.partner,
            request_class=_find_class(peer_request),
            cost=peer_request.cost,
            deadline_s=deadline_s,
            repeatable=peer_request.repeatable,
            target_s=_find_target(peer_request),
            rank=peer_request.rank,
        )
        admitted = await self._gate.acquire(admission_request)
        if not is_successful(admitted):
            return Failure(admitted.failure())
        use = InFlightUse(
            ownership=self._ownership,
            permit=admitted.unwrap(),
            grant=_NO_GRANT,
            started_s=asyncio.get_running_loop().time(),
            crashes=self.crashes,
            screening=self.screening,
        )
        try:
            result = await self._forward(screened, use, deadline_s, attempt)
            result = await self._name_crash(result, use)
        except BaseException as error:
            use.end(ErrorKind.CALLER_LEFT)
            if use.sent:
                log_cut_run(peer_request, use, ErrorKind.CALLER_LEFT, str(error))
            raise
        if not is_successful(result):
            refusal = result.failure()
            use.end(refusal.kind)
            if use.sent and get_error_response(refusal.kind).outcome is Outcome.UNKNOWN:
                log_cut_run(peer_request, use, refusal.kind, refusal.detail)
        return result

    async def _forward(
        self,
        screened: ScreenedRequest,
        use: InFlightUse,
        deadline_s: float,
        attempt: IdempotentAttempt | None,
    ) -> Result[Response, Refusal]:
        """Reserve a connection first, so that no wait follows the authorization.

        Fails with ``_NEWLY_SUSPECTED``, before the request is sent, if it is suspected
        of crashing upstreams only since it waited.
        """
        peer_request = screened.peer_request
        upstream = self.upstream
        if upstream is None:
            return _refuse(
                ErrorKind.UPSTREAM_DRAINING, "the upstream is no longer registered"
            )
        reserved = await self._reserve(upstream, peer_request, deadline_s)
        if not is_successful(reserved):
            return Failure(reserved.failure())
        connection = reserved.unwrap()
        now = asyncio.get_running_loop().time()
        granted = self._authorize_dispatch(screened, use, now, deadline_s, attempt)
        if not is_successful(granted):
            upstream.return_connection(connection)
            return Failure(granted.failure())
        body = RecordedBody(body=peer_request.request.body)
        headers = self._dialect.build_upstream_headers(
            peer_request, granted.unwrap(), deadline_s - now
        )
        request = Request(
            method=peer_request.request.method,
            target=peer_request.request.target,
            headers=headers,
            body=body,
            received=peer_request.request.received,
        )
        use.run = Run(
            peer_request=peer_request,
            body=body,
            standings=self.screening.find_standings(screened),
            pool=upstream,
        )
        self.crashes.start(use.run)
        use.permit.record_sent()
        use.left_s = deadline_s - now
        if attempt is not None:
            attempt.sent = True
        result = await connection.exchange(
            request,
            deadline_s=deadline_s,
            matches_request=functools.partial(
                self._dialect.matches_request, peer_request
            ),
        )
        if not is_successful(result):
            return Failure(result.failure())
        if upstream is self.upstream:
            self.responses.observe_signals(result.unwrap())
        return await self.responses.check(
            peer_request, result.unwrap(), use, connection
        )

    def _authorize_dispatch(
        self,
        screened: ScreenedRequest,
        use: InFlightUse,
        now: float,
        deadline_s: float,
        attempt: IdempotentAttempt | None,
    ) -> Result[Grant, Refusal]:
        """Return the grant under which a request is sent now, or why it is not sent."""
        peer_request = screened.peer_request
        if not self.screening.is_current(screened):
            return Failure(_NEWLY_SUSPECTED)
        work_s = self.work_times.estimate(find_work_kind(peer_request))
        obstacle = self._guard.find_dispatch_obstacle(now, deadline_s, work_s)
        obstacle = obstacle or self.find_evacuation()
        if obstacle is not None:
            return Failure(obstacle)
        return self._authorize(peer_request, use, deadline_s - now, attempt)

    async def _reserve(
        self, upstream: UpstreamPool, peer_request: PeerRequest, deadline_s: float
    ) -> Result[UpstreamConnection, Refusal]:
        """Return a connection on which the upstream has not failed this request.

        On such a one, a refusal or another answer to an earlier attempt could come late
        and be taken for the response to this attempt.
        """
        while True:
            reserved = await upstream.reserve(deadline_s=deadline_s)
            if not is_successful(reserved):
                return reserved
            connection = reserved.unwrap()
            if peer_request.request_id not in connection.failed_ids:
                return reserved
            connection.abort()

    def _report_crash(self, pool: UpstreamPool, runs: list[Run]) -> None:
        log_crash(pool, runs)
        self.screening.report_crash(pool, runs)

    async def _name_crash(
        self, result: Result[Response, Refusal], use: InFlightUse
    ) -> Result[Response, Refusal]:
        """Return the result, with a lost connection told from a crash."""
        if is_successful(result) or use.run is None or use.run.has_ended:
            return result
        refusal = result.failure()
        is_lost = refusal.kind in LOSS_KINDS
        if not is_lost or not await self.crashes.check_loss(use.run):
            return result
        return _refuse(ErrorKind.UPSTREAM_CRASHED, refusal.detail)

    def _authorize(
        self,
        peer_request: PeerRequest,
        use: InFlightUse,
        remaining_s: float,
        attempt: IdempotentAttempt | None,
    ) -> Result[Grant, Refusal]:
        if remaining_s <= 0:
            return _refuse(
                ErrorKind.DEADLINE_EXPIRED,
                "the deadline expired before the request was forwarded",
            )
        if not peer_request.shard:
            return Success(_NO_GRANT)
        if attempt is not None and not attempt.is_current():
            return _refuse(
                ErrorKind.NOT_OWNER,
                "the tenure of the key ended while the request was queued",
            )
        shard = ShardId(peer_request.shard)
        granted = self._ownership.authorize(shard)
        if is_successful(granted):
            use.grant = granted.unwrap()
        return granted


def _find_class(peer_request: PeerRequest) -> RequestClass:
    """Return the class in which a request waits for a slot."""
    return RequestClass.CALL if peer_request.is_call else peer_request.request_class


def _find_target(peer_request: PeerRequest) -> float | None:
    """Return the event loop time by which the response is worth most."""
    if peer_request.target_s is None:
        return None
    return asyncio.get_running_loop().time() + peer_request.target_s


def _refuse(kind: ErrorKind, detail: str) -> Result:
    return Failure(Refusal(kind=kind, detail=detail))
