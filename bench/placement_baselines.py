"""Planners against which papayatack's own is measured."""

import heapq
import math

import xxhash

from papayatack.core.identity import ShardId
from papayatack.core.placement import PlacementPlan, PlacementShard, PlacementView
from papayatack.core.records import Assignment
from papayatack.core.shards import list_shards

__all__ = ["plan_rendezvous", "rebalance_fully"]

_UNASSIGNED = PlacementShard(epoch=0, chain=())


def plan_rendezvous(view: PlacementView) -> PlacementPlan:
    """Give each shard to the node with the highest weighted hash, whatever its load."""
    entries = []
    for shard in list_shards(view.configuration):
        state = view.shards.get(shard, _UNASSIGNED)
        if state.chain and any(n.lease == state.chain[0] for n in view.nodes):
            continue
        owner = max(
            view.nodes,
            key=lambda node: _score(shard, node.lease.incarnation, node.slots),
        )
        entries.append(_assign(shard, state, owner.lease))
    return PlacementPlan(assignments=tuple(entries))


def rebalance_fully(view: PlacementView) -> PlacementPlan:
    """Place all shards anew each time, largest first on the least used node."""
    loads = {load.shard: load.busy for report in view.loads for load in report.shards}
    heap = [(0.0, number) for number in range(len(view.nodes))]
    heapq.heapify(heap)
    entries = []
    shards = list_shards(view.configuration)
    for shard in sorted(shards, key=lambda shard: (-loads.get(shard, 0.0), shard)):
        used, number = heapq.heappop(heap)
        load = loads.get(shard, 0.0) or 1e-9
        heapq.heappush(heap, (used + load, number))
        state = view.shards.get(shard, _UNASSIGNED)
        owner = view.nodes[number].lease
        if state.chain[:1] != (owner,):
            entries.append(_assign(shard, state, owner))
    return PlacementPlan(assignments=tuple(entries))


def _score(shard: ShardId, incarnation: str, weight: float) -> float:
    digest = xxhash.xxh3_64_intdigest(f"{shard} {incarnation}".encode())
    return -weight / math.log((digest + 1) / (2**64 + 1))


def _assign(shard: ShardId, state: PlacementShard, owner) -> Assignment:
    return Assignment(shard=shard, base_epoch=state.epoch, chain=(owner,))
