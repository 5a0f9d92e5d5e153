"""Admission of requests on this node and forwarding to the local upstream."""

import asyncio
import dataclasses
import functools
import http
import logging
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
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.proxy.body_wrappers import MonitoredBody, RecordedBody
from papayatack.proxy.buffering import buffer_response, is_buffered
from papayatack.proxy.crashes import CrashDetector, Run
from papayatack.proxy.dialect import DefaultDialect, Dialect
from papayatack.proxy.in_flight import LOSS_KINDS, InFlightUse, log_crash
from papayatack.proxy.interface import (
    AdmissionRequest,
    Gate,
    Grant,
    NoQuarantine,
    Ownership,
    Quarantine,
)
from papayatack.proxy.screening import ScreenedRequest, Screening
from papayatack.proxy.shutdown_guard import ShutdownGuard

__all__ = ["IdempotentAttempt", "LocalServer", "find_work_kind"]

LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000
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
        on_upstream_leaving: Called for each response that says that the upstream
            leaves.
        screening: Keeps requests that crash upstreams from the upstream.
        crashes: Follows the requests in flight at the upstream.
        work_times: Estimates how long the upstream takes, by kind of request.
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
        self.on_upstream_leaving: Callable[[], None] | None = None
        self.find_evacuation: Callable[[], Refusal | None] = lambda: None
        self._dialect = dialect or DefaultDialect()
        self._ownership = ownership
        self._gate = gate
        self._metrics = metrics
        self._last_malformed_limit = ""
        self.screening = Screening(
            quarantine=quarantine or NoQuarantine(),
            dialect=self._dialect,
            metrics=metrics,
        )
        self.crashes = CrashDetector(metrics=metrics, report=self._report_crash)

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
                _log_cut_run(peer_request, use, ErrorKind.CALLER_LEFT, str(error))
            raise
        if not is_successful(result):
            refusal = result.failure()
            use.end(refusal.kind)
            if use.sent and get_error_response(refusal.kind).outcome is Outcome.UNKNOWN:
                _log_cut_run(peer_request, use, refusal.kind, refusal.detail)
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
        if not self.screening.is_current(screened):
            upstream.return_connection(connection)
            return Failure(_NEWLY_SUSPECTED)
        now = asyncio.get_running_loop().time()
        work_s = self.work_times.estimate(find_work_kind(peer_request))
        obstacle = self._guard.find_dispatch_obstacle(now, deadline_s, work_s)
        obstacle = obstacle or self.find_evacuation()
        if obstacle is not None:
            upstream.return_connection(connection)
            return Failure(obstacle)
        granted = self._authorize(peer_request, use, deadline_s - now, attempt)
        if not is_successful(granted):
            upstream.return_connection(connection)
            return Failure(granted.failure())
        body = RecordedBody(body=peer_request.request.body)
        request = Request(
            method=peer_request.request.method,
            target=peer_request.request.target,
            headers=self._dialect.build_upstream_headers(
                peer_request, granted.unwrap(), deadline_s - now
            ),
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
            self._observe_signals(result.unwrap())
        return await self._check_response(
            peer_request, result.unwrap(), use, connection
        )

    async def _reserve(
        self, upstream: UpstreamPool, peer_request: PeerRequest, deadline_s: float
    ) -> Result[UpstreamConnection, Refusal]:
        """Return a connection on which the upstream has not refused this request.

        On such a one, a refusal of an earlier attempt could come once more and be taken
        for the response to this attempt.
        """
        while True:
            reserved = await upstream.reserve(deadline_s=deadline_s)
            if not is_successful(reserved):
                return reserved
            connection = reserved.unwrap()
            if peer_request.request_id not in connection.refused_ids:
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

    def _observe_signals(self, response: Response) -> None:
        """Apply what the upstream says of itself in a response."""
        signals = self._dialect.read_signals(response.headers)
        self._gate.observe_limit(signals.requests_per_s)
        if signals.load is not None:
            self._gate.observe_load(signals.load)
        elif signals.has_malformed_load:
            self._metrics.count("reported_loads_malformed")
        if signals.is_leaving and self.on_upstream_leaving is not None:
            self.on_upstream_leaving()
        malformed = signals.malformed_limit
        if not malformed:
            return
        self._metrics.count("upstream_limits_malformed")
        if malformed != self._last_malformed_limit:
            self._last_malformed_limit = malformed
            log_event(
                LOGGER,
                Event.UPSTREAM_LIMIT_MALFORMED,
                level=logging.WARNING,
                detail=malformed,
            )

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

    async def _check_response(
        self,
        peer_request: PeerRequest,
        response: Response,
        use: InFlightUse,
        connection: UpstreamConnection,
    ) -> Result[Response, Refusal]:
        buffered = await buffer_response(response)
        if not is_successful(buffered):
            return buffered
        response = buffered.unwrap()
        kind = self._dialect.find_refusal(response)
        if kind is not None:
            response.body.close()
            if not self._is_certain(peer_request, response, connection):
                connection.abort()
                return _refuse(
                    ErrorKind.UPSTREAM_LOST,
                    "a refusal may be that of an earlier request on the connection",
                )
            connection.refused_ids.append(peer_request.request_id)
            if use.run is not None:
                self.crashes.end(use.run)
            self._metrics.count("upstream_refusals", kind.value)
            log_event(
                LOGGER,
                Event.UPSTREAM_REFUSED,
                level=logging.WARNING,
                request=peer_request.request_id,
                shard=peer_request.shard,
                token=use.grant.token,
                lease_left_ms=int(use.grant.remaining_s * MS_PER_S),
                status=response.status,
                reason=kind.value,
            )
            if kind is ErrorKind.GRANT_REFUSED and use.grant.shard:
                self._ownership.renew_grant(use.grant)
            return _refuse(kind, f"the upstream answered {response.status}")
        if response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            self._log_upstream_error(peer_request, response.status, use)
        else:
            kind = find_work_kind(peer_request)
            self.work_times.record(kind, use.read_duration_s())
        self._record_end(peer_request, response.status, use)
        response.headers = self._dialect.clean_response(response.headers)
        if is_buffered(response):
            use.end(None)
            return buffered

        def end(kind: ErrorKind | None, detail: str) -> None:
            use.end(kind)
            if kind is not None:
                _log_cut_run(peer_request, use, kind, detail, body.read_bytes)

        body = MonitoredBody(body=response.body, on_end=end)
        response.body = body
        return Success(response)

    def _record_end(
        self, peer_request: PeerRequest, status: int, use: InFlightUse
    ) -> None:
        """Record whether a run was thrown away because one of its calls failed."""
        has_failed = status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        is_thrown_away = (
            has_failed and use.run is not None and bool(use.run.failed_call)
        )
        if is_thrown_away:
            ran_ms = int(use.read_duration_s() * MS_PER_S)
            self._metrics.count("runs_thrown_away", peer_request.service)
            self._metrics.count("run_ms_thrown_away", peer_request.service, ran_ms)

    def _is_certain(
        self,
        peer_request: PeerRequest,
        response: Response,
        connection: UpstreamConnection,
    ) -> bool:
        """Return whether a refusal proves that this request was not run.

        For a request that may run again it need not.
        """
        return (
            peer_request.repeatable
            or not connection.is_reused
            or self._dialect.names_request(response.headers)
        )

    def _log_upstream_error(
        self, peer_request: PeerRequest, status: int, use: InFlightUse
    ) -> None:
        """Log a server error, and whether the shard may still be served."""
        shard = ShardId(peer_request.shard)
        obstacle = self._ownership.find_obstacle(shard) if shard else None
        self._metrics.count("upstream_errors", str(status))
        log_event(
            LOGGER,
            Event.UPSTREAM_ERRED,
            level=logging.WARNING,
            request=peer_request.request_id,
            shard=peer_request.shard,
            token=use.grant.token,
            lease_left_ms=int(use.grant.remaining_s * MS_PER_S),
            ran_ms=int(use.read_duration_s() * MS_PER_S),
            status=status,
            obstacle=obstacle.kind.value if obstacle is not None else "",
            failed_call=use.run.failed_call if use.run is not None else "",
        )


def _log_cut_run(
    peer_request: PeerRequest,
    use: InFlightUse,
    kind: ErrorKind,
    detail: str,
    read_bytes: int = 0,
) -> None:
    """Log a request that may still run at the upstream without a receiver."""
    log_event(
        LOGGER,
        Event.RUN_CUT,
        level=logging.WARNING,
        request=peer_request.request_id,
        shard=peer_request.shard,
        reason=kind.value,
        detail=detail,
        ran_ms=int(use.read_duration_s() * MS_PER_S),
        delay_ms=int(peer_request.delay_s * MS_PER_S),
        left_ms=int(use.left_s * MS_PER_S),
        read_bytes=read_bytes,
    )


def find_work_kind(peer_request: PeerRequest) -> str:
    """Return the kind of a request in estimates of how long the work takes."""
    name = peer_request.route or peer_request.request_class.value
    return f"{peer_request.service}:{name}"


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
