"""Estimates the load of each shard from what the nodes report."""

from collections import defaultdict
from collections.abc import Iterable

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.placement.view import PlacementView
from papayatack.core.shards import is_hot

__all__ = ["IDLE_UTILISATION", "estimate_loads"]

IDLE_UTILISATION = 0.01
"""Share of all slots that counts as evenly spread load, beside what is measured, so
that an idle fleet is balanced by the number of shards and not by noise."""


def estimate_loads(
    view: PlacementView, shards: Iterable[ShardId]
) -> dict[ShardId, float]:
    """Return the mean number of slots that each shard uses.

    A shard's own owner is believed before another node, whose report may date from
    before a move. Load that a node does not attribute is spread over the shards that
    it does not mention; a hot key among these has cooled.
    """
    owners = {
        shard: state.chain[0].incarnation
        for shard, state in view.shards.items()
        if state.chain
    }
    owned = _read_reports(view, owners)
    spread = _spread_remainders(view, owners, owned)
    return {
        shard: owned.get(shard, 0.0)
        if shard in owned or is_hot(shard)
        else spread.get(owners.get(shard), 0.0)
        for shard in shards
    }


def _read_reports(
    view: PlacementView, owners: dict[ShardId, IncarnationId]
) -> dict[ShardId, float]:
    believed: dict[ShardId, float] = {}
    hearsay: dict[ShardId, float] = {}
    for report in view.loads:
        for load in (*report.hot_keys, *report.shards):
            known = owners.get(load.shard)
            if known == report.incarnation:
                believed[load.shard] = load.busy
            elif known is not None:
                hearsay[load.shard] = max(load.busy, hearsay.get(load.shard, 0.0))
    return hearsay | believed


def _spread_remainders(
    view: PlacementView,
    owners: dict[ShardId, IncarnationId],
    owned: dict[ShardId, float],
) -> dict[IncarnationId | None, float]:
    attributed: dict[IncarnationId, float] = defaultdict(float)
    silent: dict[IncarnationId, int] = defaultdict(int)
    for shard, owner in owners.items():
        if shard in owned:
            attributed[owner] += owned[shard]
        elif not is_hot(shard):
            silent[owner] += 1
    return {
        report.incarnation: max(0.0, report.busy - attributed[report.incarnation])
        / silent[report.incarnation]
        for report in view.loads
        if silent.get(report.incarnation)
    }
