"""The leases that one node witnesses."""

import dataclasses

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.messages import Fence, FenceReply, Renew
from papayatack.core.ownership.promise import (
    Promise,
    fence_promise,
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

MICROSECONDS = 1_000_000


@dataclasses.dataclass(slots=True, kw_only=True)
class _Notice:
    due_s: float
    count: int = 0


class Witnessing:
    """Promises of one node, by lease.

    Only leases whose admission the node has folded, and that name it, are promised:
    the fold remembers the end of those that are forgotten here.

    Args:
        me: This process.
        state: The folded ownership stream.
        lease_s: Length of a promise.
    """

    def __init__(
        self,
        *,
        me: IncarnationId,
        state: OwnershipState,
        lease_s: float = LEASE_DURATION_S,
    ) -> None:
        self._lease_s = lease_s
        self._me = me
        self._state = state
        self._promises: dict[LeaseId, Promise] = {}
        self._notices: dict[LeaseId, _Notice] = {}

    def update(self, lease: LeaseId, now: float) -> None:
        """Follow the fold: adopt, end or forget a lease.

        The floor stays as the holder told it: a claimant takes it as proof that no
        one else can have fenced the lease with a lower one.
        """
        entry = self._state.leases.get(lease)
        if entry is None or self._me not in entry.witnesses:
            self._promises.pop(lease, None)
            self._notices.pop(lease, None)
            return
        promise = self._promises.get(lease)
        if promise is None:
            promise = start_promise(now=now, duration_s=self._lease_s)
            self._notices[lease] = _Notice(due_s=promise.expires_s)
        if entry.end is not None:
            promise = dataclasses.replace(
                promise,
                fenced=True,
                drained=promise.drained or entry.end.drained,
            )
            self._notices.pop(lease, None)
        self._promises[lease] = promise

    def forget_dropped(self) -> None:
        """Forget the leases that the fold has dropped."""
        for lease in [
            lease for lease in self._promises if lease not in self._state.leases
        ]:
            del self._promises[lease]
            self._notices.pop(lease, None)

    def renew(self, message: Renew, now: float) -> tuple[int, bool]:
        """Promise a lease; return the microseconds and whether it is fenced."""
        promise = self._promises.get(message.lease)
        if promise is None:
            return 0, self._has_been_dropped(message.lease)
        if message.round - message.heard > MAX_UNACKNOWLEDGED_ROUNDS:
            return 0, promise.fenced
        promise = renew_promise(
            promise, now=now, duration_s=self._lease_s, floor=message.floor
        )
        self._promises[message.lease] = promise
        if promise.fenced:
            return 0, True
        self._notices[message.lease] = _Notice(due_s=promise.expires_s)
        return int(self._lease_s * MICROSECONDS), False

    def _has_been_dropped(self, lease: LeaseId) -> bool:
        member = self._state.members.get(lease.incarnation)
        return (
            member is not None
            and lease.term <= member.term
            and lease not in self._state.leases
        )

    def fence(self, message: Fence, now: float) -> FenceReply | None:
        """Fence a lease if its promise has run out; ``None`` if it is not known."""
        promise = self._promises.get(message.lease)
        if promise is None:
            return None
        fenced = fence_promise(promise, now=now, resigned=message.resigned)
        if fenced.fenced and not promise.fenced:
            self._notices[message.lease] = _Notice(due_s=now)
        self._promises[message.lease] = fenced
        remaining_s = 0.0 if fenced.fenced else fenced.expires_s - now
        return FenceReply(
            lease=message.lease,
            fenced=fenced.fenced,
            floor=fenced.floor,
            remaining_us=int(remaining_s * MICROSECONDS),
            drained=fenced.drained,
        )

    def list_lapsed(self, now: float) -> list[LeaseId]:
        """Return the leases whose claimants are to be told now that they lapsed."""
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
        """Return how often claimants were told that a lease lapsed."""
        notice = self._notices.get(lease)
        return notice.count if notice is not None else 0

    def find_next_due(self) -> float:
        """Return when :meth:`list_lapsed` has something to say next."""
        return min(
            (notice.due_s for notice in self._notices.values()), default=float("inf")
        )
