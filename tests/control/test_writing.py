"""Tests of papayatack.control.writing."""

import asyncio
import dataclasses
import logging
import random
import unittest

from returns.result import Failure, Success

from papayatack.control.pending import (
    MAX_AGE_S,
    MAX_QUEUED_RECORDS,
    MAX_RELAYED_AGE_S,
    PendingRecord,
)
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
    CATCH_UP_CHECK_S,
    CATCH_UP_S,
    HANDOVER_INTERVAL_S,
    MIN_APPEND_S,
    PLAN_WAIT_S,
    RecordWriter,
)
from papayatack.core.identity import LeaseId
from papayatack.core.messages import RelayRecord
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.records import (
    Admit,
    Assign,
    Assignment,
    DeclareLost,
    Fenced,
    Retire,
)
from papayatack.logservice.decoding import RecordDecoder
from papayatack.observability.metrics import Metrics
from papayatack.wire.records import encode_record
from tests.control.test_planning import LOCAL, OTHER, SHARD, make_announcement

THIRD = "127.0.0.1:8#c"


class FakeAppender:
    """Records what is appended, and fails if ``fails`` is set."""

    def __init__(self):
        self.fails = False
        self.hangs = False
        self.records = []
        self.deadline_s = None

    @property
    def end(self):
        """Offset after the last record."""
        return len(self.records)

    async def append(self, record, *, deadline_s):
        """Return immediately, unless ``hangs`` is set."""
        self.records.append(record)
        self.deadline_s = deadline_s
        if self.hangs:
            await asyncio.Event().wait()
        return Failure("append rejected") if self.fails else Success(self.end - 1)


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
        self.metrics = Metrics()
        self.writer = RecordWriter(
            core=self.core,
            appender=self.appender,
            decoder=RecordDecoder(metrics=Metrics()),
            send=lambda recipient, message: self.sent.append((recipient, message)),
            metrics=self.metrics,
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

    def make_admit(self):
        """Return a record of the next lease of this node."""
        lease = LeaseId(LOCAL, 2)
        return Admit(record_id="b", writer=LOCAL, lease=lease, witnesses=())

    def make_fenced(self, name, record_id="f"):
        """Return a report that the lease of a node has ended."""
        lease = LeaseId(name, 1)
        return Fenced(record_id=record_id, writer=LOCAL, lease=lease, floor=0)

    def make_report(self, record_id):
        """Return a record that no other replaces."""
        return DeclareLost(record_id=record_id, writer=LOCAL, incarnations=(OTHER,))

    def make_assign(self, record_id, base_epoch=0, term=1):
        """Return an assignment of one shard to the third node."""
        lease = LeaseId(THIRD, term)
        part = Assignment(shard=SHARD, base_epoch=base_epoch, chain=(lease,))
        return Assign(record_id=record_id, writer=LOCAL, assignments=(part,))

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
        self.writer.put(self.make_admit())
        await self.settle()
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
        foreign = Retire(record_id="r", writer=OTHER, incarnation=THIRD)
        payload = encode_record(foreign)
        self.writer.receive(RelayRecord(payload=payload), OTHER)
        self.writer.receive(RelayRecord(payload=b"{"), OTHER)
        await self.settle()
        self.assertEqual(self.appender.records, [])

    async def test_queued_records_are_bounded(self):
        """Records beyond the limit are dropped, the least important first."""
        for number in range(MAX_QUEUED_RECORDS + 5):
            self.writer.put(self.make_report(str(number)))
        self.writer.put(self.make_record())
        for _ in range(MAX_QUEUED_RECORDS + 5):
            await self.settle()
        self.assertEqual(len(self.appender.records), MAX_QUEUED_RECORDS)
        self.assertEqual(self.appender.records[0], self.make_record())

    async def test_records_that_keep_the_node_a_member_precede_plans(self):
        """A planner must not starve its own lease and the ends of others."""
        records = [self.make_assign("p"), self.make_fenced(OTHER), self.make_admit()]
        self.writer.put_plan(records[:1])
        for record in (*records[1:], self.make_record()):
            self.writer.put(record)
        await self.settle()
        self.assertEqual(
            self.appender.records, [self.make_record(), *records[1:], records[0]]
        )

    async def test_new_plan_replaces_the_unsent_one(self):
        """The older one was made from an older state."""
        old, new = self.make_assign("old"), self.make_assign("new")
        first = self.writer.put_plan([old])
        self.writer.put_plan([new])
        await self.settle()
        self.assertEqual(self.appender.records, [new])
        self.assertTrue(first.has_failed)
        self.assertFalse(first.is_pending(0, asyncio.get_running_loop().time()))

    async def test_plan_is_pending_until_it_is_in_the_state(self):
        """An append alone does not change the state that the next plan is made from."""
        write = self.writer.put_plan([self.make_assign("p")])
        await self.settle()
        now = asyncio.get_running_loop().time()
        end = self.appender.end
        self.assertTrue(write.is_pending(end - 1, now))
        self.assertFalse(write.is_pending(end, now))
        self.assertFalse(write.has_failed)
        self.assertFalse(write.is_pending(end - 1, now + PLAN_WAIT_S))

    async def test_plan_that_could_not_be_appended_is_not_waited_for(self):
        """The planner makes another at once."""
        self.appender.fails = True
        write = self.writer.put_plan([self.make_assign("p")])
        await self.settle()
        self.assertTrue(write.has_failed)
        self.assertFalse(write.is_pending(0, asyncio.get_running_loop().time()))

    async def test_old_records_are_dropped(self):
        """Assignments and admissions say what was right some time ago."""
        for relayed, limit_s in ((False, MAX_AGE_S), (True, MAX_RELAYED_AGE_S)):
            for record in (self.make_assign("p"), self.make_admit()):
                entry = PendingRecord(record=record, put_s=5.0, is_relayed=relayed)
                state = self.core.state
                self.assertEqual(entry.find_obstacle(state, 5.0 + limit_s), "")
                self.assertEqual(entry.find_obstacle(state, 5.1 + limit_s), "old")
        entry = PendingRecord(record=self.make_fenced(OTHER), put_s=5.0)
        self.assertEqual(entry.find_obstacle(self.core.state, 50.0), "")

    async def test_return_of_the_log_is_logged_once(self):
        """The line tells what has gathered while appends failed."""
        self.appender.fails = True
        for record_id in ("a", "b"):
            self.writer.put(self.make_report(record_id))
        await self.settle()
        self.appender.fails = False
        with self.assertLogs("papayatack", logging.INFO) as logged:
            for record_id in ("c", "d"):
                self.writer.put(self.make_report(record_id))
            await self.settle()
        self.assertEqual([r.getMessage() for r in logged.records], ["APPENDS_RESUMED"])
        self.assertEqual(logged.records[0].queued, 1)

    async def test_records_of_others_are_awaited_after_a_failure(self):
        """Several nodes report the same end when the log is back."""
        self.appender.fails = True
        self.writer.put(self.make_report("a"))
        await self.settle()
        self.appender.fails = False
        self.appender.records = [None] * (self.core.state.next_offset + 1)
        first = self.make_report("b")
        self.writer.put(first)
        self.writer.put(self.make_assign("late"))
        await self.settle()
        self.assertEqual(self.appender.records[-1], first)
        while self.core.state.next_offset < self.appender.end:
            self.apply(self.make_assign(f"of another {self.core.state.next_offset}"))
        await asyncio.sleep(2 * CATCH_UP_CHECK_S)
        self.assertEqual(self.appender.records[-1], first)
        self.writer.put(self.make_assign("next", base_epoch=1))
        await self.settle()
        self.assertEqual(self.appender.records[-1].record_id, "next")

    async def test_wait_for_records_of_others_is_bounded(self):
        """The state may be late for other reasons."""
        self.appender.fails = True
        self.writer.put(self.make_report("a"))
        await self.settle()
        self.appender.fails = False
        self.appender.records = [None] * (self.core.state.next_offset + 1)
        last = self.make_assign("p")
        self.writer.put(self.make_report("b"))
        self.writer.put(last)
        await asyncio.sleep(CATCH_UP_S + 3 * CATCH_UP_CHECK_S)
        self.assertEqual(self.appender.records[-1], last)

    async def test_age_and_reasons_are_counted(self):
        """They tell whether a planner is too slow for the log."""
        self.apply(self.make_fenced(OTHER, "first"))
        self.writer.put(self.make_fenced(OTHER))
        self.writer.put(self.make_report("a"))
        await self.settle()
        reason = "Fenced lease ended"
        count = self.metrics.read_count("ownership_appends_dropped", reason)
        self.assertEqual(count, 1)
        text = self.metrics.format_text().decode()
        self.assertIn("papayatack_ownership_append_age_seconds", text)
        self.assertIn("papayatack_ownership_queue_records 0.0", text)

    async def test_append_of_a_record_ends_when_it_is_old(self):
        """It must not take effect long after the state has changed."""
        put_s = asyncio.get_running_loop().time()
        self.writer.put(self.make_admit())
        await self.settle()
        self.assertLessEqual(self.appender.deadline_s, put_s + MAX_AGE_S + 0.01)

    async def test_nearly_old_record_has_time_to_be_appended(self):
        """An append without any time would look like a log that is away."""
        now = asyncio.get_running_loop().time()
        put_s = now - MAX_AGE_S + 0.2
        self.writer._put(PendingRecord(record=self.make_admit(), put_s=put_s))
        await self.settle()
        self.assertGreaterEqual(self.appender.deadline_s, now + MIN_APPEND_S)

    async def test_record_that_is_void_already_is_not_appended(self):
        """Another node has reported the same end in the meantime."""
        self.apply(self.make_fenced(OTHER, "first"))
        self.writer.put(self.make_fenced(OTHER))
        assigned = self.make_assign("a")
        self.apply(assigned)
        self.writer.put(self.make_assign("late"))
        await self.settle()
        self.assertEqual(self.appender.records, [])

    async def test_record_ahead_of_the_state_is_appended(self):
        """Its writer may have applied more of the log than this node."""
        record = self.make_assign("a", base_epoch=4, term=7)
        payload = encode_record(dataclasses.replace(record, writer=OTHER))
        self.writer.receive(RelayRecord(payload=payload), OTHER)
        await self.settle()
        self.assertEqual(len(self.appender.records), 1)
