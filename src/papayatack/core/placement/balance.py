"""Evens out load by the moves that remove most imbalance for each key moved."""

import dataclasses
import heapq

from papayatack.core.identity import ShardId
from papayatack.core.placement.draft import Draft, is_hot
from papayatack.core.placement.fleet import LOCALITY_RETURN, Fleet, Member

__all__ = ["MoveBudget", "balance_load", "restore_locality"]

HOT_MOVE_COST = 0.1
"""Cost of moving a single key's shard, relative to one with many keys."""


@dataclasses.dataclass(slots=True, kw_only=True)
class MoveBudget:
    """Moves that are still permitted."""

    left: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Move:
    """A possible move and what it brings for each key moved."""

    shard: ShardId
    target: Member
    value: float


def restore_locality(draft: Draft, fleet: Fleet, budget: MoveBudget) -> None:
    """Move shards back to the data centre that a rule prefers, if it has room."""
    for shard, chain in draft.chains.items():
        if budget.left <= 0:
            return
        if not chain or draft.find_fleet(shard) is not fleet:
            continue
        place = fleet.find_place(shard)
        owner = fleet.members.get(chain[0].incarnation)
        if place is None or owner is None or owner.data_centre == place:
            continue
        has_room = fleet.measure_place(place) < LOCALITY_RETURN
        target = fleet.find_least_loaded(place, draft.loads[shard])
        if has_room and target is not None and draft.is_settled(shard):
            _move(draft, fleet, shard, target, budget)


def balance_load(draft: Draft, fleet: Fleet, budget: MoveBudget) -> None:
    """Move shards from the most to the least used nodes, within the budget."""
    if len(fleet.members) < 2 or not _is_unbalanced(draft, fleet):
        return
    while budget.left > 0 and _run_pass(draft, fleet, budget):
        pass


def _is_unbalanced(draft: Draft, fleet: Fleet) -> bool:
    mean = fleet.load / fleet.capacity
    start = draft.limits.start_imbalance
    utilisations = [member.utilisation for member in fleet.members.values()]
    # One node of many can lack load with no other much above the mean.
    return max(utilisations) > mean * (1 + start) or (
        min(utilisations) < mean * (1 - 2 * start)
    )


def _run_pass(draft: Draft, fleet: Fleet, budget: MoveBudget) -> bool:
    """Relieve each overloaded node as far as moves help; return whether any did."""
    mean = fleet.load / fleet.capacity
    heap = [
        (-member.utilisation, number, member)
        for number, member in enumerate(fleet.members.values())
        if member.utilisation > mean
    ]
    heapq.heapify(heap)
    moved = False
    while heap and budget.left > 0:
        _, number, source = heapq.heappop(heap)
        best = _find_best_move(draft, fleet, source, mean)
        if best is None:
            continue
        _move(draft, fleet, best.shard, best.target, budget)
        moved = True
        if source.utilisation > mean:
            heapq.heappush(heap, (-source.utilisation, number, source))
    return moved


def _find_best_move(
    draft: Draft, fleet: Fleet, source: Member, mean: float
) -> _Move | None:
    target_anywhere = fleet.find_least_loaded(None)
    if target_anywhere is None or not _is_worth(draft, source, target_anywhere, mean):
        return None
    best = None
    for shard, load in source.shards.items():
        if not draft.is_settled(shard):
            continue
        place = fleet.find_place(shard)
        target = fleet.find_least_loaded(place) if place else target_anywhere
        if target is None or target is source:
            continue
        gain = _measure_gain(source, target, load)
        if gain < 2 * load * mean * draft.limits.min_gain:
            continue
        value = gain / (HOT_MOVE_COST if is_hot(shard) else 1.0)
        if best is None or value > best.value:
            best = _Move(shard=shard, target=target, value=value)
    return best


def _is_worth(draft: Draft, source: Member, target: Member, mean: float) -> bool:
    stop = draft.limits.stop_imbalance
    return source.utilisation > mean * (1 + stop) or (
        target.utilisation < mean * (1 - 2 * stop)
    )


def _measure_gain(source: Member, target: Member, load: float) -> float:
    """Return by how much a move lowers the sum of load squared over capacity."""
    before = (2 * source.load - load) / source.capacity
    after = (2 * target.load + load) / target.capacity
    return load * (before - after)


def _move(
    draft: Draft, fleet: Fleet, shard: ShardId, target: Member, budget: MoveBudget
) -> None:
    kept = fleet.keep_usable(draft.chains[shard])[1:]
    load = draft.loads[shard]
    draft.assign(shard, fleet.build_chain(shard, load, target, kept))
    budget.left -= 1
