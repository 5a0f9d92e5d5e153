"""Placement planner: a pure function from a view to a bounded list of changes."""

from papayatack.core.placement.hot_keys import merge_cooled_keys, split_hot_keys
from papayatack.core.placement.inheritance import spread_successors
from papayatack.core.placement.limits import PlacementLimits
from papayatack.core.placement.load_estimation import clamp_reports
from papayatack.core.placement.plan_builder import PlanBuilder
from papayatack.core.placement.rebalancing import (
    MoveBudget,
    balance_load,
    restore_locality,
)
from papayatack.core.placement.relief import relieve_concentration
from papayatack.core.placement.repair import (
    release_retired,
    repair_owners,
    repair_successors,
)
from papayatack.core.placement.speed_normalisation import normalise_speeds
from papayatack.core.placement.view import PlacementPlan, PlacementView

__all__ = ["plan_placement"]

HOUR_S = 3_600.0

_DEFAULT_LIMITS = PlacementLimits()


def plan_placement(
    view: PlacementView, *, limits: PlacementLimits = _DEFAULT_LIMITS
) -> PlacementPlan:
    """Return the changes that the fleet needs now, most urgent first.

    Any node may plan: each assignment names the epoch that it is based on and is void
    if another change of the shard precedes it.

    Args:
        view: State of the fleet as folded from the log, with the latest load reports.
        limits: Bounds on one plan; a lower ``max_moves`` reduces churn.
    """
    builder = PlanBuilder(view=clamp_reports(normalise_speeds(view)), limits=limits)
    repair_owners(builder)
    if builder.has_evacuating_shards:
        # Nothing that can wait takes the time of the upstreams and nodes meanwhile.
        builder.choose_successors()
        release_retired(builder)
        return PlacementPlan(assignments=tuple(builder.assignments))
    relieve_concentration(builder)
    builder.choose_successors()
    repair_successors(builder)
    split_hot_keys(builder)
    merge_cooled_keys(builder)
    _rebalance(builder)
    release_retired(builder)
    spread_successors(builder)
    return PlacementPlan(assignments=tuple(builder.assignments))


def _rebalance(builder: PlanBuilder) -> None:
    """Move shards to their data centres, then from busy nodes to others.

    Both take from the same number of moves that are permitted now.
    """
    budget = MoveBudget(remaining=_count_allowed_moves(builder))
    for pool in builder.pools.values():
        restore_locality(builder, pool, budget)
        balance_load(builder, pool, budget)


def _count_allowed_moves(builder: PlanBuilder) -> int:
    """Return the number of moves for load that are permitted now.

    Loads that are reported incorrectly, or that fluctuate faster than moves can follow,
    would keep shards moving indefinitely, so moves are throttled once a large share of
    the shards has moved within an hour.
    """
    limits = builder.limits
    states = builder.view.shards.values()
    moved = sum(state.age_s < HOUR_S for state in states)
    if moved < limits.max_hourly_move_share * len(builder.shards):
        return limits.max_moves - sum(
            state.moving and not state.owner_kept for state in states
        )
    recent = sum(
        state.moving or state.age_s < limits.move_cooldown_s for state in states
    )
    return limits.max_throttled_moves - recent
