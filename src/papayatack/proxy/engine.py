"""The life of a request: classify, locate, forward, retry, answer.

One :class:`RequestEngine` per daemon, between the callers' server, the peers and the
own upstream::

    engine = RequestEngine(
        incarnation=incarnation, ownership=ownership, gate=gate, peers=network,
        metrics=metrics, retry=retry, handover=HandoverWait(rng=rng),
    )
    network.on_request = engine.serve_peer
    server = CallerServer(handler=engine.handle, ...)
    engine.upstream = UpstreamPool(...)   # once the upstream has announced itself
"""

import asyncio
import dataclasses
import http
import random
from collections.abc import Callable
from typing import Protocol

from returns.pipeline import is_successful
from returns.result import Failure, Result

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
from papayatack.core.shutdown import ShutdownPlan
from papayatack.network.exchanges import PeerRequest, Request, Response
from papayatack.network.streams import PeerStream
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.proxy.balance import NodeBalance
from papayatack.proxy.classification import Classifier, RequestClassifier
from papayatack.proxy.decisions import DecisionLog
from papayatack.proxy.dialect import Dialect, OwnDialect
from papayatack.proxy.ending import StopGuard
from papayatack.proxy.interface import Gate, Ownership, RetryPolicy, Route
from papayatack.proxy.keyed import KeyedServer
from papayatack.proxy.late import LateAnswers
from papayatack.proxy.local import LocalServer
from papayatack.proxy.replay import ReplayBody
from papayatack.proxy.settling import is_settled, settle_response

__all__ = ["PeerClient", "RequestEngine"]

MAX_HOPS = 2
REPLAY_BYTES = 128 * 1024
DEADLINE_MARGIN_S = 0.02
DEADLINE_MARGIN_SHARE = 0.1
_FAILED = Refusal(kind=ErrorKind.UPSTREAM_FAILED, detail="the upstream's own failure")


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
        """Send a request and return the head of its response.

        One that has no answer from a silent node is passed to ``on_unresponsive``, and
        counts as lost; without that its answer is waited for.
        """


class RequestEngine:
    """Answers the requests of callers and of other nodes."""

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
    ) -> None:
        self._incarnation = incarnation
        self._ownership = ownership
        self._peers = peers
        self._metrics = metrics
        self._retry = retry
        self._handover = handover or HandoverBackoff(rng=random.Random())
        self._dialect = dialect or OwnDialect()
        self._build_classifier = build_classifier
        self._local = LocalServer(
            ownership=ownership, gate=gate, metrics=metrics, dialect=self._dialect
        )
        self._keyed = KeyedServer(
            local=self._local, ownership=ownership, metrics=metrics
        )
        self._balance = NodeBalance(rng=random.Random(), count=metrics.count)
        self._decisions = DecisionLog()
        self._of_callers = StopGuard()
        self._of_peers = StopGuard()
        self._classified = Configuration()
        self._classifier = build_classifier(configuration=self._classified)

    @property
    def outcomes(self) -> OutcomeExchange:
        """Hands the outcomes of keyed requests over with their shards."""
        return self._keyed.exchange

    @property
    def upstream(self) -> UpstreamPool | None:
        """Connections to the own upstream, once it has announced itself."""
        return self._local.upstream

    @upstream.setter
    def upstream(self, upstream: UpstreamPool | None) -> None:
        self._local.upstream = upstream

    @property
    def in_flight(self) -> tuple[int, int]:
        """Requests without an answer: of callers, and of other nodes."""
        return self._of_callers.in_flight, self._of_peers.in_flight

    @property
    def waiting(self) -> int:
        """Requests that wait for an owner."""
        return self._handover.waiting

    def begin_stop(self, plan: ShutdownPlan) -> None:
        """End all requests by the plan of a stop."""
        self._of_callers.begin(plan, last_come_s=plan.accept_until_s)
        self._of_peers.begin(plan, last_come_s=plan.dispatch_until_s)

    async def handle(self, request: Request) -> Response:
        """Answer a caller's request."""
        started_s = self._now()
        classified = self._find_classifier().classify(request)
        if not is_successful(classified):
            refusal = classified.failure()
            self._decisions.note_refusal(
                None,
                refusal,
                held_s=0.0,
                version=self._classified.version,
                request_id=self._dialect.read_request_id(request.headers),
            )
            return self._answer_refusal(refusal, "")
        peer_request = classified.unwrap()
        result = await self._of_callers.run(self._run(peer_request))
        self._metrics.record_latency("request", self._now() - started_s)
        request_id = peer_request.request_id
        held_s = self._now() - started_s
        version = self._classified.version
        if not is_successful(result):
            self._decisions.note_refusal(
                peer_request, result.failure(), held_s=held_s, version=version
            )
            return self._answer_refusal(result.failure(), request_id)
        response = result.unwrap()
        self._decisions.note_answer(
            peer_request, status=response.status, held_s=held_s, version=version
        )
        self._metrics.count("requests", Outcome.ANSWERED.value)
        response.headers = self._dialect.label_answer(response.headers, request_id)
        return response

    async def serve_peer(self, peer_request: PeerRequest) -> Result[Response, Refusal]:
        """Serve another node's request here, or pass it on to the owner.

        Only the node that the caller reached retries.
        """
        return await self._of_peers.run(self._serve_peer(peer_request))

    async def _serve_peer(self, peer_request: PeerRequest) -> Result[Response, Refusal]:
        now = self._now()
        obstacle = self._of_peers.find_obstacle(now)
        if obstacle is not None:
            return Failure(obstacle)
        deadline_s = self._of_peers.limit_deadline(now + peer_request.remaining_s)
        if not peer_request.key:
            return await self._local.serve(peer_request, deadline_s=deadline_s)
        located = self._ownership.locate(peer_request.service, peer_request.key)
        if not is_successful(located):
            return Failure(located.failure())
        route = located.unwrap()
        if not route.local and peer_request.hops >= MAX_HOPS:
            detail = "the node that was asked does not own the key"
            return Failure(Refusal(kind=ErrorKind.NOT_OWNER, detail=detail))
        return await self._forward(peer_request, route, deadline_s)

    async def _run(self, peer_request: PeerRequest) -> Result[Response, Refusal]:
        """Attempt a request until it is answered or given up."""
        obstacle = self._of_callers.find_obstacle(self._now())
        if obstacle is not None:
            return Failure(obstacle)
        state = BackoffState()
        late = LateAnswers()
        try:
            return await self._run_attempts(peer_request, state, late)
        finally:
            late.close()
            self._handover.end(state)

    async def _run_attempts(
        self, peer_request: PeerRequest, state: BackoffState, late: LateAnswers
    ) -> Result[Response, Refusal]:
        """Attempt a request until it is answered or must not be attempted again.

        Once an attempt may have run, no later refusal may claim that it did not. An
        upstream's own failure is the answer unless a further attempt does better, and
        a silent node's answer if none does.
        """
        now = self._now()
        deadline_s = self._of_callers.limit_deadline(now + peer_request.remaining_s)
        self._retry.record_request(now)
        body = ReplayBody(body=peer_request.request.body, limit_bytes=REPLAY_BYTES)
        peer_request.request.body = body
        unknown: Refusal | None = None
        lost: Refusal | None = None
        failed: Result[Response, Refusal] | None = None
        tried: set[IncarnationId] = set()
        attempt = 1
        while True:
            awaited = late.added
            made = self._attempt(peer_request, deadline_s, tried, state, late)
            result = await (late.race(made) if late.pending else made)
            if is_successful(result):
                self._handover.record_served(state.subject)
                if not _has_failed(result.unwrap(), peer_request):
                    return result
                failed = result
                refusal = _FAILED
            else:
                refusal = result.failure()
            if _is_unknown(refusal):
                unknown = unknown or refusal
                if late.added == awaited:
                    lost = lost or refusal
            if refusal.kind in HANDOVER_ERRORS:
                wait_until_s = _find_wait_end(peer_request, now, deadline_s)
                start_s = self._of_callers.limit_start(wait_until_s)
                delay_s = self._find_pause(body, state, start_s)
            else:
                start_s = self._of_callers.limit_start(deadline_s)
                delay_s = self._find_retry_delay(
                    refusal, peer_request, body, attempt, start_s
                )
                attempt += 1
            if delay_s is None:
                answer = await late.wait()
                if answer is not None and is_successful(answer):
                    return answer
                if lost is not None:
                    return failed or Failure(lost)
                return failed or answer or Failure(unknown or refusal)
            self._metrics.count("retry_causes", refusal.kind.value)
            if refusal.kind not in HANDOVER_ERRORS:
                node = next(iter(tried), "")
                self._decisions.note_attempt(
                    peer_request, refusal, attempt=attempt - 1, node=node
                )
            await asyncio.sleep(delay_s)
            body.rewind()

    def _find_pause(
        self, body: ReplayBody, state: BackoffState, deadline_s: float
    ) -> float | None:
        """Return the pause before asking for the key's owner again."""
        if not body.replayable:
            self._metrics.count("retries_refused", "body-too-large")
            return None
        reason, pause_s = self._handover.decide(self._now(), state, deadline_s)
        self._metrics.count("handover_waits", reason.value)
        return pause_s if reason is HandoverReason.WAITING else None

    def _find_retry_delay(
        self,
        refusal: Refusal,
        peer_request: PeerRequest,
        body: ReplayBody,
        attempt: int,
        deadline_s: float,
    ) -> float | None:
        """Return the delay before a further attempt, or ``None`` for no attempt."""
        if not get_error_response(refusal.kind).retryable:
            return None
        if _is_unknown(refusal) and not peer_request.repeatable:
            self._metrics.count("retries_refused", "not-repeatable")
            return None
        if not body.replayable:
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
        state: BackoffState,
        late: LateAnswers,
    ) -> Result[Response, Refusal]:
        routed = self._find_route(peer_request, tried)
        state.subject = _find_subject(peer_request, routed)
        if not is_successful(routed):
            return Failure(routed.failure())
        route = routed.unwrap()
        tried.add(route.incarnation)
        spare = late if peer_request.repeatable else None
        if peer_request.key:
            return await self._forward(peer_request, route, deadline_s, spare)
        return await self._forward_measured(peer_request, route, deadline_s, spare)

    async def _forward_measured(
        self,
        peer_request: PeerRequest,
        route: Route,
        deadline_s: float,
        late: LateAnswers | None,
    ) -> Result[Response, Refusal]:
        """Forward a request without key, and note how its node did."""
        use = self._balance.begin(self._now(), peer_request.service, route.incarnation)
        error: ErrorKind | None = ErrorKind.CALLER_LEFT
        try:
            result = await self._forward(peer_request, route, deadline_s, late)
            error = None if is_successful(result) else result.failure().kind
        finally:
            use.end(self._now(), error)
        return result

    def _find_route(
        self, peer_request: PeerRequest, tried: set[IncarnationId]
    ) -> Result[Route, Refusal]:
        if peer_request.key:
            return self._ownership.locate(peer_request.service, peer_request.key)
        nodes = self._ownership.list_nodes(peer_request.service)
        return self._balance.choose(self._now(), peer_request, nodes, frozenset(tried))

    async def _forward(
        self,
        peer_request: PeerRequest,
        route: Route,
        deadline_s: float,
        late: LateAnswers | None = None,
    ) -> Result[Response, Refusal]:
        """Serve here, or send to the node of the route."""
        shard = route.shard if peer_request.key else ShardId("")
        if route.local:
            peer_request.shard = shard
            return await self._keyed.serve(peer_request, deadline_s=deadline_s)
        remaining_s = deadline_s - self._now()
        margin_s = min(DEADLINE_MARGIN_S, remaining_s * DEADLINE_MARGIN_SHARE)
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
        return await settle_response(result.unwrap())

    def _find_classifier(self) -> RequestClassifier:
        """Return the classifier of the configuration in force."""
        configuration = self._ownership.configuration
        if self._classified is not configuration:
            self._classified = configuration
            self._classifier = self._build_classifier(configuration=configuration)
        return self._classifier

    def _answer_refusal(self, refusal: Refusal, request_id: str) -> Response:
        self._metrics.count("requests", get_error_response(refusal.kind).outcome.value)
        self._metrics.count("requests_refused", refusal.kind.value)
        return self._dialect.answer_refusal(refusal, request_id)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _find_subject(peer_request: PeerRequest, routed: Result[Route, Refusal]) -> str:
    """Return what has no owner if the request meets none."""
    if not peer_request.key:
        return peer_request.service
    return routed.unwrap().shard if is_successful(routed) else routed.failure().detail


def _find_wait_end(
    peer_request: PeerRequest, started_s: float, deadline_s: float
) -> float:
    """Return until when a request may wait for an owner.

    Its caller is better off with a refusal, and a word when to come back, than with an
    answer that is sure to be late.
    """
    if peer_request.target_s is None or peer_request.target_s <= 0:
        return deadline_s
    return min(deadline_s, started_s + peer_request.target_s)


def _has_failed(response: Response, peer_request: PeerRequest) -> bool:
    """Whether an upstream's answer is a failure that a repetition may mend."""
    failed = response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    return failed and peer_request.repeatable and is_settled(response)


def _is_unknown(refusal: Refusal) -> bool:
    """Whether the request may have run."""
    return get_error_response(refusal.kind).outcome is Outcome.UNKNOWN
