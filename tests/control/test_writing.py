"""Tests of papayatack.control.writing."""

import asyncio
import random
import unittest

from returns.result import Failure, Success

from papayatack.control.retirements import (
    KEEPERS,
    MAX_KEPT,
    MAX_KEPT_S,
    RANK_DELAY_S,
    RETRY_S,
    RetirementKeeper,
    list_keepers,
)
from papayatack.control.writing import (
    HANDOVER_INTERVAL_S,
    MAX_QUEUED_RECORDS,
    RecordWriter,
)
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
        self.hangs = False
        self.records = []

    async def append(self, record, *, deadline_s):
        """Return immediately, unless ``hangs`` is set."""
        self.records.append(record)
        if self.hangs:
            await asyncio.Event().wait()
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

    def make_admit(self, writer):
        """Return a record of the next lease of a node."""
        lease = LeaseId(writer, 2)
        return Admit(record_id="b", writer=writer, lease=lease, witnesses=())

    def make_core(self, name):
        """Return the core of another node with the same state."""
        return NodeCore(
            announcement=make_announcement(name=name),
            state=self.core.state,
            now=0.0,
            find_service=lambda service: None,
        )

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

    async def test_retire_is_handed_over_while_an_append_hangs(self):
        """The node ends soon, and other records may be queued before this one."""
        self.appender.hangs = True
        self.writer.put(self.make_admit(LOCAL))
        self.writer.put(self.make_record())
        await asyncio.sleep(HANDOVER_INTERVAL_S + 0.05)
        message = RelayRecord(payload=encode_record(self.make_record()))
        self.assertCountEqual(self.sent, [(OTHER, message), (THIRD, message)])

    async def test_retire_that_took_effect_is_not_handed_over(self):
        """The other nodes know the end from the log."""
        self.writer.put(self.make_record())
        await self.settle()
        self.apply(self.make_record())
        await asyncio.sleep(HANDOVER_INTERVAL_S + 0.05)
        self.assertEqual(self.sent, [])

    async def test_retire_of_another_node_is_kept_until_it_has_taken_effect(self):
        """Its writer is gone, so that nobody else makes the record again."""
        self.appender.fails = True
        record = self.make_record(OTHER)
        self.writer.receive(RelayRecord(payload=encode_record(record)), OTHER)
        await asyncio.sleep(2 * RETRY_S)
        self.assertGreater(len(self.appender.records), 1)
        self.appender.fails = False
        await asyncio.sleep(2 * RETRY_S)
        self.apply(record)
        count = len(self.appender.records)
        await asyncio.sleep(2 * RETRY_S)
        self.assertEqual(self.appender.records, [record] * count)

    async def test_keepers_do_not_append_a_retire_at_once(self):
        """One that comes later in the order of the keepers lets the others go first."""
        record = self.make_record(OTHER)
        for writer in ("127.0.0.1:9#d", "127.0.0.1:10#e"):
            self.apply(make_announcement(writer, writer))
        keepers = list_keepers(self.core, OTHER, 0.0)
        self.assertEqual(keepers[0], LOCAL)
        last = RetirementKeeper(core=self.make_core(keepers[KEEPERS - 1]))
        last.keep(record, 0.0)
        self.assertIsNone(last.take_due(RANK_DELAY_S))
        self.assertEqual(last.take_due(KEEPERS * RANK_DELAY_S), record)

    async def test_kept_retires_are_bounded(self):
        """Neither their number nor their age grows without limit."""
        keeper = RetirementKeeper(core=self.core)
        record = self.make_record(OTHER)
        keeper.keep(record, 0.0)
        self.assertEqual(keeper.find_due_s(MAX_KEPT_S), float("inf"))
        for number in range(MAX_KEPT + 1):
            name = f"127.1.0.{number}:7#x"
            self.apply(make_announcement(name, name))
            keeper.keep(self.make_record(name), 1.0)
        taken = {keeper.take_due(2.0) for _ in range(MAX_KEPT + 1)}
        self.assertEqual(len(taken - {None}), MAX_KEPT)

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
