"""Splits hot keys off into their own shards, and merges them back once they cool.

A split does not change the owner: the new shard inherits its parent's chain and can be
moved later like any other shard. A key that has cooled is first moved to its parent's
chain and then merged. See docs/design/placement.md for why both steps depend on the
parent's epoch.
"""

import math
from collections import Counter

from papayatack.core.identity import ShardId
from papayatack.core.placement.plan_builder import PlanBuilder
from papayatack.core.shards import find_parent_shard, is_hot_shard

__all__ = ["merge_cooled_keys", "split_hot_keys"]


def split_hot_keys(builder: PlanBuilder) -> None:
    """Split off the hottest keys, up to the limit of each service."""
    counts = Counter(
        shard.partition("/")[0] for shard in builder.shards if is_hot_shard(shard)
    )
    thresholds = _measure_mean_loads(builder, share=builder.limits.hot_threshold)
    found = sorted(
        (-load.busy, load.shard)
        for report in builder.view.loads
        for load in report.hot_keys
        if load.busy >= thresholds.get(load.shard.partition("/")[0], math.inf)
        and not builder.chains.get(load.shard)
    )
    for _, shard in found:
        service = shard.partition("/")[0]
        if counts[service] >= builder.limits.max_hot_shards or builder.is_changed(
            shard
        ):
            continue
        parent = find_parent_shard(builder.view.configuration, shard)
        if parent is not None and _is_stable(builder, parent):
            counts[service] += 1
            builder.add_assignment(shard, builder.chains[parent], parent=parent)


def merge_cooled_keys(builder: PlanBuilder) -> None:
    """Merge keys that are no longer hot back into their parents."""
    thresholds = _measure_mean_loads(builder, share=builder.limits.cool_threshold)
    for shard in builder.shards:
        cool = is_hot_shard(shard) and (
            builder.measured_loads[shard] < thresholds[shard.partition("/")[0]]
        )
        if cool and _may_merge(builder, shard):
            _merge_key(builder, shard)


def _merge_key(builder: PlanBuilder, shard: ShardId) -> None:
    parent = find_parent_shard(builder.view.configuration, shard)
    if parent is None or not _is_stable(builder, parent):
        return
    if builder.chains[shard] == builder.chains[parent]:
        builder.add_assignment(shard, (), parent=parent)
    else:
        builder.assign(shard, builder.chains[parent])


def _may_merge(builder: PlanBuilder, shard: ShardId) -> bool:
    age_s = builder.find_state(shard).age_s
    return _is_stable(builder, shard) and age_s >= builder.limits.min_hot_age_s


def _measure_mean_loads(builder: PlanBuilder, *, share: float) -> dict[str, float]:
    """Return a share of the mean load per node, by service."""
    return {
        service: share * pool.load / max(1, len(pool.nodes))
        for service, pool in builder.pools.items()
    }


def _is_stable(builder: PlanBuilder, shard: ShardId) -> bool:
    state = builder.find_state(shard)
    return bool(state.chain) and not state.moving and not builder.is_changed(shard)
