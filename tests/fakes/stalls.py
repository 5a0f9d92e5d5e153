"""Fleets whose nodes stand still again and again while a configuration is stored.

``python -m tests.fakes.stalls 0 5`` prints what the seeds from 0 to 4 give.
"""

import asyncio
import sys

from tests.fakes.clocks import FreezableLoop
from tests.fakes.nodes import INVENTORY, LATENCY_S
from tests.fakes.spread import POLICY, SpreadFixture

__all__ = ["measure_stalled_spread"]

NODES = 40
DATA_CENTRES = 5
STARTUP_S = 12.0
STALLING_S = 5.0
WATCHED_S = 8.0
LOOK_S = 0.01
SHAPES = ((0.2, 0.1), (0.2, 0.02), (0.3, 0.1), (0.5, 0.1), (0.16, 0.01))
"""Seconds for which each node stands still, and then runs."""


async def _stall(address, stalled_s, running_s, random):
    """Let a process stand still again and again until cancelled."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(random.random() * (stalled_s + running_s))
    try:
        while True:
            loop.freeze(address)
            await asyncio.sleep(stalled_s)
            loop.thaw(address)
            await asyncio.sleep(running_s)
    finally:
        loop.thaw(address)


async def _watch(nodes, version):
    """Return the seconds from now until each node has a version."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    left = dict(nodes)
    delays_s = []
    while left and loop.time() < started_s + WATCHED_S:
        await asyncio.sleep(LOOK_S)
        for address in [a for a, n in left.items() if n.config.version >= version]:
            del left[address]
            delays_s.append(loop.time() - started_s)
    return delays_s + [WATCHED_S for _ in left]


async def _measure(stalled_s, running_s, seed, nodes, kills):
    fixture = SpreadFixture(seed=seed, tailing=POLICY)
    fixture.publish()
    for number in range(nodes):
        fixture.start(f"s{seed}n{number}", f"dc{number % DATA_CENTRES}")
    await asyncio.sleep(STARTUP_S + fixture.random.random())
    stalls = {
        address: asyncio.create_task(
            _stall(address, stalled_s, running_s, fixture.random)
        )
        for address in fixture.network.nodes
    }
    await asyncio.sleep(STALLING_S)
    for address in kills(fixture):
        stalls[address].cancel()
        await asyncio.gather(stalls[address], return_exceptions=True)
        await asyncio.sleep(LATENCY_S)
        await fixture.kill(address)
    changed = INVENTORY.replace("slots = 4", "slots = 5")
    fixture.publish(changed, base_version=1, record_id="p2")
    delays_s = await _watch(fixture.network.nodes, 2)
    for stall in stalls.values():
        stall.cancel()
    await asyncio.gather(*stalls.values(), return_exceptions=True)
    await fixture.stop()
    return delays_s


def list_lead(fixture):
    """Return the node that reads the log for all others."""
    return [fixture.find_lead()]


def measure_stalled_spread(stalled_s, running_s, seed, *, nodes=NODES, kills=list_lead):
    """Return the seconds until a configuration is in force, of each node left.

    Args:
        stalled_s: Seconds for which each node stands still, again and again.
        running_s: Seconds for which it runs in between.
        seed: Chooses names and the moments.
        nodes: Size of the fleet.
        kills: Returns the nodes that are killed as the configuration is stored.
    """

    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        return runner.run(_measure(stalled_s, running_s, seed, nodes, kills))


def main(argv):
    """Print half and last of the delays of each shape and seed."""
    for shape in SHAPES:
        for seed in range(*map(int, argv[1:3])):
            delays_s = sorted(measure_stalled_spread(*shape, seed))
            half_s = delays_s[len(delays_s) // 2]
            print(
                f"{shape} seed {seed}: half {half_s:.2f} last {delays_s[-1]:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main(sys.argv)
