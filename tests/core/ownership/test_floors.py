"""Tests of the renewals that confirm a new floor."""

import unittest

from papayatack.core.messages import Renew
from papayatack.core.ownership.effects import SendMessage
from papayatack.core.ownership.timing import MAX_UNACKNOWLEDGED_ROUNDS
from tests.core.ownership.test_guards import make_fleet, move

RECORDS = 20


class FloorTests(unittest.TestCase):
    """Renewals sent in addition to the periodic ones."""

    def test_records_that_no_shard_waits_for_cause_no_renewals(self):
        """A node with a waiting shard must not send one renewal per record of a batch.

        Witnesses stop promising to a holder after ``MAX_UNHEARD_ROUNDS`` renewals
        without an answer.
        """
        fleet = make_fleet()
        successor = fleet.spares[0]
        fleet.freeze("a")
        move(fleet, successor, fleet.spares[1])
        fleet.run(0.1)
        slot = fleet.slots[successor]
        self.assertTrue(slot.core.claims.has_waiting)
        sent = 0
        for offset in range(slot.core.state.next_offset, len(fleet.log) + RECORDS):
            record = fleet.log[offset] if offset < len(fleet.log) else None
            now = slot.read_clock(fleet.now)
            _, effects = slot.core.apply_record(offset, record, now=now)
            sent += sum(
                isinstance(effect, SendMessage) and isinstance(effect.message, Renew)
                for effect in effects
            )
        (holder,) = slot.core.context.holders.values()
        self.assertLessEqual(sent, MAX_UNACKNOWLEDGED_ROUNDS * len(holder.witnesses))
