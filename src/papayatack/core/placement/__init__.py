"""The planner: which shard belongs on which node."""

from papayatack.core.placement.limits import PlacementLimits
from papayatack.core.placement.planner import plan
from papayatack.core.placement.view import (
    PlacementNode,
    PlacementShard,
    PlacementView,
    Plan,
)

__all__ = [
    "PlacementLimits",
    "PlacementNode",
    "PlacementShard",
    "PlacementView",
    "Plan",
    "plan",
]
