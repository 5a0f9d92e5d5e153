"""Tests of papayatack.control.snapshots."""

import asyncio
import unittest

from returns.result import Failure, Success

from papayatack.control.snapshots import SnapshotPolicy
from papayatack.core.checkpoint import compute_payload_digest
from papayatack.core.ownership import apply_record, dump_state, load_state
from papayatack.core.ownership.selection import TailPolicy
from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.logservice.interface import LogFailure, LogFailureKind
from papayatack.wire.records import decode_record
from tests.fakes.clocks import FreezableLoop
from tests.fakes.nodes import NodeFixture

KEYS = [f"key-{number}" for number in range(8)]
PLACES = {"a": "east", "b": "west", "c": "south"}
INTERVAL_S = 5.0
SETTLED_S = 15.0
POLICY = TailPolicy(small_fleet_size=2, tailers_per_data_centre=1)


class MemorySnapshots:
    """Keeps all snapshots that were stored, with the nodes that wrote them.

    Attributes:
        fails: Whether snapshots are refused.
        attempts: Number of snapshots that nodes tried to store.
    """

    def __init__(self):
        self.stored = []
        self.fails = False
        self.attempts = 0

    async def write_snapshot(self, snapshot, *, timeout_s):
        """Keep a snapshot."""
        self.attempts += 1
        if self.fails:
            return Failure(LogFailure(kind=LogFailureKind.REFUSED))
        self.stored.append(snapshot)
        return Success(None)


class SnapshotFixture(NodeFixture):
    """Nodes that store snapshots."""

    def __init__(self):
        super().__init__(tailing=POLICY)
        self.snapshots = MemorySnapshots()

    def build_options(self):
        """Return where snapshots are stored."""
        policy = SnapshotPolicy(store=self.snapshots, interval_s=INTERVAL_S)
        return {"snapshots": policy}

    def read_payload(self, offset):
        """Return a record of the ownership stream."""
        return self.store.get_stream(OWNERSHIP_STREAM).records[offset][1]


class SnapshotWriterTests(unittest.TestCase):
    """Snapshots that nodes of a fleet store."""

    def run_fleet(self, scenario):
        """Run a scenario with three nodes that have served for a while."""

        async def run():
            fixture = SnapshotFixture()
            fixture.publish()
            for address, place in PLACES.items():
                fixture.start(address, place)
            await fixture.wait_served(KEYS, SETTLED_S)
            await asyncio.sleep(SETTLED_S)
            await scenario(fixture)
            await fixture.stop()

        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            runner.run(run())

    def test_state_after_the_snapshot_and_the_records_that_follow_is_that_of_the_nodes(
        self,
    ):
        """Both are equal to the last byte."""

        async def scenario(fixture):
            first = fixture.snapshots.stored[0]
            last = compute_payload_digest(fixture.read_payload(first.covers - 1))
            self.assertEqual(first.last_record, last)
            state = load_state(first.document)
            node = fixture.network.nodes["a"]
            for offset in range(first.covers, node.core.state.next_offset):
                payload = fixture.read_payload(offset)
                record = decode_record(OWNERSHIP_STREAM, payload).unwrap()
                apply_record(state, offset, record)
            self.assertEqual(dump_state(state), dump_state(node.core.state))

        self.run_fleet(scenario)

    def test_one_node_stores_and_only_after_changes(self):
        """A fleet without news stores nothing."""

        async def scenario(fixture):
            stored = fixture.snapshots.stored
            self.assertEqual(len({snapshot.writer for snapshot in stored}), 1)
            covers = [snapshot.covers for snapshot in stored]
            self.assertEqual(covers, sorted(set(covers)))
            end = fixture.store.get_stream(OWNERSHIP_STREAM).end
            await asyncio.sleep(10 * INTERVAL_S)
            unchanged = fixture.store.get_stream(OWNERSHIP_STREAM).end == end
            self.assertTrue(unchanged)
            self.assertEqual(stored[-1].covers, end)

        self.run_fleet(scenario)

    def test_another_node_stores_after_the_loss_of_the_first(self):
        """Its snapshot covers the records about the loss."""

        async def scenario(fixture):
            stored = fixture.snapshots.stored
            writer = stored[-1].writer
            await fixture.kill(writer.split("#")[0])
            await asyncio.sleep(SETTLED_S + INTERVAL_S)
            self.assertNotEqual(stored[-1].writer, writer)
            end = fixture.store.get_stream(OWNERSHIP_STREAM).end
            self.assertEqual(stored[-1].covers, end)

        self.run_fleet(scenario)

    def test_snapshot_that_was_refused_is_stored_later(self):
        """The node tries again."""

        async def scenario(fixture):
            fixture.snapshots.fails = True
            stored = len(fixture.snapshots.stored)
            fixture.start("d", "east")
            await asyncio.sleep(SETTLED_S)
            self.assertGreater(fixture.snapshots.attempts, stored)
            fixture.snapshots.fails = False
            await asyncio.sleep(INTERVAL_S)
            self.assertGreater(len(fixture.snapshots.stored), stored)

        self.run_fleet(scenario)
