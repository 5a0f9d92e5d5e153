"""How often a fleet reads the log while nothing happens.

``python -m tests.fakes.log_reads 76 5 0.004`` prints the reads in a minute by 76 nodes
in five data centres, where the log takes 4 ms for an answer.
"""

import asyncio
import collections
import sys

from papayatack.core.ownership.selection import TailPolicy
from standins.logstore import InProcessLog
from tests.fakes.clocks import FreezableLoop
from tests.fakes.nodes import NodeFixture

__all__ = ["count_reads"]

STARTUP_S = 30.0
USUAL_DELAY_S = 0.004
MEASURED_S = 60.0


class _CountingLog(InProcessLog):
    """The log, which counts the reads of each stream."""

    def __init__(self, *, counts, **options):
        super().__init__(**options)
        self._counts = counts

    async def read(self, stream, *args, **options):
        """Count a read, and read."""
        self._counts[stream] += 1
        return await super().read(stream, *args, **options)


class _Fixture(NodeFixture):
    """Nodes whose reads of the log are counted by stream."""

    def __init__(self, **options):
        super().__init__(**options)
        self.counts = collections.Counter()

    def build_log(self, address):
        """Return the log as a node reaches it."""
        return _CountingLog(store=self.store, counts=self.counts)


def count_reads(nodes, data_centres, *, delay_s=USUAL_DELAY_S, measured_s=MEASURED_S):
    """Return the number of reads of each stream by all nodes of a settled fleet.

    Args:
        nodes: Number of nodes.
        data_centres: Number of data centres.
        delay_s: Time that the log takes for an answer while reads are counted.
        measured_s: Time in which they are counted.
    """

    async def run():
        fixture = _Fixture(
            tailing=TailPolicy(small_fleet_size=2, tailers_per_data_centre=1)
        )
        fixture.publish()
        fixture.store.faults.delay_s = USUAL_DELAY_S
        for number in range(nodes):
            fixture.start(f"n{number}", f"dc{number % data_centres}")
        await asyncio.sleep(STARTUP_S)
        fixture.counts.clear()
        fixture.store.faults.delay_s = delay_s
        await asyncio.sleep(measured_s)
        counts = dict(fixture.counts)
        await fixture.stop()
        return counts

    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        return runner.run(run())


if __name__ == "__main__":
    print(count_reads(int(sys.argv[1]), int(sys.argv[2]), delay_s=float(sys.argv[3])))
