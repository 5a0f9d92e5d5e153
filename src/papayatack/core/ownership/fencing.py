"""Collecting proof that another node's lease has ended."""

import dataclasses

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.messages import FenceReply
from papayatack.core.ownership.lease_holder import find_kth_largest
from papayatack.core.ownership.state import EndKind, OwnershipState, RecordedEnd
from papayatack.core.ownership.succession import LeaseEnd
from papayatack.core.ownership.timing import (
    CLOCK_RATE_BOUND,
    LEASE_DURATION_S,
    QUERY_INTERVAL_S,
    compute_fence_quorum,
    compute_promise_quorum,
)

__all__ = ["Fencing"]

LAPSE_VALID_S = 2.5
"""Age at which a witness's report that a lease lapsed no longer counts."""

MICROSECONDS_PER_S = 1_000_000
UNPROVEN_ENDS = frozenset({EndKind.SUPERSEDED, EndKind.LOST})
"""Kinds of end that do not prove that the grants under the lease have expired."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _FenceRound:
    replies: dict[IncarnationId, FenceReply] = dataclasses.field(default_factory=dict)
    due_s: float


class Fencing:
    """Fence replies that one node collects and the proofs it holds, by lease.

    Args:
        state: State folded from the ownership stream.
        lease_s: Longest time in seconds for which the grants of a lease remain valid
            after the last renewal of its holder.
        delivery_s: Longest time in seconds that a grant takes to reach an upstream,
            which counts the grant's duration from its arrival.
    """

    def __init__(
        self,
        *,
        state: OwnershipState,
        lease_s: float = LEASE_DURATION_S,
        delivery_s: float = 0.0,
    ) -> None:
        self._lease_s = lease_s
        self._delivery_s = delivery_s
        self._state = state
        self._lapses: dict[LeaseId, dict[IncarnationId, float]] = {}
        self._rounds: dict[LeaseId, _FenceRound] = {}
        self._ends: dict[LeaseId, LeaseEnd] = {}

    def find_end(self, lease: LeaseId) -> LeaseEnd | None:
        """Return the proof that a lease has ended.

        The local state may not have reached the floor of the lease yet.
        """
        return self._ends.get(lease)

    def count_ends(self) -> int:
        """Return how many leases are proved to have ended."""
        return len(self._ends)

    def record_lapse(self, lease: LeaseId, witness: IncarnationId, now: float) -> bool:
        """Record that the lease expired at a witness; return whether fencing starts.

        Fences are permanent, so a single witness that misses renewals must not cause
        any: fencing starts when as many witnesses have reported the expiry as are
        needed to end the lease.
        """
        entry = self._state.leases.get(lease)
        if entry is None or witness not in entry.witnesses or lease in self._ends:
            return False
        lapses = self._lapses.setdefault(lease, {})
        lapses[witness] = now
        recent = [seen for seen in lapses.values() if now - seen < LAPSE_VALID_S]
        if (
            len(recent) < compute_fence_quorum(len(entry.witnesses))
            or lease in self._rounds
        ):
            return False
        self._rounds[lease] = _FenceRound(due_s=now)
        return True

    def record_logged_end(
        self, lease: LeaseId, end_record: RecordedEnd, now: float
    ) -> None:
        """Record the end of a lease that was read from the log.

        An end that witnesses have proved comes after the expiry of their promises.
        Other ends, such as a supersession, may come while grants to the upstream are
        still valid, so a full lease duration must pass before a successor serves.
        """
        wait_s = self._find_wait_s(drained=end_record.drained)
        if end_record.kind in UNPROVEN_ENDS:
            wait_s = self._lease_s * (1 + CLOCK_RATE_BOUND) + self._delivery_s
        end = LeaseEnd(
            floor=end_record.floor,
            confirmed_floor=0,
            grants_expire_s=now + wait_s,
            drained=end_record.drained,
        )
        self._ends.setdefault(lease, end)
        self._rounds.pop(lease, None)
        self._lapses.pop(lease, None)

    def _find_wait_s(self, *, drained: bool) -> float:
        """Return how long after the end of a lease its grants may still be valid.

        A holder that has finished its requests before the end sends no more grants.
        """
        return 0.0 if drained else self._delivery_s

    def accept(
        self, witness: IncarnationId, reply: FenceReply, now: float
    ) -> LeaseEnd | None:
        """Process a fence reply of a witness or of the holder itself.

        Returns:
            The proof that the lease has ended if this reply completes it.
        """
        lease_round = self._rounds.get(reply.lease)
        entry = self._state.leases.get(reply.lease)
        if witness == reply.lease.incarnation:
            return self._accept_holder_reply(reply, now)
        if lease_round is None or entry is None or witness not in entry.witnesses:
            return None
        if not reply.fenced:
            remaining_s = reply.remaining_us / MICROSECONDS_PER_S
            lease_round.due_s = min(lease_round.due_s, now + max(remaining_s, 0.01))
            return None
        lease_round.replies[witness] = reply
        replies = lease_round.replies.values()
        count = len(entry.witnesses)
        if len(replies) < compute_fence_quorum(count):
            return None
        floors = [reply.floor for reply in replies]
        confirmed = find_kth_largest(
            list(floors), compute_promise_quorum(count), default=0
        )
        drained = any(reply.drained for reply in replies)
        end = LeaseEnd(
            floor=max(floors),
            confirmed_floor=int(confirmed),
            grants_expire_s=now + self._find_wait_s(drained=drained),
            drained=drained,
        )
        self._ends[reply.lease] = end
        del self._rounds[reply.lease]
        self._lapses.pop(reply.lease, None)
        return end

    def _accept_holder_reply(self, reply: FenceReply, now: float) -> LeaseEnd | None:
        """Process the reply of a holder that has permanently ended its own lease."""
        if not reply.fenced or reply.lease in self._ends:
            return None
        if reply.lease not in self._state.leases:
            return None
        end = LeaseEnd(
            floor=reply.floor,
            confirmed_floor=0,
            grants_expire_s=now + self._find_wait_s(drained=reply.drained),
            drained=reply.drained,
        )
        self._ends[reply.lease] = end
        self._rounds.pop(reply.lease, None)
        self._lapses.pop(reply.lease, None)
        return end

    def collect_due(
        self, now: float
    ) -> list[tuple[LeaseId, tuple[IncarnationId, ...]]]:
        """Return the leases to fence now, each with the witnesses still to be asked."""
        due = []
        for lease, lease_round in list(self._rounds.items()):
            entry = self._state.leases.get(lease)
            if entry is None:
                del self._rounds[lease]
                continue
            if lease_round.due_s <= now:
                lease_round.due_s = now + QUERY_INTERVAL_S
                asked = [
                    name for name in entry.witnesses if name not in lease_round.replies
                ]
                due.append((lease, tuple(asked)))
        return due

    def find_next_due(self) -> float:
        """Return the time at which :meth:`collect_due` next returns a lease."""
        return min(
            (entry.due_s for entry in self._rounds.values()), default=float("inf")
        )

    def list_suspects(self, now: float) -> set[IncarnationId]:
        """Return the holders whose lease has ended or recently lapsed at a witness.

        A holder that has a newer live lease is left out.
        """
        lapsed = [
            lease
            for lease, lapses in self._lapses.items()
            if any(now - seen < LAPSE_VALID_S for seen in lapses.values())
        ]
        return {
            lease.incarnation
            for lease in (*lapsed, *self._ends)
            if self._state.find_live_lease(lease.incarnation) in (lease, None)
        }

    def list_unapplied_ends(self, next_offset: int) -> list[LeaseId]:
        """Return the ended leases whose floor lies beyond ``next_offset``."""
        return [lease for lease, end in self._ends.items() if end.floor > next_offset]

    def prune(self) -> None:
        """Forget the leases that are no longer in the folded state."""
        for held in (self._lapses, self._ends):
            for lease in [lease for lease in held if lease not in self._state.leases]:
                del held[lease]
