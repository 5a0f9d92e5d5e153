"""Telling claimants that a lease stands in their way no longer."""

from collections.abc import Callable

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.messages import ControlMessage, FenceReply, LeaseLapsed
from papayatack.core.ownership.context import Context
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.timing import QUERY_INTERVAL_S

__all__ = ["LeaseNotifier"]

LAPSE_NOTICES_BEFORE_FENCE = 5


class LeaseNotifier:
    """What this node tells others of lapsed and of its own ended leases.

    Args:
        context: The node's state.
        deliver: Sends a message, or takes it in if it is for this node.
    """

    def __init__(
        self,
        *,
        context: Context,
        deliver: Callable[[IncarnationId, ControlMessage, float], None],
    ) -> None:
        self._context = context
        self._deliver = deliver
        self._ended_without_quorum: set[LeaseId] = set()

    def notify_lapse(self, lease: LeaseId, now: float) -> None:
        """Tell those who would serve next, or else the witnesses, to fence a lease."""
        claimants = self._context.list_claimants(lease)
        if not claimants:
            if (
                self._context.witnessing.count_lapse_notices(lease)
                < LAPSE_NOTICES_BEFORE_FENCE
            ):
                return
            claimants.update(self._context.state.leases[lease].witnesses)
        for claimant in sorted(claimants):
            self._deliver(claimant, LeaseLapsed(lease=lease), now)

    def end_without_quorum(self, now: float) -> list[LeaseHolder]:
        """End own leases that others could not end, and tell those who come next.

        The claimants are told again until the log knows, or the chains have changed.
        Nothing ends while the upstream may still hold a grant under an older lease.

        Returns:
            Holders whose lease ended just now.
        """
        ended = []
        for holder in self._context.holders.values():
            if (
                holder.has_lost_quorum(now)
                and not self._context.owned_shards.has_transfers
            ):
                holder.end()
                self._ended_without_quorum.add(holder.lease)
                ended.append(holder)
        for lease in list(self._ended_without_quorum):
            if not self._context.state.is_live(lease):
                self._ended_without_quorum.discard(lease)
            elif self._context.start_if_due(f"stranded {lease}", now, QUERY_INTERVAL_S):
                self._notify_end(lease, now)
        return ended

    def _notify_end(self, lease: LeaseId, now: float) -> None:
        owned_shards = self._context.owned_shards
        shards = self._context.state.shards_by_lease.get(lease, ())
        message = FenceReply(
            lease=lease,
            fenced=True,
            floor=self._context.state.next_offset,
            remaining_us=0,
            drained=not any(owned_shards.is_busy(shard, now) for shard in shards),
        )
        for claimant in sorted(self._context.list_claimants(lease)):
            self._context.send(claimant, message)
