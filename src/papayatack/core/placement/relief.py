"""Relieves nodes that hold far more than their fair share, all in one plan.

Such nodes remain after losses that came one after the other while nothing could be
planned, because successors inherit shards whatever they hold already.
"""

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.placement.concentration import ConcentrationBound
from papayatack.core.placement.node_pool import NodePool, PoolNode
from papayatack.core.placement.plan_builder import PlanBuilder

__all__ = ["relieve_concentration"]


def relieve_concentration(builder: PlanBuilder) -> None:
    """Plan moves from each node above the bound until it is near its fair share."""
    for pool in builder.pools.values():
        if len(pool.nodes) > 1:
            _Relief(builder=builder, pool=pool).run()


class _Relief:
    """Moves shards in their order, so that adjacent slices get the same new owner."""

    def __init__(self, *, builder: PlanBuilder, pool: NodePool) -> None:
        self._builder = builder
        self._pool = pool
        self._bound = ConcentrationBound(builder=builder, pool=pool)
        self._stop = self._bound.mean * (1 + builder.limits.stop_imbalance)
        self._sources: dict[IncarnationId, PoolNode] = {
            incarnation: node
            for incarnation, node in pool.nodes.items()
            if self._bound.is_exceeded(node)
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
        if after < source.utilisation - load / source.capacity:
            self._target = target
            self._builder.assign_owner(shard, target)

    def _choose_target(self, load: float) -> PoolNode | None:
        """Return the target of the shard before while it has room, else another."""
        target = self._target
        if target is not None and self._has_room(target, load):
            return target
        return self._bound.find_node(load)

    def _has_room(self, target: PoolNode, load: float) -> bool:
        utilisation = (target.load + load) / target.capacity
        return utilisation <= self._bound.mean and self._bound.has_room(target)
