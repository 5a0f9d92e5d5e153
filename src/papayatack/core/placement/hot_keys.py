"""Makes hot keys shards of their own, and returns them when they cool.

A split changes no owner: the new shard has its parent's chain, and moves later as any
shard does. A key that cools first moves to its parent's chain and is then returned.
See docs/design/placement.md for why both depend on the parent's epoch.
"""

from collections import Counter

from papayatack.core.identity import ShardId
from papayatack.core.placement.draft import Draft, is_hot
from papayatack.core.shards import find_parent

__all__ = ["return_cool_keys", "split_hot_keys"]


def split_hot_keys(draft: Draft) -> None:
    """Plan own shards for the hottest keys, up to the limit of each service."""
    counts = Counter(shard.partition("/")[0] for shard in draft.shards if is_hot(shard))
    found = sorted(
        (-load.busy, load.shard)
        for report in draft.view.loads
        for load in report.hot_keys
        if _is_split_worthy(draft, load.shard, load.busy)
    )
    for _, shard in found:
        service = shard.partition("/")[0]
        if counts[service] >= draft.limits.hot_shards or draft.is_changed(shard):
            continue
        parent = find_parent(draft.view.configuration, shard)
        if parent is not None and _is_steady(draft, parent):
            counts[service] += 1
            draft.record(shard, draft.chains[parent], parent=parent)


def return_cool_keys(draft: Draft) -> None:
    """Plan the return of keys that are hot no more."""
    for shard in draft.shards:
        if is_hot(shard) and _is_cool(draft, shard):
            _return_key(draft, shard)


def _return_key(draft: Draft, shard: ShardId) -> None:
    parent = find_parent(draft.view.configuration, shard)
    if parent is None or not _is_steady(draft, parent):
        return
    if draft.chains[shard] == draft.chains[parent]:
        draft.record(shard, (), parent=parent)
    else:
        draft.assign(shard, draft.chains[parent])


def _is_split_worthy(draft: Draft, shard: ShardId, busy: float) -> bool:
    if draft.chains.get(shard) or shard.partition("/")[0] not in draft.fleets:
        return False
    return busy >= draft.limits.hot_share * _measure_mean_load(draft, shard)


def _is_cool(draft: Draft, shard: ShardId) -> bool:
    state = draft.find_state(shard)
    if not _is_steady(draft, shard) or state.age_s < draft.limits.keep_hot_s:
        return False
    cool = draft.limits.cool_share * _measure_mean_load(draft, shard)
    return draft.measured[shard] < cool


def _measure_mean_load(draft: Draft, shard: ShardId) -> float:
    fleet = draft.find_fleet(shard)
    return fleet.load / max(1, len(fleet.members))


def _is_steady(draft: Draft, shard: ShardId) -> bool:
    state = draft.find_state(shard)
    return bool(state.chain) and not state.moving and not draft.is_changed(shard)
