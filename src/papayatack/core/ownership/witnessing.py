"""Promises and fences of the leases that one node witnesses."""

import dataclasses

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.messages import Fence, FenceReply, Renew
from papayatack.core.ownership.promise import (
    Promise,
    fence_promise,
    make_permanent,
    renew_promise,
    start_promise,
)
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.ownership.timing import (
    LAPSE_RESEND_INTERVALS_S,
    LEASE_DURATION_S,
    MAX_UNACKNOWLEDGED_ROUNDS,
)

__all__ = ["Witnessing"]

MICROSECONDS_PER_S = 1_000_000


@dataclasses.dataclass(slots=True, kw_only=True)
class _LapseNotice:
    due_s: float
    count: int = 0


class Witnessing:
    """Promises that one node makes as a witness, by lease.

    The node makes promises only for leases whose admission it has folded and which name
    it as a witness. The folded state retains the end of leases that are forgotten here.

    Args:
        incarnation: Id of the local incarnation.
        state: State folded from the ownership stream.
        lease_s: Duration of a promise in seconds.

    Attributes:
        is_leaving: Whether this node is shutting down.
    """

    def __init__(
        self,
        *,
        incarnation: IncarnationId,
        state: OwnershipState,
        lease_s: float = LEASE_DURATION_S,
    ) -> None:
        self._lease_s = lease_s
        self._incarnation = incarnation
        self._state = state
        self.is_leaving = False
        self._promises: dict[LeaseId, Promise] = {}
        self._notices: dict[LeaseId, _LapseNotice] = {}

    def update(self, lease: LeaseId, now: float) -> None:
        """Adopt, end or forget a lease according to the folded state.

        The floor stays as reported by the holder, even when the log records a higher
        one: claimants take it as proof that nobody else can have fenced the lease
        with a lower floor.
        """
        entry = self._state.leases.get(lease)
        if entry is None or self._incarnation not in entry.witnesses:
            self._promises.pop(lease, None)
            self._notices.pop(lease, None)
            return
        promise = self._promises.get(lease)
        if promise is None:
            promise = start_promise(now=now, duration_s=self._lease_s)
            self._notices[lease] = _LapseNotice(due_s=promise.expires_s)
        if entry.end is not None and not promise.is_permanent:
            promise = dataclasses.replace(
                promise,
                fenced=True,
                drained=promise.drained or entry.end.drained,
            )
            self._notices.pop(lease, None)
        self._promises[lease] = promise

    def leave(self, now: float) -> list[LeaseId]:
        """Make the promises that have not expired permanent; return their leases."""
        self.is_leaving = True
        kept = [
            lease
            for lease, promise in self._promises.items()
            if now < promise.expires_s and not promise.fenced
        ]
        for lease in kept:
            self._promises[lease] = make_permanent(self._promises[lease])
            self._notices.pop(lease, None)
        return kept

    def prune(self) -> None:
        """Forget the leases that are no longer in the folded state."""
        for lease in [
            lease for lease in self._promises if lease not in self._state.leases
        ]:
            del self._promises[lease]
            self._notices.pop(lease, None)

    def renew(self, message: Renew, now: float) -> tuple[int, bool]:
        """Process a renewal; the promise of a node that is leaving is permanent.

        Returns:
            Duration of the promise in microseconds, 0 for none, and whether the lease
            is fenced.
        """
        promise = self._promises.get(message.lease)
        if promise is None:
            return 0, self._has_been_dropped(message.lease)
        if message.round - message.heard > MAX_UNACKNOWLEDGED_ROUNDS:
            return 0, promise.fenced
        promise = renew_promise(
            promise, now=now, duration_s=self._lease_s, floor=message.floor
        )
        if self.is_leaving and not promise.fenced:
            promise = make_permanent(promise)
        self._promises[message.lease] = promise
        if promise.fenced:
            return 0, True
        self._notices.pop(message.lease, None)
        if not promise.is_permanent:
            self._notices[message.lease] = _LapseNotice(due_s=promise.expires_s)
        return int(self._lease_s * MICROSECONDS_PER_S), False

    def _has_been_dropped(self, lease: LeaseId) -> bool:
        member = self._state.members.get(lease.incarnation)
        return (
            member is not None
            and lease.term <= member.term
            and lease not in self._state.leases
        )

    def fence(self, message: Fence, now: float) -> FenceReply | None:
        """Fence a lease if its promise has expired.

        Returns:
            The reply to send, or ``None`` if the lease is not known here.
        """
        promise = self._promises.get(message.lease)
        if promise is None:
            return None
        fenced = fence_promise(promise, now=now, resigned=message.resigned)
        if fenced.fenced and not promise.fenced:
            self._notices[message.lease] = _LapseNotice(due_s=now)
        self._promises[message.lease] = fenced
        remaining_s = 0.0 if fenced.fenced else max(fenced.expires_s - now, 0.0)
        if fenced.is_permanent:
            remaining_s = self._lease_s
        return FenceReply(
            lease=message.lease,
            fenced=fenced.fenced,
            floor=fenced.floor,
            remaining_us=int(remaining_s * MICROSECONDS_PER_S),
            drained=fenced.drained,
        )

    def collect_lapsed(self, now: float) -> list[LeaseId]:
        """Return the leases of whose lapse the claimants must be notified now.

        Notifications of a lease repeat at growing intervals while it stays lapsed.
        """
        due = [lease for lease, notice in self._notices.items() if notice.due_s <= now]
        for lease in due:
            notice = self._notices[lease]
            pause = LAPSE_RESEND_INTERVALS_S[
                min(notice.count, len(LAPSE_RESEND_INTERVALS_S) - 1)
            ]
            notice.count += 1
            notice.due_s = now + pause
        return due

    def count_lapse_notices(self, lease: LeaseId) -> int:
        """Return how often claimants were notified of the current lapse of a lease."""
        notice = self._notices.get(lease)
        return notice.count if notice is not None else 0

    def find_next_due(self) -> float:
        """Return the time at which :meth:`collect_lapsed` next returns a lease."""
        return min(
            (notice.due_s for notice in self._notices.values()), default=float("inf")
        )
