"""Nodes that start at random moments around a change of the configuration.

``python -m tests.fakes.starts 0 10`` prints what the seeds from 0 to 9 give.
"""

import asyncio
import math
import sys

from standins.logstore import Outage
from tests.fakes.clocks import FreezableLoop
from tests.fakes.nodes import INVENTORY
from tests.fakes.spread import POLICY, SpreadFixture

__all__ = ["TROUBLES", "measure_starts"]

NODES = 15
STARTED = 15
DATA_CENTRES = 3
STARTUP_S = 12.0
TROUBLE_S = 4.0
AROUND_S = 1.5
WATCHED_S = 8.0
LOOK_S = 0.01
SLOW_S = 1.2
OLD_VERSION = 1


def _leave(faults):
    """Leave the log as it is."""


def _slow(faults):
    faults.delay_s = SLOW_S


def _silence(faults):
    faults.outage = Outage.HANG


TROUBLES = {
    "none": (_leave, 0.0),
    "slow until the change": (_slow, 0.0),
    "slow until 1 s before": (_slow, 1.0),
    "silent until the change": (_silence, 0.0),
    "silent until 1 s before": (_silence, 1.0),
    "silent until 3.5 s before": (_silence, 3.5),
}
"""What befalls the log before the change, and how long before that it ends."""


async def _start_later(fixture, delay_s, address, data_centre, started_s):
    """Start a node after a delay, and note when that was."""
    await asyncio.sleep(delay_s)
    started_s[address] = asyncio.get_running_loop().time()
    fixture.start(address, data_centre)


async def _watch_served(fixture, started_s):
    """Return for how long nodes serve by the old version, from the change now on.

    It is infinite for a node that started after the change.

    Args:
        fixture: The fleet.
        started_s: When each node that starts around the change started, by address.
    """
    loop = asyncio.get_running_loop()
    changed_s = loop.time()
    first_s, last_s = {}, {}
    while loop.time() < changed_s + WATCHED_S:
        for address in started_s:
            if fixture.network.nodes[address].config.version == OLD_VERSION:
                first_s.setdefault(address, loop.time())
                last_s[address] = loop.time()
        await asyncio.sleep(LOOK_S)
    return [
        math.inf if started_s[address] > changed_s else last_s[address] - since_s
        for address, since_s in first_s.items()
    ]


async def _measure(trouble, seed, kills_lead):
    fixture = SpreadFixture(seed=seed, tailing=POLICY)
    fixture.publish()
    for number in range(NODES):
        fixture.start(f"s{seed}n{number}", f"dc{number % DATA_CENTRES}")
    await asyncio.sleep(STARTUP_S + fixture.random.random())
    befall, before_s = TROUBLES[trouble]
    faults = fixture.store.faults
    befall(faults)
    await asyncio.sleep(TROUBLE_S)
    started_s = {}
    starts = [
        asyncio.create_task(
            _start_later(
                fixture,
                max(before_s, AROUND_S) + fixture.random.uniform(-AROUND_S, AROUND_S),
                f"s{seed}late{number}",
                f"dc{fixture.random.randrange(DATA_CENTRES)}",
                started_s,
            )
        )
        for number in range(STARTED)
    ]
    if before_s < AROUND_S:
        await asyncio.sleep(AROUND_S - before_s)
    faults.delay_s, faults.outage = 0.0, Outage.NONE
    await asyncio.sleep(before_s)
    if kills_lead:
        await fixture.kill(fixture.find_lead())
    changed = INVENTORY.replace("slots = 4", "slots = 5")
    fixture.publish(changed, base_version=1, record_id="p2")
    old_s = await _watch_served(fixture, started_s)
    await asyncio.gather(*starts)
    await fixture.stop()
    return old_s


def measure_starts(trouble, seed, *, kills_lead=False):
    """Return for how long nodes that start around a change serve by the old version.

    The times count from the change, or from when a node serves if that is later; nodes
    that never serve by the old version are left out. The time is infinite for one that
    started after the change.

    Args:
        trouble: Name of what befalls the log before, in ``TROUBLES``.
        seed: Chooses names and moments.
        kills_lead: Whether the node that reads the log for all others is killed as the
            change is stored.
    """
    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        return runner.run(_measure(trouble, seed, kills_lead))


def main(argv):
    """Print the number of old nodes and the longest time of all seeds."""
    for trouble in TROUBLES:
        for kills_lead in (False, True):
            found = [
                measure_starts(trouble, seed, kills_lead=kills_lead)
                for seed in range(*map(int, argv[1:3]))
            ]
            old_s = [0.0, *(delay for delays in found for delay in delays)]
            print(
                f"{trouble}, lead killed {kills_lead}: {len(old_s) - 1} old,"
                f" longest {max(old_s):.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main(sys.argv)
