"""Heartbeats and deregistration of the local upstream."""

import asyncio
import contextlib
import http
import logging
import re
from collections.abc import Awaitable, Callable
from typing import Annotated, Literal

import pydantic
from pydantic.alias_generators import to_pascal

from papayatack.daemon.announcement import (
    AnnouncedUpstream,
    UpstreamGone,
    UpstreamInterrupted,
    UpstreamNews,
)
from papayatack.daemon.replies import read_json, reply_json
from papayatack.network.exchanges import Request, Response
from papayatack.network.probes import ProbeResult, probe
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.platform.addresses import Address
from papayatack.platform.health_check import check_health
from papayatack.platform.lifetimes import (
    Identity,
    Lifetime,
    Lifetimes,
    ReportResult,
)
from papayatack.platform.times import Duration

__all__ = ["HeartbeatReceiver"]

LOGGER = logging.getLogger(__name__)

MAX_SLOTS = 100_000
MAX_HEARTBEAT_BYTES = 16 * 1024
UNLIMITED_CONNECTIONS = 1_000_000
"""Heartbeats do not contain the upstream's connection limit."""

HEARTBEAT_TIMEOUT_INTERVALS = 1.7
PROBE_ATTEMPTS = 2
PROBE_INTERVAL_S = 0.05
WATCH_INTERVAL_S = 0.25
_CALL_PATH = re.compile(rb"/instances/([^/?]{1,200})/(heartbeat|deregister)")


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        alias_generator=to_pascal, frozen=True, strict=True
    )


class _Info(_Model):
    service: Annotated[str, pydantic.StringConstraints(min_length=1, max_length=200)]
    capacity_slots: Annotated[int, pydantic.Field(ge=1, le=MAX_SLOTS)]


class _Status(_Model):
    state: Literal["ready", "draining"]
    seq: int
    cold_remaining: Duration = 0.0


class _Heartbeat(_Model):
    address: Address
    info: _Info
    status: _Status
    born: Annotated[int, pydantic.Field(alias="born", ge=0)] = 0


class HeartbeatReceiver:
    """Receives the heartbeats of the local upstream.

    Args:
        metrics: Counts ``heartbeats`` by result.
        interval_s: Expected interval between heartbeats.
        service: Service of the local upstream.
        address: Address of the local upstream.
        find_health_path: Returns the path of its health check, empty while unknown.
        check: Asks the health check at an address and path.

    Attributes:
        on_report: Called with the seconds for which the running upstream says in a
            heartbeat that it stays cold.
        on_suspicion: Called when the upstream does not accept a connection.
    """

    def __init__(
        self,
        *,
        metrics: Metrics,
        interval_s: float,
        service: str,
        address: str,
        find_health_path: Callable[[], str],
        check: Callable[[str, str], Awaitable[Identity | None]] = check_health,
    ) -> None:
        self.on_report: Callable[[float], None] | None = None
        self.on_suspicion: Callable[[], None] | None = None
        self._find_health_path = find_health_path
        self._check = check
        self._metrics = metrics
        self._heartbeat_timeout_s = interval_s * HEARTBEAT_TIMEOUT_INTERVALS
        self._updates: asyncio.Queue[UpstreamNews] = asyncio.Queue()
        self._wakeup = asyncio.Event()
        self._is_suspected = False
        self._lifetimes = Lifetimes(
            service=service,
            address=address,
            report_timeout_s=self._heartbeat_timeout_s,
        )
        self._published: Lifetime | None = None

    @property
    def running(self) -> Lifetime | None:
        """The lifetime in service, ``None`` while none is known."""
        return self._lifetimes.running

    def note_manifest(self) -> None:
        """Look for the path of the health check in a new manifest."""
        self._wakeup.set()

    async def wait_changed(self) -> UpstreamNews:
        """Wait for the next change of the upstream's state."""
        return await self._updates.get()

    def suspect(self) -> None:
        """Have the upstream probed at once, since it accepts no connections."""
        self._is_suspected = True
        self._wakeup.set()
        if self.on_suspicion is not None:
            self.on_suspicion()

    def note_replaced(self) -> None:
        """Have the health check asked at once, since another upstream has answered."""
        self._lifetimes.doubt_running()
        self._wakeup.set()

    def note_interruption(self) -> bool:
        """Record that all connections to the upstream were lost.

        Returns:
            Whether it may have restarted with its id, which is announced then.
        """
        may_have_restarted = self._lifetimes.note_interruption()
        if may_have_restarted:
            self._updates.put_nowait(UpstreamInterrupted())
        return may_have_restarted

    def note_leaving(self, instance: str) -> None:
        """Record that an upstream is leaving; it still serves for a while."""
        self._lifetimes.note_departure(instance, _read_clock())
        self._publish()

    async def handle(self, request: Request) -> Response:
        """Handle one call of the upstream.

        A report that it leaves is acknowledged only if that is in force: no request is
        sent to it after the acknowledgement and the time for it to drain.
        """
        found = _CALL_PATH.fullmatch(request.target.partition(b"?")[0])
        if request.method != b"POST" or found is None:
            return reply_json(http.HTTPStatus.NOT_FOUND, {"Error": "no such call"})
        instance = found[1].decode("latin-1")
        if found[2] == b"deregister":
            self._metrics.count("heartbeats", "leave")
            self.note_leaving(instance)
            return reply_json(http.HTTPStatus.OK, {})
        try:
            document = await read_json(request, max_bytes=MAX_HEARTBEAT_BYTES)
            heartbeat = _Heartbeat.model_validate(document)
        except ValueError as error:
            self._metrics.count("heartbeats", "invalid")
            log_event(
                LOGGER,
                Event.HEARTBEAT_REFUSED,
                level=logging.WARNING,
                upstream=instance,
                detail=str(error)[:300],
            )
            return reply_json(http.HTTPStatus.BAD_REQUEST, {"Error": str(error)[:300]})
        self._handle_heartbeat(instance, heartbeat)
        running = self._lifetimes.running
        is_running = running is not None and running.instance == instance
        if heartbeat.status.state == "draining" and is_running and not running.leaving:
            return reply_json(http.HTTPStatus.CONFLICT, {"Error": "an older report"})
        return reply_json(http.HTTPStatus.OK, {})

    def _handle_heartbeat(self, instance: str, heartbeat: _Heartbeat) -> None:
        lifetime = Lifetime(
            instance=instance,
            service=heartbeat.info.service,
            address=heartbeat.address,
            slots=heartbeat.info.capacity_slots,
            leaving=heartbeat.status.state == "draining",
            born_ms=heartbeat.born,
        )
        result = self._lifetimes.note_report(
            lifetime, heartbeat.status.seq, _read_clock()
        )
        self._metrics.count("heartbeats", result.value)
        if result is not ReportResult.TAKEN:
            self._wakeup.set()
        elif self.on_report is not None:
            self.on_report(heartbeat.status.cold_remaining)
        # A later life with the same id may hold what was meant for the one before.
        self._publish(is_end_certain=False)

    async def watch(self) -> None:
        """Identify the running upstream, and detect its end, until cancelled.

        An upstream that already runs when this node starts is identified by its health
        check, so that it can be used before its next heartbeat.
        """
        while True:
            await self._identify()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WATCH_INTERVAL_S):
                    await self._wakeup.wait()
            self._wakeup.clear()
            await self._check_listening()

    async def _identify(self) -> None:
        """Ask the health check which lifetime runs, if that is in doubt."""
        path = self._find_health_path()
        address = self._lifetimes.find_address_to_check(_read_clock())
        if not path or not address:
            return
        identity = await self._check(address, path)
        self._lifetimes.note_identity(identity, address=address, now=_read_clock())
        self._publish()

    async def _check_listening(self) -> None:
        """Probe the upstream if it is suspected or its heartbeat is late."""
        running = self._lifetimes.running
        is_late = _read_clock() - self._lifetimes.heard_s >= self._heartbeat_timeout_s
        is_suspected, self._is_suspected = self._is_suspected, False
        if running is None or not (is_late or is_suspected):
            return
        result = await _probe_repeatedly(running.address)
        self._is_suspected = False
        if result is ProbeResult.LISTENING:
            self._lifetimes.note_listening(_read_clock())
        elif self._lifetimes.running == running:
            self._report_gone(running, result)

    def _report_gone(self, upstream: Lifetime, result: ProbeResult) -> None:
        log_event(
            LOGGER, Event.UPSTREAM_LEFT, upstream=upstream.instance, reason=result.value
        )
        self._lifetimes.note_end()
        self._publish(is_end_certain=result is ProbeResult.CLOSED)

    def _publish(self, *, is_end_certain: bool = True) -> None:
        """Announce the running lifetime if it has changed.

        Args:
            is_end_certain: Whether the last one has ended if none runs now.
        """
        running = self._lifetimes.running
        if running == self._published:
            return
        self._published = running
        if running is None:
            self._updates.put_nowait(UpstreamGone(is_certain=is_end_certain))
            return
        upstream = AnnouncedUpstream(
            service=running.service,
            address=running.address,
            slots=running.slots,
            connections=UNLIMITED_CONNECTIONS,
            instance=running.instance,
            leaving=running.leaving,
        )
        self._updates.put_nowait(upstream)


def _read_clock() -> float:
    return asyncio.get_running_loop().time()


async def _probe_repeatedly(address: str) -> ProbeResult:
    """Probe the address, and probe it again before reporting a failure."""
    found = ProbeResult.UNRESPONSIVE
    for _ in range(PROBE_ATTEMPTS):
        found = await probe(address)
        if found is ProbeResult.LISTENING:
            break
        await asyncio.sleep(PROBE_INTERVAL_S)
    return found
