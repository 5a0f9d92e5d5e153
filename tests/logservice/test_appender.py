"""Tests of papayatack.logservice.appender."""

import asyncio

from returns.result import Failure, Success

from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.logservice.interface import LogFailureKind
from standins.logstore import Outage
from tests.logservice.helpers import (
    LogFixture,
    VirtualTimeTestCase,
    make_payload,
    make_retire,
)


class AppendTests(VirtualTimeTestCase):
    """Tests of Appender.append."""

    def test_appends_and_returns_the_offset(self):
        """A successful append returns the record's offset."""

        async def check():
            fixture = LogFixture()
            fixture.store.append(OWNERSHIP_STREAM, b"other")
            result = await fixture.appender.append(make_retire("a"), deadline_s=10)
            self.assertEqual(result, Success(1))

        self.run_virtually(check())

    def test_lost_response_is_resolved_by_reading(self):
        """The record is found at its offset and is not appended again."""

        async def check():
            fixture = LogFixture()
            fixture.store.append(OWNERSHIP_STREAM, b"garbage")
            fixture.store.faults.lose_answers = 1
            result = await fixture.appender.append(make_retire("a"), deadline_s=10)
            self.assertEqual(result, Success(1))
            self.assertEqual(fixture.store.append_count, 2)

        self.run_virtually(check())

    def test_refused_append_is_retried_until_the_outage_ends(self):
        """An outage shorter than the deadline only delays the append."""

        async def check():
            fixture = LogFixture()
            fixture.store.faults.outage = Outage.REFUSE
            append = fixture.appender.append(make_retire("a"), deadline_s=60)
            task = asyncio.create_task(append)
            await asyncio.sleep(20)
            fixture.store.faults.outage = Outage.NONE
            self.assertEqual(await task, Success(0))
            self.assertEqual(fixture.list_payloads(), [make_payload("a")])

        self.run_virtually(check())

    def test_refused_append_is_reported_as_refused(self):
        """If no call is in doubt, the record is certainly not in the log."""

        async def check():
            fixture = LogFixture()
            fixture.store.faults.outage = Outage.REFUSE
            result = await fixture.appender.append(make_retire("a"), deadline_s=10)
            self.assertIs(result.failure().kind, LogFailureKind.REFUSED)
            self.assertAlmostEqual(asyncio.get_running_loop().time(), 10)

        self.run_virtually(check())

    def test_hanging_service_leaves_the_outcome_unknown(self):
        """A call without a response by the deadline is not reported as refused."""

        async def check():
            fixture = LogFixture()
            fixture.store.faults.outage = Outage.HANG
            result = await fixture.appender.append(make_retire("a"), deadline_s=2)
            self.assertIs(result.failure().kind, LogFailureKind.UNKNOWN)

        self.run_virtually(check())

    def test_delayed_append_takes_effect_at_its_first_offset(self):
        """A delayed append of a record is found before the repeated append."""

        async def check():
            fixture = LogFixture()
            fixture.store.faults.outage = Outage.HANG
            append = fixture.appender.append(make_retire("a"), deadline_s=60)
            task = asyncio.create_task(append)
            await asyncio.sleep(6)
            fixture.store.append(OWNERSHIP_STREAM, make_payload("a"))
            fixture.store.append(OWNERSHIP_STREAM, make_payload("b"))
            fixture.store.faults.outage = Outage.NONE
            self.assertEqual(await task, Success(0))

        self.run_virtually(check())

    def test_retry_after_unknown_finds_the_first_append(self):
        """Appending the same record again returns the offset of the first append."""

        async def check():
            fixture = LogFixture()
            fixture.store.faults.outage = Outage.HANG
            record = make_retire("a")
            first = await fixture.appender.append(record, deadline_s=2)
            self.assertIsInstance(first, Failure)
            fixture.store.append(OWNERSHIP_STREAM, make_payload("a"))
            fixture.store.append(OWNERSHIP_STREAM, make_payload("b"))
            fixture.appender.observe(2)
            fixture.store.faults.outage = Outage.NONE
            second = await fixture.appender.append(record, deadline_s=60)
            self.assertEqual(second, Success(0))

        self.run_virtually(check())

    def test_search_continues_after_records_expire(self):
        """The search continues at the oldest retained record."""

        async def check():
            fixture = LogFixture()
            for number in range(5):
                fixture.store.append(OWNERSHIP_STREAM, make_payload(str(number)))
            fixture.store.expire(OWNERSHIP_STREAM, 3)
            fixture.store.faults.lose_answers = 1
            result = await fixture.appender.append(make_retire("a"), deadline_s=10)
            self.assertEqual(result, Success(5))

        self.run_virtually(check())

    def test_append_rate_is_limited(self):
        """Appends beyond the burst are delayed to the sustained rate."""

        async def check():
            fixture = LogFixture(rate_per_s=2.0)
            for number in range(30):
                record = make_retire(str(number))
                await fixture.appender.append(record, deadline_s=100)
            self.assertAlmostEqual(asyncio.get_running_loop().time(), 10)

        self.run_virtually(check())
