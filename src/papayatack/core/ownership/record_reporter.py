"""Reports fences and activations to the ownership log after they took place."""

from papayatack.core.identity import LeaseId
from papayatack.core.messages import LeaseFenced
from papayatack.core.ownership.context import Context
from papayatack.core.ownership.selection import compute_rendezvous_rank
from papayatack.core.ownership.succession import LeaseEnd
from papayatack.core.ownership.timing import APPEND_RETRY_INTERVAL_S
from papayatack.core.records import Activate, Activation, Fenced

__all__ = ["RecordReporter"]

ACTIVATE_INTERVAL_S = 0.5
"""Shortest time between two activation records."""

MAX_ACTIVATIONS = 256
"""Upper limit of activations in one record."""

REPORT_DELAY_STEP_S = 0.5
"""Delay of a fence report for each claimant that ranks before this node."""

MAX_REPORT_DELAY_S = 5.0
"""Upper limit of the delay of a fence report."""


class RecordReporter:
    """Appends records of fenced leases and of activated shards."""

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._fenced: dict[LeaseId, tuple[float, LeaseEnd]] = {}

    def schedule_fenced(self, lease: LeaseId, end: LeaseEnd, now: float) -> None:
        """Schedule the report of a fence, unless another claimant reports it first."""
        delay_s = REPORT_DELAY_STEP_S * self._find_rank(lease)
        self._fenced[lease] = (now + min(delay_s, MAX_REPORT_DELAY_S), end)

    def _find_rank(self, lease: LeaseId) -> int:
        """Return how many other claimants of the lease rank before this node."""
        claimants = self._context.list_claimants(lease)
        own = compute_rendezvous_rank(str(lease), self._context.incarnation)
        return sum(
            1 for name in claimants if compute_rendezvous_rank(str(lease), name) < own
        )

    def advance(self, now: float) -> None:
        """Append the records that are due."""
        for lease, (due_s, end) in list(self._fenced.items()):
            if not self._context.state.is_live(lease):
                del self._fenced[lease]
            elif due_s <= now:
                self._report(lease, end, now)
        self._activate(now)

    def _report(self, lease: LeaseId, end: LeaseEnd, now: float) -> None:
        if end.floor > self._context.state.next_offset:
            return
        if not self._context.restart_if_due(
            f"fenced {lease}", now, APPEND_RETRY_INTERVAL_S
        ):
            return
        record = Fenced(
            record_id=self._context.make_record_id(),
            writer=self._context.incarnation,
            lease=lease,
            floor=end.floor,
            drained=end.drained,
        )
        self._context.append(record)
        for member in self._context.state.list_live_members():
            if member.incarnation not in (self._context.incarnation, lease.incarnation):
                self._context.send(member.incarnation, LeaseFenced(lease=lease))

    def _activate(self, now: float) -> None:
        found = []
        for shard, owned in self._context.owned_shards.owned.items():
            entry = self._context.state.shards[shard]
            if (
                entry.active
                or not owned.confirmed_token
                or len(found) >= MAX_ACTIVATIONS
            ):
                continue
            if owned.holder.confirmed_floor < entry.current.start_offset:
                continue
            owner = owned.holder.lease
            epoch = entry.current.epoch
            found.append(Activation(shard=shard, epoch=epoch, owner=owner))
        if found and self._context.restart_if_due("activate", now, ACTIVATE_INTERVAL_S):
            record = Activate(
                record_id=self._context.make_record_id(),
                writer=self._context.incarnation,
                activations=tuple(found),
            )
            self._context.append(record)
