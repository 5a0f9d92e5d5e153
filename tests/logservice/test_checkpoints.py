"""Tests of papayatack.logservice.checkpoints."""

import asyncio
import dataclasses
import random

from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.logservice import RecordDecoder
from papayatack.logservice.checkpoints import CheckpointManager, Snapshot
from standins.logstore import Outage
from tests.logservice.helpers import LogFixture, VirtualTimeTestCase, make_payload

RETENTION_S = 3600.0


class FakeNode:
    """A node whose state is the list of record ids that it has applied."""

    def __init__(self, fixture, name, *, next_offset=0):
        self.fixture = fixture
        self.next_offset = next_offset
        self.complete = True
        self.ids = []
        self.available = True
        self.manager = CheckpointManager(
            stream=OWNERSHIP_STREAM,
            incarnation=name,
            retention_s=RETENTION_S,
            appender=fixture.appender,
            take_snapshot=self.take_snapshot,
            is_available=lambda: self.available,
            metrics=fixture.metrics,
            now=asyncio.get_running_loop().time(),
        )

    def take_snapshot(self):
        """Return a snapshot that is large enough for several chunks."""
        if not self.complete:
            return None
        filler = random.Random(1).randbytes(300_000).hex()
        return Snapshot(next_offset=self.next_offset, document=f"{self.ids} {filler}")

    def follow(self):
        """Apply all new records."""
        decoder = RecordDecoder(metrics=self.fixture.metrics)
        result = self.fixture.store.read(OWNERSHIP_STREAM, self.next_offset, limit=1000)
        page = result.unwrap()
        now = asyncio.get_running_loop().time()
        for logged in decoder.decode_page(OWNERSHIP_STREAM, page.first, page.payloads):
            self.manager.observe(logged.record, offset=logged.offset, now=now)
            self.next_offset = logged.offset + 1
            self.ids.append(logged.record and logged.record.record_id)


class CheckpointManagerTests(VirtualTimeTestCase):
    """Tests of CheckpointManager."""

    def count(self, fixture, reason):
        """Return the ``checkpoints`` counter of a reason."""
        return fixture.metrics.read_count("checkpoints", reason)

    def test_equal_states_are_counted_as_equal(self):
        """A node that reaches the offset of a checkpoint compares digests."""

        async def check():
            fixture = LogFixture()
            writer, reader = FakeNode(fixture, "a"), FakeNode(fixture, "b")
            fixture.store.append(OWNERSHIP_STREAM, make_payload("x"))
            writer.follow()
            self.assertTrue(await writer.manager.write())
            reader.follow()
            self.assertEqual(self.count(fixture, "equal"), 1)
            self.assertEqual(self.count(fixture, "read"), 1)
            self.assertEqual(self.count(fixture, "mismatch"), 0)

        self.run_virtually(check())

    def test_mismatch_is_counted(self):
        """A node whose state differs from a checkpoint counts a mismatch."""

        async def check():
            fixture = LogFixture()
            writer, reader = FakeNode(fixture, "a"), FakeNode(fixture, "b")
            reader.ids.append("phantom")
            await writer.manager.write()
            reader.follow()
            self.assertEqual(self.count(fixture, "mismatch"), 1)

        self.run_virtually(check())

    def test_one_node_writes_and_the_others_refrain(self):
        """If a checkpoint is due on ten nodes, only one node writes it."""

        async def check():
            fixture = LogFixture()
            nodes = [FakeNode(fixture, str(number)) for number in range(10)]
            tasks = [asyncio.create_task(node.manager.run()) for node in nodes]
            for _ in range(int(RETENTION_S / 8)):
                await asyncio.sleep(1)
                for node in nodes:
                    node.follow()
            for task in tasks:
                task.cancel()
            self.assertEqual(self.count(fixture, "written"), 1)

        self.run_virtually(check())

    def test_state_survives_an_outage_longer_than_the_retention(self):
        """If all records expired during the outage, the state is written again."""

        async def check():
            fixture = LogFixture(retention_s=RETENTION_S)
            node = FakeNode(fixture, "a")
            fixture.store.append(OWNERSHIP_STREAM, make_payload("x"))
            node.follow()
            task = asyncio.create_task(node.manager.run())
            fixture.store.faults.outage = Outage.HANG
            node.available = False
            await asyncio.sleep(3 * RETENTION_S)
            self.assertEqual(fixture.list_payloads(), [])
            fixture.store.faults.outage = Outage.NONE
            node.available = True
            for _ in range(90):
                await asyncio.sleep(1)
                node.follow()
            task.cancel()
            self.assertEqual(self.count(fixture, "written"), 1)

        self.run_virtually(check())

    def test_node_with_a_gap_writes_nothing(self):
        """A state that lacks records is never written."""

        async def check():
            fixture = LogFixture()
            node = FakeNode(fixture, "a")
            node.complete = False
            self.assertFalse(await node.manager.write())
            self.assertEqual(fixture.store.append_count, 0)

        self.run_virtually(check())

    def test_overtaken_writer_stops(self):
        """A node stops writing once another checkpoint covers as many records."""

        async def check():
            fixture = LogFixture()
            first, second = FakeNode(fixture, "a"), FakeNode(fixture, "b")
            await first.manager.write()
            second.follow()
            second.next_offset = 0
            self.assertFalse(await second.manager.write())
            self.assertEqual(self.count(fixture, "overtaken"), 1)

        self.run_virtually(check())

    def test_corrupted_chunk_is_counted(self):
        """A corrupted checkpoint is counted as unreadable and is not used."""

        async def check():
            fixture = LogFixture()
            writer, reader = FakeNode(fixture, "a"), FakeNode(fixture, "b")
            await writer.manager.write()
            decoder = RecordDecoder(metrics=fixture.metrics)
            for offset, payload in enumerate(fixture.list_payloads()):
                chunk = decoder.decode(OWNERSHIP_STREAM, offset, payload).record
                corrupted = dataclasses.replace(chunk, data=chunk.data[::-1])
                reader.manager.observe(corrupted, offset=offset, now=0.0)
            self.assertEqual(self.count(fixture, "unreadable"), 1)
            self.assertEqual(self.count(fixture, "read"), 0)

        self.run_virtually(check())
