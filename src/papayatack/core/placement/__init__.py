"""Placement planner, which assigns shards to nodes."""

from papayatack.core.placement.limits import PlacementLimits
from papayatack.core.placement.planner import plan_placement
from papayatack.core.placement.view import (
    PlacementNode,
    PlacementPlan,
    PlacementShard,
    PlacementView,
)

__all__ = [
    "PlacementLimits",
    "PlacementNode",
    "PlacementShard",
    "PlacementView",
    "PlacementPlan",
    "plan_placement",
]
