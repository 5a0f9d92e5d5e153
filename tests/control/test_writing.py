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
    """Notes what it is given, and fails if told to."""

    def __init__(self):
        self.fails = False
        self.records = []

    async def append(self, record, *, deadline_s):
        """Answer at once."""
        self.records.append(record)
        return Failure("turned away") if self.fails else Success(0)


class RecordWriterTests(unittest.IsolatedAsyncioTestCase):
    """A node beside two others."""

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
        """Fold a record."""
        self.core.apply_record(self.core.state.next_offset, record, now=0.0)

    def make_record(self, writer=LOCAL):
        """Return a record of a writer."""
        return Retire(record_id="r", writer=writer, incarnation=writer)

    async def settle(self):
        """Let the task do what it can."""
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_record_is_appended(self):
        """Nobody else is asked."""
        self.writer.put(self.make_record())
        await self.settle()
        self.assertEqual(self.appender.records, [self.make_record()])
        self.assertEqual(self.sent, [])

    async def test_what_the_log_turns_away_others_append(self):
        """They may reach it; the writer stays the same."""
        self.appender.fails = True
        self.writer.put(self.make_record())
        await self.settle()
        message = RelayRecord(payload=encode_record(self.make_record()))
        self.assertCountEqual(self.sent, [(OTHER, message), (THIRD, message)])

    async def test_relayed_record_is_appended_and_goes_no_further(self):
        """Else it would go round while the log is down."""
        self.appender.fails = True
        record = self.make_record(OTHER)
        self.writer.receive(RelayRecord(payload=encode_record(record)), OTHER)
        await self.settle()
        self.assertEqual(self.appender.records, [record])
        self.assertEqual(self.sent, [])

    async def test_record_of_another_writer_is_refused(self):
        """A node may ask for its own records alone."""
        payload = encode_record(self.make_record(THIRD))
        self.writer.receive(RelayRecord(payload=payload), OTHER)
        self.writer.receive(RelayRecord(payload=b"{"), OTHER)
        await self.settle()
        self.assertEqual(self.appender.records, [])

    async def test_waiting_records_are_bounded(self):
        """What is dropped is due again later."""
        for _ in range(MAX_QUEUED_RECORDS + 5):
            self.writer.put(self.make_record())
        await self.settle()
        self.assertLessEqual(len(self.appender.records), MAX_QUEUED_RECORDS)
