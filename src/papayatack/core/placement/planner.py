"""The planner: a pure function from what is known to a bounded list of changes."""

from papayatack.core.placement.hot_keys import return_cool_keys, split_hot_keys
from papayatack.core.placement.limits import PlacementLimits
from papayatack.core.placement.load_estimation import keep_plausible
from papayatack.core.placement.plan_builder import Draft
from papayatack.core.placement.rebalancing import (
    MoveBudget,
    balance_load,
    restore_locality,
)
from papayatack.core.placement.repair import release_retired, repair_chains
from papayatack.core.placement.speed_normalisation import level_speeds
from papayatack.core.placement.view import PlacementPlan, PlacementView

__all__ = ["plan_placement"]

HOUR_S = 3_600.0

_DEFAULT_LIMITS = PlacementLimits()


def plan_placement(
    view: PlacementView, *, limits: PlacementLimits = _DEFAULT_LIMITS
) -> PlacementPlan:
    """Return the changes that the fleet needs now, most urgent first.

    Any node may plan: each entry names the epoch that it was planned against and is
    void if another change of the shard came first.

    Args:
        view: The fleet as folded from the log, and the newest load reports.
        limits: What one plan may change; fewer ``moves`` bound the churn.
    """
    draft = Draft(view=keep_plausible(level_speeds(view)), limits=limits)
    repair_chains(draft)
    split_hot_keys(draft)
    return_cool_keys(draft)
    _spread_load(draft)
    release_retired(draft)
    return PlacementPlan(assignments=tuple(draft.assignments))


def _spread_load(draft: Draft) -> None:
    budget = MoveBudget(left=_count_moves_left(draft))
    for fleet in draft.fleets.values():
        restore_locality(draft, fleet, budget)
        balance_load(draft, fleet, budget)


def _count_moves_left(draft: Draft) -> int:
    """Return how many moves for load are permitted now.

    Loads that are reported wrongly, or swing faster than moves can follow, would keep
    shards moving for ever; so much movement within an hour throttles it.
    """
    limits = draft.limits
    states = draft.view.shards.values()
    moved = sum(state.age_s < HOUR_S for state in states)
    if moved < limits.max_hourly_move_share * len(draft.shards):
        return limits.max_moves - sum(state.moving for state in states)
    recent = sum(
        state.moving or state.age_s < limits.move_cooldown_s for state in states
    )
    return limits.max_throttled_moves - recent
