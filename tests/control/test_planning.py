"""Tests of papayatack.control.planning."""

import itertools
import math
import unittest

from papayatack.control.planning import PLANNER_FAILOVER_S, Planner, PlanningIntervals
from papayatack.core.identity import LeaseId
from papayatack.core.inventory import Configuration
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.placement.view import PlacementPlan
from papayatack.core.records import (
    Activate,
    Activation,
    Admit,
    Announce,
    Assign,
    Assignment,
    Attach,
    Retire,
)

LOCAL = "127.0.0.1:1#a"
OTHER = "127.0.0.1:7#b"
SHARD = "hiring/vacancies/0"
HOT = "hiring/vacancies/=7"


def make_announcement(record_id="announce", name=LOCAL):
    """Return the announcement of a node."""
    return Announce(
        record_id=record_id,
        writer=name,
        incarnation=name,
        address=name.partition("#")[0],
        operator_address="127.0.0.1:2",
        data_centre="d",
        region="r",
        service="hiring",
        upstream="127.0.0.1:3",
        slots=1,
        connections=1,
    )


class PlannerCase(unittest.TestCase):
    """A planner over a core whose node has its first lease."""

    def setUp(self):
        self.core = NodeCore(
            announcement=make_announcement(),
            state=OwnershipState(),
            now=0.0,
            find_service=lambda name: None,
        )
        self.offsets = itertools.count()
        self.configuration = Configuration()
        self.plans = 0
        self.planner = Planner(
            core=self.core,
            read_configuration=lambda: self.configuration,
            plan=self.plan,
            append=self.fail,
        )
        self.apply(make_announcement())
        self.admit(1)

    def plan(self, view):
        """Count a plan without assignments."""
        self.plans += 1
        return PlacementPlan(assignments=())

    def apply(self, record):
        """Fold a record."""
        self.core.apply_record(next(self.offsets), record, now=0.0)

    def admit(self, term):
        """Admit the node under its next lease."""
        record = Admit(
            record_id=f"admit-{term}",
            writer=LOCAL,
            lease=LeaseId(LOCAL, term),
            witnesses=(),
        )
        self.apply(record)

    def assign(self, term, base_epoch):
        """Give the shard to a lease of the node."""
        assignment = Assignment(
            shard=SHARD, base_epoch=base_epoch, chain=(LeaseId(LOCAL, term),)
        )
        record_id = f"assign-{base_epoch}"
        record = Assign(record_id=record_id, writer=LOCAL, assignments=(assignment,))
        self.apply(record)


class AgeTests(PlannerCase):
    """How long ago a shard moved, as the plan sees it."""

    def read_age_s(self, shard, now):
        """Return the age of a shard."""
        return self.planner.build_view(now).shards[shard].age_s

    def test_change_of_successors_counts_as_a_move(self):
        """The shard would stay where it is for as long as other nodes come and go."""
        self.assign(1, 0)
        self.planner.build_view(0.0)
        self.apply(make_announcement("other", OTHER))
        lease = LeaseId(OTHER, 1)
        self.apply(Admit(record_id="o", writer=OTHER, lease=lease, witnesses=()))
        for base_epoch, chain in enumerate(
            ((LeaseId(LOCAL, 1), lease), (LeaseId(LOCAL, 1),)), 1
        ):
            changed = Assignment(shard=SHARD, base_epoch=base_epoch, chain=chain)
            record_id = f"successors-{base_epoch}"
            self.apply(
                Assign(record_id=record_id, writer=LOCAL, assignments=(changed,))
            )
            self.assertEqual(self.read_age_s(SHARD, 10.0), math.inf)
        moved = Assignment(shard=SHARD, base_epoch=3, chain=(lease,))
        self.apply(Assign(record_id="move", writer=LOCAL, assignments=(moved,)))
        self.assertEqual(self.read_age_s(SHARD, 10.0), 0.0)

    def test_hot_key_that_was_just_split_counts_as_old(self):
        """It would be returned before its load was reported, and split again."""
        self.assign(1, 0)
        record = Activate(
            record_id="active",
            writer=LOCAL,
            activations=(Activation(shard=SHARD, epoch=1, owner=LeaseId(LOCAL, 1)),),
        )
        self.apply(record)
        self.assertEqual(self.read_age_s(SHARD, 10.0), math.inf)
        split = Assignment(
            shard=HOT,
            base_epoch=0,
            chain=(LeaseId(LOCAL, 1),),
            parent=SHARD,
            parent_epoch=1,
        )
        self.apply(Assign(record_id="split", writer=LOCAL, assignments=(split,)))
        self.assertEqual(self.read_age_s(HOT, 10.2), 0.0)
        self.assertAlmostEqual(self.read_age_s(HOT, 12.2), 2.0)


class ChooseLeaseTests(PlannerCase):
    """The lease of a node that was admitted again."""

    def read_term(self, now):
        """Return the term of the lease that is planned with."""
        return self.planner.build_view(now).nodes[0].lease.term

    def test_new_lease_is_given_time(self):
        """A lease that may not be up yet gets no shards for two seconds."""
        self.assign(1, 0)
        self.planner.build_view(0.0)
        self.admit(2)
        self.assertEqual(self.read_term(0.5), 1)
        self.assertEqual(self.read_term(2.6), 2)

    def test_lease_in_use_is_planned_with_at_once(self):
        """A shard that its node took to the new lease does not go back to the old."""
        self.assign(1, 0)
        self.planner.build_view(0.0)
        self.admit(2)
        self.assign(2, 1)
        self.assertEqual(self.read_term(0.5), 2)


class PlanOnceTests(PlannerCase):
    """When it is time to plan."""

    def setUp(self):
        super().setUp()
        self.core.caught_up = True
        self.planner.plan_once(1.0)

    def test_nothing_new_is_not_planned_again(self):
        """A second later, with the same records and configuration, nothing is due."""
        self.planner.plan_once(2.0)
        self.assertEqual(self.plans, 1)

    def test_new_configuration_is_planned_at_once(self):
        """A publication does not wait for the next record or the idle interval."""
        self.configuration = Configuration(version=1)
        self.planner.plan_once(2.0)
        self.assertEqual(self.plans, 2)


class SettlingTests(PlannerCase):
    """A fleet whose nodes were all lost, and come back one after the other."""

    def setUp(self):
        super().setUp()
        self.core.caught_up = True
        self.planner._intervals = PlanningIntervals(quiet_period_s=0.8)
        self.apply(make_announcement("other", OTHER))
        lease = LeaseId(OTHER, 1)
        record = Admit(record_id="o", writer=OTHER, lease=lease, witnesses=())
        self.apply(record)
        assignment = Assignment(shard=SHARD, base_epoch=0, chain=(lease,))
        self.apply(Assign(record_id="m", writer=LOCAL, assignments=(assignment,)))

    def lose_owner(self):
        """End the owner of all shards."""
        self.apply(Retire(record_id="r", writer=OTHER, incarnation=OTHER))

    def join(self, name):
        """Let a node join."""
        self.apply(make_announcement(name, name))

    def test_plan_waits_until_no_further_node_joins(self):
        """The first to be back must not get all."""
        self.lose_owner()
        self.planner.plan_once(1.0)
        self.join("127.0.0.1:8#c")
        self.planner.plan_once(1.6)
        self.planner.plan_once(2.2)
        self.assertEqual(self.plans, 0)
        self.planner.plan_once(2.5)
        self.assertEqual(self.plans, 1)

    def test_plan_waits_no_longer_than_allowed(self):
        """However many nodes join."""
        self.lose_owner()
        for number in range(13):
            self.join(f"127.0.0.1:{number + 20}#x")
            self.planner.plan_once(1.0 + number * 0.2)
        self.assertEqual(self.plans, 1)

    def test_plan_waits_not_while_most_keys_have_owners(self):
        """A loss of few is mended at once."""
        self.planner.plan_once(1.0)
        self.assertEqual(self.plans, 1)


class PlannerFailoverTests(PlannerCase):
    """A node plans for the first in rank, which does not reach the log."""

    def setUp(self):
        super().setUp()
        self.core.caught_up = True
        self.apply(make_announcement("other", OTHER))
        lease = LeaseId(OTHER, 1)
        record = Admit(record_id="o", writer=OTHER, lease=lease, witnesses=())
        self.apply(record)
        self.planner._core = NodeCore(
            announcement=make_announcement(name=OTHER),
            state=self.core.state,
            now=0.0,
            find_service=lambda name: None,
        )
        self.planner._core.caught_up = True

    def assign_to(self, lease):
        """Give the shard to a lease."""
        assignment = Assignment(shard=SHARD, base_epoch=0, chain=(lease,))
        self.apply(Assign(record_id="m", writer=LOCAL, assignments=(assignment,)))

    def test_it_waits_while_all_keys_have_owners(self):
        """Whatever the loads, the first in rank evens them out."""
        self.assign_to(LeaseId(LOCAL, 1))
        for now in (1.0, 5.0, 50.0):
            self.planner.plan_once(now)
        self.assertEqual(self.plans, 0)

    def test_it_plans_once_keys_lack_an_owner_for_long(self):
        """Not at once, for the first in rank may be about to."""
        self.assign_to(LeaseId(LOCAL, 1))
        self.apply(
            Attach(record_id="gone", writer=LOCAL, incarnation=LOCAL, service="")
        )
        self.planner.plan_once(1.0)
        self.planner.plan_once(1.0 + PLANNER_FAILOVER_S / 2)
        self.assertEqual(self.plans, 0)
        self.planner.plan_once(1.0 + PLANNER_FAILOVER_S)
        self.assertEqual(self.plans, 1)
