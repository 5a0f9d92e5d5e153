"""Tests with random schedules of faults on real nodes with simulated upstreams.

To run more schedules by hand, give the first seed and the number of schedules. With one
schedule, the history of a failure is printed as well::

    PYTHONHASHSEED=0 python -m tests.platform.test_ownership_schedules 1 1000
"""

import asyncio
import logging
import random
import sys
import unittest

from papayatack.core.identity import LeaseId
from papayatack.core.ownership.effects import ExtendLease, GrantShards
from papayatack.core.records import Admit, Assign, Assignment
from papayatack.core.shards import format_hot_shard_id, is_hot_shard
from papayatack.platform.grants import MAX_DELIVERY_S
from standins.logstore import Outage
from tests.fakes.clocks import FreezableLoop
from tests.fakes.platformfleet import KEYS, LOG_DELAY_S, SERVICE, PlatformFleet
from tests.fakes.ranges import SLICE_WIDTH

PLACES = {"a": "east", "b": "west", "c": "south", "d": "east", "e": "west"}
SETTLE_S = 4.0
STEPS = 30
SEEDS = range(24)
PROGRESS_INTERVAL = 20


class Schedule:
    """Runs one random schedule on a fleet."""

    def __init__(self, *, seed):
        self.random = random.Random(f"schedule {seed}")
        self.fleet = PlatformFleet(seed=seed)
        self._ending = []

    async def run(self):
        """Run the schedule; return the violations of the ownership rules."""
        fleet = self.fleet
        for name, place in PLACES.items():
            fleet.add(name, place)
        watching = asyncio.create_task(fleet.watch())
        await asyncio.sleep(SETTLE_S)
        kinds = self.random.sample(ACTIONS, k=self.random.randint(4, len(ACTIONS)))
        for _ in range(STEPS):
            action = self.random.choice(kinds)
            action(self)
            await asyncio.sleep(self.random.choice([0.01, 0.1, 0.3, 0.6, 1.0]))
        await asyncio.sleep(2.0)
        watching.cancel()
        await fleet.stop()
        return fleet.checker.violations

    def _later(self, action, *args, longest_s=3.0):
        delay_s = self.random.random() * longest_s
        asyncio.get_running_loop().call_later(delay_s, action, *args)

    def _choose_slot(self):
        return self.fleet.slots[self.random.choice(sorted(PLACES))]

    def _list_leases(self, state):
        leases = [
            lease
            for name in sorted(PLACES)
            if (
                lease := state.find_live_lease(
                    f"{name}#{self.fleet.slots[name].starts}"
                )
            )
        ]
        self.random.shuffle(leases)
        return leases

    def _assign(self, *assignments):
        self._append(Assign, assignments=assignments)

    def _append(self, kind, **fields):
        if self.fleet.store.faults.outage is Outage.NONE:
            self.fleet.append(kind, **fields)

    def move(self):
        """Move some shards to random nodes."""
        state = self.fleet.read_state()
        shards = sorted(state.shards)
        if not shards:
            return
        chosen = self.random.sample(
            shards, k=min(len(shards), self.random.randint(1, 4))
        )
        leases = self._list_leases(state)[:3]
        self._assign(
            *(
                Assignment(
                    shard=shard,
                    base_epoch=state.shards[shard].current.epoch,
                    chain=tuple(leases),
                )
                for shard in chosen
            )
        )

    def split(self):
        """Split a hot slice off its shard."""
        state = self.fleet.read_state()
        first = self.random.randrange(KEYS // SLICE_WIDTH) * SLICE_WIDTH
        hot = format_hot_shard_id(SERVICE, "keys", f"{first}-{first + SLICE_WIDTH - 1}")
        parent = find_parent(state, first)
        if hot in state.shards or parent is None:
            return
        self.fleet.hot_keys = (first, first + 1)
        current = state.shards[parent].current
        self._assign(
            Assignment(
                shard=hot,
                base_epoch=0,
                chain=current.leases,
                parent=parent,
                parent_epoch=current.epoch,
            )
        )

    def merge(self):
        """Merge a hot slice, or move it to the nodes of its parent first."""
        state = self.fleet.read_state()
        hot = [shard for shard in sorted(state.shards) if is_hot_shard(shard)]
        if not hot:
            return
        shard = self.random.choice(hot)
        first = int(shard.rpartition("=")[2].partition("-")[0])
        parent = find_parent(state, first)
        current, target = state.shards[shard].current, state.shards[parent].current
        if current.leases != target.leases:
            self._assign(
                Assignment(shard=shard, base_epoch=current.epoch, chain=target.leases)
            )
            return
        self._assign(
            Assignment(
                shard=shard,
                base_epoch=current.epoch,
                chain=(),
                parent=parent,
                parent_epoch=target.epoch,
            )
        )

    def readmit(self):
        """Admit a node under a new lease."""
        state = self.fleet.read_state()
        slot = self._choose_slot()
        member = state.members.get(f"{slot.name}#{slot.starts}")
        others = [
            other.incarnation
            for other in state.list_live_members()
            if other is not member
        ]
        if member is None or member.ended is not None or len(others) < 3:
            return
        self._append(
            Admit,
            lease=LeaseId(member.incarnation, member.term + 1),
            witnesses=tuple(self.random.sample(others, k=3)),
        )

    def restart(self):
        """Kill a node and restart it."""
        slot = self._choose_slot()
        if slot.control is not None and not slot.is_frozen:
            self.fleet.kill(slot.name)
            self._later(self._start, slot.name, longest_s=2.0)

    def _start(self, name):
        slot = self.fleet.slots[name]
        if slot.control is None:
            self.fleet.start(name)

    def depart(self):
        """Shut a node down gracefully and restart it."""
        slot = self._choose_slot()
        if slot.control is not None and not slot.is_frozen:
            self.fleet.checker.record_event(f"{slot.name} departs")
            slot.control.start_departure()
            self._later(self._restart, slot.name, slot.starts)

    def _restart(self, name, starts):
        slot = self.fleet.slots[name]
        if slot.starts == starts and not slot.is_frozen:
            self.fleet.kill(name)
            self.fleet.start(name)

    def freeze(self):
        """Freeze a node for a while."""
        slot = self._choose_slot()
        if slot.control is not None and not slot.is_frozen:
            self.fleet.freeze(slot.name)
            self._later(self.fleet.thaw, slot.name)

    def freeze_upstream(self):
        """Freeze an upstream for a while."""
        slot = self._choose_slot()
        if slot.life is not None:
            self.fleet.freeze(slot.life.name)
            self._later(self.fleet.thaw, slot.life.name)

    def crash_upstream(self):
        """Kill an upstream and start another, with or without a notice to its node."""
        slot = self._choose_slot()
        if slot.life is None:
            return
        self.fleet.end_upstream(slot.name)
        if self.random.random() < 0.5:
            self._later(self.fleet.tell_upstream_gone, slot.name, longest_s=0.5)
        self._later(self._start_upstream, slot.name, longest_s=2.0)

    def _start_upstream(self, name):
        if self.fleet.slots[name].life is None:
            self.fleet.start_upstream(name)

    def drain_upstream(self):
        """Drain an upstream and start another."""
        slot = self._choose_slot()
        if slot.life is not None:
            self.fleet.checker.record_event(f"{slot.life.name} leaves")
            self.fleet.tell_upstream_leaves(slot.name)
            self._later(self._replace_upstream, slot.life, slot.name)

    def _replace_upstream(self, life, name):
        if self.fleet.slots[name].life is life:
            self.fleet.end_upstream(name)
            self.fleet.start_upstream(name)

    def cut(self):
        """Disconnect a node from others, in one direction or both."""
        slot = self._choose_slot()
        others = [name for name in sorted(PLACES) if name != slot.name]
        others = self.random.sample(others, k=self.random.randint(1, len(others)))
        one_way = self.random.random() < 0.3
        pairs = {(slot.name, other) for other in others}
        if not one_way:
            pairs |= {(other, slot.name) for other in others}
        self.fleet.checker.record_event(f"{slot.name} is cut from {' '.join(others)}")
        self.fleet.cut |= pairs
        self._later(self.fleet.cut.difference_update, pairs)

    def cut_log(self):
        """Disconnect a node from the log."""
        slot = self._choose_slot()
        slot.is_log_cut = True
        self.fleet.checker.record_event(f"{slot.name} is cut from the log")
        self._later(setattr, slot, "is_log_cut", False)

    def disturb_log(self):
        """Make the log unavailable or slow for a while."""
        faults = self.fleet.store.faults
        if self.random.random() < 0.5:
            faults.outage = self.random.choice([Outage.HANG, Outage.REFUSE])
        else:
            faults.delay_s = self.random.choice([0.1, 0.4])
        self.fleet.checker.record_event(f"log {faults.outage.value} {faults.delay_s}")
        self._later(self._heal_log)

    def _heal_log(self):
        self.fleet.store.faults.outage = Outage.NONE
        self.fleet.store.faults.delay_s = LOG_DELAY_S

    def disturb_network(self):
        """Drop or delay messages between nodes."""
        self.fleet.drop = self.random.choice([0.0, 0.2, 0.5])
        self.fleet.delay_s = self.random.choice([0.0, 0.1, 0.5])
        self._later(setattr, self.fleet, "drop", 0.0)
        self._later(setattr, self.fleet, "delay_s", 0.0)

    def disturb_grants(self):
        """Drop responses of upstreams, delay their grants, or slow them down."""
        self.fleet.lose = self.random.choice([0.0, 0.1, 0.4])
        self.fleet.stall = self.random.choice([0.0, 0.1, 0.4])
        self.fleet.slow_s = self.random.choice([0.0, 0.1, 0.3, 0.8])
        self.fleet.spread_faults()

    def delay_grants(self):
        """Let grants and requests take longer to reach the upstreams."""
        self.fleet.late_s = self.random.choice([0.05, 0.1, 0.2, 0.28])
        self.fleet.spread_faults()

    def stall_decisions(self):
        """Let some nodes lose the processor between a decision and its execution."""
        share = self.random.choice([0.02, 0.1, 0.5])
        longest_s = self.random.choice([0.05, 0.3, 1.0])
        slot = self._choose_slot()

        def find_stall_s(effects):
            grants = any(isinstance(one, GrantShards | ExtendLease) for one in effects)
            if not grants or self.random.random() > share:
                return 0.0
            return self.random.random() * longest_s

        slot.find_stall_s = find_stall_s
        self._later(setattr, slot, "find_stall_s", lambda effects: 0.0)

    def heal_grants(self):
        """Stop all faults of grant calls."""
        self.fleet.lose = self.fleet.stall = 0.0
        self.fleet.slow_s = self.fleet.late_s = 0.0
        self.fleet.spread_faults()


ACTIONS = [
    Schedule.move,
    Schedule.split,
    Schedule.merge,
    Schedule.readmit,
    Schedule.restart,
    Schedule.depart,
    Schedule.freeze,
    Schedule.freeze_upstream,
    Schedule.crash_upstream,
    Schedule.drain_upstream,
    Schedule.cut,
    Schedule.cut_log,
    Schedule.disturb_log,
    Schedule.disturb_network,
    Schedule.disturb_grants,
    Schedule.delay_grants,
    Schedule.stall_decisions,
    Schedule.heal_grants,
]


def find_parent(state, key):
    """Return the shard of a key, ignoring hot slices."""
    for shard in state.shards:
        first, _, last = shard.rpartition("/")[2].partition("-")
        if not is_hot_shard(shard) and int(first) <= key <= int(last):
            return shard
    return None


def play(seed):
    """Run one schedule and return it."""
    schedule = None

    async def run():
        nonlocal schedule
        schedule = Schedule(seed=seed)
        await schedule.run()

    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        runner.run(run())
    return schedule


class OwnershipScheduleTests(unittest.TestCase):
    """Ownership rules under random faults."""

    def test_each_key_has_one_holder(self):
        """Tokens increase, and no two upstreams hold or serve the same keys."""
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        broken = {seed: play(seed).fleet.checker.violations for seed in SEEDS}
        self.assertEqual({seed: seen for seed, seen in broken.items() if seen}, {})


class ChosenScheduleTests(unittest.TestCase):
    """Schedules that violated the rules in the past."""

    def test_readmitted_node_gives_up_its_keys_after_a_slow_release(self):
        """The older lease is still valid; its grant must not follow the newer one."""
        fleet = None

        async def run():
            nonlocal fleet
            fleet = PlatformFleet(seed=1)
            for name, place in PLACES.items():
                fleet.add(name, place)
            await asyncio.sleep(3.0)
            fleet.plans = False
            await asyncio.sleep(2.0)
            term = fleet.read_state().members["a#1"].term
            old, new = LeaseId("a#1", term + 1), LeaseId("a#1", term + 2)
            fleet.append(Admit, lease=old, witnesses=("b#1", "c#1", "d#1"))
            await asyncio.sleep(1.5)
            state = fleet.read_state()
            chain = (old, state.find_live_lease("b#1"))
            shard = find_parent(state, 0)
            fleet.append(
                Assign,
                assignments=(
                    Assignment(
                        shard=shard,
                        base_epoch=state.shards[shard].current.epoch,
                        chain=chain,
                    ),
                ),
            )
            await asyncio.sleep(2.0)
            upstream = fleet.slots["a"].life.name
            fleet.freeze(upstream)
            await asyncio.sleep(0.45)
            fleet.append(Admit, lease=new, witnesses=("c#1", "d#1", "e#1"))
            await asyncio.sleep(3.0)
            fleet.cut |= {("a", "c"), ("c", "a"), ("a", "e"), ("e", "a")}
            await asyncio.sleep(1.6)
            fleet.thaw(upstream)
            await asyncio.sleep(2.0)
            await fleet.stop()

        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            runner.run(run())
        self.assertTrue(
            any(text.startswith("b.1 gr") for _, text in fleet.checker.history)
        )
        self.assertEqual(fleet.checker.violations, [])

    def test_extension_decided_before_a_stall_outlasts_no_lease(self):
        """The node is cut off meanwhile, and killed once it has sent it."""
        self.assertEqual(self.play_stall(0.7), [])

    def test_extension_decided_before_a_long_stall_is_not_sent(self):
        """The next owner has the keys with a higher token by then."""
        self.assertEqual(self.play_stall(2.0), [])

    def play_stall(self, duration_s):
        """Let a node stand still before an extension; return the violations."""
        fleet = None

        async def run():
            nonlocal fleet
            fleet = PlatformFleet(seed=1)
            for name, place in PLACES.items():
                fleet.add(name, place)
            watching = asyncio.create_task(fleet.watch())
            await asyncio.sleep(SETTLE_S)
            fleet.plans = False
            await asyncio.sleep(2.0)
            slot, stalled = fleet.slots["a"], asyncio.Event()
            others = sorted(PLACES.keys() - {"a"})

            def find_stall_s(effects):
                if not any(isinstance(one, ExtendLease) for one in effects):
                    return 0.0
                slot.find_stall_s = lambda effects: 0.0
                fleet.cut |= {("a", other) for other in others}
                stalled.set()
                return duration_s

            slot.find_stall_s = find_stall_s
            await stalled.wait()
            await asyncio.sleep(duration_s + 0.02)
            fleet.kill("a")
            await asyncio.sleep(3.0)
            watching.cancel()
            await fleet.stop()

        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            runner.run(run())
        return fleet.checker.violations

    def test_grant_that_arrives_as_late_as_allowed_outlasts_no_lease(self):
        """Its node is killed; its upstream is at work when others take its keys."""
        fleet, moved = None, False

        async def run():
            nonlocal fleet, moved
            fleet = PlatformFleet(seed=1)
            for name, place in PLACES.items():
                fleet.add(name, place)
            watching = asyncio.create_task(fleet.watch())
            await asyncio.sleep(SETTLE_S)
            fleet.plans = False
            await asyncio.sleep(2.0)
            life = fleet.slots["a"].life
            life.draw_arrival_s = lambda: 0.95 * MAX_DELIVERY_S
            await asyncio.sleep(2.0)
            held = [index for index, hold in life.holds.items() if hold.until_s > 0]
            work = [life.run(index * SLICE_WIDTH, 3.0) for index in held]
            working = asyncio.gather(*work)
            sent = asyncio.Event()

            def find_stall_s(effects):
                if any(isinstance(one, ExtendLease) for one in effects):
                    sent.set()
                return 0.0

            await asyncio.sleep(0.5)
            fleet.slots["a"].find_stall_s = find_stall_s
            await sent.wait()
            await asyncio.sleep(0.005)
            fleet.kill("a")
            await asyncio.sleep(3.0)
            moved = any(
                hold.since_s > 8.5
                for other in fleet.checker.processes
                if other is not life
                for index, hold in other.holds.items()
                if index in held
            )
            working.cancel()
            watching.cancel()
            await fleet.stop()

        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            runner.run(run())
        self.assertTrue(moved)
        self.assertEqual(fleet.checker.violations, [])

    def test_readmitted_node_continues_to_serve(self):
        """Its keys change leases without a release, which would lose the warm state."""
        fleet, longest_s = None, 0.0

        async def run():
            nonlocal fleet, longest_s
            fleet = PlatformFleet(seed=1)
            for name, place in PLACES.items():
                fleet.add(name, place)
            await asyncio.sleep(4.0)
            fleet.plans = False
            await asyncio.sleep(2.0)
            term = fleet.read_state().members["a#1"].term
            lease = LeaseId("a#1", term + 1)
            fleet.checker.history.clear()
            fleet.append(Admit, lease=lease, witnesses=("b#1", "c#1", "d#1"))
            core = fleet.slots["a"].control.core
            loop = asyncio.get_running_loop()
            served_s = {}
            for _ in range(600):
                await asyncio.sleep(0.005)
                for shard, entry in core.state.shards.items():
                    if entry.current.leases[0].incarnation != "a#1":
                        continue
                    since_s = served_s.setdefault(shard, loop.time())
                    longest_s = max(longest_s, loop.time() - since_s)
                    if core.find_obstacle(shard, loop.time()) is None:
                        served_s[shard] = loop.time()
            self.assertIn(lease, core.state.shards_by_lease)
            await fleet.stop()

        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            runner.run(run())
        notes = [text for _, text in fleet.checker.history]
        self.assertEqual([text for text in notes if "a.1 release" in text], [])
        self.assertLess(longest_s, 0.1)


def main(first, count):
    """Run many schedules; print the violations."""
    logging.disable()
    for number in range(1, count + 1):
        seed = first + number - 1
        fleet = play(seed).fleet
        for time_s, rule, text in fleet.checker.violations:
            print(f"seed {seed} at {time_s:.3f}: {rule}: {text}", flush=True)
        if fleet.checker.violations and count == 1:
            for time_s, text in fleet.checker.history:
                print(f"{time_s:9.3f} {text}")
        if number % PROGRESS_INTERVAL == 0:
            print(f"{number} schedules run", flush=True)


if __name__ == "__main__":
    main(*map(int, sys.argv[1:3]))
