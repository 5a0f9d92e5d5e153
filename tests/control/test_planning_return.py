"""Tests of the plans after a return of the log or of all nodes."""

import functools
import itertools
import unittest
from collections import Counter

from papayatack.control.planning import PLANNER_FAILOVER_S, Planner
from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.state import EndKind, OwnershipState, RecordedEnd
from papayatack.core.placement import plan_placement
from papayatack.core.records import (
    Activate,
    Activation,
    Admit,
    Announce,
    Assign,
    Assignment,
    Fenced,
)
from papayatack.platform.environment import PLACEMENT_LIMITS, PLANNING_INTERVALS
from tests.core.placement.concentration import (
    CONFIGURATION,
    MAX_SHARE_RATIO,
    NODES,
    PLACES,
    SERVICE,
    SHARDS,
    SLOTS,
)

APPEND_S = 0.1
"""Time from a plan until its records are read."""

ACTIVATION_S = 0.4
"""Time from then until the new owners confirm."""

SPREAD_AFTER_S = 2.0
"""Target: keys are spread within this time after the last node is back."""

QUIET_S = 2.0
"""Target: no shard moves twice within this time."""


def name_node(number, process="a"):
    """Return the incarnation of a process on a node."""
    return IncarnationId(f"10.0.0.{number}:1#{process}")


def make_announcement(number, process="a"):
    """Return the announcement of a process on a node."""
    name = name_node(number, process)
    return Announce(
        record_id=f"announce {name}",
        writer=name,
        incarnation=name,
        address=name.partition("#")[0],
        operator_address=f"10.0.0.{number}:2",
        data_centre=PLACES[number % len(PLACES)],
        region="r",
        service=SERVICE,
        upstream=f"10.0.0.{number}:3",
        slots=SLOTS,
        connections=SLOTS,
        supersedes=name_node(number) if process != "a" else "",
    )


class ReturnCase(unittest.TestCase):
    """A planner whose records are folded, activated and planned upon again.

    The planner is node 0.
    """

    def start(self, *, process="a", planner=0):
        """Create the planner on an empty state."""
        self.now = 0.0
        self.state = OwnershipState()
        self.core = NodeCore(
            announcement=make_announcement(planner, process),
            state=self.state,
            now=0.0,
            find_service=lambda name: None,
        )
        self.core.caught_up = True
        self.planner = Planner(
            core=self.core,
            read_configuration=lambda: CONFIGURATION,
            plan=functools.partial(plan_placement, limits=PLACEMENT_LIMITS),
            append=self.append,
            intervals=PLANNING_INTERVALS,
        )
        self.due = []
        self.numbers = itertools.count()
        self.changes = {}

    def append(self, record):
        """Apply a planner's record a moment later, and the owners' activations."""
        self.schedule(APPEND_S, record)

    def schedule(self, after_s, record):
        """Apply a record, or call a function, after a number of seconds."""
        self.due.append((self.now + after_s, next(self.numbers), record))

    def perform(self, step):
        """Apply a record or call a function."""
        if callable(step):
            step()
        else:
            self.apply(step)

    def apply(self, record):
        """Apply a record now, and note the shards whose owner it changes."""
        before = self.read_owners()
        self.core.apply_record(self.state.next_offset, record, now=self.now)
        if not isinstance(record, Assign):
            return
        after = self.read_owners()
        changed = [shard for shard in after if after[shard] != before.get(shard)]
        for shard in changed:
            self.changes.setdefault(shard, []).append(self.now)
        self.schedule(ACTIVATION_S, self.activate)

    def read_owners(self):
        """Return the incarnation that comes first in the chain of each shard."""
        return {
            shard: entry.current.leases[0].incarnation
            for shard, entry in self.state.shards.items()
            if entry.current.leases
        }

    def activate(self):
        """Activate the chains whose owner is live."""
        found = tuple(
            Activation(
                shard=shard, epoch=entry.current.epoch, owner=entry.current.leases[0]
            )
            for shard, entry in self.state.shards.items()
            if not entry.active
            and entry.current.leases
            and self.state.is_live(entry.current.leases[0])
        )
        if found:
            number = next(self.numbers)
            self.apply(
                Activate(record_id=f"on {number}", writer="all", activations=found)
            )

    def admit(self, number, *, term=1, process="a", after_s=None):
        """Admit a process under the lease of a term, now or later."""
        if after_s is not None:
            admit = functools.partial(self.admit, number, term=term, process=process)
            self.schedule(after_s, admit)
            return
        name = name_node(number, process)
        live = [member.incarnation for member in self.state.list_live_members()]
        record = Admit(
            record_id=f"admit {name} {term}",
            writer=name,
            lease=LeaseId(name, term),
            witnesses=tuple(other for other in live if other != name)[:3],
        )
        self.apply(record)

    def join(self, number, *, process="a", after_s=None):
        """Announce a process, now or later, and admit it 0.1 s after that."""
        record = make_announcement(number, process)
        if after_s is None:
            self.apply(record)
            self.admit(number, process=process)
        else:
            self.schedule(after_s, record)
            self.admit(number, process=process, after_s=after_s + 0.1)

    def end_lease(self, number):
        """Record that the first lease of a node has been fenced."""
        name = name_node(number)
        self.apply(
            Fenced(
                record_id=f"fence {name}", writer=name, lease=LeaseId(name, 1), floor=0
            )
        )

    def assign_all(self, choose_chain):
        """Assign all shards, as if long ago."""
        for start in range(0, len(SHARDS), 256):
            self.apply(
                Assign(
                    record_id=f"first {start}",
                    writer="planner",
                    assignments=tuple(
                        Assignment(shard=shard, base_epoch=0, chain=choose_chain(n))
                        for n, shard in enumerate(SHARDS[start : start + 256], start)
                    ),
                )
            )
        self.activate()
        self.due.clear()
        self.changes.clear()

    def run_until(self, end_s):
        """Plan each interval and apply what is due."""
        while self.now < end_s - 1e-6:
            self.now = round(self.now + 0.1, 6)
            while self.due and min(self.due)[0] <= self.now + 1e-9:
                first = min(self.due)
                self.due.remove(first)
                self.perform(first[2])
            if round(self.now * 10) % 2 == 0:
                self.planner.plan_once(self.now)

    def count_ratio(self, nodes=NODES):
        """Return the largest share of one live node, relative to a fair share."""
        held = Counter(self.read_owners().values())
        live = [m.incarnation for m in self.state.list_live_members()]
        return max((held[name] for name in live), default=0) / len(SHARDS) * nodes

    def check_spread(self, *, last_return_s):
        """Check the shares two seconds after the last return, and that none is left."""
        self.run_until(last_return_s + SPREAD_AFTER_S)
        owners = self.read_owners()
        live = {
            m.incarnation
            for m in self.state.list_live_members()
            if self.state.find_live_lease(m.incarnation)
        }
        self.assertEqual([s for s, name in owners.items() if name not in live], [])
        self.assertLessEqual(self.count_ratio(), MAX_SHARE_RATIO)
        self.run_until(last_return_s + SPREAD_AFTER_S + 2.0)
        self.assertLessEqual(self.count_ratio(), MAX_SHARE_RATIO)
        repeated = [
            shard
            for shard, times in self.changes.items()
            if any(b - a < QUIET_S for a, b in zip(times, times[1:], strict=False))
        ]
        self.assertEqual(repeated, [])


class LogReturnTests(ReturnCase):
    """The log is back after an outage in which leases have ended."""

    def setUp(self):
        self.start()
        for number in range(NODES):
            self.apply(make_announcement(number))
        for number in range(NODES):
            self.admit(number)

    def assign_with_successors(self, successors):
        """Assign all shards evenly, with the same successors for all."""

        def choose(number):
            owner = number % NODES
            leases = [LeaseId(name_node(n), 1) for n in (owner, *successors)]
            return tuple(dict.fromkeys(leases))

        self.assign_all(choose)

    def test_nodes_that_are_first_with_a_lease_get_all_shards(self):
        """Seven of nine leases ended; their nodes have new ones within a second."""
        self.assign_with_successors((0, 1))
        self.run_until(1.0)
        for number in range(2, NODES):
            self.end_lease(number)
        for number in range(2, NODES):
            self.admit(number, term=2, after_s=0.1 * (number - 1))
        self.check_spread(last_return_s=self.now + 0.7)

    def test_nodes_without_a_lease_keep_others_from_their_shards(self):
        """Five of nine nodes do not come back; the others own all within 2 s."""
        self.assign_with_successors((0, 1))
        self.run_until(1.0)
        for number in range(4, NODES):
            self.end_lease(number)
        self.run_until(self.now + SPREAD_AFTER_S)
        held = Counter(self.read_owners().values())
        self.assertEqual(set(held), {name_node(n) for n in range(4)})
        self.assertLessEqual(max(held.values()) / len(SHARDS) * 4, MAX_SHARE_RATIO)

    def test_two_live_nodes_keep_what_they_inherited(self):
        """All leases are live, but two nodes own most shards."""
        self.assign_all(
            lambda n: (
                LeaseId(name_node(n % 2 if n < 360 else 2 + n % 7), 1),
                LeaseId(name_node((n + 1) % 2 if n < 360 else n % 2), 1),
            )
        )
        self.check_spread(last_return_s=self.now)

    def test_one_witness_that_is_late_makes_a_node_give_up_all_shards(self):
        """Six leases lapsed at one of three witnesses each; all are still live."""
        self.assign_with_successors((0, 1))
        self.run_until(1.0)
        before = self.read_owners()
        for number in range(3, NODES):
            lease = LeaseId(name_node(number), 1)
            witness = self.state.leases[lease].witnesses[0]
            self.core.context.fencing.record_lapse(lease, witness, self.now)
        self.run_until(2.0)
        after = self.read_owners()
        moved = [s for s in before if before[s] != after[s]]
        self.assertLessEqual(len(moved), PLACEMENT_LIMITS.max_moves)


class PlannerLossTests(ReturnCase):
    """The first node in rank is one whose end the log does not name yet."""

    def setUp(self):
        self.start(planner=1)
        for number in range(NODES):
            self.apply(make_announcement(number))
        for number in range(NODES):
            self.admit(number)

    def test_planner_that_left_while_the_log_was_away_is_waited_for(self):
        """The next in rank plans once witnesses have proved the end of its lease."""
        self.assign_all(
            lambda n: (
                LeaseId(name_node(n % NODES), 1),
                LeaseId(name_node(1 + (n + 1) % (NODES - 1)), 1),
            )
        )
        self.run_until(1.0)
        lease = LeaseId(name_node(0), 1)
        fencing = self.core.context.fencing
        end = RecordedEnd(kind=EndKind.FENCED, floor=0)
        fencing.record_logged_end(lease, end, self.now)
        self.run_until(1.0 + 2 * PLANNER_FAILOVER_S)
        self.assertNotIn(name_node(0), set(self.read_owners().values()))


class NodesReturnTests(ReturnCase):
    """All processes were killed; new ones join at the same addresses."""

    def build(self, delays):
        """Create chains of which two nodes own 0.70, and processes that join."""
        self.start(process="b")
        for number in range(NODES):
            self.apply(make_announcement(number))
        for number in range(NODES):
            self.admit(number)
        self.assign_all(
            lambda n: (
                LeaseId(name_node(n % 2 if n < 360 else 2 + n % 7), 1),
                LeaseId(name_node((n + 1) % 2 if n < 360 else n % 2), 1),
            )
        )
        for number, delay_s in enumerate(delays):
            self.join(number, process="b", after_s=delay_s)

    def test_plan_after_a_return_restores_the_concentration(self):
        """All processes are back within half a second."""
        self.build([0.05 * (n + 1) for n in range(NODES)])
        self.check_spread(last_return_s=0.5)

    def test_processes_that_return_later_get_shards_that_just_moved(self):
        """Three processes are back 0.5, 1 and 2 s after the others."""
        self.build([*(0.05 * (n + 1) for n in range(6)), 0.8, 1.3, 2.3])
        self.check_spread(last_return_s=2.4)

    def test_first_processes_to_return_get_all_shards(self):
        """Two processes are back 0.6 s before the others."""
        self.build([0.1, 0.1, *(0.7 + 0.05 * n for n in range(7))])
        self.check_spread(last_return_s=1.1)

    def test_process_that_never_returns_delays_the_plan(self):
        """Eight processes are back; all shards have owners within 2 s."""
        self.build([0.1 for _ in range(NODES - 1)])
        self.check_spread(last_return_s=0.2)
