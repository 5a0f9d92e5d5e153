"""A stand-in of an upstream on the platform: it checks grants and sends heartbeats."""

import asyncio
import dataclasses
import json
import math
import time
import urllib.parse

from papayatack.network.bodies import BytesBody
from papayatack.network.callers import CallerServer
from papayatack.network.exchanges import Request, Response, find_header
from papayatack.network.limits import CallerLimits
from papayatack.observability.metrics import Metrics
from standins.fleet import call

__all__ = ["Grant", "PlatformUpstream"]

MS_PER_S = 1000
HEARTBEAT_S = 0.3
HEADER_BYTES = 64 * 1024
"""Longest head that it takes: one that a node passes on is longer than it came."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Keys that the upstream holds, ``last`` included."""

    first: int
    last: int
    token: int
    until_s: float


class PlatformUpstream:
    """One life of an upstream.

    Attributes:
        runs: Ids of the requests that it ran, in order.
        reached_s: Event loop times at which they reached it.
        slots: How many requests it says that it runs at once.
        grants: What it holds, by first and last key.
        calls: Target and document of every grant and release.
        refuse_grants: Whether grants are answered with 409.
        lost_grants: How many of the grants to come are not taken and get no answer.
        grant_delay_s: Time for which the answer to a grant is held back.
        release_delay_s: How long the work under each release takes to end.
        releases_ended: How many releases were answered.
        healthy: Whether it says that it may be used.
        load: What it says of its load: running, waiting, slots and, on some machines,
            how long work takes there in per cent of the usual.
        hangs: Whether requests are run and never answered.
        signals: Header fields that all its responses to requests have.
        work_s: How long a request runs, unless its query has ``work`` in seconds. One
            that lasts longer than the grants that stood when it began ends with 500,
            though they were renewed meanwhile. The query's ``size`` is the length of
            the response, in bytes.
        crash_target: A request whose target contains this ends the upstream; empty for
            none. It is back after ``down_s``, with another id and without grants.
        crash_after_s: How long such a request runs before.
        down_s: How long the upstream is away after a crash.
        crashes_s: Event loop times of its crashes.
        crashing_runs_s: Event loop times at which such requests began to run.
        cold_start_s: How long it is cold after a start.
        cold_until_s: Event loop time until which it says that it is cold.
        keeps_id: Whether it has the same id after a crash.
        born_ms: Start of this life in its heartbeats, 0 to leave it out.
        reports_coldness: Whether heartbeats say so; the health check always does.
        arrivals_s: Event loop times at which requests arrived and were not refused with
            421, those of the health check included.
    """

    def __init__(self, *, instance: str, service: str, place: str) -> None:
        self.instance = instance
        self.service = service
        self.runs: list[str] = []
        self.reached_s: list[float] = []
        self.slots = 8
        self.grants: dict[tuple[int, int], Grant] = {}
        self.calls: list[tuple[bytes, dict]] = []
        self.callers: set[bytes] = set()
        self.refuse_grants = False
        self.lost_grants = 0
        self.grant_delay_s = 0.0
        self.release_delay_s = 0.0
        self.releases_ended = 0
        self.healthy = True
        self.load = b"0,0,8"
        self.hangs = False
        self.work_s = 0.0
        self.crash_target = b""
        self.crash_after_s = 0.03
        self.down_s = 1.5
        self.crashes_s: list[float] = []
        self.crashing_runs_s: list[float] = []
        self.cold_start_s = 0.0
        self.cold_until_s = -math.inf
        self.keeps_id = False
        self.born_ms = 0
        self.reports_coldness = True
        self.arrivals_s: list[float] = []
        self._restart: asyncio.Task[None] | None = None
        self.signals: tuple[tuple[bytes, bytes], ...] = ()
        self._place = place
        self._sequence = 0
        self._first_instance = instance
        self._server = self._build_server(0)

    def _build_server(self, port: int) -> CallerServer:
        return CallerServer(
            host="127.0.0.1",
            port=port,
            handler=self._handle,
            metrics=Metrics(),
            limits=CallerLimits(header_bytes=HEADER_BYTES),
        )

    @property
    def address(self) -> str:
        """Where it takes requests."""
        return f"127.0.0.1:{self._server.port}"

    async def start(self) -> None:
        """Listen."""
        self.become_cold(self.cold_start_s)
        await self._server.start()

    def become_cold(self, duration_s: float) -> None:
        """Be cold for some time."""
        self.cold_until_s = asyncio.get_running_loop().time() + duration_s

    def find_cold_ms(self) -> int:
        """Return for how many milliseconds it stays cold."""
        left_s = self.cold_until_s - asyncio.get_running_loop().time()
        return max(0, math.ceil(left_s * MS_PER_S)) if left_s > 0 else 0

    async def stop(self) -> None:
        """Stop at once."""
        if self._restart is not None:
            self._restart.cancel()
        await self._server.stop(timeout_s=0.0)

    def crash(self) -> None:
        """End at once, and start again as another process after ``down_s``."""
        if self._restart is None or self._restart.done():
            self.crashes_s.append(asyncio.get_running_loop().time())
            self._restart = asyncio.ensure_future(self._crash())

    async def _crash(self) -> None:
        port = self._server.port
        await self._server.stop(timeout_s=0.0)
        self.grants.clear()
        await asyncio.sleep(self.down_s)
        if not self.keeps_id:
            self.instance = f"{self._first_instance}-{len(self.crashes_s)}"
        if self.born_ms:
            self.born_ms = int(time.time() * MS_PER_S)
        self._server = self._build_server(port)
        self.become_cold(self.cold_start_s)
        await self._server.start()

    async def report(self, control_port: int) -> None:
        """Send heartbeats to a node until cancelled."""
        while True:
            if self._restart is None or self._restart.done():
                await self.send_heartbeat(control_port, "ready")
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self, control_port: int, state: str) -> int:
        """Send one heartbeat; return the status."""
        self._sequence += 1
        cold_ms = self.find_cold_ms() if self.reports_coldness else 0
        document = {
            "Address": self.address,
            "Info": {
                "Service": self.service,
                "Version": "v1",
                "Zone": self._place,
                "CapacitySlots": self.slots,
            },
            "Status": {
                "State": state,
                "Seq": self._sequence,
                "ColdRemaining": f"{cold_ms}ms",
            },
        }
        if self.born_ms:
            document["born"] = self.born_ms
        return await self.post_heartbeat(control_port, document)

    async def post_heartbeat(self, control_port: int, document: dict) -> int:
        """Send the document of a heartbeat; return the status."""
        status, _ = await call(
            control_port,
            f"/instances/{self.instance}/heartbeat",
            method="POST",
            body=json.dumps(document).encode(),
            timeout_s=1.0,
        )
        return status

    def holds(self, key: int) -> bool:
        """Tell whether it may serve a key now."""
        return asyncio.get_running_loop().time() < self._find_end(key)

    def _find_end(self, key: int) -> float:
        """Return until when it may serve a key."""
        return max(
            (
                grant.until_s
                for grant in self.grants.values()
                if grant.first <= key <= grant.last
            ),
            default=-math.inf,
        )

    async def _handle(self, request: Request) -> Response:
        body = b""
        while data := await request.body.read():
            body += data
        if request.target in (b"/grant", b"/release"):
            self.calls.append((request.target, json.loads(body)))
        match request.target:
            case b"/health" | b"/healthy":
                self._note_arrival()
                fields = (
                    (b"papayatack-instance-id", self.instance.encode()),
                    (b"papayatack-server-load", self.load),
                    (b"papayatack-cold-ms", b"%d" % self.find_cold_ms()),
                )
                return _reply(200 if self.healthy else 503, fields=fields)
            case b"/grant":
                await self._lose_grant()
                response = self._grant(json.loads(body))
                await asyncio.sleep(self.grant_delay_s)
                return response
            case b"/release":
                response = self._release(json.loads(body))
                await asyncio.sleep(self.release_delay_s)
                self.releases_ended += 1
                return response
        return await self._work(request)

    async def _lose_grant(self) -> None:
        """Never return if this grant is one to be lost."""
        if self.lost_grants:
            self.lost_grants -= 1
            await asyncio.get_running_loop().create_future()

    def _grant(self, document: dict) -> Response:
        if self.refuse_grants:
            return _reply(409)
        first, last = document["From"], document["To"]
        hold_s = int(document["Hold"].removesuffix("ms")) / MS_PER_S
        for held in self.grants.values():
            overlaps = held.first <= last and first <= held.last
            if overlaps and held.token > document["fence"]:
                return _reply(409)
        self.grants[first, last] = Grant(
            first=first,
            last=last,
            token=document["fence"],
            until_s=asyncio.get_running_loop().time() + hold_s,
        )
        return _reply(200)

    def _release(self, document: dict) -> Response:
        first, last = document["From"], document["To"]
        for held in list(self.grants.values()):
            if held.first <= last and first <= held.last:
                del self.grants[held.first, held.last]
                for start, end in ((held.first, first - 1), (last + 1, held.last)):
                    if start <= end:
                        rest = dataclasses.replace(held, first=start, last=end)
                        self.grants[start, end] = rest
        return _reply(200, fields=((b"papayatack-handover", b"%d-%d" % (first, last)),))

    async def _work(self, request: Request) -> Response:
        key = find_header(request.headers, b"papayatack-shard-key")
        until_s = math.inf if key is None else self._find_end(int(key))
        response = self._run(request)
        if response.status != 200:
            return response
        if self.crash_target and self.crash_target in request.target:
            self.crashing_runs_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(self.crash_after_s)
            self.crash()
            await asyncio.get_running_loop().create_future()
        if self.hangs:
            await asyncio.get_running_loop().create_future()
        left_s = until_s - asyncio.get_running_loop().time()
        work_s = float(_read_query(request, "work", self.work_s))
        if work_s <= left_s:
            await asyncio.sleep(work_s)
            return response
        await asyncio.sleep(left_s)
        return _reply(500, fields=response.headers[:-1])

    def _note_arrival(self) -> None:
        self.arrivals_s.append(asyncio.get_running_loop().time())

    def _run(self, request: Request) -> Response:
        expected = find_header(request.headers, b"papayatack-expected-instance")
        key = find_header(request.headers, b"papayatack-shard-key")
        request_id = find_header(request.headers, b"papayatack-request-id") or b""
        echoed = (b"papayatack-request-id", request_id)
        if expected != self.instance.encode():
            return _reply(421, fields=(echoed,))
        if key is not None and not self.holds(int(key)):
            return _reply(421, fields=(echoed, (b"papayatack-not-executed", b"1")))
        self.callers.add(
            find_header(request.headers, b"papayatack-caller-service") or b""
        )
        self.runs.append(request_id.decode())
        self._note_arrival()
        self.reached_s.append(asyncio.get_running_loop().time())
        fields = (
            *self.signals,
            echoed,
            (b"papayatack-response-signature", b"signed-" + request_id),
        )
        data = self.instance.encode()
        size = int(_read_query(request, "size", len(data)))
        return _reply(200, data=data.ljust(size, b"."), fields=fields)


def _read_query(request: Request, name: str, default: float) -> str | float:
    """Return a value of a request's query, or the default."""
    query = urllib.parse.urlsplit(request.target.decode()).query
    return urllib.parse.parse_qs(query).get(name, [default])[0]


def _reply(
    status: int, *, data: bytes = b"{}", fields: tuple[tuple[bytes, bytes], ...] = ()
) -> Response:
    headers = (*fields, (b"content-length", b"%d" % len(data)))
    return Response(status=status, headers=headers, body=BytesBody(data=data))
