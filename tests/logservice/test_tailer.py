"""Tests of papayatack.logservice.tailer."""

import asyncio
import contextlib
import random

from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.logservice.tailer import (
    EndReached,
    RecordsExpired,
    RecordsRead,
    Tailer,
)
from standins.logstore import Outage
from tests.logservice.helpers import LogFixture, VirtualTimeTestCase

SLOW_S = 1.2
WHILE_IT_WAITS_S = 2.0
LONG_S = 20.0
QUICK_S = 0.05
NEWS = 10


@contextlib.asynccontextmanager
async def follow(fixture, *, offset=0, maxsize=0, reports_end=False):
    """Run a tailer and yield it with its queue."""
    queue = asyncio.Queue(maxsize=maxsize)
    tailer = Tailer(
        log=fixture.log,
        stream=OWNERSHIP_STREAM,
        offset=offset,
        queue=queue,
        metrics=fixture.metrics,
        random=random.Random(1),
        reports_end=reports_end,
    )
    task = asyncio.create_task(tailer.run())
    yield tailer, queue
    task.cancel()


class TailerTests(VirtualTimeTestCase):
    """Tests of Tailer.run."""

    def test_records_are_delivered_in_order(self):
        """Records appended before and during tailing are delivered once, in order."""

        async def check():
            fixture = LogFixture()
            fixture.store.append(OWNERSHIP_STREAM, b"a")
            async with follow(fixture) as (_, queue):
                first = await queue.get()
                await asyncio.sleep(100)
                fixture.store.append(OWNERSHIP_STREAM, b"b")
                second = await queue.get()
            self.assertEqual((first.first, first.payloads), (0, (b"a",)))
            self.assertEqual((second.first, second.payloads), (1, (b"b",)))
            self.assertEqual(asyncio.get_running_loop().time(), 100)

        self.run_virtually(check())

    def test_time_for_an_answer_does_not_include_the_wait_for_records(self):
        """It is unknown if records came meanwhile."""

        async def check():
            fixture = LogFixture()
            fixture.store.faults.delay_s = SLOW_S
            async with follow(fixture, reports_end=True) as (_, queue):
                self.assertAlmostEqual((await queue.get()).response_s, SLOW_S)
                self.assertAlmostEqual((await queue.get()).response_s, SLOW_S)
                await asyncio.sleep(WHILE_IT_WAITS_S)
                fixture.store.append(OWNERSHIP_STREAM, b"a")
                self.assertIsInstance(await queue.get(), RecordsRead)
                self.assertIsNone((await queue.get()).response_s)

        self.run_virtually(check())

    def test_time_for_an_answer_includes_no_failure_and_no_full_queue(self):
        """Neither shows how fast the service is."""

        async def check():
            fixture = LogFixture()
            fixture.store.faults.outage = Outage.HANG
            async with follow(fixture, maxsize=1, reports_end=True) as (_, queue):
                await asyncio.sleep(LONG_S)
                fixture.store.faults.outage = Outage.NONE
                fixture.store.append(OWNERSHIP_STREAM, b"a")
                await asyncio.sleep(LONG_S)
                while not isinstance(message := await queue.get(), EndReached):
                    pass
                self.assertAlmostEqual(message.response_s or 0.0, 0.0)

        self.run_virtually(check())

    def test_resumes_after_outages(self):
        """After each kind of outage, reading resumes without a gap."""

        async def check():
            fixture = LogFixture()
            async with follow(fixture) as (tailer, queue):
                for number, outage in enumerate(list(Outage)[1:]):
                    await asyncio.sleep(10)
                    fixture.store.faults.outage = outage
                    await asyncio.sleep(3600)
                    self.assertFalse(tailer.available)
                    fixture.store.append(OWNERSHIP_STREAM, b"x")
                    fixture.store.faults.outage = Outage.NONE
                    message = await queue.get()
                    self.assertEqual(message.first, number)
                    self.assertTrue(tailer.available)

        self.run_virtually(check())

    def test_pause_after_a_failure_does_not_outlast_news_of_an_answer(self):
        """Another node tells that the service answers again."""

        async def check():
            fixture = LogFixture()
            loop = asyncio.get_running_loop()
            async with follow(fixture) as (tailer, queue):
                fixture.store.faults.outage = Outage.REFUSE
                await asyncio.sleep(LONG_S)
                fixture.store.faults.outage = Outage.NONE
                fixture.store.append(OWNERSHIP_STREAM, b"a")
                await asyncio.sleep(0.0)
                tailer.note_answer(loop.time())
                async with asyncio.timeout(QUICK_S):
                    await queue.get()

        self.run_virtually(check())

    def test_news_from_before_a_failure_does_not_end_the_pause(self):
        """The service may have been lost since."""

        async def check():
            fixture = LogFixture()
            async with follow(fixture) as (tailer, _):
                answered_s = asyncio.get_running_loop().time()
                fixture.store.faults.outage = Outage.REFUSE
                await asyncio.sleep(LONG_S)
                calls = fixture.metrics.read_count("log_reads", "refused")
                for _ in range(NEWS):
                    tailer.note_answer(answered_s)
                    await asyncio.sleep(0.01)
                later = fixture.metrics.read_count("log_reads", "refused")
                self.assertLessEqual(later - calls, 1)

        self.run_virtually(check())

    def test_calls_back_off_during_an_outage(self):
        """The maximum backoff limits the rate of calls during an outage."""

        async def check():
            fixture = LogFixture()
            fixture.store.faults.outage = Outage.REFUSE
            async with follow(fixture):
                await asyncio.sleep(3600)
            calls = fixture.metrics.read_count("log_reads", "refused")
            self.assertLess(calls, 3600 + 10)

        self.run_virtually(check())

    def test_expiry_is_reported(self):
        """The reader is told which records expired before it gets the next ones."""

        async def check():
            fixture = LogFixture()
            for _ in range(5):
                fixture.store.append(OWNERSHIP_STREAM, b"x")
            fixture.store.expire(OWNERSHIP_STREAM, 3)
            async with follow(fixture, offset=1) as (_, queue):
                expired = await queue.get()
                read = await queue.get()
            self.assertEqual(
                expired, RecordsExpired(stream=OWNERSHIP_STREAM, wanted=1, first=3)
            )
            self.assertIsInstance(read, RecordsRead)
            self.assertEqual(read.first, 3)

        self.run_virtually(check())

    def test_skipped_records_are_not_delivered(self):
        """Records that were received through a peer are not delivered again."""

        async def check():
            fixture = LogFixture()
            async with follow(fixture) as (tailer, queue):
                await asyncio.sleep(1)
                tailer.skip_to(1)
                fixture.store.append(OWNERSHIP_STREAM, b"a")
                fixture.store.append(OWNERSHIP_STREAM, b"b")
                message = await queue.get()
            self.assertEqual((message.first, message.payloads), (1, (b"b",)))

        self.run_virtually(check())

    def test_full_queue_blocks_the_tailer(self):
        """A slow reader limits the number of buffered records."""

        async def check():
            fixture = LogFixture()
            for _ in range(5000):
                fixture.store.append(OWNERSHIP_STREAM, b"x")
            async with follow(fixture, maxsize=1) as (tailer, queue):
                await asyncio.sleep(100)
                self.assertLessEqual(tailer.offset, 1000)
                offsets = [(await queue.get()).first for _ in range(10)]
            self.assertEqual(offsets, list(range(0, 5000, 500)))

        self.run_virtually(check())
