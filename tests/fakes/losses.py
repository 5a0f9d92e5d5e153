"""Fleets that lose nodes shortly after a fault of the log is over.

To print what the plays of all pauses give, name a fault, a loss and the seeds::

    PYTHONHASHSEED=0 python -m tests.fakes.losses "no answers" lead 1 4
"""

import asyncio
import dataclasses
import random
import sys

from papayatack.core.ownership.selection import (
    find_planner,
    list_tree_roots,
    rank_planners,
)
from papayatack.core.ownership.timing import LEASE_DURATION_S
from papayatack.core.records import OWNERSHIP_STREAM
from standins.logstore import Outage
from tests.fakes.clocks import FreezableLoop
from tests.fakes.outages import SETTLE_S, OutageFleet
from tests.fakes.platformfleet import LOG_DELAY_S

__all__ = ["FAULTS", "LOSSES", "LossPlay", "play_loss"]

NODES = 12
WATCHED_S = 12.0
MAX_LONGER_S = 5.0
"""Longest time by which a fault lasts longer; calls time out at other moments."""

PAUSES_S = (0.0, 1.0, 2.0, 3.0, 3.5, 6.0, 9.0, 15.0)
LOOK_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault of the log.

    Attributes:
        outage: How calls fail.
        delay_s: Time by which calls are slowed down instead.
        lasts_s: Shortest duration.
    """

    outage: Outage = Outage.NONE
    delay_s: float = LOG_DELAY_S
    lasts_s: float = 6.0


FAULTS = {
    "none": Fault(),
    "no answers": Fault(outage=Outage.HANG),
    "long without answers": Fault(outage=Outage.HANG, lasts_s=18.0),
    "refused": Fault(outage=Outage.REFUSE),
    "closed": Fault(outage=Outage.CLOSE),
    "slow": Fault(delay_s=1.2, lasts_s=4.0),
}
"""Faults of the log by their names."""


@dataclasses.dataclass(slots=True, kw_only=True)
class LossPlay:
    """What one play gave; all times are seconds from the loss.

    Attributes:
        lost: Nodes that were lost.
        served_s: Time until each shard of theirs was served again.
        appended_s: Time until the first record of a node was in the log.
        applied_s: Time until the last node had that record.
        joined_s: Time until a node that starts at the loss had its first lease.
    """

    lost: list = dataclasses.field(default_factory=list)
    served_s: list = dataclasses.field(default_factory=list)
    appended_s: float = WATCHED_S
    applied_s: float = WATCHED_S
    joined_s: float = WATCHED_S


def _read_state(fleet):
    return next(s.control for s in fleet.slots.values() if s.control).core.state


def _find_addresses(fleet, incarnations):
    return [
        slot.name
        for slot in fleet.slots.values()
        if slot.control is not None and slot.control.core.incarnation in incarnations
    ]


def _list_none(fleet):
    return []


def _list_lead(fleet):
    return _find_addresses(fleet, {find_planner(_read_state(fleet))})


def _list_planners(fleet):
    return _find_addresses(fleet, set(rank_planners(_read_state(fleet))[:2]))


def _list_tailers(fleet):
    state = _read_state(fleet)
    return _find_addresses(fleet, {*list_tree_roots(state), find_planner(state)})


def _list_keyed(fleet):
    return [fleet.random.choice(fleet.keyed).name]


LOSSES = {
    "nothing": _list_none,
    "lead": _list_lead,
    "two planners": _list_planners,
    "tailers": _list_tailers,
    "an owner": _list_keyed,
}
"""Which nodes are lost, by name."""


class _Watch:
    """Looks at a fleet from the loss on."""

    def __init__(self, *, fleet, play):
        self._fleet = fleet
        self._play = play

    async def run(self, shards, end, begun_s):
        """Fill in the times until all is well again, or time is over."""
        loop = asyncio.get_running_loop()
        left = set(shards)
        while (now := loop.time() - begun_s) < WATCHED_S:
            serving = self._fleet.list_serving()
            done = {shard for shard in left if serving.get(shard)}
            left -= done
            self._play.served_s.extend([now] * len(done))
            self._look_log(end, now)
            self._look_joined(now)
            await asyncio.sleep(LOOK_S)
        self._play.served_s.extend([WATCHED_S] * len(left))

    def _look_log(self, end, now):
        store_end = self._fleet.store.get_stream(OWNERSHIP_STREAM).end
        if store_end > end:
            self._play.appended_s = min(self._play.appended_s, now)
            least = min(
                slot.control.core.state.next_offset
                for slot in self._fleet.slots.values()
                if slot.control is not None
            )
            if least > end:
                self._play.applied_s = min(self._play.applied_s, now)

    def _look_joined(self, now):
        slot = self._fleet.slots.get("late")
        if slot is None or slot.control is None:
            return
        holder = slot.control.core.context.find_newest_holder()
        if holder is not None and holder.is_live(asyncio.get_running_loop().time()):
            self._play.joined_s = min(self._play.joined_s, now)


async def _play(play, fault, loss, pause_s, seed, nodes, joins):
    loop = asyncio.get_running_loop()
    fleet = OutageFleet(seed=seed, nodes=nodes, lease_s=LEASE_DURATION_S)
    rng = random.Random(f"loss {seed}")
    await asyncio.sleep(SETTLE_S + rng.random())
    faults = fleet.store.faults
    faults.outage, faults.delay_s = fault.outage, fault.delay_s
    await asyncio.sleep(fault.lasts_s + MAX_LONGER_S * rng.random())
    faults.outage, faults.delay_s = Outage.NONE, LOG_DELAY_S
    await asyncio.sleep(pause_s)
    play.lost = LOSSES[loss](fleet)
    serving = fleet.list_serving()
    lost_shards = [shard for shard, name in serving.items() if name in play.lost]
    for name in play.lost:
        fleet.kill(name)
        fleet.end_upstream(name)
    if joins:
        fleet.add("late", "east", "pages")
    end = fleet.store.get_stream(OWNERSHIP_STREAM).end
    watch = _Watch(fleet=fleet, play=play)
    await watch.run(lost_shards, end, loop.time())
    await fleet.stop()


def play_loss(fault, loss, pause_s, seed, *, nodes=NODES, joins=True):
    """Return what a play gave in which nodes are lost after a fault of the log.

    Args:
        fault: Name of the fault in ``FAULTS``.
        loss: Name of the lost nodes in ``LOSSES``.
        pause_s: Time from the end of the fault to the loss.
        seed: Seed of the latencies, the moment and the nodes.
        nodes: Size of the fleet.
        joins: Whether a node starts at the moment of the loss.
    """
    play = LossPlay()
    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        runner.run(_play(play, FAULTS[fault], loss, pause_s, seed, nodes, joins))
    return play


def main(argv):
    """Print a line for each pause and seed."""
    fault, loss = argv[1:3]
    for seed in range(int(argv[3]), int(argv[4])):
        for pause_s in PAUSES_S:
            play = play_loss(fault, loss, pause_s, seed)
            served = sorted(play.served_s)
            print(
                f"{fault} | {loss} | seed {seed} | pause {pause_s:4.1f} | "
                f"{len(play.lost)} lost, {len(served)} shards, half "
                f"{served[len(served) // 2] if served else 0:.2f} last "
                f"{served[-1] if served else 0:.2f} | appended {play.appended_s:.2f} "
                f"applied {play.applied_s:.2f} joined {play.joined_s:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main(sys.argv)
