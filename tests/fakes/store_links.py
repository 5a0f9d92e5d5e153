"""A store whose nodes read through links of their own, on a paused clock.

All responses share the rate of the store, and those of a node its link. ``python -m
tests.fakes.store_links 195 2153 350`` prints how long so many nodes that start at once
take to load a history of so many records, the last of which no snapshot covers, and how
many bytes each reads. Without the last argument there is no snapshot.
"""

import asyncio
import contextlib
import dataclasses
import logging
import random
import sys
from unittest import mock

import looptime

from papayatack.core.checkpoint import compute_payload_digest
from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress, ShardId
from papayatack.core.ownership import OwnershipState, apply_record, dump_state
from papayatack.core.records import (
    OWNERSHIP_STREAM,
    Activate,
    Activation,
    Admit,
    Announce,
    Assign,
    Assignment,
)
from papayatack.logservice.interface import StoredSnapshot
from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Request
from papayatack.observability.metrics import Metrics
from papayatack.platform import store_calls
from papayatack.platform.environment import PlatformEnvironment
from papayatack.platform.settings import parse_platform_settings
from papayatack.platform.store import PlatformStore
from papayatack.wire.records import encode_record
from standins.platformstore import StoreServer
from tests.platform.test_settings import TEXT

__all__ = [
    "LARGE_RECORDS",
    "USUAL_RECORDS",
    "FleetStart",
    "Moves",
    "StartResult",
    "list_history",
    "measure_fleet_start",
]

STORE_BYTES_PER_S = 500_000_000
LINK_BYTES_PER_S = (1_250_000, 2_500_000, 12_500_000)
PIECE_BYTES = 64 * 1024
CALL_S = 0.004
WATCHED_S = 25.0
SHARDS = 608
CHAIN = 2
WITNESSES = 3
DATA_CENTRES = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Moves:
    """What the records of a history consist of.

    Attributes:
        shards: Shards that one record assigns.
        activations: Records in which their new owners say that they serve.
    """

    shards: int
    activations: int


USUAL_RECORDS = Moves(shards=36, activations=9)
LARGE_RECORDS = Moves(shards=16, activations=1)


class _Link:
    """Carries bytes one after the other at a rate.

    Args:
        bytes_per_s: The rate.
    """

    def __init__(self, *, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0

    async def carry(self, size):
        """Wait until bytes have passed that were sent now."""
        now = asyncio.get_running_loop().time()
        self._free_s = max(self._free_s, now) + size / self._bytes_per_s
        await asyncio.sleep(self._free_s - now)


class _Client:
    """Calls the store through a link; stands in for the HTTP client.

    Attributes:
        received: Bytes of responses that have passed the link.
    """

    def __init__(self, *, server, store_link, link):
        self.received = 0
        self._server = server
        self._store_link = store_link
        self._link = link

    async def close(self):
        """Do nothing."""

    async def call_with_headers(self, call, *, timeout_s, idle_timeout_s=None):
        """Return the status, content and headers of the response."""
        loop = asyncio.get_running_loop()
        call.sent = True
        async with asyncio.timeout(timeout_s) as limit:
            await asyncio.sleep(CALL_S)
            request = Request(
                method=call.method.encode(),
                target=call.target.encode(),
                body=BytesBody(data=call.body),
            )
            response = await self._server.answer(request)
            content = b""
            while data := await response.body.read():
                content += data
            for start in range(0, len(content), PIECE_BYTES):
                size = min(PIECE_BYTES, len(content) - start)
                await self._store_link.carry(size)
                await self._link.carry(size)
                self.received += size
                if idle_timeout_s is not None:
                    limit.reschedule(loop.time() + idle_timeout_s)
        return response.status, content, response.headers


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartResult:
    """How nodes that started at once loaded the stream.

    Attributes:
        loaded_s: Seconds until each node had loaded it; infinite if it had not.
        bytes_read: Bytes that each node had received by then.
        states: The states that were loaded.
        expected: The state of the whole history.
    """

    loaded_s: list[float]
    bytes_read: list[int]
    states: list[OwnershipState]
    expected: OwnershipState


def list_history(nodes, records, moves=USUAL_RECORDS):
    """Yield the records of a fleet that moves a few shards again and again.

    Args:
        nodes: Number of nodes.
        records: Number of records, at least twice the number of nodes.
        moves: What they consist of.
    """
    names = [
        IncarnationId(f"10.0.{i // 250}.{i % 250}:7101#{i:012x}") for i in range(nodes)
    ]
    rng = random.Random(nodes)
    for number, name in enumerate(names):
        address = name.split("#")[0]
        yield Announce(
            record_id=f"{name}/{rng.randbytes(16).hex()}",
            writer=name,
            incarnation=name,
            address=PeerAddress(address),
            operator_address=address,
            data_centre=f"dc{number % DATA_CENTRES}",
            region="r",
            service="desk",
            upstream=address,
            slots=8,
            connections=1200,
        )
    leases = [LeaseId(name, 1) for name in names]
    for number, lease in enumerate(leases):
        witnesses = tuple(
            names[(number + step) % nodes] for step in range(1, WITNESSES + 1)
        )
        yield Admit(
            record_id=f"{names[0]}/{rng.randbytes(16).hex()}",
            writer=names[0],
            lease=lease,
            witnesses=witnesses,
        )
    count = (records - 2 * nodes) // (1 + moves.activations)
    yield from _list_moves(leases, rng, moves, count)


def _list_moves(leases, rng, moves, count):
    """Yield moves of some shards each, and after each that the new owners serve."""
    writer = leases[0].incarnation
    epochs = {ShardId(f"desk/keys/{number}"): 0 for number in range(SHARDS)}
    shards = list(epochs)
    for number in range(count):
        start = number * moves.shards
        assignments = tuple(
            Assignment(
                shard=shard,
                base_epoch=epochs[shard],
                chain=tuple(rng.sample(leases, CHAIN)),
            )
            for shard in (shards[(start + k) % SHARDS] for k in range(moves.shards))
        )
        yield Assign(
            record_id=f"{writer}/{rng.randbytes(16).hex()}",
            writer=writer,
            assignments=assignments,
        )
        for item in assignments:
            epochs[item.shard] += 1
        for share in range(moves.activations):
            yield Activate(
                record_id=f"{writer}/{rng.randbytes(16).hex()}",
                writer=writer,
                activations=tuple(
                    Activation(
                        shard=item.shard, epoch=epochs[item.shard], owner=item.chain[0]
                    )
                    for item in assignments[share :: moves.activations]
                ),
            )


class FleetStart:
    """A store with a history, and nodes that start at once.

    Args:
        nodes: Number of nodes that start.
        records: Number of records in the history.
        moves: What they consist of.
    """

    def __init__(self, *, nodes, records, moves=USUAL_RECORDS):
        self._moves = moves
        self.server = StoreServer()
        self.expected = OwnershipState()
        self._nodes = nodes
        self._records = records
        self._store_link = _Link(bytes_per_s=STORE_BYTES_PER_S)

    async def write_history(self, *, uncovered):
        """Append the history, as one node would, and drop what is kept for a time.

        Args:
            uncovered: Number of the last records that no snapshot covers; ``None`` for
                a history without a snapshot.
        """
        client = self._build_client(STORE_BYTES_PER_S)
        store = self._build_store(client)
        history = list(list_history(self._nodes, self._records, self._moves))
        for record in history:
            payload = encode_record(record)
            appended = await store.append(OWNERSHIP_STREAM, payload, timeout_s=1.0)
            offset = appended.unwrap()
            apply_record(self.expected, offset, record)
            if uncovered is not None and offset + 1 == len(history) - uncovered:
                await store.write_snapshot(self._take_snapshot(payload), timeout_s=1.0)
        self.server.store.drop_history(retained=(uncovered or 0) + 1)

    def _take_snapshot(self, last_payload):
        return StoredSnapshot(
            writer="w",
            covers=self.expected.next_offset,
            last_record=compute_payload_digest(last_payload),
            document=dump_state(self.expected),
        )

    def _build_client(self, bytes_per_s):
        return _Client(
            server=self.server,
            store_link=self._store_link,
            link=_Link(bytes_per_s=bytes_per_s),
        )

    def _build_store(self, client):
        with _replace_client(client):
            return PlatformStore(host="", port=0, metrics=Metrics())

    async def start_all(self):
        """Start all nodes; return how they loaded the stream."""
        clients = [
            self._build_client(LINK_BYTES_PER_S[number % len(LINK_BYTES_PER_S)])
            for number in range(self._nodes)
        ]
        started_s = asyncio.get_running_loop().time()
        loads = [self._load(client, started_s) for client in clients]
        results = await asyncio.gather(*loads)
        return StartResult(
            loaded_s=[late_s for late_s, _ in results],
            bytes_read=[client.received for client in clients],
            states=[state for _, state in results if state is not None],
            expected=self.expected,
        )

    async def _load(self, client, started_s):
        """Return the time that a node took to load the stream, and its state."""
        settings = parse_platform_settings(TEXT, source="s")
        with _replace_client(client):
            environment = PlatformEnvironment(settings=settings, metrics=Metrics())
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WATCHED_S):
                loaded = await environment.load(
                    random=random.Random(id(client)),
                    deadline_s=loop.time() + 2 * WATCHED_S,
                )
                return loop.time() - started_s, loaded.unwrap()[0]
        return float("inf"), None


def _replace_client(client):
    return mock.patch.object(store_calls, "HttpClient", lambda **options: client)


def measure_fleet_start(*, nodes, records, uncovered=None, moves=USUAL_RECORDS):
    """Return how so many nodes load a history that no node keeps in memory.

    Args:
        nodes: Number of nodes.
        records: Number of records.
        uncovered: Number of the last records that no snapshot covers; ``None`` for a
            history without a snapshot.
        moves: What the records consist of.
    """

    async def run():
        start = FleetStart(nodes=nodes, records=records, moves=moves)
        await start.write_history(uncovered=uncovered)
        return await start.start_all()

    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(run())


def main(argv):
    """Print the time and the bytes of the slowest node."""
    logging.disable(logging.WARNING)
    nodes, records, *uncovered = map(int, argv[1:])
    result = measure_fleet_start(
        nodes=nodes, records=records, uncovered=uncovered[0] if uncovered else None
    )
    loaded = sum(late_s < float("inf") for late_s in result.loaded_s)
    print(
        f"{nodes} nodes, {records} records: {loaded} loaded, the last after"
        f" {max(result.loaded_s):.2f} s; at most {max(result.bytes_read):,} bytes each"
    )


if __name__ == "__main__":
    main(sys.argv)
