"""Makes hot keys shards of their own, and returns them when they cool.

A split changes no owner: the new shard has its parent's chain, and moves later as any
shard does. A key that cools first moves to its parent's chain and is then returned.
See docs/design/placement.md for why both depend on the parent's epoch.
"""

import math
from collections import Counter

from papayatack.core.identity import ShardId
from papayatack.core.placement.plan_builder import Draft
from papayatack.core.shards import find_parent_shard, is_hot_shard

__all__ = ["return_cool_keys", "split_hot_keys"]


def split_hot_keys(draft: Draft) -> None:
    """Plan own shards for the hottest keys, up to the limit of each service."""
    counts = Counter(
        shard.partition("/")[0] for shard in draft.shards if is_hot_shard(shard)
    )
    least = _measure_mean_loads(draft, share=draft.limits.hot_threshold)
    found = sorted(
        (-load.busy, load.shard)
        for report in draft.view.loads
        for load in report.hot_keys
        if load.busy >= least.get(load.shard.partition("/")[0], math.inf)
        and not draft.chains.get(load.shard)
    )
    for _, shard in found:
        service = shard.partition("/")[0]
        if counts[service] >= draft.limits.max_hot_shards or draft.is_changed(shard):
            continue
        parent = find_parent_shard(draft.view.configuration, shard)
        if parent is not None and _is_steady(draft, parent):
            counts[service] += 1
            draft.record(shard, draft.chains[parent], parent=parent)


def return_cool_keys(draft: Draft) -> None:
    """Plan the return of keys that are hot no more."""
    least = _measure_mean_loads(draft, share=draft.limits.cool_threshold)
    for shard in draft.shards:
        cool = is_hot_shard(shard) and (
            draft.measured[shard] < least[shard.partition("/")[0]]
        )
        if cool and _may_return(draft, shard):
            _return_key(draft, shard)


def _return_key(draft: Draft, shard: ShardId) -> None:
    parent = find_parent_shard(draft.view.configuration, shard)
    if parent is None or not _is_steady(draft, parent):
        return
    if draft.chains[shard] == draft.chains[parent]:
        draft.record(shard, (), parent=parent)
    else:
        draft.assign(shard, draft.chains[parent])


def _may_return(draft: Draft, shard: ShardId) -> bool:
    age_s = draft.find_state(shard).age_s
    return _is_steady(draft, shard) and age_s >= draft.limits.min_hot_age_s


def _measure_mean_loads(draft: Draft, *, share: float) -> dict[str, float]:
    """Return a share of a mean node's load, for each service."""
    return {
        service: share * fleet.load / max(1, len(fleet.members))
        for service, fleet in draft.fleets.items()
    }


def _is_steady(draft: Draft, shard: ShardId) -> bool:
    state = draft.find_state(shard)
    return bool(state.chain) and not state.moving and not draft.is_changed(shard)
