"""Balances load by the moves that reduce imbalance most per key moved."""

import dataclasses
import heapq

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.placement.node_pool import (
    LOCALITY_RETURN_UTILISATION,
    NodePool,
    PoolNode,
)
from papayatack.core.placement.plan_builder import PlanBuilder
from papayatack.core.shards import is_hot_shard

__all__ = ["MoveBudget", "balance_load", "restore_locality"]

HOT_KEY_MOVE_COST = 0.1
"""Cost of moving the shard of a hot key, relative to a shard with many keys."""


@dataclasses.dataclass(slots=True, kw_only=True)
class MoveBudget:
    """Number of moves that the current plan may still make."""

    remaining: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Move:
    """A candidate move, with its gain relative to the cost of moving its keys."""

    shard: ShardId
    target: PoolNode
    value: float


def restore_locality(builder: PlanBuilder, pool: NodePool, budget: MoveBudget) -> None:
    """Move shards back to their preferred data centre if it has capacity."""
    if not pool.has_localities:
        return
    for shard, chain in builder.chains.items():
        if budget.remaining <= 0:
            return
        if not chain or builder.find_pool(shard) is not pool:
            continue
        data_centre = pool.preferred_data_centre(shard)
        owner = pool.nodes.get(chain[0].incarnation)
        if data_centre is None or owner is None or owner.data_centre == data_centre:
            continue
        has_capacity = (
            pool.data_centre_utilisation(data_centre) < LOCALITY_RETURN_UTILISATION
        )
        target = pool.find_least_loaded(data_centre, builder.loads[shard])
        if has_capacity and target is not None and builder.is_movable(shard):
            _move_shard(builder, pool, shard, target, budget)


def balance_load(builder: PlanBuilder, pool: NodePool, budget: MoveBudget) -> None:
    """Move shards from overloaded and to underloaded nodes within the budget."""
    if len(pool.nodes) < 2:
        return
    rebalancer = _Rebalancer(builder=builder, pool=pool, budget=budget)
    while budget.remaining > 0 and rebalancer.run_pass():
        pass


class _Rebalancer:
    """Searches for moves among the nodes of one service.

    An overloaded node, above the start threshold, gives up shards until it is below the
    stop threshold. An underloaded node, far below the mean, takes shards from any node
    above the mean, because one node of many can be idle while no other is much above
    the mean.
    """

    def __init__(
        self, *, builder: PlanBuilder, pool: NodePool, budget: MoveBudget
    ) -> None:
        self.builder = builder
        self.pool = pool
        self.budget = budget
        self.mean = pool.load / pool.capacity
        limits = builder.limits
        chance = limits.chance_deviations * builder.estimate_deviation(pool)
        self.overload_start = self.mean * (1 + limits.start_imbalance) + chance
        self.overload_stop = self.mean * (1 + limits.stop_imbalance) + chance / 2
        self.underload_start = self.mean * (1 - 2 * limits.start_imbalance) - chance
        self.underload_stop = self.mean * (1 - 2 * limits.stop_imbalance) - chance / 2
        self.overloaded: set[IncarnationId] = set()
        self.underloaded = {
            incarnation
            for incarnation, node in pool.nodes.items()
            if node.utilisation < self.underload_start
        }

    def run_pass(self) -> bool:
        """Plan moves, most utilised nodes first; return whether there were any."""
        heap = self._list_sources()
        moved = False
        while heap and self.budget.remaining > 0:
            _, number, source = heapq.heappop(heap)
            best = self._find_best_move(source)
            if best is None:
                continue
            _move_shard(self.builder, self.pool, best.shard, best.target, self.budget)
            moved = True
            if source.utilisation > self.mean:
                heapq.heappush(heap, (-source.utilisation, number, source))
        return moved

    def _list_sources(self) -> list[tuple[float, int, PoolNode]]:
        nodes = self.pool.nodes
        for incarnation, node in nodes.items():
            if node.utilisation > self.overload_start:
                self.overloaded.add(incarnation)
        heap = [
            (-node.utilisation, number, node)
            for number, (incarnation, node) in enumerate(nodes.items())
            if incarnation in self.overloaded
            or (self.underloaded and node.utilisation > self.mean)
        ]
        heapq.heapify(heap)
        return heap

    def _find_best_move(self, source: PoolNode) -> _Move | None:
        least_loaded = self.pool.find_least_loaded(None)
        best = None
        for shard, load in source.shards.items():
            if not self.builder.is_movable(shard):
                continue
            data_centre = self.pool.preferred_data_centre(shard)
            target = (
                self.pool.find_least_loaded(data_centre)
                if data_centre
                else least_loaded
            )
            if target is None or not self._is_move_allowed(source, target):
                continue
            gain = _measure_gain(source, target, load)
            if gain < 2 * load * self.mean * self.builder.limits.min_gain:
                continue
            value = gain / (HOT_KEY_MOVE_COST if is_hot_shard(shard) else 1.0)
            if best is None or value > best.value:
                best = _Move(shard=shard, target=target, value=value)
        return best

    def _is_move_allowed(self, source: PoolNode, target: PoolNode) -> bool:
        if target is source:
            return False
        is_overloaded = source.lease.incarnation in self.overloaded
        is_underloaded = target.lease.incarnation in self.underloaded
        return (is_overloaded and source.utilisation > self.overload_stop) or (
            is_underloaded and target.utilisation < self.underload_stop
        )


def _measure_gain(source: PoolNode, target: PoolNode, load: float) -> float:
    """Return the reduction of the sum of load squared over capacity by a move."""
    before = (2 * source.load - load) / source.capacity
    after = (2 * target.load + load) / target.capacity
    return load * (before - after)


def _move_shard(
    builder: PlanBuilder,
    pool: NodePool,
    shard: ShardId,
    target: PoolNode,
    budget: MoveBudget,
) -> None:
    kept = pool.available_holders(builder.chains[shard])[1:]
    load = builder.loads[shard]
    builder.assign(shard, pool.build_chain(shard, load, target, kept))
    budget.remaining -= 1
