"""Notifies claimants that a lease no longer blocks their claims."""

from collections.abc import Callable

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.messages import ControlMessage, FenceReply, LeaseLapsed
from papayatack.core.ownership.context import Context
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.timing import QUERY_INTERVAL_S

__all__ = ["LeaseNotifier"]

LAPSE_NOTICES_BEFORE_FENCE = 5
"""Notices of a lapsed lease without claimants before its own witnesses are asked to
fence it."""


class LeaseNotifier:
    """Notifies other nodes of lapsed leases and of this node's own ended leases.

    Args:
        context: The node's shared state.
        deliver: Sends a message, or processes it directly if it is for this node.
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
        """Notify a lapsed lease's claimants, or else its witnesses, to fence it."""
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
        """End own leases that have lost their quorum, and notify their claimants.

        The claimants are notified repeatedly until the log contains the end of the
        lease or the chains have changed. No lease is ended while the upstream may still
        hold a grant under an older lease.

        Returns:
            Holders whose leases were ended by this call.
        """
        ended = []
        for holder in self._context.holders.values():
            if (
                holder.has_lost_quorum(now)
                and not self._context.owned_shards.has_transfers
            ):
                holder.end()
                self.announce_end(holder.lease)
                ended.append(holder)
        for lease in list(self._ended_without_quorum):
            if not self._context.state.is_live(lease):
                self._ended_without_quorum.discard(lease)
            elif self._context.restart_if_due(
                f"stranded {lease}", now, QUERY_INTERVAL_S
            ):
                self._notify_end(lease, now)
        return ended

    def announce_end(self, lease: LeaseId) -> None:
        """Notify the claimants of an ended lease of this node that nobody can fence."""
        self._ended_without_quorum.add(lease)

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
