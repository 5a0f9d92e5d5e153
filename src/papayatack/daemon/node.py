"""Assembly of one node: sockets, control tasks and the request path."""

import asyncio
import contextlib
import enum
import functools
import logging
import math
import random
import traceback
import uuid
from collections.abc import Awaitable

from returns.result import Failure, Success

from papayatack.control.interface import ConfigState, GrantSink
from papayatack.control.node import ControlNode
from papayatack.core.admission import AdmissionController, AdmissionLimits
from papayatack.core.byte_budget import ByteBudget
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.handover import HandoverBackoff
from papayatack.core.identity import IncarnationId, PeerAddress
from papayatack.core.ownership import OwnershipState
from papayatack.core.placement import plan_placement
from papayatack.core.records import OWNERSHIP_STREAM, Announce
from papayatack.core.retry import RetryPolicy
from papayatack.core.shutdown import plan_shutdown
from papayatack.daemon.announcement import AnnouncedUpstream
from papayatack.daemon.environment import (
    Environment,
    StandaloneEnvironment,
    split_address,
)
from papayatack.daemon.limits import (
    apply_admission_limits,
    build_caller_limits,
    build_side_limits,
    follow_limits,
)
from papayatack.daemon.operators import OperatorEndpoint, ServingParts
from papayatack.daemon.readiness import ReadinessEndpoint
from papayatack.daemon.settings import Settings
from papayatack.daemon.stop import PlannedStop
from papayatack.daemon.upstreams import UpstreamKeeper
from papayatack.logservice.appender import Appender
from papayatack.network.caller_connection import Handler
from papayatack.network.callers import CallerServer
from papayatack.network.exchanges import Request, Response
from papayatack.network.limits import CallerLimits, UpstreamLimits
from papayatack.network.peers import PeerNetwork
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.observability.stalls import StallMonitor
from papayatack.proxy.engine import RequestEngine
from papayatack.proxy.gate import AdmissionGate

__all__ = ["Ending", "Node"]

LOGGER = logging.getLogger(__name__)

ENDPOINT_STOP_TIMEOUT_S = 1.0
LOAD_ATTEMPT_S = 30.0
LOAD_PAUSE_S = 1.0
START_RETRY_S = 0.3


class Ending(enum.Enum):
    """Why a node ended."""

    DRAINED = "drained"
    DRAIN_TIMEOUT = "drain-timeout"
    FAILED = "failed"
    SUPERSEDED = "superseded"


class Node:
    """One incarnation of the daemon.

    Args:
        settings: The validated settings.
        environment: The deployment; the product's own interfaces by default.
        metrics: Counters of the process.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        environment: Environment | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._settings = settings
        self._metrics = metrics or Metrics()
        self._environment = environment or StandaloneEnvironment(
            settings=settings, metrics=self._metrics
        )
        self._random = random.Random()
        self._incarnation = IncarnationId(
            f"{settings.listen.peers}#{uuid.uuid4().hex[:12]}"
        )
        peers_host, peers_port = split_address(settings.listen.peers)
        self._peers = PeerNetwork(
            incarnation=self._incarnation,
            host=peers_host,
            port=peers_port,
            metrics=self._metrics,
            rng=self._random,
            limits=self._environment.peer_limits,
        )
        self._drain_wanted = asyncio.Event()
        self._drain_s = 0.0
        self._close_s = math.inf
        self._control: ControlNode | None = None
        self._endpoint = OperatorEndpoint(
            metrics=self._metrics, start_drain=self.start_drain
        )
        self._budget = ByteBudget(
            limit_bytes=settings.limits.held_bytes, count=self._metrics.count
        )
        listen = settings.listen
        self._desk_server = self._build_server(
            listen.upstream, self._environment.desk.handle
        )
        self._endpoint_server = self._build_server(
            listen.operators, self._endpoint.handle
        )
        self._readiness_server = None
        if listen.readiness:
            readiness = ReadinessEndpoint(is_ready=self._is_ready)
            self._readiness_server = self._build_server(
                listen.readiness, readiness.handle
            )
        self._callers = self._build_server(
            listen.callers,
            self._refuse_starting,
            build_caller_limits(settings.limits),
        )

    def start_drain(self) -> None:
        """Begin the graceful shutdown, whose times count from now."""
        if not self._drain_wanted.is_set():
            self._drain_s = asyncio.get_running_loop().time()
            self._drain_wanted.set()

    async def run(self) -> Ending:
        """Run until drained or superseded."""
        await self._peers.start()
        await self._endpoint_server.start()
        await self._desk_server.start()
        await self._callers.start()
        if self._readiness_server is not None:
            await self._readiness_server.start()
        try:
            return await self._join()
        finally:
            left_s = self._close_s - asyncio.get_running_loop().time()
            timeout_s = max(min(left_s, ENDPOINT_STOP_TIMEOUT_S), 0.0)
            if self._readiness_server is not None:
                await self._readiness_server.stop(timeout_s=0.0)
            await self._callers.stop(timeout_s=0.0)
            await asyncio.gather(
                self._desk_server.stop(timeout_s=timeout_s),
                self._endpoint_server.stop(timeout_s=timeout_s),
            )
            until_s = asyncio.get_running_loop().time() + ENDPOINT_STOP_TIMEOUT_S
            await self._peers.close(until_s=min(self._close_s, until_s))

    def _is_ready(self) -> bool:
        """Whether callers should come here."""
        if self._control is None or self._drain_wanted.is_set():
            return False
        return self._callers.is_accepting and self._control.config.version > 0

    async def _refuse_starting(self, request: Request) -> Response:
        """Answer a caller before this node knows any configuration."""
        refusal = Refusal(
            kind=ErrorKind.CONFIG_STALE,
            detail="the node is starting",
            retry_after_s=START_RETRY_S,
        )
        return self._environment.dialect.build_refusal_response(refusal, "")

    async def _load(self) -> tuple[OwnershipState, ConfigState] | None:
        """Load both streams' state; ``None`` if a drain is wanted before.

        A node that cannot load them does not serve; it says why and tries again.
        """
        loading = asyncio.ensure_future(self._load_states())
        draining = asyncio.ensure_future(self._drain_wanted.wait())
        try:
            await asyncio.wait((loading, draining), return_when=asyncio.FIRST_COMPLETED)
            return loading.result() if loading.done() else None
        finally:
            await _cancel(draining)
            await _cancel(loading)

    async def _load_states(self) -> tuple[OwnershipState, ConfigState]:
        loop = asyncio.get_running_loop()
        while True:
            loaded = await self._environment.load(
                random=self._random, deadline_s=loop.time() + LOAD_ATTEMPT_S
            )
            match loaded:
                case Success(states):
                    return states
                case Failure(failure):
                    self._metrics.count("bootstrap_failures", failure.kind.value)
            await asyncio.sleep(LOAD_PAUSE_S)

    async def _join(self) -> Ending:
        """Take part in ownership and serve callers until the end."""
        states = await self._load()
        if states is None:
            return Ending.DRAINED
        announcement = self._build_announcement()
        sink = self._environment.build_sink()
        control = self._build_control(announcement, sink, *states)
        admission = AdmissionController(
            now=asyncio.get_running_loop().time(), limits=AdmissionLimits()
        )
        gate = AdmissionGate(
            admission=admission,
            metrics=self._metrics,
            ejects_upstream=self._environment.ejects_upstream,
        )
        control.read_limit = lambda: admission.find_rate(
            asyncio.get_running_loop().time()
        )
        engine = self._build_engine(control, gate)
        control.outcomes.exchange = engine.outcomes
        engine.check_evacuation(control.evacuation.find_obstacle)
        control.evacuation.on_end = gate.refuse_waiting
        control.evacuation.on_return = gate.note_return
        self._peers.on_control = control.receive
        self._peers.on_request = engine.serve_peer
        self._peers.loads.read = gate.read_load
        self._peers.loads.on_news = engine.record_load
        keeper = UpstreamKeeper(
            environment=self._environment,
            control=control,
            engine=engine,
            gate=gate,
            sink=sink,
            build_pool=self._build_pool,
            drain_s=self._settings.limits.upstream_drain_s,
            limit=lambda upstream: apply_admission_limits(
                control.config.configuration, gate, upstream, self._settings.limits
            ),
        )
        self._endpoint.parts = self._build_parts(announcement, control, admission, gate)
        works = (
            control.run(),
            keeper.run(),
            self._environment.desk.watch(),
            StallMonitor(metrics=self._metrics).run(),
            follow_limits(control, gate, keeper, self._callers, self._settings.limits),
            *self._environment.follow(control, gate),
        )
        return await self._serve(control, gate, admission, engine, works)

    async def _serve(
        self,
        control: ControlNode,
        gate: AdmissionGate,
        admission: AdmissionController,
        engine: RequestEngine,
        works: tuple[Awaitable[None], ...],
    ) -> Ending:
        async with contextlib.AsyncExitStack() as stack:
            tasks = [asyncio.ensure_future(work) for work in works]
            for task in tasks:
                stack.push_async_callback(_cancel, task)
            self._callers.handler = engine.handle
            self._callers.is_repeatable = engine.is_repeatable
            self._control = control
            self._note_started()
            ending = await self._wait_ending(control, tasks)
            limits = self._settings.limits
            departs = ending is Ending.DRAINED
            plan = plan_shutdown(
                self._drain_s if departs else asyncio.get_running_loop().time(),
                notice_s=limits.drain_notice_s if departs else 0.0,
                drain_s=limits.drain_timeout_s,
            )
            self._close_s = plan.close_at_s
            stop = PlannedStop(
                plan=plan,
                control=control,
                gate=gate,
                admission=admission,
                engine=engine,
                callers=self._callers,
                peers=self._peers,
            )
            if not await stop.run(departs=departs):
                ending = Ending.DRAIN_TIMEOUT
        log_event(LOGGER, Event.DAEMON_STOPPED, reason=ending.value)
        return ending

    async def _wait_ending(
        self, control: ControlNode, tasks: list[asyncio.Future[None]]
    ) -> Ending:
        """Wait for the reason to end.

        The tasks run for ever; one that ended has failed, and a node without it must
        not stay.
        """
        finished = asyncio.ensure_future(control.wait_finished())
        draining = asyncio.ensure_future(self._drain_wanted.wait())
        waiting = (finished, draining)
        try:
            await asyncio.wait((*waiting, *tasks), return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                if task.done():
                    self._note_failed(task)
                    return Ending.FAILED
            if finished.done():
                return Ending.SUPERSEDED
            return Ending.DRAINED
        finally:
            for task in waiting:
                task.cancel()

    def _build_announcement(self) -> Announce:
        return Announce(
            record_id="",
            writer=self._incarnation,
            incarnation=self._incarnation,
            address=PeerAddress(self._settings.listen.peers),
            operator_address=self._settings.listen.operators,
            data_centre=self._settings.node.data_centre,
            region=self._settings.node.region,
            service="",
            upstream="",
            slots=0,
            connections=0,
        )

    def _build_pool(self, upstream: AnnouncedUpstream) -> UpstreamPool:
        host, port = split_address(upstream.address)
        base = self._environment.upstream_limits
        limits = UpstreamLimits(
            connections=upstream.connections, accepts_unframed=base.accepts_unframed
        )
        return UpstreamPool(
            host=host,
            port=port,
            metrics=self._metrics,
            limits=limits,
            name=upstream.instance,
        )

    def _build_control(
        self,
        announcement: Announce,
        sink: GrantSink,
        state: OwnershipState,
        config: ConfigState,
    ) -> ControlNode:
        return ControlNode(
            state=state,
            config=config,
            decoder=self._environment.decoder,
            retention_s=self._environment.retention_s,
            snapshots=self._environment.snapshots,
            announcement=announcement,
            log=self._environment.log,
            sender=self._peers,
            sink=sink,
            plan=functools.partial(plan_placement, limits=self._environment.placement),
            planning_intervals=self._environment.pace,
            tailing=self._environment.tailing,
            lease_s=self._environment.lease_s,
            delivery_s=self._environment.delivery_s,
            evacuation_s=self._environment.evacuation_s,
            metrics=self._metrics,
            random=self._random,
        )

    def _build_engine(self, control: ControlNode, gate: AdmissionGate) -> RequestEngine:
        return RequestEngine(
            incarnation=self._incarnation,
            ownership=control.ownership,
            gate=gate,
            peers=self._peers,
            metrics=self._metrics,
            retry=RetryPolicy(
                count=self._metrics.count,
                rng=self._random,
                budget_ratio=self._environment.retry_share,
            ),
            handover=HandoverBackoff(rng=self._random),
            dialect=self._environment.dialect,
            build_classifier=self._environment.build_classifier,
            quarantine=control.quarantine,
            read_config_age=control.read_config_age,
        )

    def _build_parts(
        self,
        announcement: Announce,
        control: ControlNode,
        admission: AdmissionController,
        gate: AdmissionGate,
    ) -> ServingParts:
        declarer = Appender(
            log=self._environment.log,
            stream=OWNERSHIP_STREAM,
            metrics=self._metrics,
            random=self._random,
        )
        return ServingParts(
            announcement=announcement,
            control=control,
            publisher=self._environment.build_publisher(control, self._incarnation),
            declarer=declarer,
            read_load=lambda: (admission.in_use, admission.queued),
            describe_coldness=gate.cold.describe,
            read_pace=gate.read_pace,
        )

    def _build_server(
        self, address: str, handler: Handler, limits: CallerLimits | None = None
    ) -> CallerServer:
        limits = limits or build_side_limits(self._settings.limits)
        host, port = split_address(address)
        return CallerServer(
            host=host,
            port=port,
            handler=handler,
            metrics=self._metrics,
            limits=limits,
            budget=self._budget,
        )

    def _note_failed(self, task: asyncio.Future[None]) -> None:
        error = task.exception()
        lines = traceback.format_exception(error) if error is not None else []
        log_event(
            LOGGER,
            Event.DAEMON_FAILED,
            level=logging.ERROR,
            error=repr(error),
            traceback="".join(lines),
        )

    def _note_started(self) -> None:
        host, _ = split_address(self._settings.listen.callers)
        log_event(
            LOGGER,
            Event.DAEMON_STARTED,
            incarnation=self._incarnation,
            callers=f"{host}:{self._callers.port}",
            peers=self._settings.listen.peers,
            operators=self._settings.listen.operators,
        )


async def _cancel(task: asyncio.Future[None]) -> None:
    """End a task; one that failed was reported already."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
