"""Tests of papayatack.platform.snapshots."""

import asyncio
import random
import unittest
from unittest import mock

import looptime
from returns.pipeline import is_successful
from returns.result import Success

from papayatack.logservice.interface import LogFailureKind, StoredSnapshot
from papayatack.observability.metrics import Metrics
from papayatack.platform import store_calls
from papayatack.platform.snapshots import MAX_PARTS, PART_BYTES
from papayatack.platform.store import PlatformStore
from papayatack.platform.store_calls import SNAPSHOT_TOPIC
from standins.platformstore import StoreServer
from tests.platform.test_history import DirectClient

TIMEOUT_S = 1.0
ODD_PARTS = (
    b"",
    b"no header",
    b"[]\n",
    b'{"snapshot":"x","index":0,"count":1}\n',
    b"\xff" * 300,
)


def make_snapshot(covers=7, *, size=10):
    """Return a snapshot whose document cannot be compressed much."""
    document = random.Random(covers).randbytes(size).hex()
    return StoredSnapshot(
        writer="n#1", covers=covers, last_record="d", document=document
    )


class PlatformSnapshotTests(unittest.TestCase):
    """Snapshots in a stand-in of the store."""

    def setUp(self):
        self.server = StoreServer()
        DirectClient.server = self.server

    def run_store(self, scenario):
        """Run a scenario with a function that creates a node's client of the store."""

        def create():
            return PlatformStore(host="", port=0, metrics=Metrics())

        with (
            mock.patch.object(store_calls, "HttpClient", DirectClient),
            asyncio.Runner(loop_factory=looptime.new_event_loop) as runner,
        ):
            runner.run(scenario(create))

    async def write(self, store, snapshot):
        """Store a snapshot; return whether that succeeded."""
        result = await store.write_snapshot(snapshot, timeout_s=TIMEOUT_S)
        return is_successful(result)

    def test_newest_snapshot_is_read_whatever_their_sizes(self):
        """Parts that are left of an earlier, larger one are ignored."""

        async def scenario(create):
            store = create()
            for covers, size in ((5, 3 * PART_BYTES), (6, 10), (7, 2 * PART_BYTES)):
                snapshot = make_snapshot(covers, size=size)
                self.assertTrue(await self.write(store, snapshot))
                found = await create().read_snapshot(timeout_s=TIMEOUT_S)
                self.assertEqual(found, Success(snapshot))

        self.run_store(scenario)

    def test_no_snapshot(self):
        """A store without a snapshot, or with odd records in its place, has none."""

        async def scenario(create):
            found = await create().read_snapshot(timeout_s=TIMEOUT_S)
            self.assertEqual(found, Success(None))
            for value in ODD_PARTS:
                self.server.store.append(SNAPSHOT_TOPIC, b"part-0000", value)
                found = await create().read_snapshot(timeout_s=TIMEOUT_S)
                self.assertEqual(found, Success(None), value[:20])

        self.run_store(scenario)

    def test_store_that_knows_no_such_topic_has_no_snapshot(self):
        """A node starts without it, but waits for a store that is away."""

        async def scenario(create):
            for status in (400, 403, 404):
                self.server.refuse_with = status
                found = await create().read_snapshot(timeout_s=TIMEOUT_S)
                self.assertEqual(found, Success(None), status)
            for status in (429, 500, 503):
                self.server.refuse_with = status
                found = await create().read_snapshot(timeout_s=TIMEOUT_S)
                self.assertFalse(is_successful(found), status)

        self.run_store(scenario)

    def test_snapshot_without_one_of_its_parts_is_none(self):
        """A part of another snapshot does not replace it."""

        async def scenario(create):
            store = create()
            await self.write(store, make_snapshot(5, size=2 * PART_BYTES))
            records = self.server.store.find(SNAPSHOT_TOPIC).records
            older = records[1]
            await self.write(store, make_snapshot(6, size=2 * PART_BYTES))
            self.server.store.append(SNAPSHOT_TOPIC, *older)
            found = await create().read_snapshot(timeout_s=TIMEOUT_S)
            self.assertEqual(found, Success(None))

        self.run_store(scenario)

    def test_snapshot_of_another_node_is_not_replaced_unseen(self):
        """The first attempt after it fails, and the next one does not."""

        async def scenario(create):
            first, second = create(), create()
            self.assertTrue(await self.write(first, make_snapshot(5)))
            result = await second.write_snapshot(make_snapshot(6), timeout_s=TIMEOUT_S)
            self.assertIs(result.failure().kind, LogFailureKind.REFUSED)
            self.assertTrue(await self.write(second, make_snapshot(6)))
            found = await create().read_snapshot(timeout_s=TIMEOUT_S)
            self.assertEqual(found, Success(make_snapshot(6)))

        self.run_store(scenario)

    def test_state_that_is_too_large_is_not_stored(self):
        """The earlier snapshot remains."""

        async def scenario(create):
            store = create()
            await self.write(store, make_snapshot(5))
            large = make_snapshot(6, size=MAX_PARTS * PART_BYTES * 2)
            self.assertFalse(await self.write(store, large))
            found = await store.read_snapshot(timeout_s=TIMEOUT_S)
            self.assertEqual(found, Success(make_snapshot(5)))

        self.run_store(scenario)

    def test_nothing_is_stored_before_the_offsets_of_the_era_are_known(self):
        """The node may have applied records that the store has lost."""

        async def scenario(create):
            self.server.store.era = 4
            store = create()
            await store.read_snapshot(timeout_s=TIMEOUT_S)
            self.assertFalse(await self.write(store, make_snapshot(5)))

        self.run_store(scenario)
