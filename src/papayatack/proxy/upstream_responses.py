"""What the head of an upstream's response says, and whether it is passed on."""

import http
import logging
from collections.abc import Callable

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import ShardId
from papayatack.core.work_times import WorkTimes
from papayatack.network.exchanges import PeerRequest, Response
from papayatack.network.upstream_connection import UpstreamConnection
from papayatack.observability.events import Event, log_event, to_ms
from papayatack.observability.metrics import Metrics
from papayatack.proxy.body_wrappers import MonitoredBody
from papayatack.proxy.buffering import buffer_response, is_buffered
from papayatack.proxy.crashes import CrashDetector
from papayatack.proxy.dialect import Dialect
from papayatack.proxy.in_flight import InFlightUse
from papayatack.proxy.interface import Gate, Ownership
from papayatack.proxy.run_logs import log_cut_run, log_refusal, log_server_error
from papayatack.proxy.work_kinds import find_work_kind

__all__ = ["UpstreamResponses"]

LOGGER = logging.getLogger(__name__)


class UpstreamResponses:
    """Tells responses of the upstream from refusals, and records what they say.

    Attributes:
        on_upstream_leaving: Called for each response that says that the upstream
            leaves.
    """

    def __init__(
        self,
        *,
        ownership: Ownership,
        gate: Gate,
        metrics: Metrics,
        dialect: Dialect,
        crashes: CrashDetector,
        work_times: WorkTimes,
    ) -> None:
        self.on_upstream_leaving: Callable[[], None] | None = None
        self._ownership = ownership
        self._gate = gate
        self._metrics = metrics
        self._dialect = dialect
        self._crashes = crashes
        self._work_times = work_times
        self._last_malformed_limit = ""

    def observe_signals(self, response: Response) -> None:
        """Apply what the upstream says of itself in a response."""
        signals = self._dialect.read_signals(response.headers)
        self._gate.observe_limit(signals.requests_per_s)
        if signals.load is not None:
            self._gate.observe_load(signals.load)
        elif signals.has_malformed_load:
            self._metrics.count("reported_loads_malformed")
        if signals.is_leaving and self.on_upstream_leaving is not None:
            self.on_upstream_leaving()
        if signals.malformed_limit:
            self._note_malformed_limit(signals.malformed_limit)

    def _note_malformed_limit(self, limit: str) -> None:
        """Count a limit that can't be used, and log it if it is another one."""
        self._metrics.count("upstream_limits_malformed")
        if limit != self._last_malformed_limit:
            self._last_malformed_limit = limit
            log_event(
                LOGGER,
                Event.UPSTREAM_LIMIT_MALFORMED,
                level=logging.WARNING,
                detail=limit,
            )

    async def check(
        self,
        peer_request: PeerRequest,
        response: Response,
        use: InFlightUse,
        connection: UpstreamConnection,
    ) -> Result[Response, Refusal]:
        """Return a response that may be passed on, or why there is none.

        The slot and the grant are in use until the end of the response's body.
        """
        buffered = await buffer_response(response)
        if not is_successful(buffered):
            return buffered
        response = buffered.unwrap()
        kind = self._dialect.find_refusal(response)
        if kind is not None:
            response.body.close()
            return self._handle_refusal(peer_request, response, kind, use, connection)
        if response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            connection.failed_ids.append(peer_request.request_id)
        self._record_run(peer_request, response.status, use)
        response.headers = self._dialect.clean_response(response.headers)
        if is_buffered(response):
            use.end(None)
            return buffered

        def end(kind: ErrorKind | None, detail: str) -> None:
            use.end(kind)
            if kind is not None:
                log_cut_run(peer_request, use, kind, detail, body.read_bytes)

        body = MonitoredBody(body=response.body, on_end=end)
        response.body = body
        return Success(response)

    def _handle_refusal(
        self,
        peer_request: PeerRequest,
        response: Response,
        kind: ErrorKind,
        use: InFlightUse,
        connection: UpstreamConnection,
    ) -> Result[Response, Refusal]:
        """Return why the upstream did not run a request, if that is certain."""
        if not self._is_certain(peer_request, response, connection):
            connection.abort()
            detail = "a refusal may be that of an earlier request on the connection"
            return Failure(Refusal(kind=ErrorKind.UPSTREAM_LOST, detail=detail))
        connection.failed_ids.append(peer_request.request_id)
        if use.run is not None:
            self._crashes.end(use.run)
        self._metrics.count("upstream_refusals", kind.value)
        log_refusal(peer_request, use, status=response.status, kind=kind)
        if kind is ErrorKind.GRANT_REFUSED and use.grant.shard:
            self._ownership.renew_grant(use.grant)
        detail = f"the upstream answered {response.status}"
        return Failure(Refusal(kind=kind, detail=detail))

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

    def _record_run(
        self, peer_request: PeerRequest, status: int, use: InFlightUse
    ) -> None:
        """Record how long a request has run, or that it failed."""
        if status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            kind = find_work_kind(peer_request)
            self._work_times.record(kind, use.read_duration_s())
            return
        self._record_server_error(peer_request, status, use)
        if use.run is not None and use.run.failed_call:
            ran_ms = to_ms(use.read_duration_s())
            self._metrics.count("runs_thrown_away", peer_request.service)
            self._metrics.count("run_ms_thrown_away", peer_request.service, ran_ms)

    def _record_server_error(
        self, peer_request: PeerRequest, status: int, use: InFlightUse
    ) -> None:
        """Count and log a server error, and whether the shard may still be served."""
        shard = ShardId(peer_request.shard)
        obstacle = self._ownership.find_obstacle(shard) if shard else None
        self._metrics.count("upstream_errors", str(status))
        reason = obstacle.kind.value if obstacle is not None else ""
        log_server_error(peer_request, use, status=status, obstacle=reason)
