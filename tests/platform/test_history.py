"""Tests of the offsets of the ownership stream when the store returns from a copy."""

import asyncio
import json
import logging
import os
import random
import unittest
from unittest import mock

import looptime
from returns.pipeline import is_successful

from papayatack.core.checkpoint import compute_payload_digest
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.logservice.interface import LogFailureKind, StoredSnapshot
from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Request
from papayatack.observability.metrics import Metrics
from papayatack.platform import store_calls
from papayatack.platform.eras import EraTracker
from papayatack.platform.history import HistoryMap, Restoration
from papayatack.platform.store import PlatformStore
from standins.platformstore import StoreServer

TIMEOUT_S = 3.0
LATENCY_S = 0.004
START_S = 4.0
SEEDS = 12
SEEDS_VARIABLE = "PAPAYATACK_SEEDS"
STEPS = 120


class DirectClient:
    """Calls a stand-in of the store without sockets, after a latency."""

    server = None
    rng = random.Random(0)

    def __init__(self, *, host, port, max_response_bytes):
        self.is_cut = False

    async def close(self):
        """Do nothing."""

    async def call_with_headers(self, call, *, timeout_s, idle_timeout_s=None):
        """Return the status, content and headers of the answer."""
        if self.is_cut:
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        call.sent = True
        await asyncio.sleep(LATENCY_S * self.rng.random())
        body = BytesBody(data=call.body)
        request = Request(
            method=call.method.encode(), target=call.target.encode(), body=body
        )
        response = await self.server._handle(request)
        content = b""
        while data := await response.body.read():
            content += data
        await asyncio.sleep(LATENCY_S * self.rng.random())
        return response.status, content, response.headers


class Reader:
    """A node that applies the records of the stream, also those that peers forward.

    Attributes:
        records: The records that it has applied.
        is_lead: Whether it reads the log for all others.
        is_lost: Whether it must load the stream again.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.log = PlatformStore(
            host="",
            port=0,
            metrics=fleet.metrics,
            rng=random.Random(fleet.rng.random()),
        )
        self.records = []
        self.is_lost = False
        self.is_loaded = False

    @property
    def is_lead(self):
        """Whether it is the first of the nodes that have loaded the stream."""
        return self is next((r for r in self.fleet.readers if r.is_loaded), None)

    first = 0

    @property
    def end(self):
        """Offset after the newest record that it has applied."""
        return len(self.records)

    @property
    def peer_end(self):
        """Highest such offset of any node."""
        return max(reader.end for reader in self.fleet.readers)

    def read(self, offset):
        """Return an applied record."""
        return self.records[offset]

    def abandon(self):
        """Have the fleet start it anew."""
        self.is_lost = True

    async def run(self):
        """Load the stream, then follow it, until cancelled."""
        await self.load_snapshot()
        while True:
            wait_s = 0.2 if self.is_loaded else 0.0
            result = await self.log.read(
                OWNERSHIP_STREAM, self.end, limit=7, wait_s=wait_s, timeout_s=TIMEOUT_S
            )
            if not is_successful(result):
                failure = result.failure()
                if failure.kind is LogFailureKind.EXPIRED:
                    if self.is_loaded:
                        self.is_lost = True
                        return
                    self.records.clear()
                await asyncio.sleep(0.05)
                continue
            page = result.unwrap()
            if self.is_loaded and not self.reads:
                await asyncio.sleep(0.05)
                continue
            skipped = max(self.end - page.first, 0)
            self.records.extend(page.payloads[skipped:])
            if not self.is_loaded and self.end >= page.end:
                self.is_loaded = True
                self.log.serve_history(self)

    async def load_snapshot(self):
        """Begin with the records of the snapshot if the last one is in the stream."""
        result = await self.log.read_snapshot(timeout_s=TIMEOUT_S)
        snapshot = result.unwrap() if is_successful(result) else None
        if snapshot is None:
            return
        last = snapshot.covers - 1
        result = await self.log.read(
            OWNERSHIP_STREAM, last, limit=7, wait_s=0.0, timeout_s=TIMEOUT_S
        )
        payloads = result.unwrap().payloads if is_successful(result) else ()
        if payloads and compute_payload_digest(payloads[0]) == snapshot.last_record:
            self.fleet.late_starts += 1
            known = json.loads(snapshot.document)
            self.records = [text.encode() for text in known]

    async def store_snapshot(self):
        """Store a snapshot of the records that it has applied."""
        if not self.records:
            return
        snapshot = StoredSnapshot(
            writer="w",
            covers=self.end,
            last_record=compute_payload_digest(self.records[-1]),
            document=json.dumps([record.decode() for record in self.records]),
        )
        await self.log.write_snapshot(snapshot, timeout_s=TIMEOUT_S)

    @property
    def reads(self):
        """Whether it follows the log itself: the lead and one other do."""
        return self in [r for r in self.fleet.readers if r.is_loaded][:2]

    async def append(self, payload):
        """Append a record, again if it does not take effect."""
        while not self.is_lost and payload not in self.records:
            result = await self.log.append(
                OWNERSHIP_STREAM, payload, timeout_s=TIMEOUT_S
            )
            offset = result.unwrap() if is_successful(result) else None
            await asyncio.sleep(0.6)
            if offset is not None and payload in self.records[: offset + 1]:
                self.fleet.appended.append((offset, payload))


class Fleet:
    """Some readers of one store, and a random history."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.metrics = Metrics()
        self.server = StoreServer()
        self.server.store.era = 4
        self.readers = []
        self.tasks = {}
        self.appended = []
        self.appending = set()
        self.copies = [self.server.store.copy()]
        self.rejoined = 0
        self.late_starts = 0
        DirectClient.server = self.server
        DirectClient.rng = self.rng

    def start(self):
        """Start a node."""
        reader = Reader(self)
        self.readers.append(reader)
        self.tasks[reader] = asyncio.ensure_future(reader.run())
        return reader

    def stop(self, reader):
        """End a node."""
        self.readers.remove(reader)
        self.tasks.pop(reader).cancel()

    def replace_lost(self):
        """Start nodes anew that must load the stream again."""
        for reader in [r for r in self.readers if r.is_lost]:
            self.rejoined += 1
            self.stop(reader)
            self.start()

    def forward(self):
        """Pass the records of the node that has most on to the other nodes."""
        loaded = [r for r in self.readers if r.is_loaded and not r.is_lost]
        ahead = max(loaded, key=lambda reader: reader.end, default=None)
        for reader in loaded:
            reader.records.extend(ahead.records[reader.end :])

    def append(self, payload):
        """Have a node append a record."""
        loaded = [r for r in self.readers if r.is_loaded and not r.is_lost]
        if loaded:
            task = asyncio.ensure_future(self.rng.choice(loaded).append(payload))
            self.appending.add(task)
            task.add_done_callback(self.appending.discard)

    def store_snapshot(self):
        """Have a node store a snapshot."""
        loaded = [r for r in self.readers if r.is_loaded and not r.is_lost]
        if loaded:
            task = asyncio.ensure_future(self.rng.choice(loaded).store_snapshot())
            self.appending.add(task)
            task.add_done_callback(self.appending.discard)

    def return_from_copy(self):
        """Have the store return from one of its last copies."""
        copy = self.rng.choice(self.copies[-3:])
        self.server.store.return_from(copy)
        self.copies = [self.server.store.copy()]

    async def settle(self):
        """Wait until all nodes have the same records."""
        for _ in range(400):
            await asyncio.sleep(0.05)
            self.replace_lost()
            self.forward()
            lengths = {reader.end for reader in self.readers}
            if len(lengths) == 1 and not self.appending:
                return

    async def stop_all(self):
        """End all nodes."""
        for reader in list(self.readers):
            self.stop(reader)
        for task in self.appending:
            task.cancel()


class HistoryTestCase(unittest.TestCase):
    """Plays on a simulated clock."""

    def play(self, scenario, seed=1):
        """Run a scenario with three nodes that have loaded the stream."""

        async def run():
            fleet = Fleet(seed)
            for _ in range(3):
                fleet.start()
            await asyncio.sleep(START_S)
            await scenario(fleet)
            await fleet.stop_all()
            logging.getLogger("papayatack").warning("ended")
            return fleet

        with (
            mock.patch.object(store_calls, "HttpClient", DirectClient),
            self.assertLogs("papayatack", "WARNING") as logs,
            asyncio.Runner(loop_factory=looptime.new_event_loop) as runner,
        ):
            fleet = runner.run(run())
        self.messages = [record.getMessage() for record in logs.records]
        return fleet

    async def append_all(self, fleet, *payloads):
        """Append records one after the other."""
        for payload in payloads:
            await fleet.readers[0].append(payload)
            await asyncio.sleep(0.1)
        await fleet.settle()


class RestorationTests(HistoryTestCase):
    """What the store lost is there again, at the offsets that it had."""

    def test_lost_records_keep_their_offsets(self):
        async def scenario(fleet):
            await self.append_all(fleet, b"a", b"b")
            copy = fleet.server.store.copy()
            await self.append_all(fleet, b"c", b"d")
            fleet.server.store.return_from(copy)
            await asyncio.sleep(1.0)
            await self.append_all(fleet, b"e")
            fleet.start()
            await fleet.settle()
            for reader in fleet.readers:
                self.assertEqual(reader.records, [b"a", b"b", b"c", b"d", b"e"])
            for offset, payload in fleet.appended:
                self.assertIn(payload, fleet.readers[0].records[: offset + 1])

        fleet = self.play(scenario)
        self.assertEqual(fleet.rejoined, 0)
        self.assertEqual(self.messages.count("HISTORY_RESTORED"), 1)

    def test_snapshot_after_a_restoration_is_where_a_new_node_begins(self):
        """Its last record is found, though the store has it at another offset."""

        async def scenario(fleet):
            await self.append_all(fleet, b"a", b"b")
            copy = fleet.server.store.copy()
            await self.append_all(fleet, b"c")
            fleet.server.store.append("keyed.ownership", b"void", b"x")
            fleet.server.store.return_from(copy)
            await asyncio.sleep(1.0)
            await self.append_all(fleet, b"d")
            await fleet.readers[0].store_snapshot()
            await self.append_all(fleet, b"e")
            fleet.start()
            await fleet.settle()
            self.assertEqual(fleet.readers[-1].records, [b"a", b"b", b"c", b"d", b"e"])

        self.assertEqual(self.play(scenario).late_starts, 1)

    def test_snapshot_of_records_that_the_store_lost_is_not_used(self):
        """The topic of the snapshot is newer than the copy of the records."""

        async def scenario(fleet):
            await self.append_all(fleet, b"a", b"b")
            copy = fleet.server.store.copy()
            await self.append_all(fleet, b"c")
            await fleet.readers[0].store_snapshot()
            kept = fleet.server.store.copy()["keyed.ownership-state"]
            for reader in list(fleet.readers):
                fleet.stop(reader)
            fleet.server.store.return_from({**copy, "keyed.ownership-state": kept})
            fleet.start()
            await asyncio.sleep(START_S)
            await self.append_all(fleet, b"d")
            self.assertEqual(fleet.readers[0].records, [b"a", b"b", b"d"])

        self.assertEqual(self.play(scenario).late_starts, 0)

    def test_append_that_met_the_new_era_unawares_is_repeated(self):
        """The node learns of the era by the answer; its record takes effect once."""

        async def scenario(fleet):
            await self.append_all(fleet, b"a")
            copy = fleet.server.store.copy()
            await self.append_all(fleet, b"b")
            fleet.server.store.return_from(copy)
            await self.append_all(fleet, b"c")
            for reader in fleet.readers:
                self.assertEqual(reader.records, [b"a", b"b", b"c"])

        self.play(scenario)

    def test_several_returns_from_ever_older_copies(self):
        async def scenario(fleet):
            await self.append_all(fleet, b"a")
            older = fleet.server.store.copy()
            await self.append_all(fleet, b"b")
            newer = fleet.server.store.copy()
            await self.append_all(fleet, b"c")
            fleet.server.store.return_from(newer)
            await asyncio.sleep(1.0)
            fleet.server.store.return_from(older)
            await asyncio.sleep(1.0)
            await self.append_all(fleet, b"d")
            for reader in fleet.readers:
                self.assertEqual(reader.records, [b"a", b"b", b"c", b"d"])

        self.play(scenario)

    def test_starting_node_waits_for_the_restoration(self):
        """It does not take the copy for the whole stream."""

        async def scenario(fleet):
            await self.append_all(fleet, b"a")
            copy = fleet.server.store.copy()
            await self.append_all(fleet, b"b")
            for reader in fleet.readers:
                reader.log._calls._caller.is_cut = True
            fleet.server.store.return_from(copy)
            late = fleet.start()
            await asyncio.sleep(1.0)
            self.assertFalse(late.is_loaded)
            for reader in fleet.readers:
                reader.log._calls._caller.is_cut = False
            await asyncio.sleep(5.0)
            self.assertEqual(late.records[:2], [b"a", b"b"])

        self.play(scenario)

    def test_fleet_that_was_lost_as_a_whole_goes_on_with_the_copy(self):
        async def scenario(fleet):
            await self.append_all(fleet, b"a")
            copy = fleet.server.store.copy()
            await self.append_all(fleet, b"b")
            fleet.server.store.return_from(copy)
            for reader in list(fleet.readers):
                fleet.stop(reader)
            fleet.start()
            fleet.start()
            await asyncio.sleep(5.0)
            await self.append_all(fleet, b"c")
            for reader in fleet.readers:
                self.assertEqual(reader.records, [b"a", b"c"])

        self.play(scenario)


class RandomHistoryTests(HistoryTestCase):
    """Appends, returns from copies, ends and starts of nodes in random order."""

    def play_history(self, seed):
        """Play one history and check it."""

        async def scenario(fleet):
            await self.append_all(fleet, b"first")
            applied = set()
            for step in range(STEPS):
                action = fleet.rng.random()
                if action < 0.5:
                    fleet.append(b"%d" % step)
                elif action < 0.65:
                    fleet.copies.append(fleet.server.store.copy())
                elif action < 0.7:
                    fleet.return_from_copy()
                elif action < 0.75 and len(fleet.readers) > 2:
                    fleet.stop(fleet.rng.choice(fleet.readers[1:]))
                elif action < 0.8 and len(fleet.readers) < 6:
                    fleet.start()
                elif action < 0.9:
                    fleet.store_snapshot()
                elif action < 0.95:
                    fleet.server.store.drop_history(retained=fleet.rng.randrange(30))
                await asyncio.sleep(fleet.rng.choice((0.0, 0.01, 0.1, 0.4)))
                fleet.forward()
                fleet.replace_lost()
                if fleet.readers[0].is_loaded:
                    applied.update(fleet.readers[0].records)
            await fleet.settle()
            streams = {tuple(reader.records) for reader in fleet.readers}
            self.assertEqual(len(streams), 1, seed)
            (stream,) = streams
            self.assertLessEqual(applied, set(stream), seed)
            for offset, payload in fleet.appended:
                self.assertIn(payload, stream[: offset + 1], seed)

        return self.play(scenario, seed)

    def test_all_nodes_have_one_stream_and_no_applied_record_is_lost(self):
        """The variable ``PAPAYATACK_SEEDS=100:400`` chooses other seeds."""
        first, last = os.environ.get(SEEDS_VARIABLE, f"0:{SEEDS}").split(":")
        fleets = [self.play_history(seed) for seed in range(int(first), int(last))]
        self.assertTrue(any(fleet.late_starts for fleet in fleets))


class HistoryMapTests(unittest.TestCase):
    """Offsets in the store and in the stream."""

    def test_restoration_at_an_offset_that_had_one_ends_all_later_segments(self):
        """The store returned twice, the second time from an older copy."""
        history = HistoryMap()
        history.add(0, Restoration(era=4, base=0, first=0, count=0))
        history.add(1, Restoration(era=5, base=1, first=0, count=3))
        history.add(0, Restoration(era=6, base=0, first=0, count=3))
        self.assertEqual(history.find_in_store(0), 1)
        self.assertEqual(history.find_in_stream(3), 2)

    def test_void_records_have_no_offset_in_the_stream(self):
        history = HistoryMap()
        history.add(4, Restoration(era=2, base=3, first=3, count=2))
        voids = [offset for offset in range(8) if history.is_void(offset)]
        self.assertEqual(voids, [3, 4])
        self.assertEqual([history.find_in_store(n) for n in range(5)], [0, 1, 2, 5, 6])


class ManifestTests(HistoryTestCase):
    """The config stream, whose offsets contain the era."""

    def test_manifest_at_a_lower_offset_of_a_higher_era_is_read(self):
        async def scenario(fleet):
            store = fleet.server.store
            for version in range(5):
                store.append("keyed.op", b"config", b"%d" % version)
            log = fleet.readers[0].log
            read = {"limit": 9, "wait_s": 0.0, "timeout_s": 1.0}
            first = await log.read(CONFIG_STREAM, 0, **read)
            if not is_successful(first):
                first = await log.read(CONFIG_STREAM, 0, **read)
            page = first.unwrap()
            self.assertEqual(page.payloads, (b"4",))
            store.return_from({})
            store.append("keyed.op", b"config", b"9")
            await log.read(CONFIG_STREAM, page.end, **read)
            newer = (await log.read(CONFIG_STREAM, page.end, **read)).unwrap()
            self.assertEqual(newer.payloads, (b"9",))
            self.assertGreater(newer.first, page.end)

        self.play(scenario)


class EraTests(unittest.TestCase):
    """Eras that the store names."""

    def setUp(self):
        self.metrics = Metrics()
        self.eras = EraTracker(metrics=self.metrics)

    def observe(self, value):
        """Observe a response that names an era."""
        return self.eras.observe(((b"papayatack-store-era", value),))

    def test_store_without_eras(self):
        self.assertTrue(self.eras.observe(()))
        self.assertIsNone(self.eras.era)

    def test_response_of_an_earlier_era_is_not_used(self):
        self.observe(b"3")
        with self.assertLogs("papayatack", "WARNING"):
            self.assertTrue(self.observe(b"4"))
            self.assertFalse(self.observe(b"3"))
        self.assertEqual(self.eras.era, 4)
        self.assertEqual(self.metrics.read_count("store_eras", "fallen"), 1)

    def test_malformed_and_missing_eras_change_nothing(self):
        self.observe(b"3")
        with self.assertLogs("papayatack", "WARNING") as logs:
            for value in (b"", b"x", b"-1", b"4.0", b"12345678"):
                self.assertTrue(self.observe(value))
            self.assertTrue(self.eras.observe(()))
            self.assertTrue(self.eras.observe(()))
        self.assertEqual(self.eras.era, 3)
        self.assertEqual(len(logs.records), 6)
        self.assertEqual(self.metrics.read_count("store_eras", "malformed"), 5)
        self.assertEqual(self.metrics.read_count("store_eras", "missing"), 2)
