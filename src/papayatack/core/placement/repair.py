"""Repairs the chains of shards that lack an available owner or successors."""

import enum

from papayatack.core.identity import LeaseId, ShardId
from papayatack.core.placement.node_pool import NodePool, PoolNode
from papayatack.core.placement.plan_builder import PlanBuilder

__all__ = ["release_retired", "repair_chains"]


class _Urgency(enum.IntEnum):
    """Defects of a chain, most urgent first."""

    NO_HOLDER = 0
    OWNER_LOST = 1
    SUCCESSORS = 2


def repair_chains(builder: PlanBuilder) -> None:
    """Plan a new chain for each shard whose current chain is not valid."""
    found = []
    for number, shard in enumerate(builder.shards):
        urgency = _find_urgency(builder, shard)
        if urgency is not None:
            found.append((urgency, number, shard))
    repairs, successor_changes = 0, 0
    for urgency, _, shard in sorted(found):
        if urgency is _Urgency.SUCCESSORS:
            successor_changes += 1
            if successor_changes > builder.limits.max_successor_changes:
                return
        else:
            repairs += 1
            if repairs > builder.limits.max_repairs:
                continue
        _repair(builder, shard)


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


def _repair(builder: PlanBuilder, shard: ShardId) -> None:
    chain = _rebuild_chain(builder, builder.find_pool(shard), shard)
    if chain and chain != builder.chains[shard]:
        builder.assign(shard, chain)


def _rebuild_chain(
    builder: PlanBuilder, pool: NodePool, shard: ShardId
) -> tuple[LeaseId, ...] | None:
    """Keep the owner, else promote the first available successor, else choose one."""
    kept = pool.available_holders(builder.chains[shard])
    data_centre = pool.preferred_data_centre(shard)
    owner = kept[0] if kept else _find_owner(builder, pool, shard, data_centre)
    if owner is None:
        return None
    return pool.build_chain(shard, builder.loads[shard], owner, kept)


def _find_owner(
    builder: PlanBuilder, pool: NodePool, shard: ShardId, data_centre: str | None
) -> PoolNode | None:
    """Return a new owner, for a slice of keys preferably that of the adjacent slice."""
    load = builder.loads[shard]
    if data_centre is None and shard in builder.preceding:
        neighbour = pool.find_adjacent_owner(
            builder.chains[builder.preceding[shard]], load
        )
        if neighbour is not None:
            return neighbour
    return pool.find_least_loaded(data_centre, load)
