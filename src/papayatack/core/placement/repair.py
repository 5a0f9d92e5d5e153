"""Repairs the chains of shards that lack an available owner or successors."""

import enum

from papayatack.core.identity import ShardId
from papayatack.core.placement.concentration import ConcentrationBound
from papayatack.core.placement.node_pool import NodePool, PoolNode
from papayatack.core.placement.plan_builder import PlanBuilder

__all__ = ["release_retired", "repair_owners", "repair_successors"]


class _Urgency(enum.IntEnum):
    """Defects of a chain, most urgent first."""

    NO_HOLDER = 0
    OWNER_LOST = 1
    SUCCESSORS = 2


def repair_owners(builder: PlanBuilder) -> None:
    """Plan an owner for each shard that has lost its own, most urgent shards first."""
    urgent = sorted(
        (urgency, number, shard)
        for urgency, number, shard in _list_defects(builder)
        if urgency is not _Urgency.SUCCESSORS
    )
    repairs = _hold_back(builder, urgent)[: builder.limits.max_repairs]
    bounds = {
        name: ConcentrationBound(builder=builder, pool=pool)
        for name, pool in builder.pools.items()
        if pool.nodes
    }
    open_shards = []
    for urgency, number, shard in repairs:
        bound = bounds[builder.find_pool(shard).service.name]
        holder = _find_holder(builder, shard, bound)
        if holder is None:
            open_shards.append((number, shard, urgency is _Urgency.NO_HOLDER))
        else:
            builder.assign_owner(shard, holder)
    for _, shard, has_no_holder in sorted(open_shards):
        pool = builder.find_pool(shard)
        owner = _find_owner(builder, pool, shard, bounds[pool.service.name])
        if owner is not None:
            builder.assign_owner(shard, owner, urgent=has_no_holder)


def _hold_back(
    builder: PlanBuilder, found: list[tuple[_Urgency, int, ShardId]]
) -> list[tuple[_Urgency, int, ShardId]]:
    """Return the repairs without those of shards that are still served for a while.

    Shards that move at the same time are without an owner for longer.
    """
    waiting = [entry for entry in found if builder.is_evacuating(entry[2])]
    if not waiting:
        return found
    held_back = set(waiting[builder.count_allowed_evacuations() :])
    return [entry for entry in found if entry not in held_back]


def repair_successors(builder: PlanBuilder) -> None:
    """Plan a new chain for each shard that has lost successors only."""
    found = [
        shard
        for urgency, _, shard in _list_defects(builder)
        if urgency is _Urgency.SUCCESSORS
    ]
    for shard in found[: builder.limits.max_successor_changes]:
        pool, load = builder.find_pool(shard), builder.loads[shard]
        owner, *kept = pool.available_holders(builder.chains[shard])
        chain = pool.build_chain(shard, load, owner, kept)
        if chain != builder.chains[shard]:
            builder.assign(shard, chain)


def release_retired(builder: PlanBuilder) -> None:
    """Release the shards of retired key ranges.

    Shards of unknown ranges are left unchanged, because the active configuration may be
    older than the one under which they were assigned.
    """
    retired = {
        f"{service.name}/{key_range.name}"
        for service in builder.view.configuration.services
        for key_range in service.key_ranges
        if key_range.retired
    }
    if not retired:
        return
    for shard, state in builder.view.shards.items():
        service, key_range = shard.split("/", 2)[:2]
        if state.chain and f"{service}/{key_range}" in retired:
            builder.add_assignment(shard, ())


def _list_defects(builder: PlanBuilder) -> list[tuple[_Urgency, int, ShardId]]:
    """Return the shards whose chain is not valid, with their numbers."""
    return [
        (urgency, number, shard)
        for number, shard in enumerate(builder.shards)
        if (urgency := _find_urgency(builder, shard)) is not None
    ]


def _find_urgency(builder: PlanBuilder, shard: ShardId) -> _Urgency | None:
    chain = builder.chains[shard]
    pool = builder.find_pool(shard)
    if not pool.nodes or (chain and pool.is_valid_chain(chain)):
        return None
    kept = pool.available_holders(chain)
    if not kept:
        return _Urgency.NO_HOLDER
    if kept[0].lease != chain[0]:
        return _Urgency.OWNER_LOST
    return None if builder.find_state(shard).moving else _Urgency.SUCCESSORS


def _find_holder(
    builder: PlanBuilder, shard: ShardId, bound: ConcentrationBound
) -> PoolNode | None:
    """Return the first available holder of a shard's chain that has room for it.

    A successor takes over anyway, so that another node is chosen only if this one would
    hold far more than its fair share. A new process at a holder's address has nothing
    to take over yet.
    """
    chain, load = builder.chains[shard], builder.loads[shard]
    live = {lease.incarnation for lease in chain}
    for node in builder.find_pool(shard).available_holders(chain)[:1]:
        if node.lease.incarnation in live:
            return node if bound.may_inherit(node, load) else None
        return node if bound.may_keep(node, load) else None
    return None


def _find_owner(
    builder: PlanBuilder, pool: NodePool, shard: ShardId, bound: ConcentrationBound
) -> PoolNode | None:
    """Return a new owner, for a slice of keys preferably that of the adjacent slice."""
    load = builder.loads[shard]
    data_centre = pool.preferred_data_centre(shard)
    if data_centre is None and shard in builder.preceding:
        neighbour = pool.find_adjacent_owner(
            builder.chains[builder.preceding[shard]], load
        )
        if neighbour is not None and bound.has_room(neighbour):
            return neighbour
    return bound.find_node(load, data_centre)
