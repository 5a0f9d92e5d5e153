"""Leases whose witnesses leave as planned, with the log up and away."""

import unittest

from tests.fakes.fleet import Fleet

DATA_CENTRES = {name: str(number % 3 + 1) for number, name in enumerate("abcdefghijkl")}
SETTLED_S = 8.0
GAP_S = 0.6
"""Time from one stop to the next."""

TARGET_S = 2.0
HANDOVER_S = 4.5
"""Time in which a node without the log moves, drains, fences and ends."""


def make_fleet(*, seed=1):
    """Return a fleet of twelve nodes whose leases are stable."""
    fleet = Fleet(seed=seed, shards=24)
    for name, data_centre in DATA_CENTRES.items():
        fleet.add(name, data_centre)
    fleet.run_until(fleet.all_served, 20)
    fleet.run(SETTLED_S)
    fleet.reset_outages()
    return fleet


def list_witnesses(fleet, name):
    """Return the slots of the witnesses of a slot's newest lease."""
    holder = fleet.slots[name].core.context.find_newest_holder()
    return [witness.split("#")[0] for witness in holder.witnesses]


def measure_outage(fleet, shards):
    """Return the longest time in seconds for which one of the shards had no owner."""
    gaps = [max(fleet.gaps[s], fleet.now - fleet.served_s[s]) for s in shards]
    return max(gaps)


class LeavingWitnessTests(unittest.TestCase):
    """A node that leaves as planned weakens no lease."""

    def stop_witnesses(self, fleet, name, count):
        """Stop witnesses of a slot's lease in turn; return the shards of the slot."""
        shards = fleet.list_owned(name)
        self.assertTrue(shards)
        for witness in list_witnesses(fleet, name)[:count]:
            fleet.leave(witness)
            fleet.run(GAP_S)
        return shards

    def test_holder_serves_on_while_its_witnesses_leave_and_the_log_is_away(self):
        """Two of three are as many as end a lease; three are all of them."""
        for count in (2, 3):
            for seed in range(3):
                with self.subTest(count=count, seed=seed):
                    fleet = make_fleet(seed=seed)
                    fleet.log_up = False
                    shards = self.stop_witnesses(fleet, "a", count)
                    fleet.run(10)
                    self.assertLessEqual(measure_outage(fleet, shards), GAP_S)
                    fleet.log_up = True
                    fleet.run(10)
                    self.assertTrue(fleet.all_served())
                    fleet.check_agreement()

    def test_holder_hands_on_its_shards_after_its_witnesses_have_left(self):
        """It leaves last, when no witness is left to fence its lease."""
        for count in (2, 3):
            with self.subTest(count=count):
                fleet = make_fleet()
                fleet.log_up = False
                shards = self.stop_witnesses(fleet, "a", count)
                fleet.run(HANDOVER_S)
                gone = {name for name, slot in fleet.slots.items() if not slot.core}
                shards = [
                    shard for shard in shards if has_successor(fleet, shard, gone)
                ]
                self.assertTrue(shards)
                fleet.reset_outages()
                fleet.leave("a")
                fleet.run(10)
                self.assertLess(measure_outage(fleet, shards), TARGET_S)

    def test_holder_lost_after_its_witnesses_left_is_replaced_through_the_log(self):
        """Nobody may take its shards before the log says that it has ended."""
        fleet = make_fleet()
        fleet.log_up = False
        self.stop_witnesses(fleet, "a", 2)
        fleet.run(HANDOVER_S)
        fleet.kill("a")
        fleet.run(5)
        fleet.log_up = True
        fleet.start("a")
        fleet.run_until(fleet.all_served, 12)
        fleet.check_agreement()

    def test_stops_in_turn_leave_no_shard_of_a_running_node_unserved(self):
        """Half of the nodes stop; every other node serves what it had."""
        for seed in range(5):
            with self.subTest(seed=seed):
                fleet = make_fleet(seed=seed)
                stopped = "cfhjbe"
                kept = [name for name in fleet.slots if name not in stopped]
                shards = [s for name in kept for s in fleet.list_owned(name)]
                fleet.log_up = False
                for name in stopped:
                    fleet.leave(name)
                    fleet.run(GAP_S)
                fleet.run(8)
                self.assertLessEqual(measure_outage(fleet, shards), GAP_S)
                fleet.log_up = True
                fleet.run_until(fleet.all_served, 8)
                fleet.check_agreement()


def has_successor(fleet, shard, gone):
    """Tell whether a successor of a shard's owner is still there."""
    leases = fleet.truth.shards[shard].current.leases
    return any(lease.incarnation.split("#")[0] not in gone for lease in leases[1:])
