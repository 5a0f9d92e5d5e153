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
VALIDITY_S = LEASE_DURATION_S * (1 - CLOCK_RATE_BOUND)


class LeaseHolderTests(unittest.TestCase):
    """One lease with three witnesses."""

    def setUp(self):
        """Create a lease that no witness has promised."""
        self.holder = LeaseHolder(lease=LeaseId("a#1", 1), witnesses=WITNESSES, now=0.0)

    def renew(self, now, *, floor=0, config_offset=0):
        """Send a renewal and return its round."""
        renewal = self.holder.renew(
            now=now, floor=floor, config_offset=config_offset, ownership_offset=floor
        )
        return renewal.round

    def answer(self, witness, number, now, *, fenced=False, theirs=0, ours=0):
        """Process a witness's answer."""
        reply = RenewReply(
            lease=self.holder.lease,
            round=number,
            promised_us=0 if fenced else int(LEASE_DURATION_S * 1e6),
            fenced=fenced,
            config_offset=theirs,
            ownership_offset=0,
        )
        return self.holder.accept(witness, reply, now=now, config_offset=ours)

    def test_two_promises_make_the_lease_live_from_the_time_of_sending(self):
        """The duration counts from when the renewal was sent, not from the answer."""
        number = self.renew(10.0)
        self.answer("b#1", number, 10.3)
        self.assertFalse(self.holder.is_live(10.3))
        self.answer("c#1", number, 10.4)
        self.assertTrue(self.holder.is_live(10.4))
        self.assertAlmostEqual(self.holder.valid_until_s, 10.0 + VALIDITY_S)

    def test_promises_are_capped_at_the_holders_lease_duration(self):
        """A holder of short leases may have witnesses that promise longer ones."""
        for lease_s, validity_s in ((0.5, 0.5), (3.0, LEASE_DURATION_S)):
            self.holder = LeaseHolder(
                lease=LeaseId("a#1", 1), witnesses=WITNESSES, now=0.0, lease_s=lease_s
            )
            number = self.renew(10.0)
            self.answer("b#1", number, 10.1)
            self.answer("c#1", number, 10.1)
            end_s = 10.0 + validity_s * (1 - CLOCK_RATE_BOUND)
            self.assertAlmostEqual(self.holder.valid_until_s, end_s)

    def test_floor_is_confirmed_by_two_of_three_witnesses(self):
        """One witness that stored the floor is not enough."""
        number = self.renew(1.0, floor=7)
        self.answer("b#1", number, 1.1)
        self.assertEqual(self.holder.confirmed_floor, 0)
        self.answer("d#1", number, 1.1)
        self.assertEqual(self.holder.confirmed_floor, 7)

    def test_single_fence_neither_ends_nor_shortens_the_lease(self):
        """One fence does not withdraw a promise; the second one ends the lease."""
        number = self.renew(1.0)
        self.answer("b#1", number, 1.1)
        self.answer("c#1", number, 1.1)
        end_s = self.holder.valid_until_s
        self.answer("c#1", self.renew(1.2), 1.3, fenced=True)
        self.assertEqual(self.holder.valid_until_s, end_s)
        self.answer("b#1", self.renew(2.9), 3.0, fenced=True)
        self.assertTrue(self.holder.ended)

    def test_answer_of_another_node_or_to_an_unknown_round_is_no_promise(self):
        """Only witnesses promise, and only in rounds that were sent."""
        number = self.renew(1.0)
        self.assertFalse(self.answer("z#1", number, 1.1))
        self.assertFalse(self.answer("b#1", number + 5, 1.1))

    def test_expired_lease_is_not_live_under_an_older_config(self):
        """After a pause nothing is served until the configuration is up to date."""
        number = self.renew(1.0)
        for witness in WITNESSES:
            self.answer(witness, number, 1.1, theirs=3, ours=2)
        self.assertFalse(self.holder.is_live(1.1))
        for witness in WITNESSES:
            self.answer(witness, number, 1.2, theirs=3, ours=3)
        self.assertTrue(self.holder.is_live(1.2))

    def test_live_lease_tolerates_an_older_config_for_the_grace_period(self):
        """The holder serves while a change propagates, but not indefinitely."""
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

    def test_quorum_is_lost_with_one_responsive_witness_of_three(self):
        """Such a lease can only be ended by its own holder."""
        for number in range(QUORUM_LOSS_ROUNDS + 1):
            now = 5.0 + number * RENEW_INTERVAL_S
            self.answer("b#1", self.renew(now), now)
        self.assertTrue(self.holder.has_lost_quorum(now))

    def test_suspended_holder_has_not_lost_quorum_until_its_grants_expire(self):
        """Grants made under promises that were discarded remain valid."""
        number = self.renew(0.0)
        for witness in WITNESSES:
            self.answer(witness, number, 0.01)
        self.holder.discard_promises()
        for step in range(QUORUM_LOSS_ROUNDS):
            now = 0.1 * (step + 1)
            self.answer("b#1", self.renew(now), now)
        self.assertFalse(self.holder.has_lost_quorum(VALIDITY_S - 0.01))
        self.assertTrue(self.holder.has_lost_quorum(VALIDITY_S + 0.01))

    def test_isolated_holder_has_not_lost_quorum(self):
        """A holder that receives no answers may itself be cut off."""
        for number in range(20):
            self.renew(5.0 + number * RENEW_INTERVAL_S)
        self.assertFalse(self.holder.has_lost_quorum(20.0))
