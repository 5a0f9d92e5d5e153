"""Evens out load by the moves that remove most imbalance for each key moved."""

import dataclasses
import heapq

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.placement.node_pool import LOCALITY_RETURN, Fleet, Member
from papayatack.core.placement.plan_builder import Draft
from papayatack.core.shards import is_hot_shard

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
    if not fleet.has_localities:
        return
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
    """Move shards from overloaded nodes, and to idle ones, within the budget."""
    if len(fleet.members) < 2:
        return
    balance = _Balance(draft=draft, fleet=fleet, budget=budget)
    while budget.left > 0 and balance.run_pass():
        pass


class _Balance:
    """The search for moves in one service.

    A node gives shards once it is above the start threshold, until it is below the
    stop threshold. A node far below the mean takes them from any node above it, for
    one node of many can be idle with no other much above the mean.
    """

    def __init__(self, *, draft: Draft, fleet: Fleet, budget: MoveBudget) -> None:
        self.draft = draft
        self.fleet = fleet
        self.budget = budget
        self.mean = fleet.load / fleet.capacity
        limits = draft.limits
        self.start_giving = self.mean * (1 + limits.start_imbalance)
        self.stop_giving = self.mean * (1 + limits.stop_imbalance)
        self.start_taking = self.mean * (1 - 2 * limits.start_imbalance)
        self.stop_taking = self.mean * (1 - 2 * limits.stop_imbalance)
        self.giving: set[IncarnationId] = set()
        self.taking = {
            incarnation
            for incarnation, member in fleet.members.items()
            if member.utilisation < self.start_taking
        }

    def run_pass(self) -> bool:
        """Relieve nodes, the most used first; return whether any move helped."""
        heap = self._list_sources()
        moved = False
        while heap and self.budget.left > 0:
            _, number, source = heapq.heappop(heap)
            best = self._find_best_move(source)
            if best is None:
                continue
            _move(self.draft, self.fleet, best.shard, best.target, self.budget)
            moved = True
            if source.utilisation > self.mean:
                heapq.heappush(heap, (-source.utilisation, number, source))
        return moved

    def _list_sources(self) -> list[tuple[float, int, Member]]:
        members = self.fleet.members
        for incarnation, member in members.items():
            if member.utilisation > self.start_giving:
                self.giving.add(incarnation)
        heap = [
            (-member.utilisation, number, member)
            for number, (incarnation, member) in enumerate(members.items())
            if incarnation in self.giving
            or (self.taking and member.utilisation > self.mean)
        ]
        heapq.heapify(heap)
        return heap

    def _find_best_move(self, source: Member) -> _Move | None:
        anywhere = self.fleet.find_least_loaded(None)
        best = None
        for shard, load in source.shards.items():
            if not self.draft.is_settled(shard):
                continue
            place = self.fleet.find_place(shard)
            target = self.fleet.find_least_loaded(place) if place else anywhere
            if target is None or not self._is_worth(source, target):
                continue
            gain = _measure_gain(source, target, load)
            if gain < 2 * load * self.mean * self.draft.limits.min_gain:
                continue
            value = gain / (HOT_MOVE_COST if is_hot_shard(shard) else 1.0)
            if best is None or value > best.value:
                best = _Move(shard=shard, target=target, value=value)
        return best

    def _is_worth(self, source: Member, target: Member) -> bool:
        if target is source:
            return False
        gives = source.lease.incarnation in self.giving
        takes = target.lease.incarnation in self.taking
        return (gives and source.utilisation > self.stop_giving) or (
            takes and target.utilisation < self.stop_taking
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
