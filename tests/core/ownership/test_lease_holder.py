"""Tests of papayatack.core.ownership.lease_holder."""

import unittest

from papayatack.core.identity import LeaseId
from papayatack.core.messages import RenewReply
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.timing import (
    CLOCK_RATE_BOUND,
    CONFIG_GRACE_S,
    LEASE_DURATION_S,
    QUORUM_LOSS_ROUNDS,
    RENEW_INTERVAL_S,
)

WITNESSES = ("b#1", "c#1", "d#1")
VIEW_S = LEASE_DURATION_S * (1 - CLOCK_RATE_BOUND)


class HolderTests(unittest.TestCase):
    """One lease with three witnesses."""

    def setUp(self):
        """Start without a promise."""
        self.holder = LeaseHolder(lease=LeaseId("a#1", 1), witnesses=WITNESSES, now=0.0)

    def renew(self, now, *, floor=0, config_offset=0):
        """Send a renewal and return its round."""
        renewal = self.holder.renew(
            now=now, floor=floor, config_offset=config_offset, ownership_offset=floor
        )
        return renewal.round

    def answer(self, witness, number, now, *, fenced=False, theirs=0, ours=0):
        """Take in a witness's answer."""
        reply = RenewReply(
            lease=self.holder.lease,
            round=number,
            promised_us=0 if fenced else int(LEASE_DURATION_S * 1e6),
            fenced=fenced,
            config_offset=theirs,
            ownership_offset=0,
        )
        return self.holder.accept(witness, reply, now=now, config_offset=ours)

    def test_majority_from_before_sending(self):
        """Two promises make the view, counted from the sending."""
        number = self.renew(10.0)
        self.answer("b#1", number, 10.3)
        self.assertFalse(self.holder.is_live(10.3))
        self.answer("c#1", number, 10.4)
        self.assertTrue(self.holder.is_live(10.4))
        self.assertAlmostEqual(self.holder.valid_until_s, 10.0 + VIEW_S)

    def test_promises_count_for_the_own_lease_at_most(self):
        """A holder of short leases may have witnesses of longer ones."""
        for lease_s, view_s in ((0.5, 0.5), (3.0, LEASE_DURATION_S)):
            self.holder = LeaseHolder(
                lease=LeaseId("a#1", 1), witnesses=WITNESSES, now=0.0, lease_s=lease_s
            )
            number = self.renew(10.0)
            self.answer("b#1", number, 10.1)
            self.answer("c#1", number, 10.1)
            end_s = 10.0 + view_s * (1 - CLOCK_RATE_BOUND)
            self.assertAlmostEqual(self.holder.valid_until_s, end_s)

    def test_floor_at_a_majority(self):
        """A floor is confirmed once two witnesses keep it."""
        number = self.renew(1.0, floor=7)
        self.answer("b#1", number, 1.1)
        self.assertEqual(self.holder.confirmed_floor, 0)
        self.answer("d#1", number, 1.1)
        self.assertEqual(self.holder.confirmed_floor, 7)

    def test_fence_leaves_the_view(self):
        """One fence neither ends the lease nor takes a promise back."""
        number = self.renew(1.0)
        self.answer("b#1", number, 1.1)
        self.answer("c#1", number, 1.1)
        end_s = self.holder.valid_until_s
        self.answer("c#1", self.renew(1.2), 1.3, fenced=True)
        self.assertEqual(self.holder.valid_until_s, end_s)
        self.answer("b#1", self.renew(2.9), 3.0, fenced=True)
        self.assertTrue(self.holder.ended)

    def test_stranger_and_unknown_round(self):
        """Answers of others, or to rounds never sent, promise nothing."""
        number = self.renew(1.0)
        self.assertFalse(self.answer("z#1", number, 1.1))
        self.assertFalse(self.answer("b#1", number + 5, 1.1))

    def test_old_config_after_a_pause(self):
        """Back from a pause, nothing is served under an older config."""
        number = self.renew(1.0)
        for witness in WITNESSES:
            self.answer(witness, number, 1.1, theirs=3, ours=2)
        self.assertFalse(self.holder.is_live(1.1))
        for witness in WITNESSES:
            self.answer(witness, number, 1.2, theirs=3, ours=3)
        self.assertTrue(self.holder.is_live(1.2))

    def test_config_may_lag_for_a_while(self):
        """A live holder serves on while a change spreads, but not for long."""
        number = self.renew(1.0)
        for witness in WITNESSES:
            self.answer(witness, number, 1.0)
        now = 1.0
        while now < 1.0 + CONFIG_GRACE_S + LEASE_DURATION_S + RENEW_INTERVAL_S:
            now += RENEW_INTERVAL_S
            number = self.renew(now)
            for witness in WITNESSES:
                self.answer(witness, number, now, theirs=1)
            if now < 1.0 + CONFIG_GRACE_S:
                self.assertTrue(self.holder.is_live(now))
        self.assertFalse(self.holder.is_live(now))

    def test_stranded(self):
        """With one witness of three left, the lease can only be ended by itself."""
        for number in range(QUORUM_LOSS_ROUNDS + 1):
            now = 5.0 + number * RENEW_INTERVAL_S
            self.answer("b#1", self.renew(now), now)
        self.assertTrue(self.holder.has_lost_quorum(now))

    def test_suspended_holder_is_stranded_while_its_grants_stand(self):
        """Promises are forgotten; what was granted under them is not over."""
        number = self.renew(0.0)
        for witness in WITNESSES:
            self.answer(witness, number, 0.01)
        self.holder.discard_promises()
        for step in range(QUORUM_LOSS_ROUNDS):
            now = 0.1 * (step + 1)
            self.answer("b#1", self.renew(now), now)
        self.assertFalse(self.holder.has_lost_quorum(VIEW_S - 0.01))
        self.assertTrue(self.holder.has_lost_quorum(VIEW_S + 0.01))

    def test_isolated_is_not_stranded(self):
        """A holder that hears nobody may be the one that is cut off."""
        for number in range(20):
            self.renew(5.0 + number * RENEW_INTERVAL_S)
        self.assertFalse(self.holder.has_lost_quorum(20.0))
