"""Tests of papayatack.core.idempotency.registry and exchange."""

import dataclasses
import types
import unittest

from papayatack.core.errors import ErrorKind, Outcome
from papayatack.core.idempotency import (
    IdempotencyRegistry,
    IdempotencyStore,
    KeyTenure,
    OutcomeExchange,
    Refuse,
    Replay,
    Run,
    StoredResponse,
    Tenure,
)
from papayatack.core.messages import OutcomeQuery
from papayatack.core.ownership.owned_shards import OwnedShards
from papayatack.core.ownership.state import OwnershipState

SHARD = "s/all/0"
HOT = "s/all/=k"
FIRST = Tenure(shard=SHARD, number=1, token=256, since_s=0.0, is_first=True)
HANDED = Tenure(
    shard=SHARD,
    number=1,
    token=512,
    since_s=10.0,
    predecessor="a#1",
    predecessor_epoch=1,
)
SPLIT = Tenure(shard=HOT, number=2, token=5120, since_s=10.5, parent_number=1)


class Node:
    """The idempotency registry and outcome exchange of one node."""

    def __init__(self):
        self.store = IdempotencyStore()
        self.memory = IdempotencyRegistry(store=self.store)
        self.exchange = OutcomeExchange(registry=self.memory)

    def begin(self, now, current, key, *, earlier=None):
        """Begin a request and return the decision."""
        related = HOT if current.shard == SHARD else SHARD
        owned = KeyTenure(
            current=current, related_shard=related, related_tenure=earlier
        )
        return self.memory.begin(now, owned, key, b"f")[1]

    def run(self, now, current, key, *, body=b""):
        """Run a request and complete it with a response."""
        self.begin(now, current, key)
        response = StoredResponse(status=200, headers=((b"a", b"b"),), body=body)
        self.memory.complete(
            now, current.shard, key, outcome=Outcome.ANSWERED, response=response
        )


class HandoverTests(unittest.TestCase):
    """Handover of outcomes to the next owner."""

    def setUp(self):
        """Run requests on one node; the other takes over the shard."""
        self.old, self.new = Node(), Node()
        for number in range(5):
            self.old.run(1.0, FIRST, f"k{number}", body=b"x" * 30_000)

    def carry(self, now, queries):
        """Answer queries until none is left; return the number of parts."""
        parts = 0
        while queries:
            ((recipient, query),) = queries
            self.assertEqual(recipient, "a#1")
            part = self.old.exchange.answer_query(now, FIRST, 1, query)
            queries = self.new.exchange.receive_part(now, recipient, HANDED, part)
            parts += 1
        return parts

    def test_all_parts_are_queried(self):
        """New keys are refused until the last part arrives; then all are known."""
        self.assertTrue(self.old.exchange.has_pending_exports(10.0, [SHARD]))
        queries = self.new.exchange.list_queries(10.0, [HANDED])
        decision = self.new.begin(10.0, HANDED, "new")
        self.assertEqual(decision.refusal.kind, ErrorKind.NO_OWNER)
        self.assertEqual(self.carry(10.1, queries), 3)
        decision = self.new.begin(10.2, HANDED, "k4")
        self.assertIsInstance(decision, Replay)
        self.assertEqual(decision.response.headers, ((b"a", b"b"),))
        self.assertIsInstance(self.new.begin(10.2, HANDED, "new"), Run)
        self.assertFalse(self.old.exchange.has_pending_exports(10.2, [SHARD]))

    def test_outcome_without_a_final_status_is_unknown(self):
        """No caller gets a response with a status that is none."""
        ((_, query),) = self.new.exchange.list_queries(10.0, [HANDED])
        part = self.old.exchange.answer_query(10.0, FIRST, 1, query)
        statuses = (99, 600, 700, -1)
        outcomes = tuple(
            dataclasses.replace(outcome, status=status)
            for outcome, status in zip(part.outcomes, statuses, strict=False)
        )
        odd = dataclasses.replace(part, outcomes=outcomes, last=True)
        self.new.exchange.receive_part(10.1, "a#1", HANDED, odd)
        self.assertTrue(outcomes)
        for outcome in outcomes:
            decision = self.new.begin(10.2, HANDED, outcome.key)
            self.assertIsInstance(decision, Refuse)

    def test_lost_query_is_repeated(self):
        """A query is sent again only after the query interval."""
        for now, count in ((10.0, 1), (10.1, 0), (10.3, 1)):
            queries = self.new.exchange.list_queries(now, [HANDED])
            self.assertEqual(len(queries), count)

    def test_late_handover_is_abandoned(self):
        """After 2 s without a complete handover the previous owner counts as lost."""
        queries = self.new.exchange.list_queries(10.0, [HANDED])
        decision = self.new.begin(12.1, HANDED, "new")
        self.assertEqual(decision.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)
        self.assertEqual(self.carry(12.2, queries), 1)
        self.assertIsInstance(self.new.begin(12.3, HANDED, "k0"), Refuse)

    def test_query_for_other_epoch_is_not_answered(self):
        """A node provides outcomes only for the epoch under which it served."""
        query = OutcomeQuery(shard=SHARD, epoch=1, index=0)
        self.assertIsNone(self.old.exchange.answer_query(10.0, FIRST, 2, query))
        self.assertIsNotNone(self.old.exchange.answer_query(10.0, FIRST, 1, query))

    def test_part_from_other_sender_is_ignored(self):
        """Only parts from the predecessor are imported."""
        query = OutcomeQuery(shard=SHARD, epoch=1, index=0)
        part = self.old.exchange.answer_query(10.0, FIRST, 1, query)
        self.assertEqual(self.new.exchange.receive_part(10.0, "b#1", HANDED, part), [])
        self.assertIsInstance(self.new.begin(10.0, HANDED, "new"), Refuse)

    def test_outcomes_are_split_once(self):
        """Outcomes that expire during a handover do not shift others between parts."""
        self.old.run(600.5, FIRST, "late", body=b"x" * 30_000)
        query = OutcomeQuery(shard=SHARD, epoch=1, index=0)
        first = self.old.exchange.answer_query(600.9, FIRST, 1, query)
        self.assertEqual(first, self.old.exchange.answer_query(601.5, FIRST, 1, query))

    def test_split_shard_waits_for_handover_of_parent(self):
        """New keys of a split shard are refused until the parent's handover ends."""
        queries = self.new.exchange.list_queries(10.0, [HANDED])
        decision = self.new.begin(10.5, SPLIT, "new", earlier=HANDED)
        self.assertIsInstance(decision, Refuse)
        self.carry(10.6, queries)
        decision = self.new.begin(10.7, SPLIT, "k0", earlier=HANDED)
        self.assertIsInstance(decision, Replay)
        decision = self.new.begin(10.7, SPLIT, "new", earlier=HANDED)
        self.assertIsInstance(decision, Run)


class ReleasedTests(unittest.TestCase):
    """When a node may hand over the outcomes of a shard."""

    def setUp(self):
        """Let the node own a shard."""
        self.rights = OwnedShards(state=OwnershipState())
        holder = types.SimpleNamespace(ended=False, lease=None)
        self.rights.acquire(SHARD, holder, 1, 256, now=0.0)

    def find(self, now=1.0):
        """Return whether the shard counts as released."""
        return self.rights.find_formerly_owned(SHARD, now) is not None

    def test_served_or_draining_shard_is_not_released(self):
        """Outcomes may still change until all requests have ended."""
        self.assertFalse(self.find())
        generation = self.rights.begin_request(SHARD)
        self.rights.stop_serving(SHARD, drains=True)
        self.assertFalse(self.find())
        self.rights.finish_request(SHARD, generation)
        self.assertFalse(self.find())
        del self.rights.draining[SHARD]
        self.assertTrue(self.find())

    def test_recently_returned_key_prevents_handover(self):
        """Other nodes may hold outcomes of a hot key that returned to the shard."""
        self.rights.note_merge(HOT, SHARD, 0.5)
        self.rights.stop_serving(SHARD, drains=True)
        self.rights.draining.clear()
        self.assertFalse(self.find(600.4))
        self.assertTrue(self.find(600.6))
