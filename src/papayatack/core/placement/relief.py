"""Relieves nodes that hold far more than their fair share, all in one plan.

Such nodes remain after losses that came one after the other while nothing could be
planned, because successors inherit shards whatever they hold already.
"""

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.placement.node_pool import NodePool, PoolNode
from papayatack.core.placement.plan_builder import PlanBuilder
from papayatack.core.shards import is_hot_shard

__all__ = ["relieve_concentration"]


def relieve_concentration(builder: PlanBuilder) -> None:
    """Plan moves from each node above the bound until it is near its fair share."""
    for pool in builder.pools.values():
        if len(pool.nodes) > 1:
            _Relief(builder=builder, pool=pool).run()


class _Relief:
    """Moves shards in their order, so that adjacent slices get the same new owner.

    A node is relieved if it has too many shards and these have too much load. A node
    with a few hot shards, or with many cold ones, is left to the moves for load.
    """

    def __init__(self, *, builder: PlanBuilder, pool: NodePool) -> None:
        self._builder = builder
        self._pool = pool
        limits = builder.limits
        self._mean = pool.load / pool.capacity
        self._stop = self._mean * (1 + limits.stop_imbalance)
        max_load = self._mean * limits.max_concentration
        max_load += limits.relief_deviations * builder.estimate_deviation(pool)
        counts = {name: _count_shards(node) for name, node in pool.nodes.items()}
        max_count = limits.max_concentration * sum(counts.values()) / pool.capacity
        self._sources: dict[IncarnationId, PoolNode] = {
            incarnation: node
            for incarnation, node in pool.nodes.items()
            if node.utilisation > max_load
            and counts[incarnation] > max_count * node.capacity
        }
        self._target: PoolNode | None = None

    def run(self) -> None:
        """Plan the moves."""
        if not self._sources:
            return
        for shard in self._builder.shards:
            chain = self._builder.chains[shard]
            source = self._sources.get(chain[0].incarnation) if chain else None
            if source is not None and self._is_due(source, shard):
                self._move(source, shard)

    def _is_due(self, source: PoolNode, shard: ShardId) -> bool:
        return (
            source.utilisation > self._stop
            and shard in source.shards
            and self._builder.is_relievable(shard)
            and self._pool.preferred_data_centre(shard) is None
        )

    def _move(self, source: PoolNode, shard: ShardId) -> None:
        load = self._builder.loads[shard]
        target = self._choose_target(load)
        if target is None or target is source:
            return
        after = (target.load + load) / target.capacity
        if after <= self._mean or after < source.utilisation - load / source.capacity:
            self._target = target
            chain = self._pool.build_chain(shard, load, target, ())
            self._builder.assign(shard, chain)

    def _choose_target(self, load: float) -> PoolNode | None:
        """Return the target of the shard before while it has room, else another."""
        target = self._target
        if target and (target.load + load) / target.capacity <= self._mean:
            return target
        return self._pool.find_least_loaded(None, load)


def _count_shards(node: PoolNode) -> int:
    return sum(not is_hot_shard(shard) for shard in node.shards)
