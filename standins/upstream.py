"""A model of an upstream that owns keys under fenced grants.

Start one with ``python -m standins.upstream --port=8081``, or use
:class:`UpstreamStandin` inside a test. A request says what it costs:
``?sleep_ms=20&bytes=1000``. ``POST /control`` changes the behaviour, ``GET /runs``
tells how often each request id was run.
"""

import asyncio
import dataclasses
import json
import urllib.parse
import urllib.request
from collections.abc import Mapping
from typing import Any

from absl import app, flags

from papayatack.core.errors import ErrorKind
from papayatack.network.bodies import BytesBody, IncompleteBodyError
from papayatack.network.callers import CallerServer
from papayatack.network.exchanges import Request, Response, find_header
from papayatack.network.limits import CallerLimits
from papayatack.observability.metrics import Metrics

__all__ = ["UpstreamBehaviour", "UpstreamStandin"]

MS_PER_S = 1000
US_PER_S = 1_000_000
CHUNK_BYTES = 16 * 1024
COLD_SLOWDOWN = 4.0
ANNOUNCE_INTERVAL_S = 0.5
STOP_TIMEOUT_S = 5.0

REANNOUNCE_INTERVAL_S = 2.0


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamBehaviour:
    """What ``POST /control`` can change.

    Attributes:
        frozen: Take requests but do nothing.
        draining: Refuse new work.
        shed: Refuse new work as overloaded.
        healthy: What the health report says, true or not.
        busy: What the load report says; ``None`` for the truth.
        cut_after_bytes: Cut answers after so many bytes of body; ``None`` for never.
    """

    frozen: bool = False
    draining: bool = False
    shed: bool = False
    healthy: bool = True
    busy: float | None = None
    cut_after_bytes: int | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class _Grants:
    """Fenced grants: tokens only grow, and leases run out."""

    tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    holders: dict[str, str] = dataclasses.field(default_factory=dict)
    expiries_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def grant(self, lease: str, tokens: Mapping[str, int], expiry_s: float) -> bool:
        """Take a grant, unless a higher token of a shard is known."""
        if any(token < self.tokens.get(shard, 0) for shard, token in tokens.items()):
            return False
        self.expiries_s[lease] = expiry_s
        for shard, token in tokens.items():
            self.tokens[shard] = token
            self.holders[shard] = lease
        return True

    def revoke(self, lease: str, shards: list[str]) -> None:
        """End grants; the tokens stay known."""
        for shard in shards:
            if self.holders.get(shard) == lease:
                del self.holders[shard]

    def check(self, shard: str, token: int, now: float) -> str | None:
        """Return why a request is refused."""
        if token < self.tokens.get(shard, 0):
            return "token"
        lease = self.holders.get(shard)
        if lease is None or now >= self.expiries_s[lease]:
            return "grant"
        return None if token == self.tokens[shard] else "grant"


class _PatternBody:
    """A long answer, made as it is read, possibly cut on purpose."""

    def __init__(self, *, size: int, cut_after: int | None) -> None:
        self._left = size
        self._cut_after = cut_after
        self.ready = True

    async def read(self) -> bytes:
        """Return the next chunk."""
        size = min(self._left, CHUNK_BYTES)
        if self._cut_after is not None:
            size = min(size, self._cut_after)
            if self._left and not size:
                raise IncompleteBodyError(kind=ErrorKind.RESPONSE_TRUNCATED)
            self._cut_after -= size
        self._left -= size
        return b"x" * size

    def close(self) -> None:
        """Give up the rest."""
        self._left = 0


class UpstreamStandin:
    """One upstream.

    :attr:`runs` counts the runs of each request id, :attr:`key_runs` those of each
    Idempotency-Key.
    """

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        service: str = "hiring",
        slots: int = 14,
        connections: int = 130,
        check_grants: bool = True,
        cold_s: float = 0.0,
    ) -> None:
        self.behaviour = UpstreamBehaviour()
        self.runs: dict[str, int] = {}
        self.key_runs: dict[str, int] = {}
        self.cancelled = 0
        self._service = service
        self._slots = slots
        self._connections = connections
        self._check_grants = check_grants
        self._cold_s = cold_s
        self._host = host
        self._grants = _Grants()
        self._busy = 0
        self._started_s = 0.0
        self._free = asyncio.Semaphore(slots)
        self._thawed = asyncio.Event()
        self._server = CallerServer(
            host=host,
            port=port,
            handler=self._handle,
            metrics=Metrics(),
            limits=CallerLimits(connections=connections),
        )
        self._handlers = {
            ("PUT", "/papayatack/grants"): self._take_grant,
            ("POST", "/papayatack/grants/extend"): self._take_extension,
            ("POST", "/papayatack/grants/revoke"): self._take_revocation,
            ("POST", "/control"): self._take_control,
            ("GET", "/papayatack/health"): self._report_health,
            ("GET", "/papayatack/load"): self._report_load,
            ("GET", "/runs"): self._report_runs,
        }

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self._host}:{self._server.port}"

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return self._server.port

    async def start(self) -> None:
        """Listen, cold."""
        self._started_s = asyncio.get_running_loop().time()
        self._thawed.set()
        await self._server.start()

    async def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Stop gracefully."""
        await self._server.stop(timeout_s=timeout_s)

    async def announce(self, node: str) -> None:
        """Announce to the node beside it until that accepts."""
        document = {
            "service": self._service,
            "address": self.address,
            "slots": self._slots,
            "connections": self._connections,
        }
        while True:
            if await asyncio.to_thread(_post, f"http://{node}/announce", document):
                return
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _handle(self, request: Request) -> Response:
        path, _, query = request.target.decode("latin-1").partition("?")
        data = b""
        while chunk := await request.body.read():
            data += chunk
        handler = self._handlers.get((request.method.decode(), path))
        if handler is not None:
            return handler(json.loads(data) if data else {})
        await self._thaw()
        refused = self._find_refusal(request)
        if refused is not None:
            headers = ((b"papayatack-refused", refused.encode()),)
            return _build_response({"refused": refused}, status=409, headers=headers)
        return await self._work(request, dict(urllib.parse.parse_qsl(query)))

    async def _thaw(self) -> None:
        await self._thawed.wait()

    def _find_refusal(self, request: Request) -> str | None:
        if self.behaviour.draining:
            return "draining"
        if self.behaviour.shed:
            return "shed"
        shard = find_header(request.headers, b"papayatack-shard")
        if not self._check_grants or shard is None:
            return None
        token = int(find_header(request.headers, b"papayatack-token") or 0)
        now = asyncio.get_running_loop().time()
        return self._grants.check(shard.decode(), token, now)

    async def _work(self, request: Request, query: Mapping[str, str]) -> Response:
        """Run a request in a slot; its deadline or a lost caller ends it."""
        request_id = find_header(request.headers, b"papayatack-request-id") or b""
        name = request_id.decode()
        self.runs[name] = self.runs.get(name, 0) + 1
        key = (find_header(request.headers, b"idempotency-key") or b"").decode(
            "latin-1"
        )
        if key:
            self.key_runs[key] = self.key_runs.get(key, 0) + 1
        deadline = find_header(request.headers, b"papayatack-deadline-ms")
        limit_s = int(deadline) / MS_PER_S if deadline else None
        service_s = float(query.get("sleep_ms", 0)) / MS_PER_S * self._find_slowdown()
        self._busy += 1
        try:
            async with asyncio.timeout(limit_s), self._free:
                if service_s:
                    await asyncio.sleep(service_s)
        except TimeoutError:
            return _build_response({"error": "deadline"}, status=504)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self._busy -= 1
        return self._build_answer(query)

    def _build_answer(self, query: Mapping[str, str]) -> Response:
        size = int(query.get("bytes", 2))
        body = _PatternBody(size=size, cut_after=self.behaviour.cut_after_bytes)
        headers = [(b"content-type", b"text/plain")]
        if "chunked" not in query:
            headers.append((b"content-length", b"%d" % size))
        return Response(status=200, reason=b"OK", headers=tuple(headers), body=body)

    def _find_slowdown(self) -> float:
        age_s = asyncio.get_running_loop().time() - self._started_s
        if age_s >= self._cold_s:
            return 1.0
        return 1.0 + (COLD_SLOWDOWN - 1.0) * (1.0 - age_s / self._cold_s)

    def _take_grant(self, document: Mapping[str, Any]) -> Response:
        expiry_s = self._find_expiry(document)
        taken = self._grants.grant(document["lease"], document["tokens"], expiry_s)
        return _build_response({"granted": taken}, status=200 if taken else 409)

    def _take_extension(self, document: Mapping[str, Any]) -> Response:
        lease = document["lease"]
        known = lease in self._grants.expiries_s
        if known:
            self._grants.expiries_s[lease] = self._find_expiry(document)
        return _build_response({"extended": known}, status=200 if known else 409)

    def _take_revocation(self, document: Mapping[str, Any]) -> Response:
        self._grants.revoke(document["lease"], document["shards"])
        return _build_response({"revoked": True})

    def _take_control(self, document: Mapping[str, Any]) -> Response:
        self.behaviour = dataclasses.replace(self.behaviour, **document)
        if self.behaviour.frozen:
            self._thawed.clear()
        else:
            self._thawed.set()
        return _build_response(dataclasses.asdict(self.behaviour))

    def _report_health(self, document: Mapping[str, Any]) -> Response:
        behaviour = self.behaviour
        report = {"healthy": behaviour.healthy, "draining": behaviour.draining}
        return _build_response(report)

    def _report_load(self, document: Mapping[str, Any]) -> Response:
        busy = self.behaviour.busy
        report = {"busy": self._busy if busy is None else busy, "slots": self._slots}
        return _build_response(report)

    def _report_runs(self, document: Mapping[str, Any]) -> Response:
        return _build_response(self.runs)

    def _find_expiry(self, document: Mapping[str, Any]) -> float:
        now = asyncio.get_running_loop().time()
        return now + document["remaining_us"] / US_PER_S


def _build_response(
    document: Mapping[str, Any],
    *,
    status: int = 200,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> Response:
    data = json.dumps(document).encode()
    fields = (
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(data)),
        *headers,
    )
    return Response(status=status, headers=fields, body=BytesBody(data=data))


def _post(url: str, document: Mapping[str, Any]) -> bool:
    """Post a document; whether it was accepted."""
    request = urllib.request.Request(url, json.dumps(document).encode(), method="POST")
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=ANNOUNCE_INTERVAL_S) as response:
            return response.status < 300
    except OSError:
        return False


def _define_flags() -> None:
    flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
    flags.DEFINE_integer("port", 0, "Port to listen on; 0 takes a free one.")
    flags.DEFINE_string("service", "hiring", "Service to announce.")
    flags.DEFINE_integer("slots", 14, "Requests run at once.")
    flags.DEFINE_integer("connections", 130, "Connections accepted.")
    flags.DEFINE_bool("check_grants", True, "Refuse requests without a live grant.")
    flags.DEFINE_float("cold_s", 0.0, "Seconds of slow work after the start.")
    flags.DEFINE_string(
        "announce", "", "Node to announce to, <ip>:<port>; empty for none."
    )


async def _run() -> None:
    values = flags.FLAGS
    standin = UpstreamStandin(
        host=values.host,
        port=values.port,
        service=values.service,
        slots=values.slots,
        connections=values.connections,
        check_grants=values.check_grants,
        cold_s=values.cold_s,
    )
    await standin.start()
    print(f"upstream of {values.service} on {standin.address}", flush=True)
    while values.announce:
        await standin.announce(values.announce)
        await asyncio.sleep(REANNOUNCE_INTERVAL_S)
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Run one upstream until it is ended."""
    asyncio.run(_run())


if __name__ == "__main__":
    _define_flags()
    app.run(main)
