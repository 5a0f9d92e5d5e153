"""Fleets that get too little processor time, whose lead is lost at a change.

Nodes stand still again and again, or messages between them take a while.

``python -m tests.fakes.stalls 0 5`` prints what the seeds from 0 to 4 give.
"""

import asyncio
import sys

from tests.fakes.clocks import FreezableLoop
from tests.fakes.nodes import INVENTORY, LATENCY_S
from tests.fakes.spread import start_fleet, watch_version

__all__ = ["measure_delayed_spread", "measure_stalled_spread"]

NODES = 40
DISTURBED_S = 5.0
WATCHED_S = 8.0
STALLS = ((0.2, 0.1), (0.2, 0.02), (0.3, 0.1), (0.5, 0.1), (0.16, 0.01))
"""Seconds for which each node stands still, and then runs."""

DELAYS = ((0.0, 0.1), (0.1, 0.1), (0.0, 0.2), (0.2, 0.2), (0.0, 0.4))
"""Shortest and longest time in seconds that a message between nodes takes."""


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


async def _measure_change(fixture):
    """Store a configuration; return the seconds until each node has it."""
    changed = INVENTORY.replace("slots = 4", "slots = 5")
    fixture.publish(changed, base_version=1, record_id="p2")
    nodes = fixture.network.nodes
    return await watch_version(nodes, 2, watched_s=WATCHED_S)


async def _measure_stalled(stalled_s, running_s, seed, nodes):
    fixture = await start_fleet(seed, nodes)
    stalls = {
        address: asyncio.create_task(
            _stall(address, stalled_s, running_s, fixture.random)
        )
        for address in fixture.network.nodes
    }
    await asyncio.sleep(DISTURBED_S)
    lead = fixture.find_lead()
    stalls[lead].cancel()
    await asyncio.gather(stalls[lead], return_exceptions=True)
    await asyncio.sleep(LATENCY_S)
    await fixture.kill(lead)
    delays_s = await _measure_change(fixture)
    for stall in stalls.values():
        stall.cancel()
    await asyncio.gather(*stalls.values(), return_exceptions=True)
    await fixture.stop()
    return delays_s


def _delay_messages(fixture, shortest_s, longest_s):
    """Let each message take a random time from now on."""
    network = fixture.network

    def deliver(own, *args):
        if own in network.nodes:
            type(network).deliver(network, own, *args)

    def delay(*args):
        delay_s = fixture.random.uniform(shortest_s, longest_s)
        asyncio.get_running_loop().call_later(delay_s, deliver, *args)

    network.deliver = delay


async def _measure_delayed(shortest_s, longest_s, seed, nodes):
    fixture = await start_fleet(seed, nodes)
    _delay_messages(fixture, shortest_s, longest_s)
    await asyncio.sleep(DISTURBED_S)
    await fixture.kill(fixture.find_lead())
    delays_s = await _measure_change(fixture)
    await fixture.stop()
    return delays_s


def _run(measuring):
    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        return runner.run(measuring)


def measure_stalled_spread(stalled_s, running_s, seed, *, nodes=NODES):
    """Return the seconds until a configuration is in force, of each node left.

    Args:
        stalled_s: Seconds for which each node stands still, again and again.
        running_s: Seconds for which it runs in between.
        seed: Chooses names and the moments.
        nodes: Size of the fleet.
    """
    return _run(_measure_stalled(stalled_s, running_s, seed, nodes))


def measure_delayed_spread(shortest_s, longest_s, seed, *, nodes=NODES):
    """Return the seconds until a configuration is in force, of each node left.

    Args:
        shortest_s: Shortest time that a message between nodes takes, in seconds.
        longest_s: Longest such time.
        seed: Chooses names and the moments.
        nodes: Size of the fleet.
    """
    return _run(_measure_delayed(shortest_s, longest_s, seed, nodes))


def main(argv):
    """Print half and last of the delays of each shape and seed."""
    for measure, shapes in (
        (measure_stalled_spread, STALLS),
        (measure_delayed_spread, DELAYS),
    ):
        for shape in shapes:
            for seed in range(*map(int, argv[1:3])):
                delays_s = sorted(measure(*shape, seed))
                half_s = delays_s[len(delays_s) // 2]
                print(
                    f"{measure.__name__} {shape} seed {seed}: half {half_s:.2f}"
                    f" last {delays_s[-1]:.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main(sys.argv)
