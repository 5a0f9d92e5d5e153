"""The last step of a request: through the gate to the own upstream."""

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
from papayatack.network.exchanges import PeerRequest, Request, Response
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.proxy.dialect import Dialect, OwnDialect
from papayatack.proxy.interface import Gate, Grant, Ownership, Permit, Ticket
from papayatack.proxy.replay import MeteredBody
from papayatack.proxy.settling import is_settled, settle_response

__all__ = ["KeyedAttempt", "LocalServer"]

LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000
_TELLING_KINDS = frozenset({None, ErrorKind.UPSTREAM_TIMEOUT})
"""Ends of a request after which its time says how fast the upstream is. One that was
refused or cut short was over sooner, for a reason of its own."""

_NO_GRANT = Grant(shard=ShardId(""), token=0, remaining_s=0.0)


@dataclasses.dataclass(slots=True)
class _Use:
    """What a request in flight holds and must give back once."""

    ownership: Ownership
    permit: Permit
    grant: Grant
    started_s: float
    sent: bool = False

    def read_age_s(self) -> float:
        """Return for how long the slot has been held."""
        return asyncio.get_running_loop().time() - self.started_s

    def end(self, kind: ErrorKind | None) -> None:
        """Give back the slot and the shard."""
        service_time_s = self.read_age_s()
        error = None if kind is None else kind.value
        try:
            self.permit.release(service_time_s=service_time_s, error=error)
        finally:
            if self.grant.shard:
                told_s = service_time_s if kind in _TELLING_KINDS else None
                self.ownership.finish(self.grant, service_time_s=told_s)


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyedAttempt:
    """One run of a request with an idempotency key.

    Attributes:
        is_current: Whether the shard is still in the tenure in which the run was
            decided, and still holds the key.
        sent: A byte of the request may have reached the upstream.
    """

    is_current: Callable[[], bool]
    sent: bool = False


class LocalServer:
    """Serves requests through the own upstream."""

    def __init__(
        self,
        *,
        ownership: Ownership,
        gate: Gate,
        metrics: Metrics,
        upstream: UpstreamPool | None = None,
        dialect: Dialect | None = None,
    ) -> None:
        self.upstream = upstream
        self._dialect = dialect or OwnDialect()
        self._ownership = ownership
        self._gate = gate
        self._metrics = metrics

    async def serve(
        self,
        peer_request: PeerRequest,
        *,
        deadline_s: float,
        attempt: KeyedAttempt | None = None,
    ) -> Result[Response, Refusal]:
        """Wait for a slot, then forward the request under the grant of its shard.

        Args:
            peer_request: The request.
            deadline_s: Event loop time after which it is of no use.
            attempt: Its run under an idempotency key, if it has one.
        """
        if self.upstream is None:
            return _refuse(ErrorKind.UPSTREAM_DRAINING, "no upstream runs here")
        shard = ShardId(peer_request.shard)
        obstacle = self._ownership.find_obstacle(shard) if shard else None
        if obstacle is not None:
            return Failure(obstacle)
        ticket = Ticket(
            partner=peer_request.partner,
            request_class=peer_request.request_class,
            cost=peer_request.cost,
            deadline_s=deadline_s,
            repeatable=peer_request.repeatable,
            target_s=_find_target(peer_request),
        )
        admitted = await self._gate.acquire(ticket)
        if not is_successful(admitted):
            return Failure(admitted.failure())
        use = _Use(
            ownership=self._ownership,
            permit=admitted.unwrap(),
            grant=_NO_GRANT,
            started_s=asyncio.get_running_loop().time(),
        )
        try:
            result = await self._forward(peer_request, use, deadline_s, attempt)
        except BaseException as error:
            use.end(ErrorKind.CALLER_LEFT)
            if use.sent:
                _note_cut(peer_request, use, ErrorKind.CALLER_LEFT, str(error))
            raise
        if not is_successful(result):
            refusal = result.failure()
            use.end(refusal.kind)
            if use.sent and get_error_response(refusal.kind).outcome is Outcome.UNKNOWN:
                _note_cut(peer_request, use, refusal.kind, refusal.detail)
        return result

    async def _forward(
        self,
        peer_request: PeerRequest,
        use: _Use,
        deadline_s: float,
        attempt: KeyedAttempt | None,
    ) -> Result[Response, Refusal]:
        """Authorize with a connection in hand, so that no wait follows."""
        upstream = self.upstream
        if upstream is None:
            return _refuse(ErrorKind.UPSTREAM_DRAINING, "the upstream has left")
        reserved = await upstream.reserve(deadline_s=deadline_s)
        if not is_successful(reserved):
            return Failure(reserved.failure())
        connection = reserved.unwrap()
        now = asyncio.get_running_loop().time()
        granted = self._authorize(peer_request, use, deadline_s - now, attempt)
        if not is_successful(granted):
            upstream.return_connection(connection)
            return Failure(granted.failure())
        request = Request(
            method=peer_request.request.method,
            target=peer_request.request.target,
            headers=self._dialect.build_upstream_headers(
                peer_request, granted.unwrap(), deadline_s - now
            ),
            body=peer_request.request.body,
        )
        use.sent = True
        if attempt is not None:
            attempt.sent = True
        result = await connection.exchange(
            request,
            deadline_s=deadline_s,
            matches_request=functools.partial(self._dialect.is_answer, peer_request),
        )
        if not is_successful(result):
            return Failure(result.failure())
        return await self._check_response(peer_request, result.unwrap(), use)

    def _authorize(
        self,
        peer_request: PeerRequest,
        use: _Use,
        remaining_s: float,
        attempt: KeyedAttempt | None,
    ) -> Result[Grant, Refusal]:
        if remaining_s <= 0:
            return _refuse(ErrorKind.DEADLINE_EXPIRED, "expired before the forward")
        if not peer_request.shard:
            return Success(_NO_GRANT)
        if attempt is not None and not attempt.is_current():
            return _refuse(ErrorKind.NOT_OWNER, "the shard was lost in between")
        shard = ShardId(peer_request.shard)
        granted = self._ownership.authorize(shard)
        if is_successful(granted):
            use.grant = granted.unwrap()
        return granted

    async def _check_response(
        self, peer_request: PeerRequest, response: Response, use: _Use
    ) -> Result[Response, Refusal]:
        settled = await settle_response(response)
        if not is_successful(settled):
            return settled
        response = settled.unwrap()
        kind = self._dialect.find_refusal(response)
        if kind is not None:
            response.body.close()
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
            self._note_error(peer_request, response.status, use)
        response.headers = self._dialect.clean_response(response.headers)
        if is_settled(response):
            use.end(None)
            return settled
        response.body = MeteredBody(body=response.body, on_end=use.end)
        return Success(response)

    def _note_error(self, peer_request: PeerRequest, status: int, use: _Use) -> None:
        """Log an upstream's own failure, and whether its grant stood all the while."""
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
            ran_ms=int(use.read_age_s() * MS_PER_S),
            status=status,
            obstacle=obstacle.kind.value if obstacle is not None else "",
        )


def _note_cut(
    peer_request: PeerRequest, use: _Use, kind: ErrorKind, detail: str
) -> None:
    """Log that a request may run at the upstream whose answer nobody takes."""
    log_event(
        LOGGER,
        Event.RUN_CUT,
        level=logging.WARNING,
        request=peer_request.request_id,
        shard=peer_request.shard,
        reason=kind.value,
        detail=detail,
        ran_ms=int(use.read_age_s() * MS_PER_S),
    )


def _find_target(peer_request: PeerRequest) -> float | None:
    """Return when the answer stops being worth most, on this node's clock."""
    if peer_request.target_s is None:
        return None
    return asyncio.get_running_loop().time() + peer_request.target_s


def _refuse(kind: ErrorKind, detail: str) -> Result:
    return Failure(Refusal(kind=kind, detail=detail))
