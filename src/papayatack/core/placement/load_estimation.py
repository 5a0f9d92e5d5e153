"""Estimates the load of each shard from the nodes' load reports."""

import dataclasses
import math
from collections import defaultdict
from collections.abc import Iterable

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.messages import LoadReport
from papayatack.core.placement.view import PlacementView
from papayatack.core.shards import is_hot_shard

__all__ = ["IDLE_UTILISATION", "estimate_loads", "clamp_reports"]

IDLE_UTILISATION = 0.01
"""Share of all slots that is added to the measured load and spread evenly over shards,
so that an idle fleet is balanced by the number of shards instead of by noise."""


MAX_DEMAND_RATIO = 4.0
"""Load that a report may claim, relative to the capacity of its node. A node that is
asked for more than it can serve must appear busier than one that is just full."""


def clamp_reports(view: PlacementView) -> PlacementView:
    """Return the view with each reported load clamped in relation to its node.

    Invalid values from one node must not determine the placement of all other shards.
    """
    limits = {
        node.lease.incarnation: MAX_DEMAND_RATIO * node.slots * node.speed
        for node in view.nodes
    }
    most = max(limits.values(), default=0.0)
    loads = tuple(
        _clamp_report(report, limits.get(report.incarnation, most))
        for report in view.loads
    )
    return dataclasses.replace(view, loads=loads)


def _clamp_report(report: LoadReport, limit: float) -> LoadReport:
    """Clamp each load, then scale down the shards' loads to fit the limit."""
    if _is_plausible(report, limit):
        return report
    shards = [_clamp(load.busy, limit) for load in report.shards]
    factor = min(1.0, limit / max(sum(shards), 1e-9))
    return dataclasses.replace(
        report,
        busy=_clamp(report.busy, limit),
        shards=tuple(
            dataclasses.replace(load, busy=busy * factor)
            for load, busy in zip(report.shards, shards, strict=True)
        ),
        hot_keys=tuple(
            dataclasses.replace(load, busy=_clamp(load.busy, limit))
            for load in report.hot_keys
        ),
    )


def _is_plausible(report: LoadReport, limit: float) -> bool:
    loads = [load.busy for load in report.shards]
    hot = [load.busy for load in report.hot_keys]
    # min() and max() do not reliably reveal a NaN among their arguments; the sum does.
    total = sum(loads)
    lowest = min(*loads, *hot, report.busy, 0.0)
    highest = max(*hot, report.busy, total, 0.0)
    known = not math.isnan(total + sum(hot) + report.busy)
    return known and lowest >= 0.0 and highest <= limit


def _clamp(busy: float, limit: float) -> float:
    return 0.0 if math.isnan(busy) else min(max(busy, 0.0), limit)


def estimate_loads(
    view: PlacementView, shards: Iterable[ShardId]
) -> dict[ShardId, float]:
    """Return the mean number of slots that each shard uses.

    The report of a shard's owner takes precedence over reports of other nodes, which
    may predate a move. Load that an owner does not attribute to shards is spread over
    its shards that the report omits. An omitted hot key has cooled and counts as idle.
    """
    owners = {
        shard: state.chain[0].incarnation
        for shard, state in view.shards.items()
        if state.chain
    }
    owned = _read_reports(view, owners)
    spread = _spread_unattributed_load(view, owners, owned)
    return {
        shard: owned.get(shard, 0.0)
        if shard in owned or is_hot_shard(shard)
        else spread.get(owners.get(shard), 0.0)
        for shard in shards
    }


def _read_reports(
    view: PlacementView, owners: dict[ShardId, IncarnationId]
) -> dict[ShardId, float]:
    from_owners: dict[ShardId, float] = {}
    from_others: dict[ShardId, float] = {}
    for report in view.loads:
        for load in (*report.hot_keys, *report.shards):
            known = owners.get(load.shard)
            if known == report.incarnation:
                from_owners[load.shard] = load.busy
            elif known is not None:
                from_others[load.shard] = max(
                    load.busy, from_others.get(load.shard, 0.0)
                )
    return from_others | from_owners


def _spread_unattributed_load(
    view: PlacementView,
    owners: dict[ShardId, IncarnationId],
    owned: dict[ShardId, float],
) -> dict[IncarnationId | None, float]:
    attributed: dict[IncarnationId, float] = defaultdict(float)
    silent: dict[IncarnationId, int] = defaultdict(int)
    for shard, owner in owners.items():
        if shard in owned:
            attributed[owner] += owned[shard]
        elif not is_hot_shard(shard):
            silent[owner] += 1
    return {
        report.incarnation: max(0.0, report.busy - attributed[report.incarnation])
        / silent[report.incarnation]
        for report in view.loads
        if silent.get(report.incarnation)
    }
