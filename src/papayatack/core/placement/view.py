"""Input and output of the placement planner."""

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
    """A node that has been admitted to the fleet.

    Attributes:
        lease: Current lease of the node.
        data_centre: Data centre in which the node runs.
        region: Region of that data centre.
        service: Service of the node's upstream.
        slots: Requests that the upstream runs concurrently.
        leaving: Whether the node drains or its lease has ended; it is assigned
            no shards.
        doubtful: Whether its lease has lapsed at a witness, but is not proved to have
            ended; it keeps its shards and is assigned no more.
        evacuated: Whether it leaves its shards while it still serves, so that they are
            moved a few at a time.
        age_s: Time since the node was admitted, in seconds.
        speed: Speed of the upstream, relative to the mean of its service.
        max_busy: Slots that its own limit on requests per second keeps busy.
    """

    lease: LeaseId
    data_centre: str
    region: str
    service: str
    slots: int
    leaving: bool = False
    doubtful: bool = False
    evacuated: bool = False
    age_s: float = 0.0
    speed: float = 1.0
    max_busy: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementShard:
    """Current assignment of a shard.

    Attributes:
        epoch: Current epoch, 0 if the shard was never assigned.
        chain: Leases of the holders, owner first; empty if the shard is to have no
            owner.
        moving: Whether the last assignment has not been activated yet.
        owner_kept: Whether all assignments that have not been activated yet kept the
            owner and changed only its lease or the successors.
        age_s: Time since the last change of owner that this node knows of, in seconds.
    """

    epoch: int
    chain: tuple[LeaseId, ...]
    moving: bool = False
    owner_kept: bool = False
    age_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementView:
    """Snapshot of everything that a plan depends on.

    Attributes:
        configuration: Active inventory and rules.
        nodes: All admitted nodes.
        shards: Shards that have been assigned.
        loads: Latest load report of each node.
    """

    configuration: Configuration
    nodes: tuple[PlacementNode, ...]
    shards: Mapping[ShardId, PlacementShard]
    loads: tuple[LoadReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementPlan:
    """A bounded list of changes, most urgent first.

    Attributes:
        assignments: Initial assignments, moves and releases.
    """

    assignments: tuple[Assignment, ...]
