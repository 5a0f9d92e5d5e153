"""The task that follows the upstream beside a node through its lives."""

import asyncio
import dataclasses
import functools
import logging
from collections.abc import Callable

from papayatack.control.interface import GrantSink
from papayatack.control.node import ControlNode
from papayatack.daemon.announcement import (
    AnnouncedUpstream,
    UpstreamGone,
    UpstreamInterrupted,
)
from papayatack.daemon.environment import Environment
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.events import Event, log_event
from papayatack.proxy.engine import RequestEngine
from papayatack.proxy.gate import AdmissionGate

__all__ = ["UpstreamKeeper"]

LOGGER = logging.getLogger(__name__)


class UpstreamKeeper:
    """Puts each life of the upstream into service, and takes it out in time.

    A leaving upstream is given no new work, but serves on until its keys have moved or
    ``drain_s`` has passed.

    Args:
        environment: The deployment.
        control: The node's control side.
        engine: Forwards requests to the upstream.
        gate: Admission before it.
        sink: Tells it its grants.
        build_pool: Returns connections to an upstream.
        drain_s: Seconds for which a leaving upstream still gets requests.
        limit: Puts the limits of an upstream in force before it gets requests.

    Attributes:
        current: The upstream in service, ``None`` while there is none.
    """

    def __init__(
        self,
        *,
        environment: Environment,
        control: ControlNode,
        engine: RequestEngine,
        gate: AdmissionGate,
        sink: GrantSink,
        build_pool: Callable[[AnnouncedUpstream], UpstreamPool],
        drain_s: float,
        limit: Callable[[AnnouncedUpstream], object] | None = None,
    ) -> None:
        self.current: AnnouncedUpstream | None = None
        self._granted: AnnouncedUpstream | None = None
        self._environment = environment
        self._control = control
        self._engine = engine
        self._gate = gate
        self._sink = sink
        self._build_pool = build_pool
        self._drain_s = drain_s
        self._limit = limit
        self._cut: asyncio.TimerHandle | None = None

    def limit_connections(self, connections: int) -> None:
        """Open at most so many connections to the upstream."""
        pool = self._sink.pool
        if pool is not None:
            pool.limits = dataclasses.replace(pool.limits, connections=connections)

    async def run(self) -> None:
        """Follow the upstream until cancelled."""
        while True:
            news = await self._environment.desk.wait_changed()
            if self._cut is not None:
                self._cut.cancel()
                self._cut = None
            if isinstance(news, UpstreamGone):
                self._take_out(news)
            elif isinstance(news, UpstreamInterrupted):
                self._grant_again()
            elif news.leaving:
                self._start_leaving(news)
            else:
                self._put_in(news)

    def _put_in(self, upstream: AnnouncedUpstream) -> None:
        """Serve through an upstream that has started, or that has changed."""
        current = self.current
        restarted = (
            current is None
            or current.instance != upstream.instance
            or current.address != upstream.address
        )
        self.current = upstream
        if restarted:
            self._connect(upstream)
        self._control.attach_upstream(
            service=upstream.service,
            upstream=upstream.address,
            slots=upstream.slots,
            connections=upstream.connections,
        )
        log_event(
            LOGGER,
            Event.UPSTREAM_ANNOUNCED,
            service=upstream.service,
            address=upstream.address,
            upstream=upstream.instance,
            slots=upstream.slots,
        )

    def _connect(self, upstream: AnnouncedUpstream) -> None:
        self._retire_pool(has_ended=True)
        if self._limit is not None:
            self._limit(upstream)
        self._gate.restart()
        last, self._granted = self._granted, upstream
        if last is not None:
            is_reborn = last.instance != upstream.instance
            is_certain = is_reborn and last.address == upstream.address
            self._sink.forget(is_certain=is_certain)
        pool = self._build_pool(upstream)
        pool.on_unreachable = self._environment.desk.suspect
        self._environment.note_upstream(upstream)
        self._sink.pool = pool
        self._engine.upstream = pool
        self._engine.notify_leaving(
            functools.partial(self._environment.desk.note_leaving, upstream.instance)
        )
        self._control.handle_upstream_restart()

    def _grant_again(self) -> None:
        """Grant all shards anew to an upstream that may have restarted in its place."""
        if self.current is None:
            return
        self._sink.restart()
        self._control.handle_upstream_restart()
        log_event(LOGGER, Event.UPSTREAM_INTERRUPTED, upstream=self.current.instance)

    def _start_leaving(self, upstream: AnnouncedUpstream) -> None:
        if self._sink.pool is not None:
            self._sink.pool.is_leaving = True
        self._control.attach_upstream(service="")
        self._control.evacuate_shards()
        loop = asyncio.get_running_loop()
        self._cut = loop.call_later(self._drain_s, self._stop_sending)
        log_event(
            LOGGER, Event.UPSTREAM_LEFT, upstream=upstream.instance, reason="draining"
        )

    def _stop_sending(self) -> None:
        """Send no more requests; its grants are still released."""
        self._engine.upstream = None

    def _take_out(self, news: UpstreamGone) -> None:
        """Forget an upstream that has gone."""
        self.current = None
        self._retire_pool(has_ended=news.is_certain)
        if news.is_certain and self._granted is not None:
            self._granted = None
            self._sink.forget()
        self._control.attach_upstream(service="")
        self._control.evacuate_shards()

    def _retire_pool(self, *, has_ended: bool) -> None:
        """Send nothing more; answers that are still to come are waited for.

        Args:
            has_ended: Whether the upstream's process is known to have ended.
        """
        self._engine.upstream = None
        pool, self._sink.pool = self._sink.pool, None
        if pool is None:
            return
        if has_ended:
            self._engine.crashes.note_end(pool)
        pool.retire()
