"""The task that plans shard placement while this node is the active planner."""

import asyncio
import dataclasses
import math
from collections import Counter, defaultdict
from collections.abc import Callable

from papayatack.control.pending import PlanWrite
from papayatack.core.evacuation import Evacuations
from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.inventory import Configuration
from papayatack.core.messages import LoadReport
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.selection import find_planner, rank_planners
from papayatack.core.ownership.state import Member, ShardEntry
from papayatack.core.placement.view import (
    PlacementNode,
    PlacementPlan,
    PlacementShard,
    PlacementView,
)
from papayatack.core.records import Assign, DeclareLost
from papayatack.core.shards import is_hot_shard

__all__ = ["PlanningIntervals", "Planner"]

LEASE_STARTUP_S = 2.0
"""Time allowed for a new lease to come into use before it is planned with."""

PLANNER_FAILOVER_S = 0.7
"""Time without an owner for some shard after which the next planner in rank plans."""

MAX_QUIET_PERIODS = 3
"""Maximum time for which planning waits for nodes to join, in quiet periods."""

MAX_ASSIGNMENTS_PER_RECORD = 256
REPORT_VALID_S = 300.0
DECLARE_LOST_AFTER_S = 600.0
"""Time for which a node must have been without a live lease to be declared lost."""

DECLARE_LOST_RETRY_S = 60.0

_NO_LEASE = LeaseId(IncarnationId(""), 0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlanningIntervals:
    """Intervals that determine how soon placement follows changes.

    Attributes:
        interval_s: Seconds between two checks whether a plan is due.
        idle_interval_s: Seconds between two plans while only loads change.
        report_interval_s: Minimum seconds between two load reports of a node.
        quiet_period_s: Seconds without a further node that must pass before planning
            for a set of nodes that is new, or that was lost as a whole.
    """

    interval_s: float = 1.0
    idle_interval_s: float = 15.0
    report_interval_s: float = 5.0
    quiet_period_s: float = 0.0


class Planner:
    """Plans at intervals while this node is the planner according to its state.

    The planner is the first node of :func:`rank_planners`, or one that replaces it.
    Two nodes may briefly plan at the same time; the fold then rejects the assignments
    that come second in the log.

    Args:
        core: The ownership core of the node.
        read_configuration: Returns the configuration in force.
        plan: Computes a placement plan; a pure function.
        append: Queues an ownership record to be appended.
        put_plan: Queues the records of a plan; returns what becomes of them. Without
            it they are queued one by one, and not waited for.
        intervals: Intervals of planning.
        evacuations: The evacuated data centres, whose nodes are to have no shards.
    """

    def __init__(
        self,
        *,
        core: NodeCore,
        read_configuration: Callable[[], Configuration],
        plan: Callable[[PlacementView], PlacementPlan],
        append: Callable[[Assign | DeclareLost], None],
        put_plan: Callable[[list[Assign]], PlanWrite] | None = None,
        intervals: PlanningIntervals | None = None,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._evacuations = evacuations or Evacuations()
        self._intervals = intervals or PlanningIntervals()
        self._core = core
        self._read_configuration = read_configuration
        self._plan = plan
        self._append = append
        self._put_plan = put_plan
        self._write: PlanWrite | None = None
        self._reports: dict[IncarnationId, tuple[float, LoadReport]] = {}
        self._first_seen_s: dict[LeaseId, float] = {}
        self._owner_changes: dict[ShardId, tuple[IncarnationId | None, float]] = {}
        self._fenced_since_s: dict[IncarnationId, float] = {}
        self._unserved_since_s: float | None = None
        self._serving: frozenset[tuple[IncarnationId, bool]] = frozenset()
        self._serving_offset = -1
        self._last_join_s = float("-inf")
        self._settling_since_s: float | None = None
        self._last_inputs: tuple[int, int, frozenset[str]] | None = None
        self._ranked_planners: tuple[int, list[IncarnationId]] = (-1, [])
        self._owners: tuple[int, Counter[LeaseId]] = (-1, Counter())
        self._last_plan_s = float("-inf")

    def receive_report(self, report: LoadReport, now: float) -> None:
        """Store the newest load report of a member; ignore other senders."""
        if report.incarnation in self._core.state.members:
            self._reports[report.incarnation] = (now, report)

    def find_planner(self) -> IncarnationId | None:
        """Return the node that is the planner according to the local state."""
        return find_planner(self._core.state)

    async def run(self) -> None:
        """Plan at intervals until cancelled."""
        while True:
            await asyncio.sleep(self._intervals.interval_s)
            self.plan_once(asyncio.get_running_loop().time())

    def plan_once(self, now: float) -> None:
        """Plan if this node is the active planner and a plan is due.

        Args:
            now: Time of the event loop in seconds.
        """
        if not self._core.caught_up:
            return
        settling = self._is_settling(now)
        if not self._should_plan(now):
            return
        if self._is_writing(now):
            return
        self._declare_lost(now)
        version = self._read_configuration().version
        moving = self._evacuations.list_moving(now)
        inputs = (self._core.state.next_offset, version, moving)
        unchanged = inputs == self._last_inputs
        if unchanged and now - self._last_plan_s < self._intervals.idle_interval_s:
            return
        if settling:
            return
        self._last_inputs = inputs
        self._last_plan_s = now
        assignments = self._plan(self.build_view(now)).assignments
        records = [
            Assign(
                record_id=self._core.context.make_record_id(),
                writer=self._core.incarnation,
                assignments=assignments[start : start + MAX_ASSIGNMENTS_PER_RECORD],
            )
            for start in range(0, len(assignments), MAX_ASSIGNMENTS_PER_RECORD)
        ]
        if self._put_plan is not None:
            self._write = self._put_plan(records)
            return
        for record in records:
            self._append(record)

    def _is_writing(self, now: float) -> bool:
        """Tell whether to wait until the last plan is in the state, or has failed."""
        write = self._write
        if write is None:
            return False
        if write.is_pending(self._core.state.next_offset, now):
            return True
        if write.has_failed or write.unresolved:
            self._last_inputs = None
        self._write = None
        return False

    def _should_plan(self, now: float) -> bool:
        """Tell whether this node is the active planner.

        The first node in rank is. If it cannot reach the log, its plans have no effect:
        while shards stay unserved, each further node in rank becomes active after a
        further ``PLANNER_FAILOVER_S``.
        """
        planners = self._rank_planners()
        if self._core.incarnation not in planners:
            return False
        rank = planners.index(self._core.incarnation)
        if rank == 0:
            return True
        if not self._has_unserved_shards():
            self._unserved_since_s = None
            return False
        if self._unserved_since_s is None:
            self._unserved_since_s = now
        return now - self._unserved_since_s >= PLANNER_FAILOVER_S * rank

    def _rank_planners(self) -> list[IncarnationId]:
        """Return the planners in rank, determined again after each record."""
        state = self._core.state
        if self._ranked_planners[0] != state.next_offset:
            self._ranked_planners = (state.next_offset, rank_planners(state))
        return self._ranked_planners[1]

    def _has_unserved_shards(self) -> bool:
        """Tell whether any shard, or every key, lacks an owner that can serve it."""
        if not self._core.state.shards:
            services = self._read_configuration().services
            return any(service.key_ranges for service in services)
        return any(self._core.is_ended(owner) for owner in self._count_owned_shards())

    def _has_mostly_unserved_shards(self) -> bool:
        """Tell whether most shards lack an owner that can serve them, or none exist."""
        shards = self._core.state.shards
        owners = self._count_owned_shards()
        unserved = sum(n for owner, n in owners.items() if self._core.is_ended(owner))
        return not shards or unserved > len(shards) / 2

    def _count_owned_shards(self) -> Counter[LeaseId]:
        """Return the number of shards by owner, counted again after each record.

        A shard whose owner is in another service counts for no lease.
        """
        state = self._core.state
        if self._owners[0] != state.next_offset:
            owners: Counter[LeaseId] = Counter()
            for shard, entry in state.shards.items():
                if entry.current.leases:
                    owner = entry.current.leases[0]
                    member = state.members.get(owner.incarnation)
                    service = member.service if member is not None else ""
                    served = service == shard.partition("/")[0]
                    owners[owner if served else _NO_LEASE] += 1
            self._owners = (state.next_offset, owners)
        return self._owners[1]

    def _is_settling(self, now: float) -> bool:
        """Tell whether to wait for more nodes to join or get a lease before planning.

        This applies to a set of nodes that is new, or of which the owners of most
        shards were lost or have lost their leases. Without the wait, the first nodes
        would get all shards and those that are back shortly after them none.
        """
        self._note_joins(now)
        if not self._has_mostly_unserved_shards():
            self._settling_since_s = None
            return False
        if self._settling_since_s is None:
            self._settling_since_s = now
        quiet_period_s = self._intervals.quiet_period_s
        if now - self._settling_since_s >= MAX_QUIET_PERIODS * quiet_period_s:
            return False
        quiet_since_s = max(self._last_join_s, self._settling_since_s)
        return now - quiet_since_s < quiet_period_s

    def _note_joins(self, now: float) -> None:
        """Note the time if a node has joined or got a lease since the last record."""
        state = self._core.state
        if state.next_offset == self._serving_offset:
            return
        self._serving_offset = state.next_offset
        serving = frozenset(
            (member.incarnation, state.find_live_lease(member.incarnation) is not None)
            for member in state.list_live_members()
            if member.service
        )
        if not serving <= self._serving:
            self._last_join_s = now
        self._serving = serving

    def _declare_lost(self, now: float) -> None:
        """Declare nodes lost whose lease is fenced and that acquire no new one.

        The lease is already fenced, so this never ends a node that serves requests. It
        keeps the state from growing with every VM that was ever lost.
        """
        state = self._core.state
        fenced = {
            member.incarnation
            for member in state.list_live_members()
            if member.term and state.find_live_lease(member.incarnation) is None
        }
        self._fenced_since_s = {
            name: self._fenced_since_s.get(name, now) for name in sorted(fenced)
        }
        lost = tuple(
            name
            for name, since_s in self._fenced_since_s.items()
            if now - since_s >= DECLARE_LOST_AFTER_S
        )
        if lost and self._core.context.restart_if_due(
            "declare lost", now, DECLARE_LOST_RETRY_S
        ):
            record = DeclareLost(
                record_id=self._core.context.make_record_id(),
                writer=self._core.incarnation,
                incarnations=lost,
            )
            self._append(record)

    def build_view(self, now: float) -> PlacementView:
        """Return the input of the plan, after evicting stale load reports."""
        self._evict_stale(now)
        state = self._core.state
        suspects = self._core.context.fencing.list_suspects(now)
        leaving = {
            name for name, (_, report) in self._reports.items() if report.leaving
        }
        usual_s = self._find_service_times()
        moving = self._evacuations.list_moving(now)
        nodes = []
        for member in state.list_live_members():
            lease = self._choose_lease(member, now)
            if lease is not None:
                is_lost = member.incarnation in leaving or self._has_ended(member)
                is_evacuated = member.data_centre in moving
                node = dataclasses.replace(
                    self._describe_node(
                        member, lease, now, usual_s.get(member.service, 0.0)
                    ),
                    leaving=is_lost or is_evacuated,
                    evacuated=is_evacuated and not is_lost,
                    doubtful=member.incarnation in suspects,
                )
                nodes.append(node)
        return PlacementView(
            configuration=self._read_configuration(),
            nodes=tuple(nodes),
            shards={
                shard: PlacementShard(
                    epoch=entry.current.epoch,
                    chain=entry.current.leases,
                    moving=not entry.active and bool(entry.current.leases),
                    owner_kept=_keeps_owner(entry),
                    age_s=self._measure_age(shard, entry.current.leases, now),
                )
                for shard, entry in state.shards.items()
            },
            loads=tuple(report for _, report in self._reports.values()),
        )

    def _choose_lease(self, member: Member, now: float) -> LeaseId | None:
        """Return the lease of a member to plan with, ``None`` if it has no live one.

        A new lease is used only after ``LEASE_STARTUP_S``, or at once if it is already
        part of a chain: the node then serves under it, and its older lease is about to
        end.
        """
        state = self._core.state
        newest = state.find_live_lease(member.incarnation)
        if newest is None:
            return None
        since_s = self._first_seen_s.setdefault(newest, now)
        older = LeaseId(member.incarnation, newest.term - 1)
        in_use = newest in state.shards_by_lease
        if not in_use and now - since_s < LEASE_STARTUP_S and state.is_live(older):
            return older
        return newest

    def _has_ended(self, member: Member) -> bool:
        """Tell whether the end of a member's newest lease is proved or reported."""
        newest = self._core.state.find_live_lease(member.incarnation)
        return newest is None or self._core.is_ended(newest)

    def _find_service_times(self) -> dict[str, float]:
        """Return the mean service time that the nodes of each service report."""
        times: defaultdict[str, list[float]] = defaultdict(list)
        for name, (_, report) in self._reports.items():
            member = self._core.state.members.get(name)
            if member is not None and report.service_s > 0:
                times[member.service].append(report.service_s)
        return {service: sum(found) / len(found) for service, found in times.items()}

    def _describe_node(
        self, member: Member, lease: LeaseId, now: float, usual_s: float
    ) -> PlacementNode:
        _, report = self._reports.get(member.incarnation, (now, None))
        first = LeaseId(member.incarnation, 1)
        since_s = self._first_seen_s.setdefault(first, now)
        returned_s = self._evacuations.find_returned_s(member.data_centre)
        return PlacementNode(
            lease=lease,
            data_centre=member.data_centre,
            region=member.region,
            service=member.service,
            slots=member.slots,
            age_s=now - max(since_s, returned_s),
            max_busy=_find_max_busy(report, usual_s),
        )

    def _measure_age(
        self, shard: ShardId, chain: tuple[LeaseId, ...], now: float
    ) -> float:
        """Return the seconds since the owner of a shard last changed.

        The age of a hot key's shard counts from when it was first seen; other shards
        have an infinite age until their owner changes.
        """
        owner = chain[0].incarnation if chain else None
        known = self._owner_changes.get(shard)
        if known is None:
            seen_s = now if is_hot_shard(shard) else float("-inf")
            self._owner_changes[shard] = (owner, seen_s)
        elif known[0] != owner:
            self._owner_changes[shard] = (owner, now)
        return now - self._owner_changes[shard][1]

    def _evict_stale(self, now: float) -> None:
        state = self._core.state
        self._reports = {
            name: (seen_s, report)
            for name, (seen_s, report) in self._reports.items()
            if now - seen_s < REPORT_VALID_S and name in state.members
        }
        self._first_seen_s = {
            lease: seen_s
            for lease, seen_s in self._first_seen_s.items()
            if lease.incarnation in state.members
        }
        self._owner_changes = {
            shard: seen
            for shard, seen in self._owner_changes.items()
            if shard in state.shards
        }


def _keeps_owner(entry: ShardEntry) -> bool:
    """Return whether the newest chain has the owner of all chains before it."""
    owners = {
        chain.leases[0].incarnation if chain.leases else None
        for chain in entry.list_chains()
    }
    return bool(entry.previous) and len(owners) == 1


def _find_max_busy(report: LoadReport | None, usual_s: float) -> float:
    """Return how many slots the limit of an upstream keeps busy.

    Args:
        report: The node's report, if there is one.
        usual_s: Service time at other nodes, for an upstream that has served nothing.
    """
    if report is None or report.requests_per_s <= 0:
        return math.inf
    service_s = report.service_s if report.service_s > 0 else usual_s
    return report.requests_per_s * service_s if service_s > 0 else math.inf
