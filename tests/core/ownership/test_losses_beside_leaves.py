"""Losses that come together with witnesses that leave as planned."""

import unittest

from papayatack.core.ownership.selection import find_planner
from tests.core.ownership.test_leaving_witnesses import (
    DATA_CENTRES,
    GAP_S,
    TARGET_S,
    list_witnesses,
    make_fleet,
    measure_outage,
)
from tests.fakes.keeping_fleet import KeepingFleet

PLAN_S = 1.0
"""Longest wait for a plan."""

LASTING_S = 12.0


def find_holder(fleet):
    """Return a slot, its witnesses, and its shards whose successors are none of them.

    The shards' successors stay when the witnesses leave.
    """
    for name in sorted(fleet.slots):
        witnesses = list_witnesses(fleet, name)
        shards = [
            shard
            for shard in fleet.list_owned(name)
            if not list_successors(fleet, shard) & set(witnesses)
        ]
        if shards:
            return name, witnesses, shards
    raise AssertionError("no such holder")


def list_successors(fleet, shard):
    """Return the slots of the successors of a shard's owner."""
    leases = fleet.truth.shards[shard].current.leases[1:]
    return {lease.incarnation.split("#")[0] for lease in leases}


def list_suspects(fleet):
    """Return the slots that any node suspects to be lost."""
    return {
        name.split("#")[0]
        for slot in fleet.slots.values()
        if slot.core is not None
        for name in slot.core.context.fencing.list_suspects(slot.read_clock(fleet.now))
    }


class LossBesideLeavesTests(unittest.TestCase):
    """Keys have an owner again soon whichever of a lease's nodes leave or are lost."""

    def check_served(self, fleet, shards):
        """Check that shards with live successors had an owner again in time."""
        self.assertLessEqual(measure_outage(fleet, shards), TARGET_S + PLAN_S)

    def test_holder_lost_just_before_two_of_its_witnesses_leave_is_replaced(self):
        """Their promises to it have not run out yet; the log is up."""
        fleet = make_fleet()
        name, witnesses, shards = find_holder(fleet)
        fleet.kill(name)
        fleet.run(0.5)
        for witness in witnesses[:2]:
            fleet.leave(witness)
        fleet.run(LASTING_S)
        self.check_served(fleet, shards)

    def test_holder_lost_as_two_of_its_witnesses_leave_is_replaced(self):
        """It has had no time to find other witnesses; the log is up."""
        fleet = make_fleet()
        name, witnesses, shards = find_holder(fleet)
        for witness in witnesses[:2]:
            fleet.leave(witness)
        fleet.run(0.05)
        fleet.kill(name)
        fleet.run(LASTING_S)
        self.check_served(fleet, shards)

    def test_holder_frozen_after_two_witnesses_left_serves_or_is_replaced(self):
        """The last witness fences its lease, which ends it though one is no quorum."""
        fleet = make_fleet()
        name, witnesses, shards = find_holder(fleet)
        fleet.log_up = False
        for witness in witnesses[:2]:
            fleet.leave(witness)
            fleet.run(GAP_S)
        fleet.run(1.0)
        fleet.freeze(name)
        fleet.run(1.2)
        fleet.thaw(name)
        fleet.reset_outages()
        fleet.run(LASTING_S)
        self.check_served(fleet, shards)

    def test_short_cut_from_the_last_witness_does_not_end_service(self):
        """Neither for good nor until the log is back."""
        fleet = make_fleet()
        name, witnesses, shards = find_holder(fleet)
        fleet.log_up = False
        for witness in witnesses[:2]:
            fleet.leave(witness)
            fleet.run(GAP_S)
        fleet.run(6.0)
        fleet.isolate(name, others=[witnesses[2]])
        fleet.run(2.5)
        fleet.heal()
        fleet.reset_outages()
        fleet.run(LASTING_S)
        self.check_served(fleet, shards)

    def test_loss_of_the_last_witness_does_not_end_service_until_the_log_is_back(self):
        """The holder runs; nobody but itself can end its lease."""
        fleet = make_fleet()
        _, witnesses, shards = find_holder(fleet)
        fleet.log_up = False
        for witness in witnesses[:2]:
            fleet.leave(witness)
            fleet.run(GAP_S)
        fleet.run(1.0)
        fleet.reset_outages()
        fleet.kill(witnesses[2])
        fleet.run(LASTING_S)
        self.check_served(fleet, shards)

    def test_leaving_witness_lets_nobody_suspect_the_holders(self):
        """It takes its time to leave, and the holders do not renew at it any more."""
        fleet = make_fleet()
        _, witnesses, _ = find_holder(fleet)
        fleet.log_up = False
        leaving = witnesses[0]
        fleet.leave(leaving)
        suspects = set()
        for _ in range(40):
            fleet.run(0.1)
            suspects |= list_suspects(fleet)
        self.assertLessEqual(suspects, {leaving})

    def test_lapse_at_one_witness_beside_a_leaving_one_leads_to_no_fence(self):
        """A fence is permanent; a single witness must not cause one."""
        fleet = make_fleet()
        name, witnesses, _ = find_holder(fleet)
        fleet.log_up = False
        fleet.leave(witnesses[0])
        fleet.run(0.2)
        fleet.isolate(name, others=[witnesses[1]])
        fleet.run(1.3)
        fleet.heal()
        fleet.run(3.0)
        holder = fleet.slots[name].core.context.find_newest_holder()
        self.assertFalse(holder.fenced_by)

    def test_retired_witnesses_are_gone_also_when_nodes_join(self):
        """An announcement removes the members that have retired from the state."""
        for seed in range(1, 5):
            fleet = make_fleet(seed=seed)
            name, witnesses, shards = find_holder(fleet)
            fleet.kill(name)
            fleet.run(0.1)
            for witness in witnesses:
                fleet.leave(witness)
            for number in range(12):
                fleet.run(0.3)
                fleet.add(f"z{number}", str(number % 3 + 1))
            fleet.run(LASTING_S)
            self.check_served(fleet, shards)

    def test_node_that_was_retiring_when_the_log_came_back_has_retired(self):
        """Its record is appended again before it gives up."""
        fleet = make_fleet()
        fleet.log_up = False
        fleet.leave("a")
        core = fleet.slots["a"].core
        fleet.run_until(lambda: core.departure.stage.name == "RETIRING", 8)
        fleet.run(0.2)
        fleet.log_up = True
        fleet.run(5.0)
        member = fleet.truth.members.get("a#1")
        self.assertTrue(member is None or member.ended is not None)

    def test_last_owner_that_left_while_the_log_was_away_is_replaced(self):
        """All claimants and two witnesses had left before it; three nodes are up."""
        for seed in range(4):
            fleet = KeepingFleet(seed=seed, shards=3)
            for number, name in enumerate("abcde"):
                fleet.add(name, str(number % 3 + 1))
            fleet.run_until(fleet.all_served, 20)
            fleet.run(3.0)
            shard = fleet.shards[1]
            leases = fleet.truth.shards[shard].current.leases
            first, second, third = (x.incarnation.split("#")[0] for x in leases)
            fleet.log_up = False
            for name in (first, third):
                fleet.leave(name)
            fleet.run(6.0)
            fleet.leave(second)
            fleet.run(6.0)
            fleet.log_up = True
            fleet.run_until(fleet.all_served, LASTING_S)

    def test_planner_without_shards_that_left_while_the_log_was_away_is_replaced(self):
        """Two of its witnesses left before it; nobody claims anything of its lease."""
        fleet = KeepingFleet(seed=1, shards=24)
        fleet.add("y", "1", service="other")
        fleet.run(0.3)
        for name, data_centre in DATA_CENTRES.items():
            fleet.add(name, data_centre)
        fleet.run_until(fleet.all_served, 20)
        fleet.run(8.0)
        self.assertEqual(find_planner(fleet.truth), "y#1")
        fleet.log_up = False
        for witness in list_witnesses(fleet, "y")[:2]:
            fleet.leave(witness)
            fleet.run(GAP_S)
        fleet.run(5.0)
        fleet.leave("y")
        fleet.run(8.0)
        fleet.log_up = True
        fleet.run(LASTING_S)
        self.assertNotEqual(find_planner(fleet.truth), "y#1")
