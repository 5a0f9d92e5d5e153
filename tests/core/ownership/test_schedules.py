"""Random schedules of faults, with the invariants of :mod:`tests.fakes.fleet`."""

import unittest

from hypothesis import Phase, given, settings, strategies as st

from papayatack.core.ownership.timing import LEASE_DURATION_S
from papayatack.core.records import Assign, Assignment, DeclareLost
from tests.fakes.fleet import Fleet
from tests.fakes.keyed import KeyedTraffic

DATA_CENTRES = {"a": "1", "b": "2", "c": "3", "d": "1", "e": "2"}
HOT = "s/all/=hot"
EXAMPLES = 25
LONG_LEASE_S = 3.0

_names = st.sampled_from(sorted(DATA_CENTRES))
_pauses = st.sampled_from([0.01, 0.05, 0.2, 0.5, 1.0, 1.5, 3.0])
_faults = st.one_of(
    st.tuples(st.just("kill"), _names),
    st.tuples(st.just("start"), _names),
    st.tuples(st.just("freeze"), _names),
    st.tuples(st.just("thaw"), _names),
    st.tuples(st.just("leave"), _names),
    st.tuples(st.just("declare"), _names),
    st.tuples(st.just("cut"), _names, _names, st.booleans()),
    st.tuples(st.just("cut_log"), _names),
    st.tuples(st.just("heal")),
    st.tuples(st.just("log"), st.booleans()),
    st.tuples(st.just("slow_log"), st.sampled_from([0.004, 0.5, 3.0])),
    st.tuples(st.just("drop"), st.sampled_from([0.0, 0.1, 0.4])),
    st.tuples(st.just("duplicate"), st.sampled_from([0.0, 0.3])),
    st.tuples(st.just("delay"), st.sampled_from([0.0, 0.1, 1.5])),
    st.tuples(st.just("orders"), st.sampled_from([0.0, 0.1, 0.6])),
    st.tuples(st.just("lose_orders"), st.sampled_from([0.0, 0.5])),
    st.tuples(st.just("planners"), st.booleans()),
    st.tuples(st.just("repeat"), st.integers(0, 200)),
    st.tuples(
        st.just("move"), st.integers(0, 2), st.permutations(sorted(DATA_CENTRES))
    ),
    st.tuples(st.just("split")),
    st.tuples(st.just("return_key")),
    st.tuples(st.just("move_hot"), st.permutations(sorted(DATA_CENTRES))),
)
_moves = st.one_of(
    st.tuples(st.just("move"), st.just(0), st.permutations(sorted(DATA_CENTRES))),
    st.tuples(st.just("split")),
    st.tuples(st.just("return_key")),
    st.tuples(st.just("move_hot"), st.permutations(sorted(DATA_CENTRES))),
    st.tuples(st.just("kill"), st.sampled_from(sorted(DATA_CENTRES))),
    st.tuples(st.just("start"), st.sampled_from(sorted(DATA_CENTRES))),
)
_move_pauses = st.sampled_from([0.01, 0.3, 1.0, 2.5])
_move_schedules = st.lists(st.tuples(_moves, _move_pauses), min_size=10, max_size=40)
_schedules = st.lists(st.tuples(_faults, _pauses), min_size=4, max_size=40)


class Schedule:
    """Runs one schedule of faults on a fleet."""

    def __init__(self, *, seed, checks_grants, lease_s=LEASE_DURATION_S):
        self.fleet = Fleet(
            seed=seed,
            shards=3,
            checks_grants=checks_grants,
            longest_s=0.5,
            lease_s=lease_s,
        )
        for number, (name, place) in enumerate(DATA_CENTRES.items()):
            rate = 1 + 0.0099 * (-1) ** number
            self.fleet.add(name, place, rate=rate)
        self.fleet.hot_keys[HOT] = self.fleet.shards[0]
        self.killed = set()
        self.records = 0
        self.fleet.run_until(self.fleet.all_served, 20)

    def perform(self, fault):
        """Inject one fault."""
        name, *arguments = fault
        getattr(self, name)(*arguments)

    def kill(self, name):
        """Kill a process."""
        slot = self.fleet.slots[name]
        if slot.core is not None:
            self.killed.add(slot.core.incarnation)
        self.fleet.kill(name)

    def start(self, name):
        """Start a process on a slot where none runs."""
        if self.fleet.slots[name].core is None:
            self.fleet.start(name)

    def freeze(self, name):
        """Freeze a process."""
        self.fleet.freeze(name)

    def thaw(self, name):
        """Thaw a process."""
        self.fleet.thaw(name)

    def leave(self, name):
        """Start a graceful shutdown."""
        slot = self.fleet.slots[name]
        if slot.core is not None and not slot.frozen:
            self.fleet.leave(name)

    def declare(self, name):
        """Declare the dead processes of a slot lost."""
        dead = [me for me in sorted(self.killed) if me.split("#")[0] == name]
        if dead:
            self._append(DeclareLost, incarnations=tuple(dead))

    def cut(self, name, other, one_way):
        """Cut a link."""
        self.fleet.isolate(name, others=[other], one_way=one_way)

    def cut_log(self, name):
        """Cut a slot off from the log."""
        self.fleet.log_cut.add(name)

    def heal(self):
        """Restore all links."""
        self.fleet.heal()

    def log(self, up):
        """Make the log available or unavailable."""
        self.fleet.log_up = up

    def slow_log(self, delay_s):
        """Set the delay of the log."""
        self.fleet.log_delay_s = delay_s

    def drop(self, share):
        """Lose a share of the messages."""
        self.fleet.drop = share

    def duplicate(self, share):
        """Duplicate a share of the messages."""
        self.fleet.duplicate = share

    def delay(self, longest_s):
        """Delay and reorder messages."""
        self.fleet.extra_delay_s = longest_s

    def orders(self, longest_s):
        """Delay the calls to the upstreams."""
        self.fleet.order_delay_s = longest_s

    def lose_orders(self, share):
        """Lose a share of the grants."""
        self.fleet.order_loss = share

    def planners(self, everywhere):
        """Let all nodes plan, or only the elected planner."""
        self.fleet.planners_everywhere = everywhere

    def repeat(self, index):
        """Append a record of the log again."""
        if index < len(self.fleet.log):
            self.fleet.append(self.fleet.log[index])

    def move(self, number, names):
        """Move a shard to the live leases of the given slots."""
        shard = self.fleet.shards[number]
        entry = self.fleet.truth.shards.get(shard)
        if entry is not None:
            self._assign(shard, entry.current.epoch, self._list_leases(names))

    def split(self):
        """Give the hot key a shard of its own."""
        parent = self.fleet.shards[0]
        if HOT in self.fleet.truth.shards:
            return
        entry = self.fleet.truth.shards[parent]
        self._assign(HOT, 0, entry.current.leases, parent, entry.current.epoch)

    def return_key(self):
        """Return the hot key to its parent.

        If the chains of the two shards differ, the hot shard is first moved to the
        chain of its parent, and a later call returns the key.
        """
        entry = self.fleet.truth.shards.get(HOT)
        if entry is None:
            return
        parent = self.fleet.hot_keys[HOT]
        parent_entry = self.fleet.truth.shards[parent]
        if entry.current.leases != parent_entry.current.leases:
            self._assign(HOT, entry.current.epoch, parent_entry.current.leases)
            return
        epoch = parent_entry.current.epoch
        self._assign(HOT, entry.current.epoch, (), parent, epoch)

    def move_hot(self, names):
        """Move the shard of the hot key."""
        entry = self.fleet.truth.shards.get(HOT)
        if entry is not None:
            self._assign(HOT, entry.current.epoch, self._list_leases(names))

    def finish(self):
        """End all faults and check that the fleet recovers."""
        fleet = self.fleet
        fleet.heal()
        fleet.log_up = True
        fleet.log_delay_s = 0.004
        fleet.drop = fleet.duplicate = fleet.extra_delay_s = 0.0
        fleet.order_delay_s = fleet.order_loss = 0.0
        fleet.planners_everywhere = False
        for name in DATA_CENTRES:
            fleet.thaw(name)
        fleet.run(1.0)
        dead = []
        for name in DATA_CENTRES:
            self.start(name)
        dead = [me for me in self.killed if me in fleet.truth.members]
        fleet.run(1.0)
        if dead:
            self._append(DeclareLost, incarnations=tuple(sorted(dead)))
        fleet.run_until(fleet.all_served, 60)
        fleet.run_until(fleet.has_agreement, 10)

    def _list_leases(self, names):
        truth = self.fleet.truth
        found = (
            truth.find_live_lease(f"{name}#{self.fleet.slots[name].starts}")
            for name in names[:3]
        )
        return tuple(lease for lease in found if lease is not None)

    def _assign(self, shard, epoch, chain, parent="", parent_epoch=0):
        assignment = Assignment(
            shard=shard,
            base_epoch=epoch,
            chain=chain,
            parent=parent,
            parent_epoch=parent_epoch,
        )
        self._append(Assign, assignments=(assignment,))

    def _append(self, kind, **fields):
        self.records += 1
        self.fleet.append(
            kind(record_id=f"operator/{self.records}", writer="operator", **fields)
        )


class ScheduleTests(unittest.TestCase):
    """Invariants under any schedule of faults."""

    @settings(max_examples=EXAMPLES, phases=[Phase.explicit, Phase.generate])
    @given(schedule=_schedules, seed=st.integers(0, 99), checks_grants=st.booleans())
    def test_shards_have_at_most_one_owner(self, schedule, seed, checks_grants):
        """No shard ever has two owners, and all are served after the faults end."""
        run = Schedule(seed=seed, checks_grants=checks_grants)
        for fault, pause_s in schedule:
            run.perform(fault)
            run.fleet.run(pause_s)
        run.finish()

    @settings(max_examples=EXAMPLES, phases=[Phase.explicit, Phase.generate])
    @given(
        schedule=st.one_of(_schedules, _move_schedules),
        seed=st.integers(0, 99),
        checks_grants=st.booleans(),
    )
    def test_long_leases_allow_at_most_one_owner(self, schedule, seed, checks_grants):
        """The duration of a lease affects only the time that a takeover needs."""
        run = Schedule(seed=seed, checks_grants=checks_grants, lease_s=LONG_LEASE_S)
        for fault, pause_s in schedule:
            run.perform(fault)
            run.fleet.run(pause_s)
        run.finish()

    @settings(max_examples=EXAMPLES, phases=[Phase.explicit, Phase.generate])
    @given(
        schedule=st.one_of(_schedules, _move_schedules, _move_schedules),
        seed=st.integers(0, 99),
    )
    def test_idempotency_key_runs_at_most_once(self, schedule, seed):
        """No idempotency key runs twice while its shard key changes owners."""
        run = Schedule(seed=seed, checks_grants=True)
        fleet = run.fleet
        fleet.keyed = KeyedTraffic(fleet=fleet, hot=HOT, parent=fleet.shards[0])
        for fault, pause_s in schedule:
            run.perform(fault)
            fleet.run(pause_s)
        run.finish()
