"""Tests of how orders to evacuate data centres reach the configuration of a node."""

import json
import random
import unittest

from papayatack.core.inventory import Place
from papayatack.core.records import CONFIG_STREAM
from papayatack.observability.metrics import Metrics
from papayatack.platform.manifest import ManifestDecoder, ManifestFold
from papayatack.platform.store import PlatformStore
from standins.platformstore import StoreServer
from tests.platform.documents import build_manifest

TOPIC = "keyed.op"
TIMEOUT_S = 1.0
NAMES = ("east", "west", "south")
PLACES = tuple(Place(name=name, region="r") for name in NAMES)
SEEDS = 30
STEPS = 40


class Reader:
    """The config stream as one node follows it, from the store and from other nodes."""

    def __init__(self, port):
        self.metrics = Metrics()
        self.store = PlatformStore(
            host="127.0.0.1", port=port, metrics=self.metrics, rng=random.Random(1)
        )
        self.decoder = ManifestDecoder(places=PLACES, metrics=self.metrics)
        self.fold = ManifestFold(places=PLACES)
        self.newest = (-1, b"")

    async def read(self):
        """Read one page from the store and apply it."""
        offset = self.fold.next_offset
        result = await self.store.read(
            CONFIG_STREAM, offset, limit=500, wait_s=0.0, timeout_s=TIMEOUT_S
        )
        page = result.value_or(None)
        if page is not None:
            for number, payload in enumerate(page.payloads, page.first):
                self.receive(number, payload)
        return page

    def receive(self, offset, payload):
        """Apply a record that was read or that another node forwarded."""
        if offset < self.fold.next_offset:
            return
        self.newest = (offset, payload)
        record = self.decoder.decode(CONFIG_STREAM, offset, payload).record
        self.fold.apply(offset, record)

    @property
    def evacuated(self):
        """Names of the evacuated data centres, in order."""
        return sorted(self.fold.configuration.evacuated)


class EvacuationRecordTests(unittest.IsolatedAsyncioTestCase):
    """Composition of config records, and their order."""

    async def asyncSetUp(self):
        self.server = StoreServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.store = self.server.store

    def add_reader(self):
        """Return the config stream of one more node."""
        reader = Reader(self.server.port)
        self.addAsyncCleanup(reader.store.close)
        return reader

    def publish(self, version=12):
        """Write a manifest and return its text."""
        manifest = build_manifest(version=f"{version:08x}")
        self.store.append(TOPIC, b"config", manifest)
        return manifest

    def order(self, name, value=b"{}"):
        """Write an order, or take it back if the value is empty."""
        self.store.append(TOPIC, b"evacuate/" + name.encode(), value)

    async def test_record_without_an_evacuation_is_the_manifest(self):
        """Byte for byte, also after the last order was taken back."""
        reader = self.add_reader()
        manifest = self.publish()
        await reader.read()
        self.assertEqual(reader.newest, (0, manifest))
        self.order("east")
        await reader.read()
        self.assertNotEqual(reader.newest[1], manifest)
        self.order("east", b"")
        await reader.read()
        self.assertEqual(reader.newest, (2, manifest))

    async def test_order_and_return_come_without_a_newer_manifest(self):
        """Each one is a record at a newer offset, with the same manifest."""
        reader = self.add_reader()
        self.publish()
        await reader.read()
        self.order("east")
        await reader.read()
        self.assertEqual(reader.evacuated, ["east"])
        self.assertEqual(reader.fold.version, 12)
        self.order("west")
        self.order("east", b"")
        page = await reader.read()
        self.assertEqual((page.first, len(page.payloads)), (3, 1))
        self.assertEqual(reader.evacuated, ["west"])
        self.assertIsNotNone(reader.fold.configuration.bounds)

    async def test_newer_manifest_keeps_the_evacuations(self):
        """Also where the order came before the first manifest."""
        reader = self.add_reader()
        self.order("east")
        await reader.read()
        self.assertEqual(reader.fold.version, 0)
        self.publish(12)
        await reader.read()
        self.publish(13)
        await reader.read()
        self.assertEqual((reader.fold.version, reader.evacuated), (13, ["east"]))

    async def test_node_that_starts_in_between_has_the_orders(self):
        """From the history, and from the newest records once that has expired."""
        self.order("east")
        self.publish()
        self.order("west")
        self.order("east", b"")
        for _ in range(2):
            reader = self.add_reader()
            await reader.read()
            self.assertEqual(reader.evacuated, ["west"])
            self.assertEqual(reader.fold.next_offset, 4)
            self.store.drop_history()

    async def test_removal_that_has_expired_is_seen(self):
        """The newest records show it by what they lack."""
        reader = self.add_reader()
        self.publish()
        self.order("east")
        await reader.read()
        self.order("east", b"")
        self.store.drop_history()
        page = await reader.read()
        self.assertEqual((page.first, reader.evacuated), (2, []))

    async def test_forwarded_record_is_not_lost_by_an_own_read(self):
        """A node that others fed composes its next record from the whole topic."""
        first, second = self.add_reader(), self.add_reader()
        self.publish()
        await second.read()
        self.order("east")
        await first.read()
        second.receive(*first.newest)
        self.order("west")
        await second.read()
        self.assertEqual(second.evacuated, ["east", "west"])

    async def test_older_record_does_not_bring_back_an_older_set(self):
        """A record that was long on its way is ignored."""
        reader, late = self.add_reader(), self.add_reader()
        self.publish()
        self.order("east")
        await late.read()
        self.order("east", b"")
        await reader.read()
        reader.receive(*late.newest)
        offset, payload = late.newest
        record = reader.decoder.decode(CONFIG_STREAM, offset, payload).record
        reader.fold.apply(offset, record)
        self.assertEqual(reader.evacuated, [])

    async def test_store_that_returns_from_an_older_copy_counts(self):
        """The set is that of the newer era, the manifest stays the newest one."""
        self.store.era = 4
        reader = self.add_reader()
        self.publish(12)
        self.order("west")
        copy = self.store.copy()
        self.publish(13)
        self.order("east")
        for _ in range(3):
            await reader.read()
        self.assertEqual(reader.evacuated, ["east", "west"])
        self.store.return_from(copy)
        for _ in range(3):
            await reader.read()
        self.assertEqual((reader.fold.version, reader.evacuated), (13, ["west"]))
        self.order("east")
        await reader.read()
        self.assertEqual(reader.evacuated, ["east", "west"])

    async def test_many_records_need_several_pages(self):
        """The newest records of over 500 keys are read in pages."""
        for number in range(700):
            self.store.append(TOPIC, b"other/%d" % number, b"x")
        self.order("south")
        self.publish()
        self.store.drop_history()
        reader = self.add_reader()
        await reader.read()
        self.assertEqual((reader.fold.version, reader.evacuated), (12, ["south"]))
        self.order("south", b"")
        await reader.read()
        self.assertEqual(reader.evacuated, [])

    async def test_foreign_and_malformed_keys_are_ignored(self):
        """They are counted; the orders beside them hold."""
        reader = self.add_reader()
        self.publish()
        for key in (b"evacuate/", b"evacuate/\xff", b"evacuate/a\nb", b"evacuated/x"):
            self.store.append(TOPIC, key, b"{}")
        self.order("mars")
        self.order("east", b"not json")
        await reader.read()
        self.assertEqual(reader.evacuated, ["east"])
        read_count = reader.metrics.read_count
        self.assertEqual(read_count("evacuations_ignored", "malformed"), 3)
        self.assertEqual(read_count("evacuations_ignored", "unknown"), 1)

    async def test_calls_are_as_few_as_before(self):
        """A node that follows the store needs one call for a change, or for none."""
        reader = self.add_reader()
        self.publish()
        await reader.read()
        self.order("east")
        await reader.read()
        await reader.read()
        self.assertEqual(
            reader.metrics.read_count("store_calls", f"read {CONFIG_STREAM}"), 3
        )
        self.assertEqual(
            reader.metrics.read_count("store_calls", f"newest {CONFIG_STREAM}"), 0
        )

    async def test_all_nodes_agree_whatever_they_read_and_when(self):
        """Orders, manifests, lost history, returns and forwarded records, by chance."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                await self.check_agreement(random.Random(seed))

    async def check_agreement(self, rng):
        """Compare readers that read at random with the store, after a last read."""
        self.server.store.__init__()
        self.store.era = 1
        readers = [self.add_reader() for _ in range(3)]
        self.publish(1)
        copies = [self.store.copy()]
        for step in range(STEPS):
            name = rng.choice(NAMES)
            match rng.randrange(12):
                case 0 | 1 | 2:
                    self.order(name, rng.choice((b"{}", b"")))
                case 3:
                    self.publish(step + 2)
                case 4:
                    self.store.append(TOPIC, b"other/%d" % rng.randrange(3), b"x")
                case 5:
                    self.store.drop_history()
                case 6 if rng.random() < 0.3:
                    self.store.return_from(rng.choice(copies))
                    copies = [self.store.copy()]
                case 7:
                    sender, reader = rng.sample(readers, 2)
                    if sender.newest[0] >= 0:
                        reader.receive(*sender.newest)
                case 8:
                    copies.append(self.store.copy())
                case _:
                    await rng.choice(readers).read()
        expected = sorted(
            key.decode().partition("/")[2]
            for key, _, _ in self.store.list_newest(TOPIC)
            if key.startswith(b"evacuate/")
        )
        for reader in readers:
            for _ in range(3):
                await reader.read()
            self.assertEqual(reader.evacuated, expected)
        newest = {key: value for key, value, _ in self.store.list_newest(TOPIC)}
        manifest = newest[b"config"]
        version = int(json.loads(manifest)["Version"], 16)
        self.assertTrue(all(reader.fold.version >= version for reader in readers))
