"""The planner: a pure function from what is known to a bounded list of changes."""

from papayatack.core.placement.balance import (
    MoveBudget,
    balance_load,
    restore_locality,
)
from papayatack.core.placement.draft import Draft
from papayatack.core.placement.hot_keys import return_cool_keys, split_hot_keys
from papayatack.core.placement.limits import PlacementLimits
from papayatack.core.placement.repair import release_retired, repair_chains
from papayatack.core.placement.view import PlacementView, Plan

__all__ = ["plan"]

_DEFAULT_LIMITS = PlacementLimits()


def plan(view: PlacementView, *, limits: PlacementLimits = _DEFAULT_LIMITS) -> Plan:
    """Return the changes that the fleet needs now, most urgent first.

    Any node may plan: each entry names the epoch that it was planned against and is
    void if another change of the shard came first.

    Args:
        view: The fleet as folded from the log, and the newest load reports.
        limits: What one plan may change; fewer ``moves`` bound the churn.
    """
    draft = Draft(view=view, limits=limits)
    repair_chains(draft)
    split_hot_keys(draft)
    return_cool_keys(draft)
    _spread_load(draft)
    release_retired(draft)
    return Plan(assignments=tuple(draft.assignments))


def _spread_load(draft: Draft) -> None:
    moving = sum(state.moving for state in draft.view.shards.values())
    budget = MoveBudget(left=draft.limits.moves - moving)
    for fleet in draft.fleets.values():
        restore_locality(draft, fleet, budget)
        balance_load(draft, fleet, budget)
