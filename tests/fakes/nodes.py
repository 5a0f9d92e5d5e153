"""Control nodes in one process, with an in-memory network, log and upstreams."""

import asyncio
import collections
import random

from returns.result import Failure, Success

from papayatack.control import ControlNode
from papayatack.core.errors import ErrorKind, Outcome, Refusal
from papayatack.core.idempotency import (
    IdempotencyRegistry,
    IdempotencyStore,
    OutcomeExchange,
)
from papayatack.core.placement import plan_placement
from papayatack.core.records import CONFIG_STREAM, Announce, Publish
from papayatack.observability.metrics import Metrics
from papayatack.wire.records import encode_record
from standins.logstore import InProcessLog, LogStore

LATENCY_S = 0.001

INVENTORY = """
[[places]]
name = "east"
region = "r"

[[places]]
name = "west"
region = "r"

[[places]]
name = "south"
region = "r"

[[services]]
name = "orders"
prefix = "/orders"
places = ["east", "west", "south"]
key = { path_segment = 1 }
checks_grants = true
slots = 4
connections = 20

[[services.key_ranges]]
name = "all"
shards = 8
"""


class FakeUpstream:
    """Accepts grants unless ``accepting`` is false."""

    def __init__(self):
        self.accepting = True
        self.tokens = {}
        self.expires_s = {}

    async def grant(self, lease, tokens, until_s, handovers=None):
        """Accept grants whose token is not lower than the last one of their shard."""
        if not self.accepting:
            return Failure(Refusal(kind=ErrorKind.GRANT_REFUSED))
        for shard, token in tokens.items():
            if token >= self.tokens.get(shard, 0):
                self.tokens[shard] = token
                self.expires_s[shard] = (lease, until_s)
        return Success(None)

    async def extend(self, lease, until_s):
        """Extend the live grants of a lease."""
        now = asyncio.get_running_loop().time()
        for shard, (held, held_until_s) in list(self.expires_s.items()):
            if held == lease and held_until_s > now:
                self.expires_s[shard] = (lease, until_s)
        return Success(None)

    async def revoke(self, lease, shards):
        """Revoke grants."""
        for shard in shards:
            if self.expires_s.get(shard, (None, 0))[0] == lease:
                del self.expires_s[shard]
        return Success({})


class FakeNetwork:
    """Delivers control messages after a delay, except from and to cut addresses."""

    def __init__(self):
        self.nodes = {}
        self.cut = set()
        self.sent = collections.Counter()

    def make_sender(self, own):
        """Return the message sender for the node at an address."""
        return _Sender(self, own)

    def deliver(self, own, address, recipient, message):
        """Deliver a message to its recipient."""
        node = self.nodes.get(address)
        if node is not None and not {own, address} & self.cut:
            sender = self.nodes[own].core.incarnation
            node.receive(sender, recipient, message)


class _Sender:
    def __init__(self, network, own):
        self._network = network
        self._own = own

    def send(self, address, recipient, message):
        """Schedule the delivery of a message."""
        self._network.sent[self._own, type(message).__name__] += 1
        asyncio.get_running_loop().call_later(
            LATENCY_S, self._network.deliver, self._own, address, recipient, message
        )


class NodeFixture:
    """Nodes by address that share one log."""

    def __init__(self, *, retention_s=None, tailing=None):
        self.retention_s = retention_s
        self.tailing = tailing
        self.store = LogStore()
        self.network = FakeNetwork()
        self.upstreams = {}
        self.tasks = {}
        self.starts = 0

    def publish(self, inventory=INVENTORY, *, base_version=0, record_id="p1"):
        """Publish an inventory."""
        record = Publish(
            record_id=record_id,
            writer="operator",
            base_version=base_version,
            inventory=inventory,
        )
        self.store.append(CONFIG_STREAM, encode_record(record))

    def build_log(self, address):
        """Return the log client of a node."""
        return InProcessLog(store=self.store)

    def build_options(self):
        """Return additional constructor arguments of a node."""
        return {}

    def start(self, address, data_centre):
        """Start a node."""
        self.starts += 1
        incarnation = f"{address}#{self.starts}"
        upstream = self.upstreams.setdefault(address, FakeUpstream())
        node = ControlNode(
            announcement=Announce(
                record_id="",
                writer=incarnation,
                incarnation=incarnation,
                address=address,
                operator_address=address,
                data_centre=data_centre,
                region="r",
                service="orders",
                upstream=address,
                slots=4,
                connections=20,
            ),
            log=self.build_log(address),
            sender=self.network.make_sender(address),
            sink=upstream,
            plan=plan_placement,
            metrics=Metrics(),
            random=random.Random(self.starts),
            retention_s=self.retention_s,
            tailing=self.tailing,
            **self.build_options(),
        )
        self.network.nodes[address] = node
        self.tasks[address] = asyncio.create_task(node.run())
        return node

    async def kill(self, address):
        """Kill a node."""
        task = self.tasks.pop(address)
        del self.network.nodes[address]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def stop(self):
        """Kill all nodes."""
        for address in list(self.tasks):
            await self.kill(address)

    def list_servers(self, key):
        """Return the nodes that may forward a request for a key now."""
        found = []
        for address, node in self.network.nodes.items():
            match node.ownership.locate("orders", key):
                case Success(route):
                    shard = route.shard
                case _:
                    continue
            match node.ownership.authorize(shard):
                case Success(grant):
                    node.ownership.finish(grant, service_time_s=0.0)
                    found.append(address)
        return found

    def list_tenures(self, keys):
        """Return the address of each key's only owner and the tenure of its shard."""
        found = {}
        for key in keys:
            (address,) = self.list_servers(key)
            owned = self.network.nodes[address].ownership.find_tenure("orders", key)
            found[key] = address, owned.current
        return found

    def remember(self):
        """Give each node a memory of keyed requests; return the memories by address."""
        memories = {}
        for address, node in self.network.nodes.items():
            memories[address] = IdempotencyRegistry(store=IdempotencyStore())
            node.outcomes.exchange = OutcomeExchange(registry=memories[address])
        return memories

    def begin(self, memories, key):
        """Begin a keyed request at the only node that serves the key."""
        (address,) = self.list_servers(key)
        owned = self.network.nodes[address].ownership.find_tenure("orders", key)
        now = asyncio.get_running_loop().time()
        return memories[address].begin(now, owned, key, b"f")[1]

    def complete(self, memories, key, answer):
        """Complete the request of a key with an answer."""
        (address,) = self.list_servers(key)
        owned = self.network.nodes[address].ownership.find_tenure("orders", key)
        memories[address].complete(
            asyncio.get_running_loop().time(),
            owned.current.shard,
            key,
            outcome=Outcome.ANSWERED,
            response=answer,
        )

    async def wait_served(self, keys, limit_s):
        """Wait until exactly one node serves each key; return the seconds that took."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        while any(len(self.list_servers(key)) != 1 for key in keys):
            if loop.time() - start_s > limit_s:
                raise AssertionError(f"not served within {limit_s} s")
            await asyncio.sleep(0.01)
        return loop.time() - start_s
