"""Views of fleets in which few nodes hold most slices, and plays of their plans."""

import dataclasses
import random
from collections import Counter

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.inventory import Configuration, KeyRange, Place, Service
from papayatack.core.messages import LoadReport, ShardLoad
from papayatack.core.placement import plan_placement
from papayatack.core.placement.view import PlacementNode, PlacementShard, PlacementView
from papayatack.core.shards import list_shards
from papayatack.platform.environment import PLACEMENT_LIMITS

SERVICE = "s"
SLICES = 512
PLACES = ("east", "west", "south")
NODES = 9
SLOTS = 8
MAX_SHARE_RATIO = 2.0
"""Target: no node holds more than this many times its share of the slots."""

PLAN_INTERVAL_S = 0.2
ACTIVATION_S = 0.4
"""Time from a plan until the new owner of a shard confirms it."""


def make_configuration(*, warm_up_s=3.0):
    """Return the configuration of one service with slices of numbered keys."""
    service = Service(
        name=SERVICE,
        prefix="",
        places=PLACES,
        key_ranges=(KeyRange(name="keys", shards=SLICES, numbers=65_536),),
        warm_up_s=warm_up_s,
    )
    return Configuration(
        version=1,
        services=(service,),
        places=tuple(Place(name=name, region="r") for name in PLACES),
    )


CONFIGURATION = make_configuration()
SHARDS = list_shards(CONFIGURATION)


def make_node(number, *, process="a", term=1, slots=SLOTS, age_s=1000.0, **changes):
    """Return a node; data centres are assigned to nodes in turn."""
    return PlacementNode(
        lease=LeaseId(IncarnationId(f"10.0.0.{number}:1#{process}"), term),
        data_centre=PLACES[number % len(PLACES)],
        region="r",
        service=SERVICE,
        slots=slots,
        age_s=age_s,
        **changes,
    )


def make_chains(nodes, *, holders=2, share=0.7):
    """Return chains in which the first ``holders`` nodes own ``share`` of all shards.

    The successors of all shards are the other holders first, as after many losses.
    """
    leases = [node.lease for node in nodes]
    chains = {}
    for number, shard in enumerate(SHARDS):
        few = number < share * SLICES
        owner = number % holders if few else holders + number % (len(nodes) - holders)
        later = [lease for lease in leases if lease != leases[owner]]
        chains[shard] = (leases[owner], *later[:2])
    return chains


def make_view(nodes, chains, *, loads=(), age_s=float("inf")):
    """Return a view of nodes and active chains."""
    shards = {
        shard: PlacementShard(epoch=1, chain=chain, age_s=age_s)
        for shard, chain in chains.items()
    }
    return PlacementView(
        configuration=CONFIGURATION, nodes=tuple(nodes), shards=shards, loads=loads
    )


def report(node, busy, *, service_s=0.1):
    """Return a load report that names the load of each of the given shards."""
    loads = tuple(
        ShardLoad(shard=shard, rate=load / service_s, busy=load)
        for shard, load in busy.items()
    )
    total = sum(busy.values())
    return LoadReport(
        incarnation=node.lease.incarnation,
        busy=total,
        shards=loads,
        hot_keys=(),
        service_s=service_s if total else 0.0,
    )


def report_owners(nodes, chains, busy):
    """Return the reports of all nodes, each of the shards that it owns."""
    return tuple(
        report(
            node,
            {s: busy[s] for s, chain in chains.items() if chain[0] == node.lease},
        )
        for node in nodes
    )


def find_share_ratio(view, weights=None):
    """Return the largest share of one node, relative to its share of the slots.

    Args:
        view: A view whose shards have owners.
        weights: Weight of each shard; all count the same if it is not given.
    """
    held = Counter()
    for shard, state in view.shards.items():
        if state.chain:
            held[state.chain[0].incarnation] += weights[shard] if weights else 1
    total = sum(held.values())
    slots = {n.lease.incarnation: n.slots for n in view.nodes if not n.leaving}
    all_slots = sum(slots.values())
    return max(
        count / total / (slots.get(name, 0) / all_slots) if name in slots else SLICES
        for name, count in held.items()
    )


class Play:
    """Plans that are made at intervals and take effect a moment later.

    Attributes:
        view: The view after the last plan.
        now: Seconds since the start.
        changes: Times at which the owner of each shard changed.
    """

    def __init__(self, view, *, limits=PLACEMENT_LIMITS):
        self.view = view
        self.now = 0.0
        self.changes = {shard: [] for shard in view.shards}
        self._limits = limits

    def plan(self):
        """Make one plan, and return the number of shards whose owner changes."""
        planned = plan_placement(self._describe(), limits=self._limits)
        shards = dict(self.view.shards)
        changed = 0
        for entry in planned.assignments:
            known = shards.get(entry.shard)
            before = known.chain[0].incarnation if known and known.chain else None
            if entry.chain and entry.chain[0].incarnation != before:
                self.changes.setdefault(entry.shard, []).append(self.now)
                changed += 1
            shards[entry.shard] = PlacementShard(
                epoch=entry.base_epoch + 1, chain=entry.chain
            )
        self.view = dataclasses.replace(self.view, shards=shards)
        return changed

    def run(self, seconds):
        """Plan at intervals for a number of seconds."""
        end_s = self.now + seconds - 1e-6
        while self.now < end_s:
            self.plan()
            self.now += PLAN_INTERVAL_S

    def find_early_repetitions(self, *, within_s=2.0):
        """Return the shards whose owner changed twice within a number of seconds."""
        return [
            shard
            for shard, times in self.changes.items()
            if any(b - a < within_s for a, b in zip(times, times[1:], strict=False))
        ]

    def _describe(self):
        shards = {}
        for shard, state in self.view.shards.items():
            times = self.changes.get(shard)
            age_s = self.now - times[-1] if times else float("inf")
            shards[shard] = dataclasses.replace(
                state, moving=age_s < ACTIVATION_S, age_s=min(age_s, state.age_s)
            )
        return dataclasses.replace(self.view, shards=shards)


def draw_loads(seed, *, utilisation=0.5, nodes=NODES, skew=0.0):
    """Return a load for each shard; neighbouring shards have similar loads."""
    rng = random.Random(seed)
    first = rng.randrange(SLICES)
    weights = [
        (1 + min(abs(n - first), SLICES - abs(n - first))) ** -skew
        for n in range(SLICES)
    ]
    scale = utilisation * nodes * SLOTS / sum(weights)
    return {s: w * scale for s, w in zip(SHARDS, weights, strict=True)}
