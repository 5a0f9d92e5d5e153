"""How the upstream beside a node reports that it lives, drains and leaves."""

import asyncio
import contextlib
import dataclasses
import enum
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
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.platform.fields import INSTANCE, LOAD
from papayatack.platform.times import Duration

__all__ = ["HeartbeatDesk"]

LOGGER = logging.getLogger(__name__)

MAX_SLOTS = 100_000
ANY_CONNECTIONS = 1_000_000
"""A heartbeat does not tell how many connections the upstream accepts."""

MISSED_BEATS = 1.7
PROBE_TIMEOUT_S = 0.3
PROBES = 2
PROBE_PAUSE_S = 0.05
PATH_CHECK_S = 0.02
PATH_CHECKS = 40
CHECK_INTERVAL_S = 0.25
_TARGET = re.compile(rb"/instances/([^/?]{1,200})/(heartbeat|deregister)")


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
    address: str
    info: _Info
    status: _Status


class HeartbeatDesk:
    """Takes the heartbeats of the upstream beside this node.

    Args:
        metrics: Counts ``heartbeats`` by result.
        interval_s: Usual time between two heartbeats.
        service: Service of the upstream beside this node.
        address: Its address.
        find_health_path: Returns where it says how it is, empty while not known.
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
        self._patience_s = interval_s * MISSED_BEATS
        self._changed: asyncio.Queue[AnnouncedUpstream | UpstreamGone] = asyncio.Queue()
        self._suspected = asyncio.Event()
        self._latest: AnnouncedUpstream | None = None
        self._sequences: dict[str, int] = {}
        self._gone: set[str] = set()
        self._heard_s = 0.0
        self._may_be_back = False

    async def wait_changed(self) -> AnnouncedUpstream | UpstreamGone:
        """Wait for news that differ from those before."""
        return await self._changed.get()

    def suspect(self) -> None:
        """Take in that the upstream accepts no connections."""
        self._suspected.set()

    async def handle(self, request: Request) -> Response:
        """Answer one call of the upstream."""
        found = _TARGET.fullmatch(request.target.partition(b"?")[0])
        if request.method != b"POST" or found is None:
            return reply_json(http.HTTPStatus.NOT_FOUND, {"Error": "no such call"})
        instance = found[1].decode("latin-1")
        if found[2] == b"deregister":
            return self._take_leave(instance)
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
        self._take(instance, heartbeat)
        return reply_json(http.HTTPStatus.OK, {})

    async def watch(self) -> None:
        """Notice an upstream that has stopped without a word, until cancelled.

        One that runs already when this node starts is asked who it is, so that it need
        not wait for its next heartbeat.
        """
        await self._find_running()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._suspected.wait()
            is_suspected = self._suspected.is_set()
            self._suspected.clear()
            if self._may_be_back:
                self._may_be_back = False
                await self._find_running()
            latest = self._latest
            now = asyncio.get_running_loop().time()
            is_late = now - self._heard_s >= self._patience_s
            if latest is None or not (is_late or is_suspected):
                continue
            presence = await _find_presence(latest.address)
            self._suspected.clear()
            if presence is _Presence.LISTENING:
                self._heard_s = now
            elif self._latest is latest:
                self._forget(latest, presence)

    async def _find_running(self) -> None:
        path = await self._wait_health_path()
        if not path or not self._address or self._latest is not None:
            return
        gone_before = frozenset(self._gone)
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
        slots = (find_header(headers, LOAD) or b"").split(b",")[-1]
        known = self._latest is not None or instance in self._gone - gone_before
        if status != http.HTTPStatus.OK or not instance or not slots.isdigit() or known:
            return
        self._heard_s = asyncio.get_running_loop().time()
        self._gone.discard(instance)
        self._sequences.clear()
        self._latest = AnnouncedUpstream(
            service=self._service,
            address=self._address,
            slots=int(slots),
            connections=ANY_CONNECTIONS,
            instance=instance,
        )
        self._changed.put_nowait(self._latest)

    async def _wait_health_path(self) -> str:
        """Return where the upstream says how it is, once the manifest is known."""
        for _ in range(PATH_CHECKS):
            path = self._find_health_path()
            if path:
                return path
            await asyncio.sleep(PATH_CHECK_S)
        return ""

    def _take(self, instance: str, heartbeat: _Heartbeat) -> None:
        """Take in a heartbeat that is not late.

        One that seems late may come from an upstream that was started again under its
        id: if none is known to run, the one at the address is asked who it is.
        """
        status = heartbeat.status
        known = self._sequences.get(instance)
        late = known is not None and status.seq <= known
        if late or instance in self._gone:
            self._metrics.count("heartbeats", "late")
            if self._latest is None:
                self._may_be_back = True
                self._suspected.set()
            return
        self._metrics.count("heartbeats", "taken")
        self._sequences = {instance: status.seq}
        self._heard_s = asyncio.get_running_loop().time()
        upstream = AnnouncedUpstream(
            service=heartbeat.info.service,
            address=heartbeat.address,
            slots=heartbeat.info.capacity_slots,
            connections=ANY_CONNECTIONS,
            instance=instance,
            leaving=status.state == "draining",
        )
        if upstream != self._latest:
            if self._latest is not None and self._latest.instance != instance:
                self._gone.add(self._latest.instance)
            self._latest = upstream
            self._changed.put_nowait(upstream)

    def _take_leave(self, instance: str) -> Response:
        """Take in that an upstream leaves; it still serves for a while."""
        self._metrics.count("heartbeats", "leave")
        latest = self._latest
        self._gone.add(instance)
        if latest is not None and latest.instance == instance and not latest.leaving:
            self._latest = dataclasses.replace(latest, leaving=True)
            self._changed.put_nowait(self._latest)
        return reply_json(http.HTTPStatus.OK, {})

    def _forget(self, upstream: AnnouncedUpstream, presence: "_Presence") -> None:
        self._latest = None
        reason = presence.value
        log_event(
            LOGGER, Event.UPSTREAM_LEFT, upstream=upstream.instance, reason=reason
        )
        is_certain = presence is _Presence.CLOSED
        self._changed.put_nowait(UpstreamGone(is_certain=is_certain))


class _Presence(enum.Enum):
    """What a probe of the upstream's address found."""

    LISTENING = "listening"
    CLOSED = "closed"
    SILENT = "silent"


async def _find_presence(address: str) -> _Presence:
    """Try the address; it is given up only after a second look."""
    found = _Presence.SILENT
    for _ in range(PROBES):
        found = await _probe(address)
        if found is _Presence.LISTENING:
            break
        await asyncio.sleep(PROBE_PAUSE_S)
    return found


async def _probe(address: str) -> _Presence:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return _Presence.CLOSED
    except (OSError, ValueError):
        return _Presence.SILENT
    writer.close()
    return _Presence.LISTENING
