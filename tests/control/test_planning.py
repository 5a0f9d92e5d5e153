"""Tests of papayatack.control.planning."""

import itertools
import math
import unittest

from papayatack.control.pending import PlanWrite
from papayatack.control.planning import PLANNER_FAILOVER_S, Planner, PlanningIntervals
from papayatack.core.identity import LeaseId
from papayatack.core.inventory import Configuration
from papayatack.core.messages import LoadReport
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
    """Return the announcement record of a node."""
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
    """A planner on a node that holds its first lease."""

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
        """Count the call and return an empty plan."""
        self.plans += 1
        return PlacementPlan(assignments=())

    def apply(self, record):
        """Apply a record to the state of the core."""
        self.core.apply_record(next(self.offsets), record, now=0.0)

    def admit(self, term):
        """Admit the local node under the lease of a term."""
        record = Admit(
            record_id=f"admit-{term}",
            writer=LOCAL,
            lease=LeaseId(LOCAL, term),
            witnesses=(),
        )
        self.apply(record)

    def assign(self, term, base_epoch):
        """Assign the shard to a lease of the local node."""
        assignment = Assignment(
            shard=SHARD, base_epoch=base_epoch, chain=(LeaseId(LOCAL, term),)
        )
        record_id = f"assign-{base_epoch}"
        record = Assign(record_id=record_id, writer=LOCAL, assignments=(assignment,))
        self.apply(record)


class AgeTests(PlannerCase):
    """The age of a shard in the input of the plan."""

    def read_age_s(self, shard, now):
        """Return the age of a shard."""
        return self.planner.build_view(now).shards[shard].age_s

    def test_change_of_successors_is_not_a_move(self):
        """Only a change of the owner resets the age.

        Otherwise a shard could not be moved while other nodes join and leave.
        """
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

    def test_hot_key_that_was_just_split_is_new(self):
        """Otherwise it would be merged before its load is reported, and split again."""
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
    """The lease that is planned with for a node that was admitted again."""

    def read_term(self, now):
        """Return the term of that lease."""
        return self.planner.build_view(now).nodes[0].lease.term

    def test_new_lease_is_used_after_its_startup_time(self):
        """A lease that may not be in use yet gets no shards for two seconds."""
        self.assign(1, 0)
        self.planner.build_view(0.0)
        self.admit(2)
        self.assertEqual(self.read_term(0.5), 1)
        self.assertEqual(self.read_term(2.6), 2)

    def test_lease_in_use_is_planned_with_immediately(self):
        """A shard that moved to the new lease does not move back to the old one."""
        self.assign(1, 0)
        self.planner.build_view(0.0)
        self.admit(2)
        self.assign(2, 1)
        self.assertEqual(self.read_term(0.5), 2)


class UpstreamLimitTests(PlannerCase):
    """How many slots of an upstream a limit on its requests per second leaves."""

    def find_max_busy(self, *, requests_per_s, service_s):
        """Return it for a report of this node."""
        report = LoadReport(
            incarnation=LOCAL,
            busy=0.0,
            shards=(),
            hot_keys=(),
            requests_per_s=requests_per_s,
            service_s=service_s,
        )
        self.planner.receive_report(report, 0.0)
        (node,) = [
            node
            for node in self.planner.build_view(0.0).nodes
            if node.lease.incarnation == LOCAL
        ]
        return node.max_busy

    def test_limit_times_service_time(self):
        self.assertEqual(
            self.find_max_busy(requests_per_s=0.0, service_s=0.2), math.inf
        )
        busy = self.find_max_busy(requests_per_s=6.0, service_s=0.2)
        self.assertAlmostEqual(busy, 1.2)

    def test_upstream_that_has_served_nothing_has_the_usual_service_time(self):
        """It has just started, and its limit counts all the same."""
        busy = self.find_max_busy(requests_per_s=6.0, service_s=0.0)
        self.assertEqual(busy, math.inf)
        self.apply(make_announcement("other", OTHER))
        other = LoadReport(
            incarnation=OTHER, busy=0.0, shards=(), hot_keys=(), service_s=0.1
        )
        self.planner.receive_report(other, 0.0)
        busy = self.find_max_busy(requests_per_s=6.0, service_s=0.0)
        self.assertAlmostEqual(busy, 0.6)


class PlanOnceTests(PlannerCase):
    """The conditions under which a plan is due."""

    def setUp(self):
        super().setUp()
        self.core.caught_up = True
        self.planner.plan_once(1.0)

    def test_unchanged_inputs_are_not_planned_again(self):
        """With the same records and configuration, no plan is due a second later."""
        self.planner.plan_once(2.0)
        self.assertEqual(self.plans, 1)

    def test_new_configuration_is_planned_immediately(self):
        """A new version does not wait for an ownership record or the idle interval."""
        self.configuration = Configuration(version=1)
        self.planner.plan_once(2.0)
        self.assertEqual(self.plans, 2)


class PlanWriteTests(PlannerCase):
    """A plan is made from a state that has the records of the last one."""

    def setUp(self):
        super().setUp()
        self.core.caught_up = True
        self.writes = []
        self.planner._put_plan = self.put_plan
        self.planner.plan_once(1.0)

    def put_plan(self, records):
        """Keep the records of a plan."""
        self.writes.append(PlanWrite(until_s=4.0, unresolved={"p"}))
        return self.writes[-1]

    def change(self):
        """Apply a record, so that a plan is due."""
        name = f"127.0.0.1:{len(self.core.state.members) + 20}#x"
        self.apply(make_announcement(name, name))

    def test_no_plan_is_made_before_the_last_one_is_in_the_state(self):
        """It would name the same versions, and be void."""
        self.change()
        self.planner.plan_once(1.2)
        self.assertEqual(self.plans, 1)
        self.writes[0].unresolved.clear()
        self.writes[0].end = self.core.state.next_offset + 1
        self.planner.plan_once(1.4)
        self.assertEqual(self.plans, 1)
        self.change()
        self.planner.plan_once(1.6)
        self.assertEqual(self.plans, 2)

    def test_plan_that_failed_is_made_again_at_once(self):
        """Nothing in the state tells that it is missing."""
        self.writes[0].unresolved.clear()
        self.writes[0].has_failed = True
        self.planner.plan_once(1.2)
        self.assertEqual(self.plans, 2)

    def test_wait_for_a_plan_is_bounded(self):
        """A record may be lost on its way without a word."""
        self.change()
        self.planner.plan_once(4.1)
        self.assertEqual(self.plans, 2)


class SettlingTests(PlannerCase):
    """Nodes that were all lost and rejoin one after the other."""

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
        """Retire the owner of all shards."""
        self.apply(Retire(record_id="r", writer=OTHER, incarnation=OTHER))

    def join(self, name):
        """Announce a node."""
        self.apply(make_announcement(name, name))

    def test_planning_waits_until_no_further_node_joins(self):
        """The first nodes to rejoin must not get all shards."""
        self.lose_owner()
        self.planner.plan_once(1.0)
        self.join("127.0.0.1:8#c")
        self.planner.plan_once(1.6)
        self.planner.plan_once(2.2)
        self.assertEqual(self.plans, 0)
        self.planner.plan_once(2.5)
        self.assertEqual(self.plans, 1)

    def test_wait_for_joining_nodes_is_bounded(self):
        """A plan is made even if nodes keep joining."""
        self.lose_owner()
        for number in range(13):
            self.join(f"127.0.0.1:{number + 20}#x")
            self.planner.plan_once(1.0 + number * 0.2)
        self.assertEqual(self.plans, 1)

    def test_planning_does_not_wait_while_most_shards_have_owners(self):
        """The shards of a few lost nodes are reassigned immediately."""
        self.planner.plan_once(1.0)
        self.assertEqual(self.plans, 1)


class PlannerFailoverTests(PlannerCase):
    """A lower-ranked node plans if the first in rank cannot reach the log."""

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
        """Assign the shard to a lease."""
        assignment = Assignment(shard=SHARD, base_epoch=0, chain=(lease,))
        self.apply(Assign(record_id="m", writer=LOCAL, assignments=(assignment,)))

    def test_lower_rank_does_not_plan_while_all_shards_have_owners(self):
        """Balancing the load is left to the first node in rank."""
        self.assign_to(LeaseId(LOCAL, 1))
        for now in (1.0, 5.0, 50.0):
            self.planner.plan_once(now)
        self.assertEqual(self.plans, 0)

    def test_lower_rank_plans_when_shards_stay_unserved(self):
        """It waits first, because the first in rank may be about to plan."""
        self.assign_to(LeaseId(LOCAL, 1))
        self.apply(
            Attach(record_id="gone", writer=LOCAL, incarnation=LOCAL, service="")
        )
        self.planner.plan_once(1.0)
        self.planner.plan_once(1.0 + PLANNER_FAILOVER_S / 2)
        self.assertEqual(self.plans, 0)
        self.planner.plan_once(1.0 + PLANNER_FAILOVER_S)
        self.assertEqual(self.plans, 1)
