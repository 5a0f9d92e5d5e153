"""Mutation tests: removing any guard of the protocol violates an invariant.

Every test runs a scenario twice: with the code as it is, where the invariants must
hold, and without one guard, where the simulation must detect a violation. This shows
that the checks can fail.
"""

import dataclasses
import unittest
from unittest import mock

from papayatack.core.identity import LeaseId
from papayatack.core.messages import LeaseLapsed
from papayatack.core.ownership import (
    claims,
    fencing,
    lease_holder,
    owned_shards,
    succession,
    witnessing,
)
from papayatack.core.ownership.context import Context
from papayatack.core.ownership.succession import examine_claim
from papayatack.core.records import Assign, Assignment, DeclareLost
from tests.fakes.fleet import Fleet

DATA_CENTRES = {"a": "1", "b": "2", "c": "3", "d": "1", "e": "2", "f": "3", "g": "1"}
SHARD = "s/all/0"


def make_fleet(**options):
    """Return a fleet with one shard, owned by ``a``, and with planning turned off.

    The attribute ``spares`` lists the slots that do not witness ``a``. The first two of
    them are the successors.
    """
    fleet = Fleet(shards=1, **options)
    for name, data_centre in DATA_CENTRES.items():
        fleet.add(name, data_centre)
    fleet.run_until(fleet.all_served, 20)
    fleet.run(3)
    fleet.plans = False
    witnesses = list_witnesses(fleet, "a")
    fleet.spares = [name for name in "bcdefg" if name not in witnesses]
    move(fleet, "a", *fleet.spares[:2])
    fleet.run(3)
    fleet.reset_outages()
    return fleet


def find_lease(fleet, name):
    """Return the newest lease of a slot."""
    return fleet.truth.find_live_lease(fleet.slots[name].core.incarnation)


def move(fleet, *names, shard=SHARD):
    """Append a move of a shard to the given chain."""
    assignment = Assignment(
        shard=shard,
        base_epoch=fleet.truth.shards[shard].current.epoch,
        chain=tuple(find_lease(fleet, name) for name in names),
    )
    append(fleet, assignment)


def append(fleet, assignment):
    """Append one assignment."""
    number = len(fleet.log)
    fleet.append(
        Assign(record_id=f"op/{number}", writer="op", assignments=(assignment,))
    )


def hide_log(fleet, *names):
    """Cut slots off from the log and from records forwarded by peers."""
    for name in names:
        fleet.log_cut.add(name)
        fleet.withheld.add(name)


def list_witnesses(fleet, name):
    """Return the slots that witness the lease of a slot."""
    lease = find_lease(fleet, name)
    return [other.split("#")[0] for other in fleet.truth.leases[lease].witnesses]


def notify_lapse(fleet, name):
    """Deliver notices that the owner's lease lapsed to a slot that missed a move."""
    lease = LeaseId("a#1", 1)
    core = fleet.slots[name].core
    for witness in core.state.leases[lease].witnesses:
        fleet._arrive(witness, core.incarnation, LeaseLapsed(lease=lease))


def isolate_owner():
    """The owner is isolated and has the slowest clock that the protocol allows."""
    fleet = make_fleet()
    slot = fleet.slots["a"]
    slot.rate = 0.9901
    for name in DATA_CENTRES:
        if name != "a":
            fleet.slots[name].rate = 1.0099
    fleet.run(2)
    fleet.isolate("a")
    fleet.run(5)


def slow_owner():
    """The links of the owner become slow and are then cut."""
    fleet = make_fleet()
    fleet.slow["a"] = 0.2
    fleet.run(3)
    fleet.isolate("a", one_way=True)
    fleet.run(5)


def lapse_at_one_witness():
    """Only one witness misses the renewals of the owner."""
    fleet = make_fleet()
    fleet.isolate("a", others=list_witnesses(fleet, "a")[:1])
    fleet.run(8)


def lapse_at_every_witness():
    """All witnesses report the lease as lapsed while their promises still hold."""
    fleet = make_fleet()
    fleet.run(0.13)
    for witness in list_witnesses(fleet, "a"):
        core = fleet.slots[witness].core
        lease = find_lease(fleet, "a")
        core.context.witnessing._notices[lease].due_s = fleet.now
    fleet.run(5)


def thaw_fenced_owner():
    """A fenced owner resumes without access to the log."""
    fleet = make_fleet()
    hide_log(fleet, *DATA_CENTRES)
    fleet.freeze("a")
    fleet.run(5)
    fleet.thaw("a")
    fleet.run(5)


def restart_witnesses():
    """Witnesses restart after fencing the lease, which the old owner then renews."""
    fleet = make_fleet()
    hide_log(fleet, "a", *fleet.spares)
    fleet.freeze("a")
    fleet.run(5)
    for name in list_witnesses(fleet, "a"):
        fleet.kill(name)
        fleet.start(name, reuse_incarnation=restart_witnesses.reuse)
    fleet.run(0.6)
    fleet.thaw("a")
    fleet.run(5)


restart_witnesses.reuse = False


def stale_successor():
    """A successor that missed a move fences the old owner."""
    fleet = make_fleet()
    hide_log(fleet, fleet.spares[0])
    move(fleet, fleet.spares[2])
    fleet.run(2)
    fleet.kill("a")
    fleet.run(1.5)
    notify_lapse(fleet, fleet.spares[0])
    fleet.run(5)


def floor_at_one_witness():
    """The owner reports its floor to only one witness and is then lost."""
    fleet = make_fleet()
    first, *others = list_witnesses(fleet, "a")
    stale, _, new = fleet.spares
    hide_log(fleet, stale)
    fleet.isolate(stale, others=[first])
    move(fleet, new)
    fleet.isolate("a", others=others)
    fleet.isolate(new, others=others[1:])
    fleet.run(0.6)
    fleet.kill("a")
    fleet.run(1.2)
    notify_lapse(fleet, stale)
    fleet.run(8)


def stale_successor_in_old_chain():
    """The old owner is lost, and a successor that missed the move takes over."""
    fleet = make_fleet()
    hide_log(fleet, fleet.spares[0])
    fleet.kill("a")
    move(fleet, fleet.spares[2])
    fleet.run(1.2)
    notify_lapse(fleet, fleet.spares[0])
    fleet.run(5)


def owner_stays():
    """The owner gets other successors and is lost before its floor is confirmed."""
    fleet = make_fleet()
    hide_log(fleet, fleet.spares[0])
    fleet.isolate("a", others=list_witnesses(fleet, "a"))
    move(fleet, "a", fleet.spares[2])
    fleet.run(0.3)
    fleet.kill("a")
    fleet.run(1.2)
    notify_lapse(fleet, fleet.spares[0])
    fleet.run(5)


def two_moves():
    """Two moves in a row, neither of which reaches the owner."""
    fleet = make_fleet()
    hide_log(fleet, "a")
    move(fleet, "d", "e")
    move(fleet, "f", "g")
    fleet.run(5)


def move_under_load():
    """A move while requests run at an upstream that does not check grants."""
    fleet = make_fleet(checks_grants=False, longest_s=1.5)
    for name in "dafbe":
        fleet.run(1.0)
        move(fleet, name)
        fleet.run(4)


def lose_under_load():
    """A loss while requests run at an upstream that does not check grants."""
    fleet = make_fleet(checks_grants=False, longest_s=3.0)
    fleet.kill("a")
    fleet.run(5)


def restart_in_place():
    """A process restarts before its grants have expired."""
    fleet = make_fleet()
    fleet.kill("a")
    fleet.start("a")
    fleet.run(5)


def declare_a_live_owner():
    """An operator declares a process lost that still runs."""
    fleet = make_fleet()
    hide_log(fleet, "a")
    record = DeclareLost(record_id="d", writer="op", incarnations=("a#1",))
    fleet.append(record)
    fleet.run(5)


def split_and_move():
    """A hot key gets its own shard, which moves while older requests run."""
    fleet = make_fleet(checks_grants=False, longest_s=3.0)
    hot = "s/all/=k"
    fleet.hot_keys[hot] = SHARD
    fleet.run(3)
    fleet.has_requests = False
    current = fleet.truth.shards[SHARD].current
    append(
        fleet,
        Assignment(
            shard=hot,
            base_epoch=0,
            chain=current.leases,
            parent=SHARD,
            parent_epoch=current.epoch,
        ),
    )
    fleet.run(0.1)
    move(fleet, fleet.spares[2], shard=hot)
    fleet.run(0.5)
    fleet.has_requests = True
    fleet.start_requests(fleet.spares[2])
    fleet.run(6)


def _fence_at_once(promise, *, now, resigned=False):
    return dataclasses.replace(promise, fenced=True, drained=resigned)


def _renew_fenced(promise, *, now, duration_s, floor):
    return dataclasses.replace(promise, fenced=False, expires_s=now + duration_s)


def _find_end_without_floor(self, lease):
    return self._context.fencing.find_end(lease)


def _examine_last(shard, entry, claimant, evidence):
    last = dataclasses.replace(entry, previous=entry.previous[-1:])
    return examine_claim(shard, last, claimant, evidence)


def _walk_first(shard, chain, successor, claimant, evidence, ends):
    lease = chain.leases[0]
    if evidence.has_released(lease, shard, successor.epoch):
        return None
    return lease if evidence.find_end(lease) is None else None


def _count_from_reply(accept):
    def count(self, witness, reply, *, now, config_offset):
        sent = self._rounds.get(reply.round)
        if sent is not None:
            self._rounds[reply.round] = dataclasses.replace(sent, sent_s=now)
        return accept(self, witness, reply, now=now, config_offset=config_offset)

    return count


class GuardTests(unittest.TestCase):
    """Scenarios that need a guard to maintain the invariants."""

    def check_guard(self, scenario, target, name, replacement):
        """Assert that a scenario passes with a guard and fails without it."""
        scenario()
        with (
            mock.patch.object(target, name, replacement),
            self.assertRaises(AssertionError),
        ):
            scenario()

    def test_fence_waits_for_the_promise_to_expire(self):
        """A witness does not fence a lease before its promise has expired."""
        self.check_guard(
            lapse_at_every_witness, witnessing, "fence_promise", _fence_at_once
        )

    def test_one_witness_cannot_end_a_lease(self):
        """Ending a lease takes the fences of a majority of its witnesses."""
        self.check_guard(
            lapse_at_one_witness, fencing, "compute_fence_quorum", lambda n: 1
        )

    def test_fenced_lease_is_never_promised_again(self):
        """A fence is permanent, even if the holder renews the lease later."""
        self.check_guard(thaw_fenced_owner, witnessing, "renew_promise", _renew_fenced)

    def test_restarted_witness_has_a_new_incarnation(self):
        """A restart loses the fences, so the process must not witness old leases."""
        self.check_guard(restart_witnesses, restart_witnesses, "reuse", True)

    def test_validity_allows_for_different_clock_rates(self):
        """The holder shortens each promise by the largest difference of rates."""
        self.check_guard(isolate_owner, lease_holder, "CLOCK_RATE_BOUND", 0.0)

    def test_validity_starts_when_the_renewal_is_sent(self):
        """Counting from the reply would extend it beyond the promise."""
        replacement = _count_from_reply(lease_holder.LeaseHolder.accept)
        self.check_guard(slow_owner, lease_holder.LeaseHolder, "accept", replacement)

    def test_successor_applies_the_floor_before_it_serves(self):
        """A successor first applies all records that the lost holder had applied."""
        self.check_guard(
            stale_successor, claims.Claims, "find_end", _find_end_without_floor
        )

    def test_floor_counts_only_if_confirmed_by_a_majority(self):
        """A floor known to a minority of the witnesses does not end the chain walk."""
        self.check_guard(
            floor_at_one_witness,
            fencing,
            "find_kth_largest",
            lambda values, k, *, default: max(values, default=default),
        )

    def test_chain_walk_includes_successors_of_a_fenced_holder(self):
        """A fenced holder of an older chain may have had a successor there."""
        self.check_guard(
            stale_successor_in_old_chain,
            succession,
            "_walk_chain",
            _walk_first,
        )

    def test_remaining_owner_confirms_its_floor_before_a_new_epoch(self):
        """An owner that stays in the chain adopts the new epoch after confirmation."""
        self.check_guard(
            owner_stays, claims.Claims, "_must_confirm", lambda *arguments: False
        )

    def test_every_uncleared_chain_is_walked(self):
        """Checking only the newest of the earlier chains is not enough."""
        self.check_guard(two_moves, claims, "examine_claim", _examine_last)

    def test_floor_stays_below_a_move_until_the_shard_is_drained(self):
        """The floor must not pass a move while requests of its shard still run."""
        self.check_guard(
            move_under_load,
            owned_shards.OwnedShards,
            "is_busy",
            lambda self, shard, now: False,
        )

    def test_requests_outliving_their_grants_are_waited_for(self):
        """An upstream that does not check grants may run requests beyond them."""
        self.check_guard(
            lose_under_load, Context, "find_overrun_s", lambda self, service: 0.0
        )

    def test_grants_of_a_superseded_process_expire_first(self):
        """No other process serves before a superseded one's grants have expired."""
        self.check_guard(restart_in_place, fencing, "UNPROVEN_ENDS", frozenset())

    def test_hot_shard_waits_for_requests_under_its_parent(self):
        """Requests for the key may still run under the parent after a split."""
        self.check_guard(
            split_and_move,
            owned_shards.OwnedShards,
            "note_overlap",
            lambda *arguments: None,
        )

    def test_live_process_declared_lost_stops_in_time(self):
        """Its witnesses refuse to renew its lease before another process serves."""
        declare_a_live_owner()
