"""Fleets in which a fault strikes at the moment at which a configuration is stored.

``python -m tests.fakes.spread 0 100`` prints what the seeds from 0 to 99 give.
"""

import asyncio
import concurrent.futures
import contextvars
import functools
import random
import sys

from papayatack.core.ownership.selection import (
    TailPolicy,
    find_planner,
    is_tailer,
    list_tree_children,
    list_tree_roots,
    rank_planners,
)
from tests.fakes.clocks import PROCESS, FreezableLoop
from tests.fakes.cuts import CutFixture, CutLog
from tests.fakes.nodes import INVENTORY

__all__ = [
    "FAULTS",
    "LOG_TROUBLES",
    "SpreadFixture",
    "measure_spread",
    "measure_spread_after",
    "measure_thaw",
    "measure_two_changes",
    "start_fleet",
    "watch_version",
]

NODES = 76
DATA_CENTRES = 5
STARTUP_S = 12.0
WATCHED_S = 6.0
LOOK_S = 0.01
WORKERS = 4
LOST_SHARE = 0.1
BETWEEN_S = 0.3
SLOW_DELAY_S = 1.2
SLOW_TIME_S = 4.0
SILENT_TIME_S = 6.0
FROZEN_S = 3.0
POLICY = TailPolicy(small_fleet_size=2, tailers_per_data_centre=1)


class _SilentLog(CutLog):
    """The log as a node reaches it, on whose connections nothing may come any more."""

    def __init__(self, *, silent, **options):
        super().__init__(**options)
        self._silent = silent

    async def read(self, *args, timeout_s, **options):
        """Read; a call on a silent connection takes all of its time and fails."""
        if self._address not in self._silent:
            reading = asyncio.ensure_future(
                super().read(*args, timeout_s=timeout_s, **options)
            )
            while not reading.done() and self._address not in self._silent:
                await asyncio.wait([reading], timeout=LOOK_S)
            if self._address not in self._silent:
                return reading.result()
            reading.cancel()
        await asyncio.sleep(timeout_s)
        return self.refuse()


class SpreadFixture(CutFixture):
    """Nodes that can be frozen, cut off, or lose messages.

    Attributes:
        silent: Addresses whose calls to the log get no answer.
    """

    def __init__(self, *, seed, **options):
        super().__init__(**options)
        self.random = random.Random(seed)
        self.silent = set()

    def build_log(self, address):
        """Return the log as a node reaches it."""
        return _SilentLog(
            store=self.store, address=address, cut=self.cut, silent=self.silent
        )

    def start(self, address, data_centre):
        """Start a node as a process that can be frozen."""
        context = contextvars.copy_context()
        context.run(PROCESS.set, address)
        return context.run(super().start, address, data_centre)

    def lose_messages(self):
        """Lose some of all messages from now on."""

        def deliver(*args):
            if self.random.random() >= LOST_SHARE:
                type(self.network).deliver(self.network, *args)

        self.network.deliver = deliver

    def list_forwarders(self):
        """Return the nodes that read the log for others or forward its records."""
        nodes = self.network.nodes
        state = next(iter(nodes.values())).core.state
        first = set(rank_planners(state)[:2])
        return [
            address
            for address, node in nodes.items()
            if is_tailer(state, node.core.incarnation, POLICY)
            or list_tree_children(state, node.core.incarnation)
            or node.core.incarnation in first
        ]

    def list_tailers(self):
        """Return the roots of all data centres and the node that reads for all."""
        nodes = self.network.nodes
        state = next(iter(nodes.values())).core.state
        reading = {*list_tree_roots(state), find_planner(state)}
        return [a for a, node in nodes.items() if node.core.incarnation in reading]

    def find_lead(self):
        """Return the node that reads the log for all others, or stands in for it."""
        nodes = self.network.nodes
        ranked = rank_planners(next(iter(nodes.values())).core.state)
        running = [a for a, node in nodes.items() if node.core.incarnation in ranked]
        return min(running, key=lambda a: ranked.index(nodes[a].core.incarnation))

    def choose_third(self):
        """Return a random third of the nodes."""
        addresses = sorted(self.network.nodes)
        return self.random.sample(addresses, len(addresses) // 3)


async def _kill(fixture, addresses):
    for address in addresses:
        await fixture.kill(address)


async def _freeze(fixture, addresses):
    for address in addresses:
        asyncio.get_running_loop().freeze(address)


async def _cut_off(fixture, addresses):
    fixture.cut.update(addresses)
    fixture.network.cut.update(addresses)


async def _cut_from_log(fixture, addresses):
    fixture.cut.update(addresses)


async def _silence_log(fixture, addresses):
    fixture.silent.update(addresses)


async def _lose_messages(fixture, addresses):
    fixture.lose_messages()


def _list_none(fixture):
    return []


def _list_lead(fixture):
    return [fixture.find_lead()]


_LEAD, _TAILERS, _FORWARDERS, _THIRD = (
    _list_lead,
    SpreadFixture.list_tailers,
    SpreadFixture.list_forwarders,
    SpreadFixture.choose_third,
)
FAULTS = {
    "nothing": (_kill, _list_none),
    "one message in ten lost": (_lose_messages, _list_none),
    "lead cut off from the log": (_cut_from_log, _LEAD),
    "lead's log silent": (_silence_log, _LEAD),
    "lead killed": (_kill, _LEAD),
    "tailers killed": (_kill, _TAILERS),
    "tailers frozen": (_freeze, _TAILERS),
    "tailers cut off": (_cut_off, _TAILERS),
    "tailers cut off from the log": (_cut_from_log, _TAILERS),
    "tailers' log silent": (_silence_log, _TAILERS),
    "all that forward killed": (_kill, _FORWARDERS),
    "a third killed": (_kill, _THIRD),
    "a third frozen": (_freeze, _THIRD),
    "a third cut off": (_cut_off, _THIRD),
}
"""What strikes, and which nodes, by the name of the fault."""


async def _slow_log_down(fixture):
    fixture.store.faults.delay_s = SLOW_DELAY_S
    await asyncio.sleep(SLOW_TIME_S)
    fixture.store.faults.delay_s = 0.0


async def _silence_log_for_all(fixture):
    fixture.silent.update(fixture.network.nodes)
    await asyncio.sleep(SILENT_TIME_S)
    fixture.silent.clear()


LOG_TROUBLES = {
    "slow": _slow_log_down,
    "silent": _silence_log_for_all,
}
"""What befalls the log and is over before a fault strikes, by the trouble's name."""


async def watch_version(nodes, version, *, watched_s=WATCHED_S):
    """Return the seconds from now until each node has a version."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    left = dict(nodes)
    delays_s = []
    while left and loop.time() < started_s + watched_s:
        await asyncio.sleep(LOOK_S)
        for address in [a for a, n in left.items() if n.config.version >= version]:
            del left[address]
            delays_s.append(loop.time() - started_s)
    return delays_s + [watched_s for _ in left]


async def start_fleet(seed, nodes):
    """Return a fleet that has settled, at a random moment."""
    fixture = SpreadFixture(seed=seed, tailing=POLICY)
    fixture.publish()
    for number in range(nodes):
        fixture.start(f"s{seed}n{number}", f"dc{number % DATA_CENTRES}")
    await asyncio.sleep(STARTUP_S + fixture.random.random())
    return fixture


async def _measure_twice(seed, nodes):
    fixture = await start_fleet(seed, nodes)
    for version in (2, 3):
        await fixture.kill(fixture.find_lead())
        fixture.publish(
            INVENTORY.replace("slots = 4", f"slots = {3 + version}"),
            base_version=version - 1,
            record_id=f"p{version}",
        )
        if version == 2:
            await asyncio.sleep(BETWEEN_S)
    fixture.start("late", "dc0")
    delays_s = await watch_version(fixture.network.nodes, 3)
    await fixture.stop()
    return delays_s


async def _measure_thaw(seed, nodes, loop):
    fixture = await start_fleet(seed, nodes)
    frozen = fixture.choose_third()
    await _freeze(fixture, frozen)
    changed = INVENTORY.replace("slots = 4", "slots = 5")
    fixture.publish(changed, base_version=1, record_id="p2")
    await asyncio.sleep(FROZEN_S)
    for address in frozen:
        loop.thaw(address)
    thawed = {address: fixture.network.nodes[address] for address in frozen}
    delays_s = await watch_version(thawed, 2)
    await fixture.stop()
    return delays_s


def measure_two_changes(seed, *, nodes=NODES):
    """Return the seconds until each node has the second of two configurations.

    The node that reads the log is killed as each is stored, and a node starts with the
    second one.
    """
    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        return runner.run(_measure_twice(seed, nodes))


def measure_thaw(seed, *, nodes=NODES):
    """Return the seconds from its thaw until each frozen node has a configuration.

    It was stored as they were frozen.
    """

    async def run():
        return await _measure_thaw(seed, nodes, asyncio.get_running_loop())

    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        return runner.run(run())


async def _measure(fault, seed, nodes, loop, trouble=None, pause_s=0.0):
    fixture = await start_fleet(seed, nodes)
    if trouble is not None:
        await LOG_TROUBLES[trouble](fixture)
        await asyncio.sleep(pause_s)
    strike, choose = FAULTS[fault]
    struck = choose(fixture)
    await strike(fixture, struck)
    out_of_touch = set(struck)
    left = {a: n for a, n in fixture.network.nodes.items() if a not in out_of_touch}
    changed = INVENTORY.replace("slots = 4", "slots = 5")
    fixture.publish(changed, base_version=1, record_id="p2")
    delays_s = await watch_version(left, 2)
    for address in struck:
        loop.thaw(address)
    await fixture.stop()
    return delays_s


def measure_spread(fault, seed, *, nodes=NODES):
    """Return the seconds until a configuration is in force, of each node in touch.

    Args:
        fault: Name of the fault in ``FAULTS`` that strikes as the configuration is
            stored.
        seed: Chooses names, the moment, and the nodes that are struck.
        nodes: Size of the fleet.
    """

    async def run():
        return await _measure(fault, seed, nodes, asyncio.get_running_loop())

    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        return runner.run(run())


def measure_spread_after(trouble, pause_s, fault, seed, *, nodes=NODES):
    """Return the same where the log was in trouble some time before the fault.

    Args:
        trouble: Name of the trouble in ``LOG_TROUBLES``.
        pause_s: Time in seconds from the end of the trouble to the fault.
        fault: Name of the fault in ``FAULTS``.
        seed: Chooses names, the moment, and the nodes that are struck.
        nodes: Size of the fleet.
    """

    async def run():
        loop = asyncio.get_running_loop()
        return await _measure(fault, seed, nodes, loop, trouble, pause_s)

    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        return runner.run(run())


def main(argv):
    """Print a table of all faults for seeds from the first argument to the second."""
    first, after = map(int, argv[1:3])
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for fault in FAULTS:
            found = pool.map(
                functools.partial(measure_spread, fault), range(first, after)
            )
            delays_s = [sorted(delays) for delays in found]
            halves_s = [delays[len(delays) // 2] for delays in delays_s]
            lasts_s = [delays[-1] for delays in delays_s]
            late = sum(delay > 1 for delays in delays_s for delay in delays)
            watched = sum(map(len, delays_s))
            print(
                f"| {fault} | {max(halves_s):.2f} | {max(lasts_s):.2f}"
                f" | {late} of {watched} |",
                flush=True,
            )


if __name__ == "__main__":
    main(sys.argv)
