"""A simple planner: equal numbers of shards per node, repairs of chains."""

from collections.abc import Collection, Iterable

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.ownership.context import find_service_name
from papayatack.core.ownership.selection import CHAIN_LENGTH, extend_chain
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.records import Assignment

__all__ = ["plan_first_chains", "plan_repairs"]


def plan_repairs(
    state: OwnershipState,
    *,
    avoid: Collection[IncarnationId] = (),
    limit: int,
) -> tuple[Assignment, ...]:
    """Return new chains for shards whose chain is too short or has an ended lease.

    The current owner remains first, so that service is not interrupted. A shard whose
    current chain is not active yet is skipped unless its owner has ended.

    Args:
        state: The ownership state.
        avoid: Incarnations that are leaving or suspected.
        limit: Maximum number of assignments to return.
    """
    found: list[Assignment] = []
    for shard, entry in state.shards.items():
        if len(found) >= limit:
            break
        current = entry.current
        kept = tuple(lease for lease in current.leases if state.is_live(lease))
        owner_ended = kept[:1] != current.leases[:1] or not kept
        if len(kept) >= CHAIN_LENGTH or (not entry.active and not owner_ended):
            continue
        chain = extend_chain(state, shard, find_service_name(shard), kept, avoid=avoid)
        if chain and chain != current.leases:
            assignment = Assignment(shard=shard, base_epoch=current.epoch, chain=chain)
            found.append(assignment)
    return tuple(found)


def plan_first_chains(
    state: OwnershipState,
    shards: Iterable[ShardId],
    *,
    avoid: Collection[IncarnationId] = (),
    limit: int,
) -> tuple[Assignment, ...]:
    """Return chains for shards that have none, with owners spread evenly."""
    owned: dict[LeaseId, int] = {}
    for entry in state.shards.values():
        owner = next(iter(entry.current.leases), None)
        owned[owner] = owned.get(owner, 0) + 1
    found: list[Assignment] = []
    for shard in shards:
        if len(found) >= limit:
            break
        if shard in state.shards:
            continue
        owner = _find_least_loaded(state, find_service_name(shard), owned, avoid)
        if owner is None:
            continue
        owned[owner] = owned.get(owner, 0) + 1
        chain = extend_chain(
            state, shard, find_service_name(shard), (owner,), avoid=avoid
        )
        found.append(Assignment(shard=shard, base_epoch=0, chain=chain))
    return tuple(found)


def _find_least_loaded(
    state: OwnershipState,
    service: str,
    owned: dict[LeaseId, int],
    avoid: Collection[IncarnationId],
) -> LeaseId | None:
    leases = [
        state.find_live_lease(member.incarnation)
        for member in state.list_live_members()
        if member.service == service and member.incarnation not in avoid
    ]
    live = [lease for lease in leases if lease is not None]
    return min(live, key=lambda lease: (owned.get(lease, 0), lease), default=None)
