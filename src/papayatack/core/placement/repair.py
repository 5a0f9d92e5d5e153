"""Gives a sound chain to shards that lack an owner or successors."""

import enum

from papayatack.core.identity import LeaseId, ShardId
from papayatack.core.placement.node_pool import Fleet, Member
from papayatack.core.placement.plan_builder import Draft

__all__ = ["release_retired", "repair_chains"]


class _Urgency(enum.IntEnum):
    """What is wrong with a chain, worst first."""

    NO_HOLDER = 0
    OWNER_LOST = 1
    SUCCESSORS = 2


def repair_chains(draft: Draft) -> None:
    """Plan a chain for each shard whose present one is not sound."""
    found = []
    for number, shard in enumerate(draft.shards):
        urgency = _find_fault(draft, shard)
        if urgency is not None:
            found.append((urgency, number, shard))
    repairs, successor_changes = 0, 0
    for urgency, _, shard in sorted(found):
        if urgency is _Urgency.SUCCESSORS:
            successor_changes += 1
            if successor_changes > draft.limits.max_successor_changes:
                return
        else:
            repairs += 1
            if repairs > draft.limits.max_repairs:
                continue
        _repair(draft, shard)


def release_retired(draft: Draft) -> None:
    """Plan no owner for the shards of retired ranges.

    Shards of ranges that the configuration does not mention stay as they are: the
    configuration at hand may be older than the one under which they were assigned.
    """
    retired = {
        f"{service.name}/{key_range.name}"
        for service in draft.view.configuration.services
        for key_range in service.key_ranges
        if key_range.retired
    }
    if not retired:
        return
    for shard, state in draft.view.shards.items():
        service, key_range = shard.split("/", 2)[:2]
        if state.chain and f"{service}/{key_range}" in retired:
            draft.record(shard, ())


def _find_fault(draft: Draft, shard: ShardId) -> _Urgency | None:
    chain = draft.chains[shard]
    fleet = draft.find_fleet(shard)
    if not fleet.members or (chain and fleet.is_sound(chain)):
        return None
    kept = fleet.keep_usable(chain)
    if not kept:
        return _Urgency.NO_HOLDER
    if kept[0].lease != chain[0]:
        return _Urgency.OWNER_LOST
    return None if draft.find_state(shard).moving else _Urgency.SUCCESSORS


def _repair(draft: Draft, shard: ShardId) -> None:
    chain = _rebuild_chain(draft, draft.find_fleet(shard), shard)
    if chain and chain != draft.chains[shard]:
        draft.assign(shard, chain)


def _rebuild_chain(
    draft: Draft, fleet: Fleet, shard: ShardId
) -> tuple[LeaseId, ...] | None:
    """Keep the owner, else the successor that takes over anyway, else choose anew."""
    kept = fleet.keep_usable(draft.chains[shard])
    place = fleet.find_place(shard)
    owner = kept[0] if kept else _find_owner(draft, fleet, shard, place)
    if owner is None:
        return None
    return fleet.build_chain(shard, draft.loads[shard], owner, kept)


def _find_owner(
    draft: Draft, fleet: Fleet, shard: ShardId, place: str | None
) -> Member | None:
    """Return a new owner; for a slice of keys that of its neighbour if it has room."""
    load = draft.loads[shard]
    if place is None and shard in draft.before:
        neighbour = fleet.find_neighbour(draft.chains[draft.before[shard]], load)
        if neighbour is not None:
            return neighbour
    return fleet.find_least_loaded(place, load)
