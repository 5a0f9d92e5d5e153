"""Assembly of one node: sockets, control tasks and the request path."""

import asyncio
import contextlib
import enum
import logging
import random
import traceback
import uuid

from returns.result import Failure, Success

from papayatack.control.loading import load_streams
from papayatack.control.node import ControlNode
from papayatack.core.admission import Admission
from papayatack.core.config_fold import ConfigFold
from papayatack.core.handover import HandoverWait
from papayatack.core.identity import IncarnationId, PeerAddress
from papayatack.core.ownership import OwnershipState
from papayatack.core.placement import plan
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM, Announce
from papayatack.core.retry import RetryPolicy
from papayatack.daemon.announcement import AnnouncedUpstream, AnnouncementDesk
from papayatack.daemon.health import follow_health
from papayatack.daemon.limits import (
    build_caller_limits,
    find_admission_limits,
    follow_limits,
)
from papayatack.daemon.operators import OperatorEndpoint, ServingParts
from papayatack.daemon.publication import Publisher
from papayatack.daemon.settings import LimitSettings, Settings
from papayatack.logservice.appender import Appender
from papayatack.logservice.http import HttpLogService
from papayatack.network.caller_connection import Handler
from papayatack.network.callers import CallerServer
from papayatack.network.grants import GrantClient
from papayatack.network.limits import UpstreamLimits
from papayatack.network.peers import PeerNetwork
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.proxy.engine import RequestEngine
from papayatack.proxy.gate import AdmissionGate

__all__ = ["Ending", "Node"]

LOGGER = logging.getLogger(__name__)

HANDOVER_CHECK_S = 0.02
HANDOVER_CHECKS = 100
ENDPOINT_STOP_TIMEOUT_S = 1.0
LOAD_ATTEMPT_S = 30.0
LOAD_PAUSE_S = 1.0


class Ending(enum.Enum):
    """Why a node ended."""

    DRAINED = "drained"
    DRAIN_TIMEOUT = "drain-timeout"
    FAILED = "failed"
    SUPERSEDED = "superseded"
    UPSTREAM_RESTARTED = "upstream-restarted"


class Node:
    """One incarnation of the daemon.

    Args:
        settings: The validated settings.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._metrics = Metrics()
        self._random = random.Random()
        self._incarnation = IncarnationId(
            f"{settings.listen.peers}#{uuid.uuid4().hex[:12]}"
        )
        log_host, log_port = _split_address(settings.log.address)
        self._log = HttpLogService(host=log_host, port=log_port)
        peers_host, peers_port = _split_address(settings.listen.peers)
        self._peers = PeerNetwork(
            incarnation=self._incarnation,
            host=peers_host,
            port=peers_port,
            metrics=self._metrics,
            rng=self._random,
        )
        self._desk = AnnouncementDesk(metrics=self._metrics)
        self._drain_wanted = asyncio.Event()
        self._endpoint = OperatorEndpoint(
            metrics=self._metrics, start_drain=self._drain_wanted.set
        )
        self._desk_server = self._build_server(
            settings.listen.upstream, self._desk.handle
        )
        self._endpoint_server = self._build_server(
            settings.listen.operators, self._endpoint.handle
        )

    def start_drain(self) -> None:
        """Begin the graceful shutdown."""
        self._drain_wanted.set()

    async def run(self) -> Ending:
        """Run until drained, superseded, or without the upstream's memory."""
        await self._peers.start()
        await self._endpoint_server.start()
        await self._desk_server.start()
        try:
            return await self._run_announced()
        finally:
            await self._desk_server.stop(timeout_s=ENDPOINT_STOP_TIMEOUT_S)
            await self._endpoint_server.stop(timeout_s=ENDPOINT_STOP_TIMEOUT_S)
            await self._peers.stop()

    async def _run_announced(self) -> Ending:
        announced = asyncio.ensure_future(self._desk.wait_changed())
        draining = asyncio.ensure_future(self._drain_wanted.wait())
        await asyncio.wait((announced, draining), return_when=asyncio.FIRST_COMPLETED)
        draining.cancel()
        if not announced.done():
            announced.cancel()
            return Ending.DRAINED
        upstream = announced.result()
        log_event(
            LOGGER,
            Event.UPSTREAM_ANNOUNCED,
            service=upstream.service,
            address=upstream.address,
        )
        return await self._serve(upstream)

    async def _load(self) -> tuple[OwnershipState, ConfigFold] | None:
        """Load both streams' state; ``None`` if a drain is wanted before.

        A node that cannot load them does not serve; it says why and tries again.
        """
        loop = asyncio.get_running_loop()
        while not self._drain_wanted.is_set():
            loaded = await load_streams(
                log=self._log,
                metrics=self._metrics,
                random=self._random,
                deadline_s=loop.time() + LOAD_ATTEMPT_S,
            )
            match loaded:
                case Success(states):
                    return states
                case Failure(failure):
                    self._metrics.count("bootstrap_failures", failure.kind.value)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOAD_PAUSE_S):
                    await self._drain_wanted.wait()
        return None

    async def _serve(self, upstream: AnnouncedUpstream) -> Ending:
        """Take part in ownership and serve callers until the end."""
        states = await self._load()
        if states is None:
            return Ending.DRAINED
        announcement = self._build_announcement(upstream)
        pool = self._build_pool(upstream)
        control = self._build_control(announcement, pool, *states)
        admission = Admission(
            now=asyncio.get_running_loop().time(),
            limits=find_admission_limits(control.config.configuration, upstream),
        )
        gate = AdmissionGate(admission=admission, metrics=self._metrics)
        engine = self._build_engine(control, gate)
        engine.upstream = pool
        control.outcomes.exchange = engine.outcomes
        self._peers.on_control = control.receive
        self._peers.on_request = engine.serve_peer
        self._endpoint.parts = self._build_parts(announcement, control, admission)
        callers = self._build_server(
            self._settings.listen.callers, engine.handle, self._settings.limits
        )
        async with contextlib.AsyncExitStack() as stack:
            works = (
                control.run(),
                follow_limits(control, gate, upstream),
                follow_health(GrantClient(pool=pool), gate),
            )
            tasks = [asyncio.ensure_future(work) for work in works]
            for task in tasks:
                stack.push_async_callback(_cancel, task)
            await callers.start()
            self._note_started(callers.port)
            ending = await self._wait_ending(control, tasks)
            timeout_s = self._settings.limits.drain_timeout_s
            await callers.stop(timeout_s=timeout_s)
            gate.close()
            await _wait_handed_over(control)
        log_event(LOGGER, Event.DAEMON_STOPPED, reason=ending.value)
        return ending

    async def _wait_ending(
        self, control: ControlNode, tasks: list[asyncio.Future[None]]
    ) -> Ending:
        """Wait for the reason to end, and hand the shards on if there is time.

        The tasks run for ever; one that ended has failed, and a node without it must
        not stay.
        """
        finished = asyncio.ensure_future(control.wait_finished())
        draining = asyncio.ensure_future(self._drain_wanted.wait())
        restarted = asyncio.ensure_future(self._desk.wait_changed())
        waiting = (finished, draining, restarted)
        try:
            await asyncio.wait((*waiting, *tasks), return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                if task.done():
                    self._note_failed(task)
                    return Ending.FAILED
            if finished.done():
                return Ending.SUPERSEDED
            ending = Ending.DRAINED if draining.done() else Ending.UPSTREAM_RESTARTED
            control.start_departure()
            timeout_s = self._settings.limits.drain_timeout_s
            await asyncio.wait((finished,), timeout=timeout_s)
            return ending if finished.done() else Ending.DRAIN_TIMEOUT
        finally:
            for task in waiting:
                task.cancel()

    def _build_announcement(self, upstream: AnnouncedUpstream) -> Announce:
        return Announce(
            record_id="",
            writer=self._incarnation,
            incarnation=self._incarnation,
            address=PeerAddress(self._settings.listen.peers),
            operator_address=self._settings.listen.operators,
            data_centre=self._settings.node.data_centre,
            region=self._settings.node.region,
            service=upstream.service,
            upstream=upstream.address,
            slots=upstream.slots,
            connections=upstream.connections,
        )

    def _build_pool(self, upstream: AnnouncedUpstream) -> UpstreamPool:
        host, port = _split_address(upstream.address)
        return UpstreamPool(
            host=host,
            port=port,
            metrics=self._metrics,
            limits=UpstreamLimits(connections=upstream.connections),
        )

    def _build_control(
        self,
        announcement: Announce,
        pool: UpstreamPool,
        state: OwnershipState,
        config: ConfigFold,
    ) -> ControlNode:
        return ControlNode(
            state=state,
            config=config,
            retention_s=self._settings.log.retention_s,
            announcement=announcement,
            log=self._log,
            sender=self._peers,
            sink=GrantClient(pool=pool),
            plan=plan,
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
            retry=RetryPolicy(count=self._metrics.count, rng=self._random),
            handover=HandoverWait(rng=self._random),
        )

    def _build_parts(
        self, announcement: Announce, control: ControlNode, admission: Admission
    ) -> ServingParts:
        publisher = Publisher(
            config=control.config,
            appender=self._build_appender(CONFIG_STREAM),
            writer=self._incarnation,
        )
        return ServingParts(
            announcement=announcement,
            control=control,
            publisher=publisher,
            declarer=self._build_appender(OWNERSHIP_STREAM),
            read_load=lambda: (admission.in_use, admission.queued),
        )

    def _build_appender(self, stream: str) -> Appender:
        return Appender(
            log=self._log, stream=stream, metrics=self._metrics, random=self._random
        )

    def _build_server(
        self, address: str, handler: Handler, limits: LimitSettings | None = None
    ) -> CallerServer:
        host, port = _split_address(address)
        return CallerServer(
            host=host,
            port=port,
            handler=handler,
            metrics=self._metrics,
            limits=build_caller_limits(limits) if limits else None,
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

    def _note_started(self, callers_port: int) -> None:
        host, _ = _split_address(self._settings.listen.callers)
        log_event(
            LOGGER,
            Event.DAEMON_STARTED,
            incarnation=self._incarnation,
            callers=f"{host}:{callers_port}",
            peers=self._settings.listen.peers,
            operators=self._settings.listen.operators,
        )


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def _wait_handed_over(control: ControlNode) -> None:
    """Stay until the outcomes of keyed requests are asked for, but not for long."""
    loop = asyncio.get_running_loop()
    for _ in range(HANDOVER_CHECKS):
        if not control.outcomes.has_left(loop.time()):
            return
        await asyncio.sleep(HANDOVER_CHECK_S)


async def _cancel(task: asyncio.Future[None]) -> None:
    """End a task; one that failed was reported already."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
