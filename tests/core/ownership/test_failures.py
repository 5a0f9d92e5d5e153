"""Failures of nodes, network and log, one at a time and combined.

The simulation checks after every event that no shard has two owners and no activated
assignment is lost; see :mod:`tests.fakes.fleet`.
"""

import unittest

from papayatack.core.identity import LeaseId
from papayatack.core.ownership.departure import DepartureStage
from papayatack.core.ownership.effects import GrantShards
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.owned_shards import OwnedShard
from papayatack.core.ownership.succession import TOKEN_RESTART_BITS
from papayatack.core.records import Admit, Assign, Assignment, DeclareLost
from tests.fakes.fleet import Fleet

TARGET_S = 2.0
DATA_CENTRES = {"a": "1", "b": "2", "c": "3", "d": "1", "e": "2", "f": "3"}
SETTLED_S = 8.0
NUMBER = 99
"""Id of a revocation in progress."""


def make_fleet(*, data_centres=None, **options):
    """Return a fleet that serves all its shards and whose leases are stable."""
    fleet = Fleet(**options)
    for number, (name, data_centre) in enumerate(
        (data_centres or DATA_CENTRES).items()
    ):
        fleet.add(name, data_centre, rate=1 + 0.01 * (-1) ** number)
    fleet.run_until(fleet.all_served, 20)
    fleet.run(SETTLED_S)
    fleet.reset_outages()
    return fleet


class LossTests(unittest.TestCase):
    """Nodes that fail without notice."""

    def test_any_node_is_replaced_within_the_target(self):
        """The log is available."""
        for name in "ace":
            with self.subTest(name=name):
                fleet = make_fleet()
                fleet.kill(name)
                fleet.run(10)
                self.assertLess(fleet.measure_longest_outage(), TARGET_S)
                fleet.check_agreement()

    def test_any_node_is_replaced_without_the_log(self):
        """The successors are already in the chains, so a takeover needs no log."""
        for name in "ace":
            with self.subTest(name=name):
                fleet = make_fleet()
                fleet.log_up = False
                fleet.run(5)
                fleet.kill(name)
                fleet.run(10)
                self.assertLess(fleet.measure_longest_outage(), TARGET_S)

    def test_takeover_waits_for_requests_if_grants_are_not_checked(self):
        """The takeover takes longer by the longest request, 0.8 s."""
        fleet = make_fleet(checks_grants=False, longest_s=0.8)
        fleet.kill("a")
        fleet.run(10)
        self.assertLess(fleet.measure_longest_outage(), TARGET_S + 0.8)

    def test_owner_and_one_witness_may_be_lost_together(self):
        """The shards are served within the target, whichever witness is lost.

        The two lost nodes may both witness a third node, which then needs the log to
        get a new lease. Without the log, only the owner's shards are checked.
        """
        for number in range(3):
            for log_up in (True, False):
                with self.subTest(number=number, log_up=log_up):
                    fleet = make_fleet()
                    owner = fleet.slots["a"].core
                    holder = owner.context.find_newest_holder()
                    witness = holder.witnesses[number].split("#")[0]
                    if not log_up:
                        fleet.shards = fleet.list_owned("a")
                    fleet.log_up = log_up
                    fleet.reset_outages()
                    fleet.kill("a")
                    fleet.kill(witness)
                    fleet.run(10)
                    self.assertLess(fleet.measure_longest_outage(), TARGET_S)

    def test_first_leases_after_a_full_restart_have_running_witnesses(self):
        """Witnesses are chosen among the nodes that have restarted as well."""
        fleet = make_fleet()
        for name in DATA_CENTRES:
            fleet.kill(name)
        fleet.run(2)
        for name in DATA_CENTRES:
            fleet.start(name)
            fleet.run(0.03)
        fleet.run(1.0)
        for name in DATA_CENTRES:
            with self.subTest(name=name):
                core = fleet.slots[name].core
                holder = core.context.find_newest_holder()
                self.assertIsNotNone(holder)
                self.assertEqual(holder.lease.term, 1)
                now = fleet.slots[name].read_clock(fleet.now)
                self.assertTrue(holder.is_live(now))

    def test_loss_of_one_data_centre_is_tolerated(self):
        """All nodes of any one data centre are lost at once."""
        for data_centre in "123":
            for log_up in (True, False):
                with self.subTest(data_centre=data_centre, log_up=log_up):
                    fleet = make_fleet()
                    fleet.log_up = log_up
                    for name, place in DATA_CENTRES.items():
                        if place == data_centre:
                            fleet.kill(name)
                    fleet.run(10)
                    self.assertLess(fleet.measure_longest_outage(), TARGET_S)

    def test_loss_of_a_witness_majority_needs_a_declaration(self):
        """With two witnesses lost, nobody can prove the end of the owner's lease."""
        fleet = make_fleet()
        holder = fleet.slots["a"].core.context.find_newest_holder()
        lost = [name.split("#")[0] for name in holder.witnesses[:2]]
        for name in ("a", *lost):
            fleet.kill(name)
        fleet.run(30)
        self.assertFalse(fleet.all_served())
        incarnations = tuple(f"{name}#1" for name in ("a", *lost))
        record = DeclareLost(record_id="d", writer="op", incarnations=incarnations)
        fleet.append(record)
        fleet.run_until(fleet.all_served, 10)


class CutSuccessorTests(unittest.TestCase):
    """Successors that are cut off while an owner is lost."""

    def test_keys_stay_without_an_owner_after_the_cut_is_over(self):
        """However long the cut lasted, the successors learn of the loss soon."""
        for name in "ace":
            for cut_s in (5.0, 6.0, 10.0):
                with self.subTest(name=name, cut_s=cut_s):
                    fleet = make_fleet()
                    state = fleet.slots[name].core.context.state
                    shards = fleet.list_owned(name)
                    chains = [state.shards[shard].current.leases for shard in shards]
                    fleet.kill(name)
                    for successor in {lease for chain in chains for lease in chain}:
                        fleet.isolate(successor.incarnation.split("#")[0])
                    fleet.run(cut_s)
                    fleet.heal()
                    self.assertLess(fleet.run_until(fleet.all_served, 10), TARGET_S)


class PauseTests(unittest.TestCase):
    """Nodes that freeze and later resume unaware of it."""

    def test_shards_of_a_node_frozen_for_a_minute_are_taken_over(self):
        """The node rejoins after it resumes."""
        for log_up in (True, False):
            with self.subTest(log_up=log_up):
                fleet = make_fleet()
                fleet.log_up = log_up
                fleet.freeze("a")
                fleet.run(60)
                fleet.thaw("a")
                fleet.run(10)
                self.assertLess(fleet.measure_longest_outage(), TARGET_S)
                fleet.log_up = True
                fleet.run(20)
                fleet.check_agreement()
                self.assertIsNotNone(fleet.slots["a"].core)

    def test_pauses_of_about_a_lease_cause_no_second_owner(self):
        """The pauses range from 0.8 to 1.35 s; a lease lasts 1 s."""
        fleet = make_fleet()
        for number in range(12):
            fleet.freeze("b")
            fleet.run(0.8 + number * 0.05)
            fleet.thaw("b")
            fleet.run(3)
        self.assertLess(fleet.measure_longest_outage(), TARGET_S)

    def test_shards_are_served_again_after_a_pause_of_all_nodes(self):
        """All leases have expired by the end of the pause."""
        fleet = make_fleet()
        for name in DATA_CENTRES:
            fleet.freeze(name)
        fleet.run(60)
        for name in DATA_CENTRES:
            fleet.thaw(name)
        fleet.run_until(fleet.all_served, 20)


class PartitionTests(unittest.TestCase):
    """Nodes that cannot reach one another or the log."""

    def test_isolated_node_is_replaced_in_time(self):
        """A node that reaches nobody stops serving before a successor starts."""
        fleet = make_fleet()
        fleet.isolate("a")
        fleet.log_cut.add("a")
        fleet.run(30)
        self.assertLess(fleet.measure_longest_outage(), TARGET_S)
        fleet.heal()
        fleet.run(20)
        fleet.check_agreement()

    def test_node_cut_off_from_the_log_keeps_serving(self):
        """It still reaches all other nodes."""
        fleet = make_fleet()
        fleet.log_cut.add("a")
        fleet.run(60)
        self.assertLess(fleet.measure_longest_outage(), 0.1)

    def test_node_cut_off_from_its_witnesses_is_replaced(self):
        """It still reaches the log and the other nodes."""
        fleet = make_fleet()
        holder = fleet.slots["a"].core.context.find_newest_holder()
        fleet.isolate("a", others=[name.split("#")[0] for name in holder.witnesses])
        fleet.run(30)
        self.assertLess(fleet.measure_longest_outage(), TARGET_S)

    def test_node_with_one_way_links_is_replaced(self):
        """The node can only receive, or only send."""
        for outward in (True, False):
            with self.subTest(outward=outward):
                fleet = make_fleet()
                if outward:
                    fleet.isolate("c", one_way=True)
                else:
                    for other in DATA_CENTRES:
                        fleet.isolate(other, others=["c"], one_way=True)
                fleet.run(20)
                self.assertLess(fleet.measure_longest_outage(), TARGET_S)
                fleet.heal()
                fleet.run(20)
                self.assertTrue(fleet.all_served())

    def test_shards_of_an_isolated_data_centre_are_taken_over(self):
        """Its nodes stop serving; the other data centres serve the shards."""
        fleet = make_fleet()
        inside = [name for name, place in DATA_CENTRES.items() if place == "1"]
        outside = [name for name in DATA_CENTRES if name not in inside]
        for name in inside:
            fleet.isolate(name, others=outside)
            fleet.log_cut.add(name)
        fleet.run(30)
        self.assertLess(fleet.measure_longest_outage(), TARGET_S)
        fleet.heal()
        fleet.run(20)
        fleet.check_agreement()


class LogTests(unittest.TestCase):
    """Outages and delays of the log."""

    def test_log_outage_of_an_hour_does_not_stop_serving(self):
        """A node lost during the outage is replaced within the target."""
        fleet = make_fleet(data_centres={"a": "1", "b": "2", "c": "3"}, shards=3)
        fleet.has_requests = False
        fleet.tick_s = 0.25
        fleet.log_up = False
        fleet.run(1800)
        fleet.kill("b")
        fleet.run(1800)
        self.assertLess(fleet.measure_longest_outage(), TARGET_S)
        fleet.log_up = True
        fleet.run(20)
        fleet.check_agreement()

    def test_slow_appends_do_not_delay_takeovers(self):
        """Appends that take seconds delay only moves."""
        fleet = make_fleet()
        fleet.log_delay_s = 4.0
        fleet.kill("a")
        fleet.run(40)
        self.assertLess(fleet.measure_longest_outage(), TARGET_S)
        fleet.log_delay_s = 0.004
        fleet.run(20)
        fleet.check_agreement()

    def test_repeated_records_change_nothing(self):
        """Writers repeat appends whose answer was lost, so records may occur twice."""
        fleet = make_fleet()
        for record in list(fleet.log):
            fleet.append(record)
        fleet.run(10)
        self.assertLess(fleet.measure_longest_outage(), 0.1)
        fleet.check_agreement()

    def test_conflicting_plans_are_voided(self):
        """All nodes plan at once; the fold voids all plans but one."""
        fleet = make_fleet()
        fleet.planners_everywhere = True
        fleet.kill("a")
        fleet.run(20)
        self.assertLess(fleet.measure_longest_outage(), TARGET_S)
        fleet.check_agreement()

    def test_late_announcement_does_not_end_a_newer_incarnation(self):
        """The announcement of an earlier incarnation reaches the log late."""
        fleet = make_fleet()
        old = next(record for record in fleet.log if record.writer == "a")
        late = type(old)(
            **{
                **{name: getattr(old, name) for name in type(old).__slots__},
                "record_id": "late",
                "incarnation": "a#0",
            }
        )
        fleet.append(late)
        fleet.run(5)
        self.assertLess(fleet.measure_longest_outage(), 0.1)
        self.assertIsNotNone(fleet.slots["a"].core)


class RestartTests(unittest.TestCase):
    """Restarts and shutdowns of nodes."""

    def test_fleet_recovers_from_the_log_alone(self):
        """All nodes restart at once and have no state but the log."""
        fleet = make_fleet()
        for name in DATA_CENTRES:
            fleet.kill(name)
        fleet.run(1)
        for name in DATA_CENTRES:
            fleet.start(name)
        fleet.run_until(fleet.all_served, 15)
        fleet.run(5)
        fleet.check_agreement()

    def test_quick_restart_does_not_inherit_the_old_lease(self):
        """A restarted process has a new incarnation, which holds no lease yet."""
        for pause_s in (0.0, 0.3, 2.0):
            with self.subTest(pause_s=pause_s):
                fleet = make_fleet(checks_grants=False)
                fleet.kill("a")
                fleet.run(pause_s)
                fleet.start("a")
                fleet.run(15)
                self.assertLess(fleet.measure_longest_outage(), TARGET_S + 0.3)
                fleet.check_agreement()

    def test_rolling_restart_keeps_shards_served(self):
        """Every node shuts down gracefully and restarts; outages stay below 0.5 s."""
        for log_up in (True, False):
            with self.subTest(log_up=log_up):
                fleet = make_fleet()
                for name in DATA_CENTRES:
                    fleet.log_up = log_up
                    fleet.leave(name)
                    slot = fleet.slots[name]
                    fleet.run_until(lambda: slot.core is None, 30)  # noqa: B023
                    self.assertTrue(slot.finished[-1][1])
                    fleet.log_up = True
                    fleet.start(name)
                    fleet.run(SETTLED_S)
                self.assertLess(fleet.measure_longest_outage(), 0.5)
                fleet.check_agreement()

    def test_shutdown_waits_for_requests_in_flight(self):
        """A graceful shutdown neither aborts requests nor lets a successor overlap."""
        for log_up in (True, False):
            with self.subTest(log_up=log_up):
                fleet = make_fleet(checks_grants=False, longest_s=3.0)
                fleet.log_up = log_up
                fleet.leave("a")
                slot = fleet.slots["a"]
                fleet.run_until(lambda: slot.core is None, 30)  # noqa: B023
                self.assertFalse(+slot.upstream.running)
                fleet.run(10)
                self.assertTrue(fleet.all_served())

    def test_shutdown_waits_for_the_grant_of_an_older_lease(self):
        """Successors take over once the leases are fenced, so no grant may remain."""
        fleet = make_fleet()
        fleet.log_up = False
        core = fleet.slots["a"].core
        older = LeaseHolder(lease=LeaseId(core.incarnation, 0), witnesses=(), now=0.0)
        right = OwnedShard(holder=older, epoch=1, target_token=1, revocation_id=NUMBER)
        core.context.owned_shards._transferred["s/all/9"] = [right]
        fleet.leave("a")
        fleet.run(3)
        self.assertIs(fleet.slots["a"].core, core)
        self.assertIn(
            core.departure.stage,
            (DepartureStage.SERVING, DepartureStage.MOVING, DepartureStage.DRAINING),
        )
        core.confirm_revoke(NUMBER, ("s/all/9",), done=True, now=fleet.now)
        fleet.run_until(lambda: fleet.slots["a"].core is None, 10)

    def test_process_declared_lost_finishes_without_resigning(self):
        """A running process that a log record ended stops with ``resigned`` false."""
        fleet = make_fleet()
        fleet.append(DeclareLost(record_id="d", writer="op", incarnations=("a#1",)))
        fleet.run(10)
        self.assertEqual(fleet.slots["a"].finished[-1][1], False)
        self.assertTrue(fleet.all_served())


class SmallFleetTests(unittest.TestCase):
    """Fleets with fewer nodes than the desired number of witnesses."""

    def test_single_node_serves_without_witnesses(self):
        """It serves again after a restart."""
        fleet = make_fleet(data_centres={"a": "1"})
        fleet.kill("a")
        fleet.start("a")
        fleet.run_until(fleet.all_served, 10)

    def test_three_nodes_tolerate_one_loss(self):
        """With two witnesses, one can renew a lease, and both are needed to end it."""
        for log_up in (True, False):
            for name in "abc":
                with self.subTest(name=name, log_up=log_up):
                    fleet = make_fleet(data_centres={"a": "1", "b": "2", "c": "3"})
                    fleet.log_up = log_up
                    fleet.kill(name)
                    fleet.run(10)
                    self.assertLess(fleet.measure_longest_outage(), TARGET_S)

    def test_loss_of_one_of_two_nodes_needs_a_declaration(self):
        """The remaining node serves once the other one has been declared lost."""
        fleet = make_fleet(data_centres={"a": "1", "b": "2"})
        fleet.kill("a")
        fleet.run(10)
        self.assertFalse(fleet.all_served())
        fleet.append(DeclareLost(record_id="d", writer="op", incarnations=("a#1",)))
        fleet.run_until(fleet.all_served, 15)

    def test_first_node_gets_witnesses_soon_after_others_start(self):
        """Until then, no other node can take over its shards."""
        fleet = Fleet()
        fleet.add("a", "1")
        fleet.run(1.5)
        for name, place in list(DATA_CENTRES.items())[1:]:
            fleet.add(name, place)
        fleet.run(3.0)
        holder = fleet.slots["a"].core.context.find_newest_holder()
        self.assertEqual(len(holder.witnesses), 3)

    def test_growing_fleet_adds_witnesses_without_interruption(self):
        """Nodes that join become witnesses of earlier ones."""
        fleet = make_fleet(data_centres={"a": "1"})
        for name, place in list(DATA_CENTRES.items())[1:]:
            fleet.add(name, place)
            fleet.run(8)
        self.assertLess(fleet.measure_longest_outage(), 0.5)
        for slot in fleet.slots.values():
            holder = slot.core.context.find_newest_holder()
            self.assertEqual(len(holder.witnesses), 3)


class HotKeyCase(unittest.TestCase):
    """Three nodes, one of which owns a key that can get a shard of its own."""

    hot = "s/all/=hot"

    def setUp(self):
        self.fleet = make_fleet(data_centres={"a": "1", "b": "2", "c": "3"}, shards=3)
        self.fleet.plans = False
        self.parent = self.fleet.list_owned("a")[0]
        self.fleet.hot_keys[self.hot] = self.parent

    def assign(self, shard, chain, *, parent=""):
        """Append a move or, if a parent is given, a split or a return."""
        shards = self.fleet.truth.shards
        base_epoch = shards[shard].current.epoch if shard in shards else 0
        assignment = Assignment(
            shard=shard,
            base_epoch=base_epoch,
            chain=chain,
            parent=parent,
            parent_epoch=shards[parent].current.epoch if parent else 0,
        )
        record_id = f"operator/{len(self.fleet.log)}"
        self.fleet.append(
            Assign(record_id=record_id, writer="operator", assignments=(assignment,))
        )

    def split(self):
        """Give the hot key a shard of its own."""
        chain = self.fleet.truth.shards[self.parent].current.leases
        self.assign(self.hot, chain, parent=self.parent)

    def return_key(self):
        """Return the hot key to its parent."""
        self.assign(self.hot, (), parent=self.parent)

    def find_leases(self, *names):
        """Return the newest leases of the given slots."""
        return tuple(
            self.fleet.truth.find_live_lease(self.fleet.slots[name].core.incarnation)
            for name in names
        )


class SlowUpstreamTests(HotKeyCase):
    """Grants and revocations that the upstream answers late."""

    def test_answer_to_an_earlier_revocation_does_not_count_for_a_later_one(self):
        """A shard returns and moves again while its first revocation is in progress."""
        self.split()
        self.fleet.run(1.0)
        self.fleet.order_delays = {"a": 0.4}
        revoking = self.fleet.slots["a"].revoking
        self.return_key()
        self.fleet.run_until(lambda: revoking[self.hot], 2)
        self.split()
        self.fleet.run(0.05)
        self.assign(self.hot, self.find_leases("b", "c"))
        self.fleet.run(3)
        self.assertEqual(self.fleet.list_owners(self.hot), ["b"])


class UnknownSplitTests(HotKeyCase):
    """The only node that knows of a hot key's split or return is lost."""

    def lose_owner_once_granted(self, shard):
        """Kill the owner as soon as its upstream has a new token for ``shard``."""
        fleet, tokens = self.fleet, self.fleet.slots["a"].upstream.tokens
        before = tokens.get(shard)
        fleet.run_until(lambda: tokens.get(shard) != before, 1)
        fleet.kill("a")
        fleet.run(8)
        self.assertEqual(len(fleet.list_owners(self.parent)), 1)

    def test_token_increases_after_a_split_unknown_to_the_successor(self):
        """No other node can read the log for longer than the lease lasts.

        The successor must not take the key with a token below that of the lost owner.
        """
        self.fleet.log_cut |= {"b", "c"}
        self.split()
        self.lose_owner_once_granted(self.hot)

    def test_token_increases_after_a_return_unknown_to_the_successor(self):
        """No other node can read the log for longer than the lease lasts.

        The successor must not take the key with a token below that of the lost owner.
        """
        self.split()
        self.fleet.run(2)
        self.fleet.log_cut |= {"b", "c"}
        self.return_key()
        self.lose_owner_once_granted(self.parent)


class ResignationTests(unittest.TestCase):
    """A node without an upstream resigns its lease and keeps running."""

    def test_node_does_not_serve_under_a_lease_that_it_has_resigned(self):
        """The replies of the witnesses are lost, and a successor serves at once."""
        fleet = make_fleet(data_centres={"a": "1", "b": "2", "c": "3"}, lease_s=3.0)
        fleet.plans = False
        slot, hot = fleet.slots["a"], "s/all/=hot"
        core = slot.core
        shard = fleet.list_owned("a")[0]
        fleet.hot_keys[hot] = shard
        fleet.log_up = False
        effects = core.evacuate_shards(slot.read_clock(fleet.now))
        fleet._carry_out(slot, core, effects)
        fleet.run_until(lambda: core.departure.stage is DepartureStage.DRAINING, 5)
        fleet.cut |= {("b", "a"), ("c", "a")}
        fleet.run_until(lambda: core.departure.stage is DepartureStage.SERVING, 5)
        self.assertNotIn("a", fleet.list_owners(shard))
        fleet.log_up = True
        current = fleet.truth.shards[shard].current
        split = Assignment(
            shard=hot,
            base_epoch=0,
            chain=current.leases,
            parent=shard,
            parent_epoch=current.epoch,
        )
        fleet.append(Assign(record_id="op/1", writer="op", assignments=(split,)))
        fleet.run(3)
        self.assertEqual(fleet.list_owners(hot), fleet.list_owners(shard))


class SuspensionTests(unittest.TestCase):
    """The VM of a node is suspended, including its upstream."""

    def test_resumed_node_keeps_a_lease_until_its_grants_have_expired(self):
        """The node no longer reaches the witnesses of an older lease."""
        fleet = make_fleet(lease_s=3.0)
        fleet.plans = False
        slot = fleet.slots["a"]
        core = slot.core
        old = core.context.find_newest_holder()
        witnesses = tuple(
            other.core.incarnation
            for other in fleet.slots.values()
            if other.core.incarnation not in (core.incarnation, *old.witnesses)
        )
        lease = LeaseId(core.incarnation, old.lease.term + 1)
        fleet.append(
            Admit(record_id="op/1", writer="op", lease=lease, witnesses=witnesses)
        )
        fleet.run_until(lambda: lease in core.context.holders, 1)
        fleet.log_up = False
        fleet.run_until(
            lambda: core.context.holders[lease].is_live(slot.read_clock(fleet.now)), 1
        )
        fleet.isolate("a", others=[name.split("#")[0] for name in old.witnesses])
        fleet._carry_out(slot, core, core.handle_suspension(slot.read_clock(fleet.now)))
        end_s = max(until_s for _, until_s in slot.upstream.grants.values())
        self.assertGreater(end_s, fleet.now + 2.0)
        fleet.run_until(lambda: old.ended, 10)
        self.assertGreaterEqual(fleet.now, end_s)


class UpstreamTests(unittest.TestCase):
    """Restarts of the upstream beside a node."""

    def test_restarted_upstream_gets_only_new_tokens(self):
        """This includes shards not yet served under their newest chain."""
        fleet = make_fleet()
        slot = fleet.slots["a"]
        shard = fleet.list_owned("a")[0]
        current = fleet.truth.shards[shard].current
        fleet.plans = False
        fleet.isolate("a")
        fleet.run(0.01)
        assignment = Assignment(
            shard=shard, base_epoch=current.epoch, chain=current.leases[:1]
        )
        fleet.append(Assign(record_id="op/1", writer="op", assignments=(assignment,)))
        fleet.run(0.1)
        self.assertLess(
            slot.core.context.owned_shards.owned[shard].epoch, current.epoch + 1
        )
        effects = slot.core.handle_upstream_restart(slot.read_clock(fleet.now))
        tokens = {
            token
            for effect in effects
            if type(effect) is GrantShards
            for token in effect.tokens.values()
        }
        life = slot.core.context.upstream_restarts
        self.assertTrue(tokens)
        self.assertEqual(
            {token % (1 << TOKEN_RESTART_BITS) for token in tokens}, {life}
        )
