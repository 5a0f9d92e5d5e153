"""Fakes of ownership and admission, and nodes on loopback."""

import asyncio
import random

from returns.result import Failure, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.idempotency import KeyTenure, Tenure
from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress, ShardId
from papayatack.core.inventory import (
    Configuration,
    KeyRange,
    KeySource,
    Partner,
    RequestClass,
    RequestRule,
    Service,
)
from papayatack.core.retry import RetryPolicy
from papayatack.network.bodies import BytesBody
from papayatack.network.callers import CallerServer
from papayatack.network.exchanges import PeerRequest, Request
from papayatack.network.grants import GrantClient
from papayatack.network.limits import CallerLimits, UpstreamLimits
from papayatack.network.peers import PeerNetwork
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.proxy.engine import RequestEngine
from papayatack.proxy.interface import Grant, Route

HIRING = Service(
    name="hiring",
    prefix="/hiring",
    key=KeySource(kind="path", name="2"),
    key_ranges=(KeyRange(name="all", shards=1),),
    deadline_s=5.0,
    request_rules=(
        RequestRule(methods=("GET", "HEAD"), repeatable=True),
        RequestRule(
            methods=("PUT",), repeatable=True, request_class=RequestClass.ORDER
        ),
        RequestRule(methods=("POST",), request_class=RequestClass.ORDER),
    ),
)
RECORDS = Service(name="records", prefix="/records", deadline_s=5.0)
CONFIGURATION = Configuration(
    version=1, services=(HIRING, RECORDS), partners=(Partner(name="caribe"),)
)
SHARD = ShardId("hiring/all/0")
HOT_SHARD = ShardId("hiring/all/=k1")
LEASE = LeaseId(IncarnationId("lease"), 1)
GRANT_S = 60.0


class FakeOwnership:
    """Routes every key to ``route`` and grants requests under a fixed token."""

    def __init__(self, *, route=None, nodes=(), token=1):
        self.configuration = CONFIGURATION
        self.route = route
        self.nodes = nodes
        self.token = token
        self.obstacle = None
        self.refusal = None
        self.tenure = Tenure(
            shard=SHARD, number=1, token=token, since_s=0.0, is_first=True
        )
        self.related_tenure = None
        self.authorized = 0
        self.finished = 0
        self.service_times_s = []
        self.renewed = 0

    def locate(self, service, key):
        """Return the fixed route."""
        if self.route is None:
            return Failure(Refusal(kind=ErrorKind.NO_OWNER))
        return Success(self.route)

    def list_nodes(self, service):
        """Return the fixed nodes."""
        return self.nodes

    def find_obstacle(self, shard):
        """Return the obstacle that the test has set."""
        return self.obstacle

    def authorize(self, shard):
        """Return a grant, or the refusal that the test has set."""
        if self.refusal is not None:
            return Failure(self.refusal)
        self.authorized += 1
        return Success(Grant(shard=shard, token=self.token, remaining_s=1.0))

    def finish(self, grant, *, service_time_s):
        """Count the call and record the service time."""
        self.finished += 1
        self.service_times_s.append(service_time_s)

    def renew_grant(self, grant):
        """Count the call."""
        self.renewed += 1

    def find_tenure(self, service, key):
        """Return the tenures that the test has set."""
        if self.tenure is None:
            return None
        related = HOT_SHARD if self.tenure.shard == SHARD else SHARD
        return KeyTenure(
            current=self.tenure,
            related_shard=related,
            related_tenure=self.related_tenure,
        )


class FakePermit:
    """A slot that counts its releases."""

    def __init__(self, gate):
        self._gate = gate

    def record_sent(self):
        """Ignore that the request is sent."""

    def release(self, *, service_time_s, error=None):
        """Count the release and record the error."""
        self._gate.released += 1
        self._gate.errors.append(error)


class FakeGate:
    """Admits every request, or returns the refusal that the test has set."""

    def __init__(self):
        self.refusal = None
        self.acquired = 0
        self.released = 0
        self.errors = []

    def observe_limit(self, requests_per_s):
        """Ignore a limit."""

    def read_load(self):
        """Return no load."""

    async def acquire(self, admission_request):
        """Return a permit or the refusal."""
        if self.refusal is not None:
            return Failure(self.refusal)
        self.acquired += 1
        return Success(FakePermit(self))


class Node:
    """A node with a server for callers, engine, peer network and upstream pool."""

    def __init__(
        self, *, name, limits=None, connections=130, max_attempts=3, seed=1, port=0
    ):
        self.name = name
        self.port = port
        self.metrics = Metrics()
        self.ownership = FakeOwnership()
        self.gate = FakeGate()
        self._limits = limits or CallerLimits()
        self._connections = connections
        self._rng = random.Random(seed)
        self._max_attempts = max_attempts

    async def start(self, upstream_port=None, peer_address=None):
        """Start listening for callers and peers."""
        probe = await asyncio.get_running_loop().create_server(
            asyncio.Protocol, "127.0.0.1", 0
        )
        peer_port = probe.sockets[0].getsockname()[1]
        probe.close()
        self.address = PeerAddress(f"127.0.0.1:{peer_port}")
        self.incarnation = IncarnationId(f"{self.address}#{self.name}")
        self.network = PeerNetwork(
            incarnation=self.incarnation,
            host="127.0.0.1",
            port=peer_port,
            metrics=self.metrics,
            rng=self._rng,
        )
        self.engine = RequestEngine(
            incarnation=self.incarnation,
            ownership=self.ownership,
            gate=self.gate,
            peers=self.network,
            metrics=self.metrics,
            retry=RetryPolicy(
                rng=self._rng, budget_ratio=1.0, max_attempts=self._max_attempts
            ),
        )
        self.network.on_request = self.engine.serve_peer
        self.callers = CallerServer(
            host="127.0.0.1",
            port=self.port,
            handler=self.engine.handle,
            metrics=self.metrics,
            limits=self._limits,
        )
        await self.network.start()
        await self.callers.start()
        if upstream_port is not None:
            self.use_upstream(upstream_port)
        return self

    def use_upstream(self, port):
        """Use the upstream that listens on a port."""
        self.engine.upstream = UpstreamPool(
            host="127.0.0.1",
            port=port,
            metrics=self.metrics,
            limits=UpstreamLimits(connections=self._connections),
        )

    def build_route(self, *, local, address=None):
        """Return the route to this node."""
        return Route(
            shard=SHARD,
            local=local,
            incarnation=self.incarnation,
            address=address or self.address,
        )

    async def grant(self, token=1):
        """Grant the shard to the upstream."""
        return await self.grant_shard(SHARD, token)

    async def grant_shard(self, shard, token=1):
        """Grant a shard to the upstream."""
        client = GrantClient(pool=self.engine.upstream)
        until_s = asyncio.get_running_loop().time() + GRANT_S
        return await client.grant(LEASE, {shard: token}, until_s)

    async def stop(self):
        """Stop the servers and close the connections."""
        await self.callers.stop(timeout_s=0)
        await self.network.abort()
        if self.engine.upstream is not None:
            self.engine.upstream.close()


async def fetch(port, data):
    """Send raw bytes and return all bytes received until the connection closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        async with asyncio.timeout(10):
            return await reader.read(-1)
    except ConnectionError:
        return b""
    finally:
        writer.close()


def build_peer_request(request_id="r", *, target=b"/", body=None, **fields):
    """Return a repeatable request of a service without keys."""
    options = {
        "service": "records",
        "shard": "",
        "key": "",
        "remaining_s": 2.0,
        "partner": "",
        "request_class": RequestClass.BROWSE,
        "cost": 1.0,
        "repeatable": True,
        **fields,
    }
    request = Request(method=b"GET", target=target, body=body or BytesBody())
    return PeerRequest(request=request, request_id=request_id, **options)


def build_request(method, target, *, body=b"", headers=()):
    """Return an HTTP/1.1 request that closes its connection."""
    lines = [f"{method} {target} HTTP/1.1", "Host: test", "Connection: close"]
    lines += headers
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def wait_until(condition, *, limit_s=10.0):
    """Poll until a condition holds; raise ``TimeoutError`` after ``limit_s``."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    while loop.time() < end_s:
        if condition():
            return
        await asyncio.sleep(0.001)
    raise TimeoutError("the condition never held")
