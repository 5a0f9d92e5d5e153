"""Request processing: classification, routing, forwarding, retries and responses.

Each daemon has one :class:`RequestEngine`, which connects the server for callers, the
peer network and the local upstream::

    engine = RequestEngine(
        incarnation=incarnation, ownership=ownership, gate=gate, peers=network,
        metrics=metrics, retry=retry, handover=HandoverBackoff(rng=rng),
    )
    network.on_request = engine.serve_peer
    server = CallerServer(handler=engine.handle, ...)
    engine.upstream = UpstreamPool(...)   # once the upstream has registered
"""

import asyncio
import dataclasses
import http
import random
from collections.abc import Callable
from typing import Protocol

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Outcome, Refusal, get_error_response
from papayatack.core.handover import (
    HANDOVER_ERRORS,
    BackoffState,
    HandoverBackoff,
    HandoverReason,
)
from papayatack.core.idempotency import OutcomeExchange
from papayatack.core.identity import IncarnationId, PeerAddress, ShardId
from papayatack.core.inventory import Configuration
from papayatack.core.ownership.selection import compute_rendezvous_rank
from papayatack.core.quarantine import RequestIdentity, compute_head_digest
from papayatack.core.shutdown import ShutdownPlan
from papayatack.network.exchanges import PeerRequest, Request, Response
from papayatack.network.streams import PeerStream
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.proxy.body_wrappers import RewindableBody
from papayatack.proxy.buffering import buffer_response, is_buffered
from papayatack.proxy.classification import Classifier, RequestClassifier
from papayatack.proxy.crashes import CrashDetector, Run
from papayatack.proxy.decisions import RequestLog
from papayatack.proxy.dialect import DefaultDialect, Dialect
from papayatack.proxy.idempotent import IdempotentServer
from papayatack.proxy.interface import (
    Gate,
    Ownership,
    Quarantine,
    RetryPolicy,
    Route,
)
from papayatack.proxy.late_responses import LateResponses
from papayatack.proxy.local import LocalServer
from papayatack.proxy.node_selector import NodeSelector
from papayatack.proxy.shutdown_guard import ShutdownGuard

__all__ = ["PeerClient", "RequestEngine"]

MAX_HOPS = 2
"""How often one request may be forwarded from node to node."""
MAX_REPLAY_BYTES = 128 * 1024
"""Longest request body that is kept for a retry."""
MAX_CRASHES = 1
"""Crashes of upstreams after which a request is retried once more."""
DEADLINE_MARGIN_S = 0.02
DEADLINE_MARGIN_RATIO = 0.1
"""Part of the remaining time that bounds the margin. A forwarded request gets the
remaining time less the margin, so that its response is back before the deadline."""
_UPSTREAM_ERROR = Refusal(
    kind=ErrorKind.UPSTREAM_FAILED, detail="the upstream returned a server error"
)


class PeerClient(Protocol):
    """Sends requests to other nodes."""

    async def exchange(
        self,
        *,
        address: PeerAddress,
        peer_request: PeerRequest,
        deadline_s: float,
        on_unresponsive: Callable[[PeerStream], None] | None = None,
    ) -> Result[Response, Refusal]:
        """Send a request and return its response as soon as the head has arrived.

        Args:
            address: Where the node listens for peers.
            peer_request: The request.
            deadline_s: Event loop time by which the response must have begun.
            on_unresponsive: Receives the stream of a request whose node has become
                unresponsive; the call then fails with ``PEER_LOST``. Without it the
                call keeps waiting for the response.
        """


class RequestEngine:
    """Processes the requests of callers and of other nodes.

    Attributes:
        outcomes: Transfers the outcomes of idempotent requests with their shards.
        upstream: Connections to the local upstream; ``None`` until it has registered.
    """

    def __init__(
        self,
        *,
        incarnation: IncarnationId,
        ownership: Ownership,
        gate: Gate,
        peers: PeerClient,
        metrics: Metrics,
        retry: RetryPolicy,
        handover: HandoverBackoff | None = None,
        dialect: Dialect | None = None,
        build_classifier: Callable[[Configuration], RequestClassifier] = Classifier,
        quarantine: Quarantine | None = None,
    ) -> None:
        self._incarnation = incarnation
        self._ownership = ownership
        self._peers = peers
        self._metrics = metrics
        self._retry = retry
        self._handover = handover or HandoverBackoff(rng=random.Random())
        self._dialect = dialect or DefaultDialect()
        self._build_classifier = build_classifier
        self._local = LocalServer(
            ownership=ownership,
            gate=gate,
            metrics=metrics,
            dialect=self._dialect,
            quarantine=quarantine,
        )
        self._idempotent = IdempotentServer(
            local=self._local, ownership=ownership, metrics=metrics
        )
        self._node_selector = NodeSelector(rng=random.Random(), count=metrics.count)
        self._decisions = RequestLog()
        self._caller_guard = ShutdownGuard()
        self._peer_guard = ShutdownGuard()
        self._classifier_configuration = Configuration()
        self._classifier = build_classifier(
            configuration=self._classifier_configuration
        )

    @property
    def outcomes(self) -> OutcomeExchange:
        """Transfers the outcomes of idempotent requests with their shards."""
        return self._idempotent.exchange

    @property
    def upstream(self) -> UpstreamPool | None:
        """Connections to the local upstream; ``None`` until it has registered."""
        return self._local.upstream

    @upstream.setter
    def upstream(self, upstream: UpstreamPool | None) -> None:
        self._local.upstream = upstream

    @property
    def crashes(self) -> CrashDetector:
        """Follows the requests in flight at the upstream."""
        return self._local.crashes

    def notify_leaving(self, callback: Callable[[], None]) -> None:
        """Have ``callback`` called for responses that say that the upstream leaves."""
        self._local.on_upstream_leaving = callback

    @property
    def in_flight(self) -> tuple[int, int]:
        """Number of unanswered requests: from callers, and from other nodes."""
        return self._caller_guard.in_flight, self._peer_guard.in_flight

    @property
    def waiting(self) -> int:
        """Number of requests that are waiting for their key to get an owner."""
        return self._handover.waiting

    def begin_shutdown(self, plan: ShutdownPlan) -> None:
        """Apply the time limits of a graceful shutdown to all requests."""
        self._caller_guard.begin(plan, accept_until_s=plan.accept_until_s)
        self._peer_guard.begin(plan, accept_until_s=plan.dispatch_until_s)

    async def handle(self, request: Request) -> Response:
        """Return the response to a caller's request."""
        started_s = self._now()
        classified = self._find_classifier().classify(request)
        if not is_successful(classified):
            refusal = classified.failure()
            self._decisions.log_refusal(
                None,
                refusal,
                elapsed_s=0.0,
                version=self._classifier_configuration.version,
                request_id=self._dialect.read_request_id(request.headers),
            )
            return self._build_error_response(refusal, "")
        peer_request = classified.unwrap()
        parent = self._find_parent(peer_request)
        peer_request.is_call = parent is not None
        result = await self._caller_guard.run(self._run_caller_request(peer_request))
        self._metrics.record_latency("request", self._now() - started_s)
        request_id = peer_request.request_id
        elapsed_s = self._now() - started_s
        version = self._classifier_configuration.version
        if parent is not None:
            self._note_call(parent, peer_request, result)
        if not is_successful(result):
            self._decisions.log_refusal(
                peer_request, result.failure(), elapsed_s=elapsed_s, version=version
            )
            return self._build_error_response(result.failure(), request_id)
        response = result.unwrap()
        self._decisions.log_response(
            peer_request, status=response.status, elapsed_s=elapsed_s, version=version
        )
        self._metrics.count("requests", Outcome.ANSWERED.value)
        response.headers = self._dialect.add_response_headers(
            response.headers, request_id
        )
        return response

    def _find_parent(self, peer_request: PeerRequest) -> Run | None:
        """Return the run at the local upstream that waits for a request, if any.

        An id that only looks like that of a call finds none.
        """
        parent_id = self._dialect.read_parent_id(peer_request.request_id)
        return self._local.crashes.find_run(parent_id) if parent_id else None

    def _note_call(
        self, parent: Run, call: PeerRequest, result: Result[Response, Refusal]
    ) -> None:
        """Record how a call ended, since the run of its parent may fail for it."""
        if is_successful(result):
            self._metrics.count("calls", Outcome.ANSWERED.value)
            return
        self._metrics.count("calls", result.failure().kind.value)
        parent.failed_call = call.request_id

    async def serve_peer(self, peer_request: PeerRequest) -> Result[Response, Refusal]:
        """Serve a request that another node forwarded, or forward it to the owner.

        Only the node that received the request from the caller retries.
        """
        return await self._peer_guard.run(self._serve_peer(peer_request))

    async def _serve_peer(self, peer_request: PeerRequest) -> Result[Response, Refusal]:
        now = self._now()
        obstacle = self._peer_guard.find_obstacle(now)
        if obstacle is not None:
            return Failure(obstacle)
        deadline_s = self._peer_guard.limit_deadline(now + peer_request.remaining_s)
        if not peer_request.key:
            return await self._local.serve(peer_request, deadline_s=deadline_s)
        located = self._ownership.locate(peer_request.service, peer_request.key)
        if not is_successful(located):
            return Failure(located.failure())
        route = located.unwrap()
        if not route.local and peer_request.hops >= MAX_HOPS:
            detail = "the node that received the forwarded request does not own the key"
            return Failure(Refusal(kind=ErrorKind.NOT_OWNER, detail=detail))
        return await self._forward(peer_request, route, deadline_s)

    async def _run_caller_request(
        self, peer_request: PeerRequest
    ) -> Result[Response, Refusal]:
        """Process a request from a caller, with retries, and release its resources."""
        obstacle = self._caller_guard.find_obstacle(self._now())
        if obstacle is not None:
            return Failure(obstacle)
        state = BackoffState()
        late = LateResponses()
        try:
            return await self._run_attempts(peer_request, state, late)
        finally:
            late.close()
            self._handover.end_wait(state)

    async def _run_attempts(
        self, peer_request: PeerRequest, state: BackoffState, late: LateResponses
    ) -> Result[Response, Refusal]:
        """Attempt a request until it succeeds or no further attempt is allowed.

        Once an attempt may have run, the result must not be a later refusal that claims
        that the request did not run. A server error of the upstream is returned unless
        a further attempt succeeds. If no attempt succeeds, the response of a node that
        had become unresponsive is used when it arrives.
        """
        now = self._now()
        deadline_s = self._caller_guard.limit_deadline(now + peer_request.remaining_s)
        self._retry.record_request(now)
        screened = await self._local.screening.screen(peer_request, deadline_s)
        if not is_successful(screened):
            return Failure(screened.failure())
        peer_request = screened.unwrap().peer_request
        suspect = _Suspect(
            identity=screened.unwrap().identity,
            is_suspected=screened.unwrap().is_suspected,
        )
        body = RewindableBody(
            body=peer_request.request.body, limit_bytes=MAX_REPLAY_BYTES
        )
        peer_request.request.body = body
        unknown_refusal: Refusal | None = None
        lost_refusal: Refusal | None = None
        error_result: Result[Response, Refusal] | None = None
        tried: set[IncarnationId] = set()
        attempt = 1
        while True:
            count_before = late.added_count
            execution = self._attempt(
                peer_request, deadline_s, tried, suspect, state, late
            )
            result = await (late.race(execution) if late.pending else execution)
            if is_successful(result):
                self._handover.record_served(state.subject)
                if not _is_retryable_error(result.unwrap(), peer_request):
                    return result
                error_result = result
                refusal = _UPSTREAM_ERROR
            else:
                refusal = result.failure()
                suspect.note(refusal)
                peer_request.crashes = suspect.crashes
            if _is_unknown(refusal):
                unknown_refusal = unknown_refusal or refusal
                if late.added_count == count_before:
                    lost_refusal = lost_refusal or refusal
            if refusal.kind in HANDOVER_ERRORS:
                owner_wait_until_s = _find_owner_wait_end(peer_request, now, deadline_s)
                dispatch_until_s = self._caller_guard.limit_dispatch(owner_wait_until_s)
                delay_s = self._find_handover_delay(body, state, dispatch_until_s)
            else:
                dispatch_until_s = self._caller_guard.limit_dispatch(deadline_s)
                delay_s = self._find_retry_delay(
                    refusal, peer_request, body, attempt, dispatch_until_s
                )
                if suspect.crashes > MAX_CRASHES:
                    self._metrics.count("retries_refused", "upstream-crashed")
                    delay_s = None
                attempt += 1
            if delay_s is None:
                late_result = await late.wait()
                if late_result is not None and is_successful(late_result):
                    return late_result
                if lost_refusal is not None:
                    return error_result or Failure(lost_refusal)
                return (
                    error_result or late_result or Failure(unknown_refusal or refusal)
                )
            self._metrics.count("retry_causes", refusal.kind.value)
            if refusal.kind not in HANDOVER_ERRORS:
                node = next(iter(tried), "")
                self._decisions.log_attempt(
                    peer_request, refusal, attempt=attempt - 1, node=node
                )
            await asyncio.sleep(delay_s)
            body.rewind()

    def _find_handover_delay(
        self, body: RewindableBody, state: BackoffState, deadline_s: float
    ) -> float | None:
        """Return the delay in seconds before the next look-up, or ``None`` to stop."""
        if not body.rewindable:
            self._metrics.count("retries_refused", "body-too-large")
            return None
        reason, delay_s = self._handover.decide(self._now(), state, deadline_s)
        self._metrics.count("handover_waits", reason.value)
        return delay_s if reason is HandoverReason.WAITING else None

    def _find_retry_delay(
        self,
        refusal: Refusal,
        peer_request: PeerRequest,
        body: RewindableBody,
        attempt: int,
        deadline_s: float,
    ) -> float | None:
        """Return the delay in seconds before a retry, or ``None`` for no retry."""
        if not get_error_response(refusal.kind).retryable:
            return None
        if _is_unknown(refusal) and not peer_request.repeatable:
            self._metrics.count("retries_refused", "not-repeatable")
            return None
        if not body.rewindable:
            self._metrics.count("retries_refused", "body-too-large")
            return None
        if 0 < peer_request.max_attempts <= attempt:
            self._metrics.count("retries_refused", "attempts-spent")
            return None
        return self._retry.allow_retry(self._now(), attempt, deadline_s)

    async def _attempt(
        self,
        peer_request: PeerRequest,
        deadline_s: float,
        tried: set[IncarnationId],
        suspect: "_Suspect",
        state: BackoffState,
        late: LateResponses,
    ) -> Result[Response, Refusal]:
        routed = self._find_route(peer_request, tried, suspect)
        state.subject = _find_outage_subject(peer_request, routed)
        if not is_successful(routed):
            return Failure(routed.failure())
        route = routed.unwrap()
        tried.add(route.incarnation)
        late_for_attempt = late if peer_request.repeatable else None
        if peer_request.key:
            return await self._forward(
                peer_request, route, deadline_s, late_for_attempt
            )
        return await self._forward_measured(
            peer_request, route, deadline_s, late_for_attempt
        )

    async def _forward_measured(
        self,
        peer_request: PeerRequest,
        route: Route,
        deadline_s: float,
        late: LateResponses | None,
    ) -> Result[Response, Refusal]:
        """Forward a request without a key and record the result for load balancing."""
        use = self._node_selector.start_attempt(
            self._now(), peer_request.service, route.incarnation
        )
        error: ErrorKind | None = ErrorKind.CALLER_LEFT
        try:
            result = await self._forward(peer_request, route, deadline_s, late)
            error = None if is_successful(result) else result.failure().kind
        finally:
            use.finish(self._now(), error)
        return result

    def _find_route(
        self,
        peer_request: PeerRequest,
        tried: set[IncarnationId],
        suspect: "_Suspect",
    ) -> Result[Route, Refusal]:
        if peer_request.key:
            return self._ownership.locate(peer_request.service, peer_request.key)
        nodes = self._ownership.list_nodes(peer_request.service)
        if suspect.is_suspected:
            untried = [route for route in nodes if route.incarnation not in tried]
            if untried:
                return Success(suspect.choose(untried))
        return self._node_selector.choose(
            self._now(), peer_request, nodes, frozenset(tried)
        )

    async def _forward(
        self,
        peer_request: PeerRequest,
        route: Route,
        deadline_s: float,
        late: LateResponses | None = None,
    ) -> Result[Response, Refusal]:
        """Serve the request on this node, or send it to the node of the route."""
        shard = route.shard if peer_request.key else ShardId("")
        if route.local:
            peer_request.shard = shard
            return await self._idempotent.serve(peer_request, deadline_s=deadline_s)
        remaining_s = deadline_s - self._now()
        margin_s = min(DEADLINE_MARGIN_S, remaining_s * DEADLINE_MARGIN_RATIO)
        if remaining_s <= 0:
            return Failure(Refusal(kind=ErrorKind.DEADLINE_EXPIRED))
        sent = dataclasses.replace(
            peer_request,
            shard=shard,
            remaining_s=remaining_s - margin_s,
            recipient=route.incarnation,
            hops=peer_request.hops + 1,
        )
        result = await self._peers.exchange(
            address=route.address,
            peer_request=sent,
            deadline_s=deadline_s,
            on_unresponsive=None if late is None else late.add,
        )
        if not is_successful(result):
            return result
        return await buffer_response(result.unwrap())

    def _find_classifier(self) -> RequestClassifier:
        """Return the classifier for the configuration in force."""
        configuration = self._ownership.configuration
        if self._classifier_configuration is not configuration:
            self._classifier_configuration = configuration
            self._classifier = self._build_classifier(configuration=configuration)
        return self._classifier

    def _build_error_response(self, refusal: Refusal, request_id: str) -> Response:
        self._metrics.count("requests", get_error_response(refusal.kind).outcome.value)
        self._metrics.count("requests_refused", refusal.kind.value)
        return self._dialect.build_refusal_response(refusal, request_id)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


@dataclasses.dataclass(slots=True, kw_only=True)
class _Suspect:
    """A request that may crash the upstreams that run it.

    Attributes:
        identity: What is equal in requests that are the same.
        crashes: Number of upstreams that crashed while they ran it for this caller.
        is_suspected: Whether it was in flight at any crash.
    """

    identity: RequestIdentity
    crashes: int = 0
    is_suspected: bool = False

    def note(self, refusal: Refusal) -> None:
        """Record how an attempt ended."""
        if refusal.kind is ErrorKind.UPSTREAM_CRASHED:
            self.crashes += 1
            self.is_suspected = True

    def choose(self, routes: list[Route]) -> Route:
        """Return the node that all nodes choose for the same request.

        That node runs it one at a time.
        """
        head = compute_head_digest(self.identity)
        return min(
            routes, key=lambda route: compute_rendezvous_rank(head, route.incarnation)
        )


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


def _find_owner_wait_end(
    peer_request: PeerRequest, started_s: float, deadline_s: float
) -> float:
    """Return the event loop time until which a request may wait for an owner.

    A refusal with a retry time serves the caller better than a response that is certain
    to miss its target time.
    """
    if peer_request.target_s is None or peer_request.target_s <= 0:
        return deadline_s
    return min(deadline_s, started_s + peer_request.target_s)


def _is_retryable_error(response: Response, peer_request: PeerRequest) -> bool:
    """Whether the response is a server error that a retry may avoid."""
    failed = response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    return failed and peer_request.repeatable and is_buffered(response)


def _is_unknown(refusal: Refusal) -> bool:
    """Whether a refused request may have run at an upstream."""
    return get_error_response(refusal.kind).outcome is Outcome.UNKNOWN
