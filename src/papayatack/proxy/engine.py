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
import random
from collections.abc import Callable

from returns.pipeline import is_successful
from returns.result import Failure, Result

from papayatack.core.config_age import ConfigAge
from papayatack.core.errors import ErrorKind, Outcome, Refusal, get_error_response
from papayatack.core.handover import HandoverBackoff
from papayatack.core.idempotency import OutcomeExchange
from papayatack.core.identity import IncarnationId
from papayatack.core.inventory import Configuration
from papayatack.core.node_load import NodeLoad
from papayatack.core.shutdown import ShutdownPlan
from papayatack.core.work_times import WorkTimes
from papayatack.network.exchanges import PeerRequest, Request, Response
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.proxy.attempts import MAX_REPLAY_BYTES, AttemptRunner
from papayatack.proxy.buffering import buffer_body
from papayatack.proxy.call_ranks import CallRanks
from papayatack.proxy.classification import Classifier, RequestClassifier
from papayatack.proxy.crashes import CrashDetector, Run
from papayatack.proxy.decisions import RequestLog
from papayatack.proxy.dialect import DefaultDialect, Dialect
from papayatack.proxy.forwarding import Forwarder, PeerClient
from papayatack.proxy.idempotent import IdempotentServer
from papayatack.proxy.interface import Gate, Ownership, Quarantine, RetryPolicy
from papayatack.proxy.local import LocalServer
from papayatack.proxy.shutdown_guard import LATE_REFUSAL, ShutdownGuard
from papayatack.proxy.work_kinds import find_work_kind

__all__ = ["RequestEngine"]

MAX_HOPS = 2
"""How often one request may be forwarded from node to node."""


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
        read_config_age: Callable[[], ConfigAge | None] = lambda: None,
    ) -> None:
        self._incarnation = incarnation
        self._ownership = ownership
        self._metrics = metrics
        self._handover = handover or HandoverBackoff(rng=random.Random())
        self._dialect = dialect or DefaultDialect()
        self._build_classifier = build_classifier
        self._caller_guard = ShutdownGuard()
        self._peer_guard = ShutdownGuard()
        self._local = LocalServer(
            ownership=ownership,
            gate=gate,
            metrics=metrics,
            dialect=self._dialect,
            quarantine=quarantine,
            guard=self._peer_guard,
        )
        self._idempotent = IdempotentServer(
            local=self._local, ownership=ownership, metrics=metrics
        )
        self._forwarder = Forwarder(idempotent=self._idempotent, peers=peers)
        self._decisions = RequestLog(read_config_age=read_config_age)
        self._call_ranks = CallRanks()
        self._work_times = WorkTimes()
        self._attempts = AttemptRunner(
            ownership=ownership,
            forwarder=self._forwarder,
            screening=self._local.screening,
            guard=self._caller_guard,
            work_times=self._work_times,
            metrics=metrics,
            decisions=self._decisions,
            retry=retry,
            handover=self._handover,
            read_local_load=gate.read_load,
        )
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

    def record_load(
        self, service: str, incarnation: IncarnationId, load: NodeLoad | None
    ) -> None:
        """Record what another node tells of its load with a response."""
        self._attempts.record_load(service, incarnation, load)

    def notify_leaving(self, callback: Callable[[], None]) -> None:
        """Have ``callback`` called for responses that say that the upstream leaves."""
        self._local.responses.on_upstream_leaving = callback

    def check_evacuation(self, find_evacuation: Callable[[], Refusal | None]) -> None:
        """Have each request checked directly before it is sent to the upstream."""
        self._local.find_evacuation = find_evacuation

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
        peer_request.subtract_time(request.waited_s)
        request.request_id = peer_request.request_id
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

    def is_repeatable(self, request: Request) -> bool:
        """Return whether a caller's request may run more than once."""
        return self._find_classifier().is_repeatable(request)

    def _find_parent(self, peer_request: PeerRequest) -> Run | None:
        """Return the run at the local upstream that waits for a request, if any.

        The request then has the rank of that run. An id that only looks like that of a
        call finds none.
        """
        parent_id = self._dialect.read_parent_id(peer_request.request_id)
        if not parent_id:
            return None
        parent = self._local.crashes.find_run(parent_id)
        if parent is None:
            self._call_ranks.limit(peer_request)
        else:
            self._call_ranks.apply(peer_request, parent.peer_request)
        return parent

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
        work_s = self._local.work_times.estimate(find_work_kind(peer_request))
        obstacle = self._peer_guard.find_dispatch_obstacle(now, deadline_s, work_s)
        if obstacle is not None:
            return Failure(obstacle)
        if not peer_request.key:
            return await self._local.serve(peer_request, deadline_s=deadline_s)
        located = self._ownership.locate(peer_request.service, peer_request.key)
        if not is_successful(located):
            return Failure(located.failure())
        route = located.unwrap()
        if not route.local and peer_request.hops >= MAX_HOPS:
            detail = "the node that received the forwarded request does not own the key"
            return Failure(Refusal(kind=ErrorKind.NOT_OWNER, detail=detail))
        return await self._forwarder.forward(peer_request, route, deadline_s)

    async def _run_caller_request(
        self, peer_request: PeerRequest
    ) -> Result[Response, Refusal]:
        """Process a request from a caller, with retries."""
        obstacle = self._caller_guard.find_obstacle(self._now())
        if obstacle is None and self._caller_guard.plan is not None:
            obstacle = await self._prepare_late_request(peer_request)
        if obstacle is not None:
            return Failure(obstacle)
        return await self._attempts.run(peer_request)

    async def _prepare_late_request(self, peer_request: PeerRequest) -> Refusal | None:
        """Read the body of a request that arrives in a shutdown, before it is sent.

        A body that is sent slowly could end too late for the work to end in time.

        Returns:
            Why the request is not sent, if it must not be sent any more.
        """
        guard = self._caller_guard
        arrived_s = self._now()
        deadline_s = arrived_s + peer_request.remaining_s
        work_s = self._work_times.estimate(find_work_kind(peer_request))
        obstacle = guard.find_dispatch_obstacle(arrived_s, deadline_s, work_s)
        if obstacle is not None:
            return obstacle
        request = peer_request.request
        try:
            async with asyncio.timeout_at(guard.limit_dispatch(deadline_s, work_s)):
                request.body = await buffer_body(
                    request.body, limit_bytes=MAX_REPLAY_BYTES
                )
        except TimeoutError:
            return LATE_REFUSAL
        now = self._now()
        peer_request.subtract_time(now - arrived_s)
        return guard.find_dispatch_obstacle(now, deadline_s, work_s)

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
