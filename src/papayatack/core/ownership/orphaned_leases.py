"""Ends leases that no witness can renew or fence any more."""

from collections.abc import Iterable

from papayatack.core.identity import IncarnationId, LeaseId, parse_peer_address
from papayatack.core.messages import Fence
from papayatack.core.ownership.context import Context
from papayatack.core.ownership.selection import rank_planners
from papayatack.core.ownership.state import EndKind, LeaseEntry
from papayatack.core.ownership.timing import APPEND_RETRY_INTERVAL_S, CLOCK_RATE_BOUND
from papayatack.core.records import Fenced

__all__ = ["OrphanedLeases"]

RANK_DELAY_S = 0.5
"""Delay of a record for each planner that ranks before this node."""

MAX_RANK_DELAY_S = 5.0


class OrphanedLeases:
    """Records the end of leases whose witnesses are gone: nobody can fence them.

    A witness is gone when it has retired, or when the log names a newer process at its
    address. A holder needs a promise of a witness that has not left, so that its lease
    runs out one lease duration after the last witness is known to be gone. The record
    of the end follows all records that the holder can have applied until then. If this
    node is the last witness, it fences the lease first.

    Args:
        context: The node's state.
        lease_s: Duration of a lease in seconds.
    """

    def __init__(self, *, context: Context, lease_s: float) -> None:
        self._context = context
        self._wait_s = lease_s * (1 + CLOCK_RATE_BOUND)
        self._since_s: dict[LeaseId, float] = {}
        self._retired: set[IncarnationId] = set()
        self._is_outdated = True

    def note_members(self, changed: Iterable[IncarnationId]) -> None:
        """Look for orphaned leases again, after members were announced or ended."""
        self._is_outdated = True
        self._retired.update(filter(self._has_retired, changed))

    def _has_retired(self, name: IncarnationId) -> bool:
        member = self._context.state.members.get(name)
        return member is not None and member.ended is EndKind.RETIRED

    def advance(self, now: float) -> None:
        """Append the records that are due."""
        if self._is_outdated:
            self._is_outdated = False
            self._forget_retired()
            self._since_s = {
                lease: self._since_s.get(lease, now) for lease in self._find()
            }
        for lease, since_s in list(self._since_s.items()):
            if not self._context.state.is_live(lease):
                del self._since_s[lease]
            elif not self._is_fenced_here(lease, now):
                self._since_s[lease] = now
            elif now >= since_s + self._wait_s + self._find_delay_s(lease):
                self._append_end(lease, now)

    def _forget_retired(self) -> None:
        """Forget the retired nodes that are witnesses of no known lease."""
        leases = self._context.state.leases.values()
        self._retired &= {name for entry in leases for name in entry.witnesses}

    def _is_fenced_here(self, lease: LeaseId, now: float) -> bool:
        """Fence a lease as its last witness; tell whether this node promises nothing.

        True as well if this node is none of its witnesses.
        """
        own = self._context.incarnation
        if own not in self._context.state.leases[lease].witnesses:
            return True
        reply = self._context.witnessing.fence(Fence(lease=lease), now)
        return reply is not None and reply.fenced

    def _find(self) -> list[LeaseId]:
        return [
            lease
            for lease, entry in self._context.state.leases.items()
            if entry.end is None
            and lease.incarnation != self._context.incarnation
            and self._is_orphaned(entry)
        ]

    def _is_orphaned(self, entry: LeaseEntry) -> bool:
        others = [name for name in entry.witnesses if name != self._context.incarnation]
        return bool(others) and all(map(self._is_gone, others))

    def _is_gone(self, witness: IncarnationId) -> bool:
        """Tell whether a witness promises nothing any more.

        One that was declared lost may still run where the log does not reach it.
        """
        state = self._context.state
        current = state.incarnation_by_address.get(parse_peer_address(witness))
        if current is not None and current != witness:
            return True
        return witness in self._retired or self._has_retired(witness)

    def _find_delay_s(self, lease: LeaseId) -> float:
        """Return the delay by rank among the planners whose leases are not orphaned.

        The last witness does not wait, since only it knows that it has fenced.
        """
        if self._context.incarnation in self._context.state.leases[lease].witnesses:
            return 0.0
        orphaned = {lease.incarnation for lease in self._since_s}
        planners = rank_planners(self._context.state, avoid=orphaned)
        own = self._context.incarnation
        rank = planners.index(own) if own in planners else len(planners)
        return min(rank * RANK_DELAY_S, MAX_RANK_DELAY_S)

    def _append_end(self, lease: LeaseId, now: float) -> None:
        key = f"fenced {lease}"
        if not self._context.restart_if_due(key, now, APPEND_RETRY_INTERVAL_S):
            return
        self._context.emit_event("LEASE_FENCED", "orphaned", lease)
        record = Fenced(
            record_id=self._context.make_record_id(),
            writer=self._context.incarnation,
            lease=lease,
            floor=self._context.state.next_offset,
        )
        self._context.append(record)
