"""Graceful shutdown of a node: moves its shards away, then ends its leases."""

import enum
from collections.abc import Iterable

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.messages import Fence
from papayatack.core.ownership.claims import Claims
from papayatack.core.ownership.context import Context, find_service_name
from papayatack.core.ownership.effects import FinishNode
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.lease_notifier import LeaseNotifier
from papayatack.core.ownership.selection import extend_chain
from papayatack.core.ownership.timing import (
    APPEND_RETRY_INTERVAL_S,
    DEPARTURE_STAGE_TIMEOUT_S,
    QUERY_INTERVAL_S,
    compute_fence_quorum,
)
from papayatack.core.records import Assign, Assignment, Retire

__all__ = ["Departure", "DepartureStage"]

MOVE_BATCH_SHARDS = 16
"""Largest number of shards moved by one record."""

RETIRE_RETRY_INTERVAL_S = 0.5
"""Time after which the record of the node's own end is appended again."""

EVACUATION_TIMEOUT_S = 0.6
MOVE_TIMEOUT_S = 1.0
"""Time without progress after which the log is considered unavailable, so that the
leases are fenced at their witnesses instead. The shorter one applies to a node that
keeps running without shards."""


class DepartureStage(enum.Enum):
    """Stages of a graceful shutdown, in order."""

    SERVING = enum.auto()
    MOVING = enum.auto()
    DRAINING = enum.auto()
    FENCING = enum.auto()
    RETIRING = enum.auto()
    FINISHED = enum.auto()


class Departure:
    """Drives a graceful shutdown through its stages.

    While the log accepts records, shards are moved in batches, each after the previous
    one has been released. Otherwise, the node finishes all requests and has its leases
    fenced by their witnesses, so that the successors already in the chains take over
    at once.
    """

    def __init__(
        self, *, context: Context, claims: Claims, notifier: LeaseNotifier
    ) -> None:
        self._context = context
        self._claims = claims
        self._notifier = notifier
        self._last_progress_s = 0.0
        self._remaining_shards = 0
        self._stage_since_s = 0.0
        self._keeps_running = False
        self.stage = DepartureStage.SERVING

    def start(self, now: float, *, keeps_running: bool = False) -> None:
        """Start to move the shards to other nodes.

        Args:
            now: Event-loop time in seconds.
            keeps_running: Whether the node keeps running afterwards, without shards and
                without an upstream. A later start without it turns the departure
                into a shutdown.
        """
        if self.stage is DepartureStage.SERVING:
            self._keeps_running = keeps_running
            self._last_progress_s = now
            self._enter(DepartureStage.MOVING, now)
        elif not keeps_running:
            self._keeps_running = False

    def stop_serving(self, now: float) -> None:
        """Serve the shards that have not moved no longer, and end the leases."""
        if self.stage is DepartureStage.SERVING:
            self._keeps_running = True
        if self.stage in (DepartureStage.SERVING, DepartureStage.MOVING):
            self._enter(DepartureStage.DRAINING, now)

    @property
    def is_shutting_down(self) -> bool:
        """Whether the node is shutting down for good."""
        return self.stage is not DepartureStage.SERVING and not self._keeps_running

    def _enter(self, stage: DepartureStage, now: float) -> None:
        self.stage = stage
        self._stage_since_s = now
        self._context.emit_event("DEPARTURE_STAGE", stage.name.lower())

    def advance(self, now: float) -> None:
        """Perform the steps that are due."""
        if self.stage is DepartureStage.MOVING:
            self._move(now)
        if self.stage is DepartureStage.DRAINING:
            self._drain(now)
        if self.stage is DepartureStage.FENCING:
            self._fence(now)
        if self.stage is DepartureStage.RETIRING:
            self._retire(now)

    def _move(self, now: float) -> None:
        owned_shards = self._context.owned_shards
        remaining = len(owned_shards.owned) + len(owned_shards.draining)
        if remaining != self._remaining_shards:
            self._remaining_shards = remaining
            self._last_progress_s = now
            self._context.due_s_by_key.pop("drain", None)
        timeout_s = EVACUATION_TIMEOUT_S if self._keeps_running else MOVE_TIMEOUT_S
        stalled = now - self._last_progress_s > timeout_s and not owned_shards.draining
        done = not owned_shards.owned and not owned_shards.draining
        if done and self._keeps_running:
            self._resume(now)
        elif done or stalled:
            self._enter(DepartureStage.DRAINING, now)
        elif not owned_shards.draining:
            self._append_moves(now)

    def _resume(self, now: float) -> None:
        """Accept shards again; the node has none now, and possibly no lease."""
        self._claims.is_stopping = False
        self._enter(DepartureStage.SERVING, now)

    def _append_moves(self, now: float) -> None:
        if not self._context.restart_if_due("drain", now, APPEND_RETRY_INTERVAL_S):
            return
        assignments = []
        for shard in self._context.owned_shards.owned:
            assignment = self._plan_move(shard)
            if assignment is not None:
                assignments.append(assignment)
            if len(assignments) >= MOVE_BATCH_SHARDS:
                break
        if assignments:
            record = Assign(
                record_id=self._context.make_record_id(),
                writer=self._context.incarnation,
                assignments=tuple(assignments),
            )
            self._context.append(record)

    def _plan_move(self, shard: ShardId) -> Assignment | None:
        state = self._context.state
        current = state.shards[shard].current
        suspects = self._context.fencing.list_suspects(self._last_progress_s)
        avoid: set[IncarnationId] = {self._context.incarnation, *suspects}
        avoid |= self._context.list_evacuated_nodes()
        kept = tuple(
            other
            for other in current.leases
            if other.incarnation not in avoid and state.is_live(other)
        )
        chain = extend_chain(state, shard, find_service_name(shard), kept, avoid=avoid)
        if not chain:
            return None
        return Assignment(shard=shard, base_epoch=current.epoch, chain=chain)

    def _drain(self, now: float) -> None:
        if not self._claims.is_stopping:
            self._claims.is_stopping = True
            self._claims.recheck(*self._context.owned_shards.owned)
            return
        owned_shards = self._context.owned_shards
        if (
            not owned_shards.in_flight
            and not owned_shards.draining
            and not owned_shards.has_transfers
        ):
            self._enter(DepartureStage.FENCING, now)

    def _fence(self, now: float) -> None:
        unended = [
            holder for holder in self._context.holders.values() if not holder.ended
        ]
        for holder in unended:
            if len(holder.fenced_by) >= compute_fence_quorum(len(holder.witnesses)):
                holder.end()
        late = now - self._stage_since_s > DEPARTURE_STAGE_TIMEOUT_S
        self._end_resigned(
            holder for holder in unended if late or not holder.can_be_fenced
        )
        unended = [holder for holder in unended if not holder.ended]
        if not unended or late or not any(holder.witnesses for holder in unended):
            if self._keeps_running:
                self._resume(now)
            else:
                self._enter(DepartureStage.RETIRING, now)
        elif self._context.restart_if_due("resign", now, QUERY_INTERVAL_S):
            for holder in unended:
                for witness in holder.witnesses:
                    if witness in holder.departed:
                        continue
                    message = Fence(lease=holder.lease, resigned=True)
                    self._context.send(witness, message)

    def _end_resigned(self, holders: Iterable[LeaseHolder]) -> None:
        """End leases that too few witnesses fence, and tell their claimants.

        Those witnesses that have fenced them may have let a successor in.
        """
        for holder in holders:
            if holder.witnesses and not holder.ended:
                holder.end()
                self._notifier.announce_end(holder.lease)

    def _retire(self, now: float) -> None:
        member = self._context.state.members.get(self._context.incarnation)
        done = member is None or member.ended is not None
        if done or now - self._stage_since_s > DEPARTURE_STAGE_TIMEOUT_S:
            self._enter(DepartureStage.FINISHED, now)
            self._context.effects.append(FinishNode(resigned=True))
        elif self._context.restart_if_due("retire", now, RETIRE_RETRY_INTERVAL_S):
            record = Retire(
                record_id=self._context.make_record_id(),
                writer=self._context.incarnation,
                incarnation=self._context.incarnation,
            )
            self._context.append(record)
