"""The ownership protocol of one node, as a state machine without I/O.

:class:`NodeCore` is driven by :meth:`~NodeCore.apply_record` (records of the ownership
stream, in offset order), :meth:`~NodeCore.receive` (control messages),
:meth:`~NodeCore.advance` (time) and the confirmations of the local upstream. Each
returns the effects that the caller must carry out, in order.
"""

from collections.abc import Callable, Iterable, Mapping

from returns.result import Failure, Result, Success

from papayatack.core.config_watch import ConfigWatch
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.inventory import Service
from papayatack.core.messages import (
    ConfigPosition,
    ControlMessage,
)
from papayatack.core.ownership.claims import Claims
from papayatack.core.ownership.context import Context, find_service_name
from papayatack.core.ownership.departure import Departure, DepartureStage
from papayatack.core.ownership.effects import (
    Effect,
    FinishNode,
    GrantShards,
)
from papayatack.core.ownership.fencing import Fencing
from papayatack.core.ownership.fold import ApplyResult, apply_record
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.lease_notifier import LeaseNotifier
from papayatack.core.ownership.membership import Membership
from papayatack.core.ownership.message_handler import MessageHandler
from papayatack.core.ownership.orphaned_leases import OrphanedLeases
from papayatack.core.ownership.owned_shards import OwnedShard, OwnedShards
from papayatack.core.ownership.record_reporter import RecordReporter
from papayatack.core.ownership.state import Member, OwnershipState
from papayatack.core.ownership.succession import replace_token_restarts
from papayatack.core.ownership.suspicions import Suspect, SuspicionExchange
from papayatack.core.ownership.timing import (
    LEASE_DURATION_S,
    compute_renew_interval_s,
)
from papayatack.core.ownership.witnessing import Witnessing
from papayatack.core.quarantine.verdict import Quarantine
from papayatack.core.records import (
    Announce,
    OwnershipRecord,
)

__all__ = ["NodeCore"]

UNAVAILABLE_RETRY_AFTER_S = 0.3
"""Retry-after time of refused requests."""


class NodeCore:
    """Protocol state of one node: its leases, the leases it witnesses and its shards.

    Times are in seconds of the event loop's clock.

    Args:
        announcement: Announcement to append; the record id and the superseded
            incarnation are filled in.
        state: Initial state, folded from the log or loaded from a snapshot.
        now: Current time.
        find_service: Looks up a service by name; returns ``None`` if it is unknown.
        lease_s: Duration of a lease in seconds, which must be the same on all nodes.
    """

    def __init__(
        self,
        *,
        announcement: Announce,
        state: OwnershipState,
        now: float,
        find_service: Callable[[str], Service | None],
        lease_s: float = LEASE_DURATION_S,
    ) -> None:
        self._lease_s = lease_s
        self._renew_interval_s = compute_renew_interval_s(lease_s)
        local_id = announcement.incarnation
        self.context = Context(
            incarnation=local_id,
            state=state,
            owned_shards=OwnedShards(state=state),
            fencing=Fencing(state=state, lease_s=lease_s),
            witnessing=Witnessing(incarnation=local_id, state=state, lease_s=lease_s),
            quarantine=Quarantine(logged=state.suspicions),
            find_service=find_service,
        )
        self.claims = Claims(context=self.context)
        self._membership = Membership(context=self.context, announcement=announcement)
        self._reporter = RecordReporter(context=self.context)
        self._orphaned_leases = OrphanedLeases(context=self.context, lease_s=lease_s)
        self._suspicions = SuspicionExchange(context=self.context)
        self._finished = False
        self._messages = MessageHandler(
            context=self.context,
            claims=self.claims,
            reporter=self._reporter,
            suspicions=self._suspicions,
        )
        self._exchange = self._messages.exchange
        self._notifier = LeaseNotifier(
            context=self.context, deliver=self._messages.deliver
        )
        self.departure = Departure(
            context=self.context, claims=self.claims, notifier=self._notifier
        )
        self.caught_up = False
        for lease in state.leases:
            self._apply_lease_entry(lease, now)

    @property
    def incarnation(self) -> IncarnationId:
        """Id of the local incarnation."""
        return self.context.incarnation

    @property
    def state(self) -> OwnershipState:
        """State folded from the ownership stream; callers must not modify it."""
        return self.context.state

    @property
    def config_watch(self) -> ConfigWatch:
        """Knows how old the configuration of this node may be."""
        return self._exchange.config

    def receive_config_position(
        self, sender: IncarnationId, position: ConfigPosition, now: float
    ) -> None:
        """Process how far another node's configuration reaches, and how old that is."""
        self._exchange.receive_config_position(
            sender, position.offset, position.age_us, now
        )
        self.config_watch.receive_speed(position, now)

    @property
    def peer_offsets(self) -> Mapping[str, int]:
        """Highest next offset of each stream that any other node has reported."""
        return self._exchange.peer_offsets

    @property
    def is_leaving(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.departure.is_shutting_down

    def apply_record(
        self, offset: int, record: OwnershipRecord | None, *, now: float
    ) -> tuple[ApplyResult, list[Effect]]:
        """Fold the record at ``offset``; ``None`` stands for a malformed record."""
        change = apply_record(self.context.state, offset, record)
        if record is not None and not change.effective:
            self.note_unwritten(record)
        for lease in change.leases:
            self._apply_lease_entry(lease, now)
        self._suspicions.note_logged(change.suspicions, now)
        self.claims.recheck(*change.shards)
        for shard, parent in change.split_or_merged:
            deadline_s = self.context.find_deadline_s(find_service_name(shard))
            self.context.owned_shards.note_overlap(shard, parent, now + deadline_s)
            if shard not in self.context.state.shards:
                self.context.owned_shards.note_merge(shard, parent, now)
        if change.members:
            self.context.fencing.prune()
            self.context.witnessing.prune()
            self._orphaned_leases.note_members(change.members)
            self._check_ended()
        self.claims.recheck_blocked()
        owned_shards = self.context.owned_shards
        split = [
            pair for pair in change.split_or_merged if pair[0] not in owned_shards.owned
        ]
        effects = self._complete_input(now)
        for shard, parent in split:
            owned_shards.note_split(shard, parent, now)
        return change, effects

    def note_unwritten(self, record: OwnershipRecord) -> None:
        """Process that a record was not appended, or without effect."""
        if record.writer == self.incarnation:
            self._membership.note_unwritten(record)

    def receive(
        self, sender: IncarnationId, message: ControlMessage, *, now: float
    ) -> list[Effect]:
        """Process a control message addressed to this incarnation."""
        self._messages.receive(message, sender, now)
        return self._complete_input(now)

    def advance(self, now: float) -> list[Effect]:
        """Perform the actions that are due at ``now``."""
        if not self._finished:
            self._renew_due(now)
            for holder in self._notifier.end_without_quorum(now):
                self._messages.handle_own_end(holder)
            if self.caught_up:
                self._membership.advance(now)
                self._orphaned_leases.advance(now)
            self._reporter.advance(now)
            self._suspicions.advance(now)
            self._exchange.query_config(now)
            self.departure.advance(now)
        return self._complete_input(now)

    def handle_suspension(self, now: float) -> list[Effect]:
        """Discard all witness promises after the VM was suspended.

        They were measured by a clock that may have stopped during the suspension.
        """
        for holder in self.context.holders.values():
            holder.discard_promises()
        self.config_watch.forget()
        self.context.emit_event("PROMISES_FORGOTTEN", "suspended")
        return self.advance(now)

    def start_departure(self, now: float) -> list[Effect]:
        """Start a graceful shutdown, which ends with a :class:`FinishNode` effect.

        From now on this node's promises as a witness are permanent, so that its end
        weakens no lease.
        """
        self._messages.announce_departure(now)
        self.departure.start(now)
        return self.advance(now)

    def attach_upstream(
        self,
        *,
        service: str,
        upstream: str,
        slots: int,
        connections: int,
        now: float,
    ) -> list[Effect]:
        """Set the upstream that runs beside this node.

        An empty ``service`` means that there is none.
        """
        self._membership.set_upstream(
            service=service, upstream=upstream, slots=slots, connections=connections
        )
        return self.advance(now)

    def evacuate_shards(self, now: float) -> list[Effect]:
        """Move all shards to other nodes because no local upstream can serve them."""
        self.departure.start(now, keeps_running=True)
        return self.advance(now)

    def stop_serving(self, now: float) -> list[Effect]:
        """Stop serving the shards that are left; their successors take over."""
        self.departure.stop_serving(now)
        return self.advance(now)

    def handle_upstream_restart(self, now: float) -> list[Effect]:
        """Grant all shards anew to an upstream that lost its grants in a restart.

        The new grants carry higher tokens than those issued before the restart.
        """
        self.context.upstream_restarts += 1
        owned_shards = self.context.owned_shards
        for owned in owned_shards.owned.values():
            owned.target_token = replace_token_restarts(
                owned.target_token, self.context.upstream_restarts
            )
            owned.confirmed_token = 0
            owned.is_requested = False
        self.claims.recheck(*owned_shards.owned)
        return self._complete_input(now)

    def authorize(
        self, shard: ShardId, now: float
    ) -> Result[tuple[OwnedShard, int], Refusal]:
        """Return the owned shard if a request for it may be sent to the upstream now.

        The number returned with it is the generation to pass to :meth:`finish`. Every
        success must be paired with exactly one call of :meth:`finish`.

        Returns:
            The owned shard and the generation, or a refusal of kind ``NOT_OWNER``,
            ``LEASE_EXPIRED`` or ``NO_OWNER`` (the upstream has not yet confirmed the
            grant).
        """
        found = self._find_owned_shard(shard, now)
        return found.map(
            lambda owned: (owned, self.context.owned_shards.begin_request(shard))
        )

    def find_obstacle(self, shard: ShardId, now: float) -> Refusal | None:
        """Return the reason to refuse requests for a shard now, if there is one."""
        return self._find_owned_shard(shard, now).swap().value_or(None)

    def _find_owned_shard(
        self, shard: ShardId, now: float
    ) -> Result[OwnedShard, Refusal]:
        owned = self.context.owned_shards.owned.get(shard)
        if owned is None:
            return _refuse(ErrorKind.NOT_OWNER)
        holder = owned.holder
        if holder.ended or now >= holder.valid_until_s:
            return _refuse(ErrorKind.LEASE_EXPIRED)
        if not owned.confirmed_token:
            return _refuse(ErrorKind.NO_OWNER)
        return Success(owned)

    def finish(self, shard: ShardId, generation: int, *, now: float) -> list[Effect]:
        """Record that an authorized request has ended."""
        owned_shards = self.context.owned_shards
        if owned_shards.finish_request(shard, generation) and owned_shards.draining:
            return self._complete_input(now)
        return []

    def renew_grant(self, shard: ShardId, token: int, *, now: float) -> list[Effect]:
        """Request a grant again because the upstream does not know it."""
        owned = self.context.owned_shards.owned.get(shard)
        if owned is None or owned.confirmed_token != token:
            return []
        owned.confirmed_token = 0
        owned.is_requested = False
        return self._complete_input(now)

    def confirm_grant(
        self, lease: LeaseId, tokens: dict[ShardId, int], *, done: bool, now: float
    ) -> list[Effect]:
        """Process the upstream's answer to a :class:`GrantShards` effect."""
        for shard, token in tokens.items():
            self.context.owned_shards.confirm_grant(lease, shard, token, done=done)
        return self._complete_input(now) if done else []

    def confirm_revoke(
        self,
        revocation_id: int,
        shards: tuple[ShardId, ...],
        *,
        done: bool,
        now: float,
        handovers: Mapping[ShardId, str] | None = None,
    ) -> list[Effect]:
        """Process the upstream's answer to a :class:`RevokeShards` effect."""
        handovers = handovers or {}
        for shard in shards:
            self.context.owned_shards.confirm_revocation(
                revocation_id, shard, done=done, handover=handovers.get(shard, "")
            )
        return self._complete_input(now) if done else []

    def report_crash(
        self, upstream: str, suspects: Iterable[Suspect], now: float
    ) -> list[Effect]:
        """Share which requests were in flight when the local upstream crashed."""
        self._suspicions.report_crash(upstream, suspects, now)
        return self._complete_input(now)

    def clear_suspicions(
        self, fingerprints: Iterable[str], request_id: str, now: float
    ) -> list[Effect]:
        """Share that requests have ended at an upstream, or that they are lifted."""
        self._suspicions.clear(fingerprints, request_id, now)
        return self._complete_input(now)

    def find_owner(self, shard: ShardId) -> Member | None:
        """Return the node that serves a shard, as far as this node knows."""
        entry = self.context.state.shards.get(shard)
        if entry is None:
            return None
        for lease in entry.current.leases:
            if not self.is_ended(lease):
                return self.context.state.members.get(lease.incarnation)
        return None

    def is_ended(self, lease: LeaseId) -> bool:
        """Return whether a lease has ended or is reported to have ended."""
        return (
            lease in self.context.reported_fenced
            or self.context.fencing.find_end(lease) is not None
            or not self.context.state.is_live(lease)
        )

    def count_reported_ends(self) -> int:
        """Return how many ends of leases are proved or reported to this node."""
        return len(self.context.reported_fenced) + self.context.fencing.count_ends()

    def _apply_lease_entry(self, lease: LeaseId, now: float) -> None:
        """Update the local protocol state from the lease's entry in the folded log."""
        entry = self.context.state.leases.get(lease)
        self.context.witnessing.update(lease, now)
        if entry is None:
            return
        if entry.end is not None:
            self.context.fencing.record_logged_end(lease, entry.end, now)
            self.context.reported_fenced.discard(lease)
            self.claims.recheck_lease(lease)
        if lease.incarnation != self.context.incarnation:
            return
        holder = self.context.holders.get(lease)
        if holder is None:
            holder = LeaseHolder(
                lease=lease,
                witnesses=entry.witnesses,
                now=now,
                lease_s=self._lease_s,
            )
            self.context.holders[lease] = holder
        if entry.end is not None:
            holder.end()

    def _check_ended(self) -> None:
        member = self.context.state.members.get(self.context.incarnation)
        serving = self.departure.stage is DepartureStage.SERVING
        if member is None or member.ended is None or self._finished or not serving:
            return
        self._finished = True
        self.context.emit_event(
            "INCARNATION_ENDED", str(member.ended), self.context.incarnation
        )
        self.context.effects.append(FinishNode(resigned=False))

    def _renew_due(self, now: float) -> None:
        if self.departure.stage in (
            DepartureStage.FENCING,
            DepartureStage.RETIRING,
            DepartureStage.FINISHED,
        ):
            return
        floor = self.context.owned_shards.find_floor()
        for holder in self.context.holders.values():
            if holder.ended:
                continue
            is_late = now - holder.last_sent_s >= self._renew_interval_s
            if is_late or self._is_floor_awaited(holder.sent_floor, floor):
                self._renew(holder, floor, now)

    def _is_floor_awaited(self, sent: int, floor: int) -> bool:
        """Return whether a shard waits for a floor above that of the last renewal."""
        return floor > sent and any(
            sent < awaited <= floor for awaited in self.claims.list_awaited_floors()
        )

    def _renew(self, holder: LeaseHolder, floor: int, now: float) -> None:
        was_live, confirmed = holder.is_live(now), holder.confirmed_floor
        message = holder.renew(
            now=now,
            floor=floor,
            config_offset=self.config_watch.offset,
            ownership_offset=self.context.state.next_offset,
            config_age_us=self._exchange.find_config_age_us(now),
        )
        for witness in holder.witnesses:
            if witness not in holder.departed:
                self.context.send(witness, holder.address(message, witness))
        if holder.renews_alone:
            self._messages.follow_renewal(
                holder, was_live=was_live, floor=confirmed, now=now
            )

    def _complete_input(self, now: float) -> list[Effect]:
        for lease in self.context.witnessing.collect_lapsed(now):
            self._notifier.notify_lapse(lease, now)
        self._messages.send_fences(now)
        self._exchange.query_missing(now)
        self.claims.evaluate(now)
        self.context.effects.extend(self.context.owned_shards.collect_revocations(now))
        if not self._finished and self.claims.has_waiting:
            self._renew_due(now)
            self.claims.recheck_blocked()
            self.claims.evaluate(now)
        self._collect_grants(now)
        effects = self.context.effects
        self.context.effects = []
        return effects

    def _collect_grants(self, now: float) -> None:
        for lease, tokens in self.context.owned_shards.collect_grants(now).items():
            owned_shards = self.context.owned_shards.owned
            self.context.effects.append(
                GrantShards(
                    lease=lease,
                    tokens=tokens,
                    until_s=self.context.holders[lease].valid_until_s,
                    decided_s=now,
                    handovers={
                        shard: owned_shards[shard].handover
                        for shard in tokens
                        if owned_shards[shard].handover
                    },
                )
            )


def _refuse(kind: ErrorKind) -> Failure[Refusal]:
    return Failure(Refusal(kind=kind, retry_after_s=UNAVAILABLE_RETRY_AFTER_S))
