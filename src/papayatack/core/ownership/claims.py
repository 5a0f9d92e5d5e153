"""Decides which shards a node acquires, keeps and releases."""

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.messages import LogQuery, Release, ReleaseQuery
from papayatack.core.ownership.context import Context, find_service_name
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.owned_shards import PreviousOwner
from papayatack.core.ownership.state import ShardEntry
from papayatack.core.ownership.succession import (
    Claim,
    LeaseEnd,
    examine_claim,
    make_token,
)
from papayatack.core.ownership.timing import QUERY_INTERVAL_S
from papayatack.core.records import OWNERSHIP_STREAM

__all__ = ["Claims"]

MIN_REMAINING_SHARE = 0.5
"""Share of a lease's duration that must remain before shards transfer to it."""

MAX_PENDING_QUERIES = 20_000
"""Upper limit of unanswered queries from other nodes."""

MAX_SHARDS_PER_MESSAGE = 500
"""Upper limit of shards named in one query or release."""

MAX_SHARDS_LOGGED = 4
"""Upper limit of shards named in one log event."""


class Claims:
    """Decides on acquiring, keeping and releasing the shards assigned to this node.

    The chain of a shard lists the leases to which it is assigned: that of the owner,
    then those of its successors in order.

    Implements :class:`papayatack.core.ownership.succession.Evidence`.
    """

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._dirty: set[ShardId] = set()
        self._blocked: dict[ShardId, Claim] = {}
        self._due_s: dict[ShardId, float] = {}
        self._released: dict[ShardId, dict[LeaseId, int]] = {}
        self._handovers: dict[ShardId, str] = {}
        self._queries: dict[tuple[LeaseId, ShardId], tuple[int, IncarnationId]] = {}
        self._query_due_s = float("inf")
        self._now = float("-inf")
        self.is_stopping = False

    def find_end(self, lease: LeaseId) -> LeaseEnd | None:
        """Return the proof that a lease has ended, once its floor is applied here."""
        holder = self._context.holders.get(lease)
        if holder is not None:
            return _describe_own_end(holder) if holder.ended else None
        end = self._context.fencing.find_end(lease)
        if end is None or end.floor > self._context.state.next_offset:
            return None
        return end

    def has_released(self, lease: LeaseId, shard: ShardId, epoch: int) -> bool:
        """Tell whether the holder released the shard to the chain of ``epoch``."""
        holder = self._context.holders.get(lease)
        if holder is not None:
            return not holder.ended and self._context.owned_shards.can_release(
                holder, shard, epoch, now=self._now, to_self=True
            )
        return self._released.get(shard, {}).get(lease, 0) >= epoch

    def recheck(self, *shards: ShardId) -> None:
        """Schedule these shards for evaluation."""
        self._dirty.update(shards)

    def recheck_lease(self, lease: LeaseId) -> None:
        """Schedule all shards whose chains name the lease for evaluation."""
        self._dirty.update(self._context.state.shards_by_lease.get(lease, ()))

    def recheck_blocked(self) -> None:
        """Schedule all blocked shards for evaluation."""
        self._dirty.update(self._blocked)

    def accept_release(self, message: Release, now: float) -> None:
        """Process a release of shards by a previous holder."""
        self._query_newer_records(
            message.lease.incarnation, message.shards, message.epochs, now
        )
        for shard, epoch in zip(message.shards, message.epochs, strict=False):
            entry = self._context.state.shards.get(shard)
            if entry is None or not entry.previous:
                continue
            released = self._released.setdefault(shard, {})
            released[message.lease] = max(released.get(message.lease, 0), epoch)
            self._dirty.add(shard)
        for shard, handover in zip(message.shards, message.handovers, strict=False):
            if handover and shard in self._released:
                self._handovers[shard] = handover

    def accept_query(
        self, sender: IncarnationId, message: ReleaseQuery, now: float
    ) -> None:
        """Record that a new holder waits for this node to release shards."""
        if message.lease not in self._context.holders:
            return
        self._query_newer_records(sender, message.shards, message.epochs, now)
        for shard, epoch in zip(message.shards, message.epochs, strict=False):
            if len(self._queries) >= MAX_PENDING_QUERIES:
                self._context.emit_event(
                    "PEER_MESSAGE_REFUSED", "too many queries", sender
                )
                return
            self._queries[message.lease, shard] = (epoch, sender)

    def _query_newer_records(
        self,
        sender: IncarnationId,
        shards: tuple[ShardId, ...],
        epochs: tuple[int, ...],
        now: float,
    ) -> None:
        """Query the assignments that another node has applied and this node lacks.

        The answer is large, so the query is not repeated within
        :data:`QUERY_INTERVAL_S` while the answer is on its way.
        """
        entries = (self._context.state.shards.get(shard) for shard in shards)
        own_epochs = [
            entry.current.epoch if entry is not None else 0 for entry in entries
        ]
        lacks = any(
            own_epoch < epoch
            for own_epoch, epoch in zip(own_epochs, epochs, strict=False)
        )
        next_offset = self._context.state.next_offset
        key = f"records from {next_offset}"
        if lacks and self._context.restart_if_due(key, now, QUERY_INTERVAL_S):
            query = LogQuery(stream=OWNERSHIP_STREAM, offset=next_offset)
            self._context.send(sender, query)

    @property
    def has_waiting(self) -> bool:
        """Whether a shard is blocked on this node or awaited by another."""
        return bool(self._queries or self._blocked)

    def list_awaited_floors(self) -> set[int]:
        """Return the floors that this node may have to confirm for a pending transfer.

        A floor is the offset before which a node has applied all ownership records and
        drained every shard that they took from it. The result has the start offsets of
        the chains of shards that this node or another one is waiting to acquire.
        """
        waiting = [(shard, 0) for shard in self._blocked]
        waiting.extend(
            (shard, epoch) for (_, shard), (epoch, _) in self._queries.items()
        )
        shards = self._context.state.shards
        return {
            chain.start_offset
            for shard, epoch in waiting
            if shard in shards
            for chain in shards[shard].list_chains()
            if chain.epoch >= epoch
        }

    def evaluate(self, now: float) -> None:
        """Evaluate scheduled shards until none is left; send what is due."""
        self._now = now
        for shard in [shard for shard, due in self._due_s.items() if due <= now]:
            del self._due_s[shard]
            self._dirty.add(shard)
        while self._dirty:
            self._evaluate_shard(self._dirty.pop(), now)
        self._answer_queries()
        if self._query_due_s <= now:
            self._send_queries(now)

    def find_next_due(self) -> float:
        """Return the time at which :meth:`evaluate` is next due."""
        return min(min(self._due_s.values(), default=float("inf")), self._query_due_s)

    def _evaluate_shard(self, shard: ShardId, now: float) -> None:
        previous = self._blocked.pop(shard, None)
        self._due_s.pop(shard, None)
        entry = self._context.state.shards.get(shard)
        if entry is None:
            self._stop_serving(shard, drains=True)
            return
        if not entry.previous:
            self._released.pop(shard, None)
            self._handovers.pop(shard, None)
        holder = self._find_own_holder(entry)
        if holder is None or self.is_stopping:
            self._stop_serving(shard, drains=True)
            self._queue_release(shard, entry)
            return
        claim = examine_claim(shard, entry, holder.lease, self)
        if not claim.is_clear:
            self._block(shard, claim, previous, now)
            return
        ready_s = claim.ready_s
        if claim.undrained:
            ready_s += self._context.find_overrun_s(find_service_name(shard))
        if now < ready_s and shard not in self._context.owned_shards.owned:
            self._due_s[shard] = ready_s
            return
        if self._must_confirm(shard, entry, holder):
            self._blocked[shard] = claim
            return
        self._acquire(shard, entry, holder)

    def _must_confirm(
        self, shard: ShardId, entry: ShardEntry, holder: LeaseHolder
    ) -> bool:
        """Tell whether the floor must be confirmed before the new epoch is served.

        A holder that keeps a shard continues under the old epoch or token until no
        successor can fence it without learning of the new one, because epochs and
        tokens must never decrease.
        """
        if holder.confirmed_floor >= entry.current.start_offset:
            return False
        if any(holder.lease in chain.leases for chain in entry.previous):
            return True
        owned = self._context.owned_shards.owned.get(shard)
        return (
            owned is not None
            and owned.holder is holder
            and owned.epoch == entry.current.epoch
            and owned.target_token < self._make_token(entry, holder)
        )

    def _make_token(self, entry: ShardEntry, holder: LeaseHolder) -> int:
        """Return the token under which an own lease serves a shard."""
        position = entry.current.leases.index(holder.lease)
        restarts = self._context.upstream_restarts
        return make_token(entry.current.start_offset, position, restarts)

    def _find_own_holder(self, entry: ShardEntry) -> LeaseHolder | None:
        for lease in entry.current.leases:
            holder = self._context.holders.get(lease)
            if holder is not None and not holder.ended:
                return holder
        return None

    def _block(
        self, shard: ShardId, claim: Claim, previous: Claim | None, now: float
    ) -> None:
        if not claim.predecessors or self._lacks_records(claim.predecessors):
            self._blocked[shard] = claim
        holders = self._context.holders
        is_own = all(lease in holders for lease, _ in claim.holders)
        if is_own and not claim.predecessors:
            if self._should_keep(shard, now):
                return
            if shard in self._context.owned_shards.owned:
                self._dirty.add(shard)
        self._stop_serving(shard, drains=bool(claim.predecessors) or not is_own)
        is_unchanged = previous is not None and previous.holders == claim.holders
        if claim.holders and not claim.predecessors and not is_unchanged:
            self._query_due_s = min(self._query_due_s, now)

    def _should_keep(self, shard: ShardId, now: float) -> bool:
        """Tell whether to keep serving a shard under an older lease for now.

        The newer lease must have enough time left and must be able to acquire the shard
        at once, so that it takes over what the upstream holds without a release.
        """
        entry = self._context.state.shards[shard]
        owned = self._context.owned_shards.owned.get(shard)
        newest = self._find_own_holder(entry)
        if owned is None or newest is None or owned.holder is newest:
            return False
        has_time_left = (
            newest.valid_until_s - now >= MIN_REMAINING_SHARE * newest.lease_s
        )
        is_confirmed = owned.holder.confirmed_floor >= entry.current.start_offset
        return owned.holder.is_live(now) and not (has_time_left and is_confirmed)

    def _queue_release(self, shard: ShardId, entry: ShardEntry) -> None:
        """Queue the release of a formerly served shard before its new owner queries it.

        The new owner may learn of the assignment from this release.
        """
        draining = self._context.owned_shards.draining.get(shard)
        if draining is None or draining.holder.ended or not entry.current.leases:
            return
        owner = entry.current.leases[0].incarnation
        key = (draining.holder.lease, shard)
        if owner != self._context.incarnation and entry.current.epoch > 0:
            self._queries.setdefault(key, (entry.current.epoch, owner))

    def _lacks_records(self, predecessors: tuple[LeaseId, ...]) -> bool:
        """Tell whether fenced predecessors had applied records that this node lacks."""
        ends = (self._context.fencing.find_end(lease) for lease in predecessors)
        return any(end is not None for end in ends)

    def _stop_serving(self, shard: ShardId, *, drains: bool) -> None:
        owned = self._context.owned_shards.owned.get(shard)
        was_served = self._context.owned_shards.stop_serving(shard, drains=drains)
        if was_served and owned is not None:
            self._context.emit_event(
                "SHARD_STOPPED",
                subject=shard,
                token=owned.target_token,
                position=self._context.state.next_offset,
                drains=drains,
            )

    def _acquire(self, shard: ShardId, entry: ShardEntry, holder: LeaseHolder) -> None:
        current = entry.current
        position = current.leases.index(holder.lease)
        token = self._make_token(entry, holder)
        owned = self._context.owned_shards.owned.get(shard)
        if owned is None or owned.target_token != token:
            self._log_taken(shard, entry, holder, token)
        self._context.owned_shards.acquire(
            shard,
            holder,
            current.epoch,
            token,
            now=self._now,
            previous_owner=self._find_previous_owner(shard, entry, holder),
            is_first=current.epoch == 1 and position == 0,
            handover=self._handovers.get(shard, ""),
        )

    def _log_taken(
        self, shard: ShardId, entry: ShardEntry, holder: LeaseHolder, token: int
    ) -> None:
        """Log the evidence that allows this node to serve a shard under a token."""
        leases = [
            (chain, lease)
            for chain in entry.list_chains()
            for lease in chain.leases
            if lease not in self._context.holders
        ]
        proofs = [
            f"{chain.epoch} {lease.incarnation}/{lease.term}: "
            + self._describe_proof(shard, lease)
            for chain, lease in leases
        ]
        self._context.emit_event(
            "SHARD_TAKEN",
            subject=shard,
            epoch=entry.current.epoch,
            since=entry.current.start_offset,
            token=token,
            term=holder.lease.term,
            position=self._context.state.next_offset,
            others=proofs,
        )

    def _describe_proof(self, shard: ShardId, lease: LeaseId) -> str:
        released = self._released.get(shard, {}).get(lease)
        if released is not None:
            return f"released to {released}"
        end = self.find_end(lease)
        if end is None:
            return "no end known"
        return f"ended at {end.floor}, confirmed {end.confirmed_floor}"

    def _find_previous_owner(
        self, shard: ShardId, entry: ShardEntry, holder: LeaseHolder
    ) -> PreviousOwner | None:
        """Return the node that alone can have served a shard last and has released it.

        Every lease before it in the chain must have ended without knowing of the
        chain's replacement, so that the node that released the shard served after them.
        """
        if len(entry.previous) != 1 or entry.current.leases[0] != holder.lease:
            return None
        (chain,) = entry.previous
        released = self._released.get(shard, {})
        for lease in chain.leases:
            if lease in self._context.holders:
                return None
            if released.get(lease, 0) >= entry.current.epoch:
                return PreviousOwner(incarnation=lease.incarnation, epoch=chain.epoch)
            end = self.find_end(lease)
            if end is None or end.confirmed_floor >= entry.current.start_offset:
                return None
        return None

    def _send_queries(self, now: float) -> None:
        self._query_due_s = float("inf")
        queries: dict[tuple[LeaseId, LeaseId], list[tuple[ShardId, int]]] = {}
        for shard, claim in self._blocked.items():
            holder = self._find_own_holder(self._context.state.shards[shard])
            if claim.predecessors or holder is None:
                continue
            for lease, epoch in claim.holders:
                if lease not in self._context.holders:
                    key = (holder.lease, lease)
                    queries.setdefault(key, []).append((shard, epoch))
        for (asker, lease), entries in queries.items():
            self._query_due_s = now + QUERY_INTERVAL_S
            for start in range(0, len(entries), MAX_SHARDS_PER_MESSAGE):
                part = entries[start : start + MAX_SHARDS_PER_MESSAGE]
                message = ReleaseQuery(
                    asker=asker,
                    lease=lease,
                    shards=tuple(shard for shard, _ in part),
                    epochs=tuple(epoch for _, epoch in part),
                )
                self._context.send(lease.incarnation, message)

    def _answer_queries(self) -> None:
        answers: dict[tuple[LeaseId, IncarnationId], list[tuple[ShardId, int]]] = {}
        for (lease, shard), (epoch, asker) in list(self._queries.items()):
            holder = self._context.holders.get(lease)
            if holder is None or holder.ended:
                del self._queries[lease, shard]
            elif self._context.owned_shards.can_release(
                holder, shard, epoch, now=self._now
            ):
                del self._queries[lease, shard]
                answers.setdefault((lease, asker), []).append((shard, epoch))
        for (lease, asker), entries in answers.items():
            message = Release(
                lease=lease,
                shards=tuple(shard for shard, _ in entries),
                epochs=tuple(epoch for _, epoch in entries),
                handovers=tuple(
                    self._context.owned_shards.handovers.get(shard, "")
                    for shard, _ in entries
                ),
            )
            self._context.send(asker, message)
            self._log_released(message, asker)

    def _log_released(self, message: Release, recipient: IncarnationId) -> None:
        holder = self._context.holders[message.lease]
        self._context.emit_event(
            "SHARDS_RELEASED",
            subject=message.lease,
            recipient=recipient,
            shards=message.shards[:MAX_SHARDS_LOGGED],
            epochs=message.epochs[:MAX_SHARDS_LOGGED],
            count=len(message.shards),
            floor=holder.confirmed_floor,
        )


def _describe_own_end(holder: LeaseHolder) -> LeaseEnd:
    """Return the end of an own lease; this process has applied all its records."""
    return LeaseEnd(
        floor=0,
        confirmed_floor=holder.confirmed_floor,
        grants_expire_s=float("-inf"),
        drained=True,
    )
