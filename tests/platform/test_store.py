"""Tests of papayatack.platform.store against a fake store."""

import unittest

from returns.result import Failure, Success

from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.logservice.interface import LogFailureKind
from papayatack.observability.metrics import Metrics
from papayatack.platform.store import PlatformStore
from standins.platformstore import StoreServer

TIMEOUT_S = 1.0
MANIFEST_BYTES = 330_000


class PlatformStoreTests(unittest.IsolatedAsyncioTestCase):
    """Appends and reads, and failures of the store."""

    async def asyncSetUp(self):
        self.server = StoreServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.metrics = Metrics()
        self.store = PlatformStore(
            host="127.0.0.1", port=self.server.port, metrics=self.metrics
        )
        self.addAsyncCleanup(self.store.close)

    async def append(self, payload):
        """Append to the ownership stream."""
        return await self.store.append(OWNERSHIP_STREAM, payload, timeout_s=TIMEOUT_S)

    async def read(self, stream, offset, wait_s=0.0):
        """Read a stream."""
        return await self.store.read(
            stream, offset, limit=500, wait_s=wait_s, timeout_s=TIMEOUT_S
        )

    async def test_appended_records_are_read_in_order(self):
        """Each record has the offset that its append returned."""
        for number in range(3):
            self.assertEqual(await self.append(b"%d" % number), Success(number))
        page = (await self.read(OWNERSHIP_STREAM, 1)).unwrap()
        self.assertEqual((page.first, page.payloads, page.end), (1, (b"1", b"2"), 3))

    async def test_calls_are_counted_by_kind_and_stream(self):
        """Calls that return no records count as well."""
        await self.append(b"1")
        for stream in (OWNERSHIP_STREAM, CONFIG_STREAM, CONFIG_STREAM):
            await self.read(stream, 0)
        self.server.store.drop_history()
        await self.read(OWNERSHIP_STREAM, 0)
        counts = {
            f"{kind} {stream}": self.metrics.read_count(
                "store_calls", f"{kind} {stream}"
            )
            for kind in ("append", "read", "newest")
            for stream in (OWNERSHIP_STREAM, CONFIG_STREAM)
        }
        self.assertEqual(list(counts.values()), [1, 0, 2, 2, 1, 0])

    async def test_expired_history_is_read_from_the_newest_records(self):
        """The stream remains complete, since each record has a unique key."""
        for number in range(1200):
            self.server.store.append("keyed.ownership", b"k%d" % number, b"%d" % number)
        self.server.store.drop_history()
        page = (
            await self.store.read(
                OWNERSHIP_STREAM, 0, limit=5000, wait_s=0.0, timeout_s=TIMEOUT_S
            )
        ).unwrap()
        self.assertEqual(page.payloads[-1], b"1199")
        self.assertEqual(len(page.payloads), 1200)

    def count_newest(self):
        """Return the number of pages of newest records that were asked for."""
        return self.metrics.read_count("store_calls", f"newest {OWNERSHIP_STREAM}")

    async def test_expired_history_is_not_read_again_for_each_part_of_it(self):
        """A caller that takes 500 records at a time costs three pages of 500."""
        for number in range(1200):
            self.server.store.append("keyed.ownership", b"k%d" % number, b"%d" % number)
        self.server.store.drop_history()
        read = []
        while len(read) < 1200:
            page = (await self.read(OWNERSHIP_STREAM, len(read))).unwrap()
            read.extend(page.payloads)
        self.assertEqual(read, [b"%d" % number for number in range(1200)])
        self.assertEqual(self.count_newest(), 3)

    async def test_history_of_several_pages_goes_on_with_the_page_that_failed(self):
        """Pages that were read before a failure are not read again."""
        for number in range(1200):
            self.server.store.append("keyed.ownership", b"k%d" % number, b"%d" % number)
        self.server.store.drop_history()
        self.server.refuse_after = 2
        self.assertIsInstance(await self.read(OWNERSHIP_STREAM, 0), Failure)
        self.server.refuse_after = None
        page = (await self.read(OWNERSHIP_STREAM, 0)).unwrap()
        self.assertEqual(len(page.payloads), 500)
        self.assertEqual(self.count_newest(), 4)

    async def test_only_the_newest_manifest_is_returned(self):
        """Older manifests and the operators' other records are skipped."""
        store = self.server.store
        store.append("keyed.op", b"config", b"one")
        store.append("keyed.op", b"other", b"x")
        store.append("keyed.op", b"config", b"two")
        store.append("keyed.op", b"other", b"y")
        page = (await self.read(CONFIG_STREAM, 0)).unwrap()
        self.assertEqual((page.first, page.payloads), (2, (b"two",)))
        page = (await self.read(CONFIG_STREAM, 3)).unwrap()
        self.assertEqual(page.payloads, ())
        store.append("keyed.op", b"config", b"three")
        store.drop_history()
        page = (await self.read(CONFIG_STREAM, 3)).unwrap()
        self.assertEqual((page.first, page.payloads), (4, (b"three",)))

    def append_manifests(self, count, size):
        """Append manifests of a size, each of which begins with its number."""
        for number in range(count):
            content = b"%d" % number
            self.server.store.append("keyed.op", b"config", content.ljust(size))

    async def test_start_beside_a_long_history_reads_no_old_manifest(self):
        """The first page of the history does not reach the newest one."""
        self.append_manifests(12, MANIFEST_BYTES)
        page = (await self.read(CONFIG_STREAM, 0)).unwrap()
        self.assertEqual((page.first, page.end), (11, 12))
        self.assertEqual(page.payloads[0].strip(), b"11")

    async def test_reader_that_fell_behind_reads_no_old_manifest(self):
        """More manifests have come since than one page holds."""
        self.append_manifests(1, MANIFEST_BYTES)
        await self.read(CONFIG_STREAM, 0)
        self.append_manifests(12, MANIFEST_BYTES)
        page = (await self.read(CONFIG_STREAM, 1)).unwrap()
        self.assertEqual((page.first, page.end), (12, 13))
        self.assertEqual(page.payloads[0].strip(), b"11")

    async def test_refused_and_unknown_appends_are_distinguished(self):
        """Status 429 or 503 means no effect; any other but 200 leaves it unknown."""
        for status in (429, 503):
            self.server.refuse_with = status
            result = await self.append(b"x")
            self.assertIs(result.failure().kind, LogFailureKind.REFUSED)
            self.assertIsInstance(await self.read(OWNERSHIP_STREAM, 0), Failure)
        for status in (202, 304, 500, 600, 999):
            self.server.refuse_with = status
            result = await self.append(b"x")
            self.assertIs(result.failure().kind, LogFailureKind.UNKNOWN, status)
        self.server.refuse_with = None
        self.server.lose_answers = True
        result = await self.append(b"y")
        self.assertIs(result.failure().kind, LogFailureKind.UNKNOWN)
        self.server.lose_answers = False
        page = (await self.read(OWNERSHIP_STREAM, 0)).unwrap()
        self.assertEqual(page.payloads, (b"y",))

    async def test_malformed_page_is_refused(self):
        """A truncated or foreign response is a failed read."""
        self.server.garble = True
        await self.append(b"x")
        self.assertIsInstance(await self.read(OWNERSHIP_STREAM, 0), Failure)
