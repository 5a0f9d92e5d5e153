"""Spreads the successors of an owner whose shards would mostly go to few nodes.

Such chains remain after losses, and after nodes joined that no chain names yet.
"""

from collections import Counter, defaultdict

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.placement.node_pool import NodePool, PoolNode
from papayatack.core.placement.plan_builder import PlanBuilder

__all__ = ["spread_successors"]


def spread_successors(builder: PlanBuilder) -> None:
    """Plan new successors for shards of which one node would inherit too many.

    A plan that changes owners is left to take effect first.
    """
    if builder.assignments:
        return
    left = builder.limits.max_successor_changes
    for pool in builder.pools.values():
        for shard, owner in _list_uneven(builder, pool)[:left]:
            chain = pool.build_chain(shard, builder.loads[shard], owner, ())
            if chain != builder.chains[shard]:
                builder.assign(shard, chain)
                left -= 1


def _list_uneven(
    builder: PlanBuilder, pool: NodePool
) -> list[tuple[ShardId, PoolNode]]:
    """Return shards beyond what their first successors should inherit at most."""
    inherited: Counter[tuple[IncarnationId, IncarnationId]] = Counter()
    loads: dict[tuple[IncarnationId, IncarnationId], float] = defaultdict(float)
    limits = builder.limits
    found = []
    for owner in pool.nodes.values():
        heirs = pool.list_heirs(owner)
        capacity = sum(node.capacity for node in heirs)
        if not capacity:
            continue
        bound = limits.max_concentration / capacity
        for shard, load in owner.shards.items():
            chain = builder.chains[shard]
            heir = pool.nodes.get(chain[1].incarnation) if len(chain) > 1 else None
            if heir is None or not builder.is_movable(shard):
                continue
            pair = owner.lease.incarnation, heir.lease.incarnation
            inherited[pair] += 1
            loads[pair] += load
            share = bound * heir.capacity
            if (
                inherited[pair] > share * owner.count + limits.max_extra_shards
                and loads[pair] > share * owner.load
            ):
                found.append((shard, owner))
    return found
