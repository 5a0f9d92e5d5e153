"""Heartbeats and deregistration of the local upstream."""

import asyncio
import contextlib
import dataclasses
import http
import logging
import re
from collections.abc import Callable
from typing import Annotated, Literal

import h11
import pydantic
from pydantic.alias_generators import to_pascal

from papayatack.daemon.announcement import AnnouncedUpstream, UpstreamGone
from papayatack.daemon.replies import read_json, reply_json
from papayatack.logservice.calls import HttpCall, HttpClient, ResponseError
from papayatack.network.exchanges import Request, Response, find_header
from papayatack.network.probes import ProbeResult, probe
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.platform.addresses import Address
from papayatack.platform.fields import INSTANCE, LOAD
from papayatack.platform.times import Duration

__all__ = ["HeartbeatReceiver"]

LOGGER = logging.getLogger(__name__)

MAX_SLOTS = 100_000
SLOTS_FIELD = 2
"""Position of the slots in a reported load."""
UNLIMITED_CONNECTIONS = 1_000_000
"""Heartbeats do not contain the upstream's connection limit."""

HEARTBEAT_TIMEOUT_INTERVALS = 1.7
PROBE_TIMEOUT_S = 0.3
PROBE_ATTEMPTS = 2
PROBE_INTERVAL_S = 0.05
HEALTH_PATH_POLL_S = 0.02
HEALTH_PATH_POLLS = 40
WATCH_INTERVAL_S = 0.25
_CALL_PATH = re.compile(rb"/instances/([^/?]{1,200})/(heartbeat|deregister)")


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(alias_generator=to_pascal, frozen=True)


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


class HeartbeatReceiver:
    """Receives the heartbeats of the local upstream.

    Args:
        metrics: Counts ``heartbeats`` by result.
        interval_s: Expected interval between heartbeats.
        service: Service of the local upstream.
        address: Address of the local upstream.
        find_health_path: Returns the path of its health check, empty while unknown.
    """

    def __init__(
        self,
        *,
        metrics: Metrics,
        interval_s: float,
        service: str,
        address: str,
        find_health_path: Callable[[], str],
    ) -> None:
        self._find_health_path = find_health_path
        self._metrics = metrics
        self._service = service
        self._address = address
        self._heartbeat_timeout_s = interval_s * HEARTBEAT_TIMEOUT_INTERVALS
        self._updates: asyncio.Queue[AnnouncedUpstream | UpstreamGone] = asyncio.Queue()
        self._suspected = asyncio.Event()
        self._latest: AnnouncedUpstream | None = None
        self._sequences: dict[str, int] = {}
        self._ended_instances: set[str] = set()
        self._last_seen_s = 0.0
        self._restart_suspected = False

    async def wait_changed(self) -> AnnouncedUpstream | UpstreamGone:
        """Wait for the next change of the upstream's state."""
        return await self._updates.get()

    def suspect(self) -> None:
        """Have the upstream probed at once, since it accepts no connections."""
        self._suspected.set()

    def note_leaving(self, instance: str) -> None:
        """Record that an upstream is leaving; it still serves for a while."""
        latest = self._latest
        self._ended_instances.add(instance)
        if latest is not None and latest.instance == instance and not latest.leaving:
            self._latest = dataclasses.replace(latest, leaving=True)
            self._updates.put_nowait(self._latest)

    async def handle(self, request: Request) -> Response:
        """Handle one call of the upstream."""
        found = _CALL_PATH.fullmatch(request.target.partition(b"?")[0])
        if request.method != b"POST" or found is None:
            return reply_json(http.HTTPStatus.NOT_FOUND, {"Error": "no such call"})
        instance = found[1].decode("latin-1")
        if found[2] == b"deregister":
            return self._handle_deregistration(instance)
        try:
            heartbeat = _Heartbeat.model_validate(await read_json(request))
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
        return reply_json(http.HTTPStatus.OK, {})

    async def watch(self) -> None:
        """Detect an upstream that stopped without deregistering, until cancelled.

        An upstream that already runs when this node starts is identified by its health
        check, so that it can be used before its next heartbeat.
        """
        await self._discover_running()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WATCH_INTERVAL_S):
                    await self._suspected.wait()
            is_suspected = self._suspected.is_set()
            self._suspected.clear()
            if self._restart_suspected:
                self._restart_suspected = False
                await self._discover_running()
            latest = self._latest
            now = asyncio.get_running_loop().time()
            is_late = now - self._last_seen_s >= self._heartbeat_timeout_s
            if latest is None or not (is_late or is_suspected):
                continue
            result = await _probe_repeatedly(latest.address)
            self._suspected.clear()
            if result is ProbeResult.LISTENING:
                self._last_seen_s = now
            elif self._latest is latest:
                self._report_gone(latest, result)

    async def _discover_running(self) -> None:
        path = await self._wait_health_path()
        if not path or not self._address or self._latest is not None:
            return
        ended_before = frozenset(self._ended_instances)
        host, _, port = self._address.rpartition(":")
        caller = HttpClient(host=host, port=int(port))
        call = HttpCall(method="GET", target=path)
        try:
            status, _, headers = await caller.call_with_headers(
                call, timeout_s=PROBE_TIMEOUT_S
            )
        except (OSError, h11.ProtocolError, ResponseError):
            return
        finally:
            await caller.close()
        instance = (find_header(headers, INSTANCE) or b"").decode("latin-1")
        slots = _read_slots(find_header(headers, LOAD) or b"")
        known = (
            self._latest is not None or instance in self._ended_instances - ended_before
        )
        if status != http.HTTPStatus.OK or not instance or not slots or known:
            return
        self._last_seen_s = asyncio.get_running_loop().time()
        self._ended_instances.discard(instance)
        self._sequences.clear()
        self._latest = AnnouncedUpstream(
            service=self._service,
            address=self._address,
            slots=slots,
            connections=UNLIMITED_CONNECTIONS,
            instance=instance,
        )
        self._updates.put_nowait(self._latest)

    async def _wait_health_path(self) -> str:
        """Wait for the manifest and return the path of the upstream's health check.

        Returns an empty path if the manifest does not arrive in time.
        """
        for _ in range(HEALTH_PATH_POLLS):
            path = self._find_health_path()
            if path:
                return path
            await asyncio.sleep(HEALTH_PATH_POLL_S)
        return ""

    def _handle_heartbeat(self, instance: str, heartbeat: _Heartbeat) -> None:
        """Process a heartbeat unless it is out of order.

        A heartbeat that seems out of order may come from an upstream that restarted
        with the same id. If no upstream is known to run, the health check at the
        address is queried for its id.
        """
        status = heartbeat.status
        known = self._sequences.get(instance)
        late = known is not None and status.seq <= known
        if late or instance in self._ended_instances:
            self._metrics.count("heartbeats", "late")
            if self._latest is None:
                self._restart_suspected = True
                self._suspected.set()
            return
        self._metrics.count("heartbeats", "taken")
        self._sequences = {instance: status.seq}
        self._last_seen_s = asyncio.get_running_loop().time()
        upstream = AnnouncedUpstream(
            service=heartbeat.info.service,
            address=heartbeat.address,
            slots=heartbeat.info.capacity_slots,
            connections=UNLIMITED_CONNECTIONS,
            instance=instance,
            leaving=status.state == "draining",
        )
        if upstream != self._latest:
            if self._latest is not None and self._latest.instance != instance:
                self._ended_instances.add(self._latest.instance)
            self._latest = upstream
            self._updates.put_nowait(upstream)

    def _handle_deregistration(self, instance: str) -> Response:
        """Record the deregistration of an upstream."""
        self._metrics.count("heartbeats", "leave")
        self.note_leaving(instance)
        return reply_json(http.HTTPStatus.OK, {})

    def _report_gone(self, upstream: AnnouncedUpstream, result: ProbeResult) -> None:
        self._latest = None
        reason = result.value
        log_event(
            LOGGER, Event.UPSTREAM_LEFT, upstream=upstream.instance, reason=reason
        )
        is_certain = result is ProbeResult.CLOSED
        self._updates.put_nowait(UpstreamGone(is_certain=is_certain))


def _read_slots(load: bytes) -> int:
    """Return the number of slots in a reported load, 0 if it is malformed.

    A load has the numbers of running and waiting requests, the slots, and in some
    installations the present speed of the machine.
    """
    fields = load.split(b",")
    if len(fields) <= SLOTS_FIELD or not fields[SLOTS_FIELD].isdigit():
        return 0
    slots = int(fields[SLOTS_FIELD])
    return slots if slots <= MAX_SLOTS else 0


async def _probe_repeatedly(address: str) -> ProbeResult:
    """Probe the address, and probe it again before reporting a failure."""
    found = ProbeResult.UNRESPONSIVE
    for _ in range(PROBE_ATTEMPTS):
        found = await probe(address)
        if found is ProbeResult.LISTENING:
            break
        await asyncio.sleep(PROBE_INTERVAL_S)
    return found
