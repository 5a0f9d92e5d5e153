"""Tests of papayatack.control.writing."""

import asyncio
import random
import unittest

from returns.result import Failure, Success

from papayatack.control.writing import MAX_QUEUED_RECORDS, RecordWriter
from papayatack.core.identity import LeaseId
from papayatack.core.messages import RelayRecord
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.records import Admit, Retire
from papayatack.logservice.decoding import RecordDecoder
from papayatack.observability.metrics import Metrics
from papayatack.wire.records import encode_record
from tests.control.test_planning import LOCAL, OTHER, make_announcement

THIRD = "127.0.0.1:8#c"


class FakeAppender:
    """Records what is appended, and fails if ``fails`` is set."""

    def __init__(self):
        self.fails = False
        self.records = []

    async def append(self, record, *, deadline_s):
        """Return immediately."""
        self.records.append(record)
        return Failure("append rejected") if self.fails else Success(0)


class RecordWriterTests(unittest.IsolatedAsyncioTestCase):
    """The record writer of one of three nodes."""

    async def asyncSetUp(self):
        state = OwnershipState()
        self.core = NodeCore(
            announcement=make_announcement(),
            state=state,
            now=0.0,
            find_service=lambda name: None,
        )
        for name in (LOCAL, OTHER, THIRD):
            self.apply(make_announcement(name, name))
            lease = LeaseId(name, 1)
            record = Admit(record_id=f"a{name}", writer=name, lease=lease, witnesses=())
            self.apply(record)
        self.appender = FakeAppender()
        self.sent = []
        self.writer = RecordWriter(
            core=self.core,
            appender=self.appender,
            decoder=RecordDecoder(metrics=Metrics()),
            send=lambda recipient, message: self.sent.append((recipient, message)),
            metrics=Metrics(),
            random=random.Random(1),
        )
        running = asyncio.ensure_future(self.writer.run())
        self.addCleanup(running.cancel)

    def apply(self, record):
        """Apply a record to the state of the core."""
        self.core.apply_record(self.core.state.next_offset, record, now=0.0)

    def make_record(self, writer=LOCAL):
        """Return a record with the given writer."""
        return Retire(record_id="r", writer=writer, incarnation=writer)

    async def settle(self):
        """Let the writer task run until it waits."""
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_record_is_appended(self):
        """No other node is asked to append it."""
        self.writer.put(self.make_record())
        await self.settle()
        self.assertEqual(self.appender.records, [self.make_record()])
        self.assertEqual(self.sent, [])

    async def test_record_that_cannot_be_appended_is_relayed(self):
        """The log may accept it from other nodes; its writer stays the same."""
        self.appender.fails = True
        self.writer.put(self.make_record())
        await self.settle()
        message = RelayRecord(payload=encode_record(self.make_record()))
        self.assertCountEqual(self.sent, [(OTHER, message), (THIRD, message)])

    async def test_relayed_record_is_not_relayed_again(self):
        """Otherwise records would circulate while the log is unavailable."""
        self.appender.fails = True
        record = self.make_record(OTHER)
        self.writer.receive(RelayRecord(payload=encode_record(record)), OTHER)
        await self.settle()
        self.assertEqual(self.appender.records, [record])
        self.assertEqual(self.sent, [])

    async def test_relayed_record_of_another_writer_is_ignored(self):
        """A node may relay only its own records."""
        payload = encode_record(self.make_record(THIRD))
        self.writer.receive(RelayRecord(payload=payload), OTHER)
        self.writer.receive(RelayRecord(payload=b"{"), OTHER)
        await self.settle()
        self.assertEqual(self.appender.records, [])

    async def test_queued_records_are_bounded(self):
        """Records beyond the limit are dropped."""
        for _ in range(MAX_QUEUED_RECORDS + 5):
            self.writer.put(self.make_record())
        await self.settle()
        self.assertLessEqual(len(self.appender.records), MAX_QUEUED_RECORDS)
