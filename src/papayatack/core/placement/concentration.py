"""The bound on the part of a service's shards that one node holds."""

from papayatack.core.placement.node_pool import NodePool, PoolNode
from papayatack.core.placement.plan_builder import PlanBuilder

__all__ = ["ConcentrationBound"]


class ConcentrationBound:
    """Compares nodes with their fair shares of the shards and of the load.

    Attributes:
        mean: Load of all shards, relative to the capacity of all nodes.
    """

    def __init__(self, *, builder: PlanBuilder, pool: NodePool) -> None:
        limits = builder.limits
        self._pool = pool
        self._max_concentration = limits.max_concentration
        self._max_extra_shards = limits.max_extra_shards
        self.mean = pool.demand / pool.capacity
        self._max_load = self.mean * limits.max_concentration
        self._max_load += limits.relief_deviations * builder.estimate_deviation(pool)
        self._max_kept_load = self.mean * (1 + limits.start_imbalance)
        self._fair_count = pool.count / pool.capacity

    def is_exceeded(self, node: PoolNode) -> bool:
        """Return whether a node has too many shards and too much load.

        A node with a few hot shards, or with many cold ones, is left to the moves for
        load.
        """
        too_many = not self._is_within(node, -self._max_extra_shards)
        return too_many and node.utilisation > self._max_load

    def may_inherit(self, node: PoolNode, load: float) -> bool:
        """Return whether a live successor may keep a shard that it has taken over."""
        heavy = (node.load + load) / node.capacity > self._max_load
        return not heavy or self._is_within(node, 1)

    def has_room(self, node: PoolNode) -> bool:
        """Return whether a node may get one more shard, whatever its load is.

        Loads that were measured while shards had no owner do not show what they need.
        """
        return not node.doubtful and self._is_within(node, 1)

    def _is_within(self, node: PoolNode, count: int) -> bool:
        most = self._max_concentration * self._fair_count * node.capacity
        return node.count + count <= max(1.0, most)

    def may_keep(self, node: PoolNode, load: float) -> bool:
        """Return whether a new process may get a shard that its address had before."""
        within = (node.load + load) / node.capacity <= self._max_kept_load
        return within and self.has_room(node)

    def find_node(self, load: float, data_centre: str | None = None) -> PoolNode | None:
        """Return the least loaded node that may get one more shard."""
        pool = self._pool
        nodes = pool.by_data_centre[data_centre] if data_centre else pool.nodes.values()
        roomy = [node for node in nodes if self.has_room(node)]
        if not roomy:
            return pool.find_least_loaded(data_centre, load)
        return min(roomy, key=lambda node: (node.load + load) / node.capacity)
