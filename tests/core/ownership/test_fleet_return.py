"""Fleets whose nodes were all lost, and of which not all come back."""

import unittest

from papayatack.core.identity import LeaseId
from papayatack.core.ownership.timing import LEASE_DURATION_S
from tests.fakes.fleet import Fleet

DATA_CENTRES = {name: str(number % 3 + 1) for number, name in enumerate("abcdefghijkl")}
SETTLED_S = 8.0
RETURN_S = 2.0 + 2 * LEASE_DURATION_S
"""Time from the return of the nodes until all shards are served: 2 s, and two waits,
one for the leases of replaced processes and one for those without witnesses."""


def make_fleet(*, seed):
    """Return a fleet of twelve nodes whose leases are stable."""
    fleet = Fleet(seed=seed, shards=24)
    for name, data_centre in DATA_CENTRES.items():
        fleet.add(name, data_centre)
    fleet.run_until(fleet.all_served, 20)
    fleet.run(SETTLED_S)
    return fleet


def restart(fleet, *, without):
    """Kill all processes and start those of the slots that come back."""
    for name in fleet.slots:
        fleet.kill(name)
    fleet.run(0.75)
    for name in fleet.slots:
        if name not in without:
            fleet.start(name)
            fleet.run(0.02)


class PartialReturnTests(unittest.TestCase):
    """Leases of nodes that do not come back, whose witnesses are gone as well."""

    def test_shards_of_nodes_that_do_not_come_back_are_served(self):
        """Nobody is left who could fence their leases."""
        for without in ("a", "b", "g"):
            for seed in range(3):
                with self.subTest(without=without, seed=seed):
                    fleet = make_fleet(seed=seed)
                    restart(fleet, without=without)
                    fleet.run_until(fleet.all_served, RETURN_S)
                    fleet.check_agreement()

    def test_first_planner_that_does_not_come_back_is_replaced(self):
        """It is the first by rank until its lease has ended."""
        fleet = make_fleet(seed=5)
        planner = fleet.truth.find_live_lease("a#1").incarnation.split("#")[0]
        restart(fleet, without=planner)
        fleet.run_until(fleet.all_served, RETURN_S)

    def test_holder_cut_off_with_its_witnesses_is_not_taken_for_lost(self):
        """Witnesses that run on are not replaced at their addresses."""
        fleet = make_fleet(seed=3)
        holder = fleet.slots["a"].core.context.find_newest_holder()
        inside = {"a", *(name.split("#")[0] for name in holder.witnesses)}
        outside = [name for name in fleet.slots if name not in inside]
        for name in inside:
            fleet.isolate(name, others=outside)
            fleet.log_cut.add(name)
            fleet.withheld.add(name)
        for name in outside:
            fleet.kill(name)
        fleet.run(0.75)
        for name in outside:
            fleet.start(name)
        fleet.run(10)
        self.assertTrue(fleet.list_owned("a"))

    def test_last_witness_that_runs_keeps_a_lease_from_being_recorded_as_ended(self):
        """Two witnesses leave beside it; the holder is cut off from the rest."""
        fleet = make_fleet(seed=4)
        holder = fleet.slots["a"].core.context.find_newest_holder()
        first, second, last = (name.split("#")[0] for name in holder.witnesses)
        outside = [name for name in fleet.slots if name not in ("a", last)]
        for name in ("a", last):
            fleet.log_cut.add(name)
            fleet.withheld.add(name)
        fleet.leave(first)
        fleet.leave(second)
        fleet.run(0.5)
        for name in ("a", last):
            fleet.isolate(name, others=outside)
        fleet.run(4)
        for name in (first, second):
            fleet.start(name)
        fleet.run(10)
        self.assertTrue(fleet.list_owned("a"))

    def test_lease_is_recorded_as_ended_once_its_last_promise_has_run_out(self):
        """Its holder may serve until a lease duration after its last witness's end."""
        fleet = make_fleet(seed=2)
        restart(fleet, without="a")
        witnesses = set(fleet.truth.leases[LeaseId("a#1", 1)].witnesses)
        fleet.run_until(lambda: is_replaced(fleet, witnesses), 2)
        replaced_s = fleet.now
        fleet.run_until(lambda: not fleet.truth.is_live(LeaseId("a#1", 1)), 4)
        self.assertGreaterEqual(fleet.now - replaced_s, LEASE_DURATION_S)


def is_replaced(fleet, names):
    """Tell whether newer processes have announced themselves at all addresses."""
    current = fleet.truth.incarnation_by_address
    return all(current.get(name.split("#")[0]) != name for name in names)
