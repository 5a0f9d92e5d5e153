"""What the planner sees of the fleet, and what it answers."""

import dataclasses
import math
from collections.abc import Mapping

from papayatack.core.identity import LeaseId, ShardId
from papayatack.core.inventory import Configuration
from papayatack.core.messages import LoadReport
from papayatack.core.records import Assignment

__all__ = ["PlacementNode", "PlacementShard", "PlacementView", "PlacementPlan"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementNode:
    """One admitted node.

    Attributes:
        lease: Its current lease.
        data_centre: Where it runs.
        region: The region of its data centre.
        service: The service of its upstream.
        slots: Requests that its upstream runs at once.
        leaving: It drains, or is suspected of being lost; it gets no new shards.
        age_s: Seconds since it was admitted.
        speed: How fast its upstream is, relative to the mean.
    """

    lease: LeaseId
    data_centre: str
    region: str
    service: str
    slots: int
    leaving: bool = False
    age_s: float = 0.0
    speed: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementShard:
    """The current chain of a shard.

    Attributes:
        epoch: Its current epoch, 0 if it was never assigned.
        chain: Owner first; empty if nobody is to own it.
        moving: Its last move is not activated yet.
        age_s: Seconds since its owner changed, as far as this node knows.
    """

    epoch: int
    chain: tuple[LeaseId, ...]
    moving: bool = False
    age_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementView:
    """All that a plan depends on.

    Attributes:
        configuration: Inventory and rules in force.
        nodes: All admitted nodes.
        shards: The shards that have a chain.
        loads: The newest report of each node.
    """

    configuration: Configuration
    nodes: tuple[PlacementNode, ...]
    shards: Mapping[ShardId, PlacementShard]
    loads: tuple[LoadReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementPlan:
    """A bounded list of changes, most urgent first.

    Attributes:
        assignments: First assignments and moves.
    """

    assignments: tuple[Assignment, ...]
