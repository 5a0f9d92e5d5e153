"""Processes the control messages of other nodes for the ownership protocol."""

import functools

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.messages import (
    ControlMessage,
    Fence,
    FenceReply,
    LeaseFenced,
    LeaseLapsed,
    LogQuery,
    Release,
    ReleaseQuery,
    Renew,
    RenewReply,
    SuspectReport,
)
from papayatack.core.ownership.claims import Claims
from papayatack.core.ownership.context import Context
from papayatack.core.ownership.effects import ExtendLease, SendRecords
from papayatack.core.ownership.exchange import RecordExchange
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.record_reporter import RecordReporter
from papayatack.core.ownership.succession import LeaseEnd
from papayatack.core.ownership.suspicions import SuspicionExchange

__all__ = ["MessageHandler"]

MIN_EXTENSION_S = 0.35
"""Least gain in validity for which the upstream's grants are extended."""


class MessageHandler:
    """Updates the state of the protocol by the messages of other nodes.

    Times are in seconds of the event loop's clock.

    Args:
        context: The node's state.
        claims: The shards that this node claims.
        reporter: Reports fences to the log.
        suspicions: Shares suspicions of requests.

    Attributes:
        exchange: Sends records that other nodes lack, and asks for missing ones.
    """

    def __init__(
        self,
        *,
        context: Context,
        claims: Claims,
        reporter: RecordReporter,
        suspicions: SuspicionExchange,
    ) -> None:
        self._context = context
        self._claims = claims
        self._reporter = reporter
        self._suspicions = suspicions
        self.exchange = RecordExchange(context=context, deliver=self.deliver)

    def deliver(
        self, recipient: IncarnationId, message: ControlMessage, now: float
    ) -> None:
        """Send a message, or process it at once if this node is the recipient."""
        if recipient == self._context.incarnation:
            self.receive(message, recipient, now)
        else:
            self._context.send(recipient, message)

    def send_fences(self, now: float) -> None:
        """Ask the witnesses of lapsed leases to fence them, where this is due."""
        for lease, witnesses in self._context.fencing.collect_due(now):
            for witness in witnesses:
                self.deliver(witness, Fence(lease=lease), now)

    @functools.singledispatchmethod
    def receive(
        self, message: ControlMessage, sender: IncarnationId, now: float
    ) -> None:
        """Process a message addressed to this incarnation."""
        self._refuse_message(message, sender, "unexpected")

    @receive.register
    def _(self, message: Renew, sender: IncarnationId, now: float) -> None:
        if sender != message.lease.incarnation:
            self._refuse_message(message, sender, "not the holder")
            return
        promised_us, fenced = self._context.witnessing.renew(message, now)
        reply = RenewReply(
            lease=message.lease,
            round=message.round,
            promised_us=promised_us,
            fenced=fenced,
            config_offset=self.exchange.config.offset,
            ownership_offset=self._context.state.next_offset,
            config_age_us=self.exchange.find_config_age_us(now),
            permanent=promised_us > 0 and self._context.witnessing.is_leaving,
        )
        self.deliver(sender, reply, now)
        self._compare_offsets(message, sender, now)

    def announce_departure(self, now: float) -> None:
        """Tell holders that this node's promises as a witness are permanent now."""
        for lease in self._context.witnessing.leave(now):
            reply = RenewReply(
                lease=lease,
                round=0,
                promised_us=0,
                fenced=False,
                config_offset=self.exchange.config.offset,
                ownership_offset=self._context.state.next_offset,
                config_age_us=self.exchange.find_config_age_us(now),
                permanent=True,
            )
            self.deliver(lease.incarnation, reply, now)

    @receive.register
    def _(self, message: RenewReply, sender: IncarnationId, now: float) -> None:
        holder = self._context.holders.get(message.lease)
        if holder is None or sender not in holder.witnesses:
            self._refuse_message(message, sender, "not a witness")
            return
        self._compare_offsets(message, sender, now)
        was_live = holder.is_live(now)
        floor = holder.confirmed_floor
        holder.accept(
            sender, message, now=now, config_offset=self.exchange.config.offset
        )
        if holder.ended:
            self.handle_own_end(holder)
        else:
            self.follow_renewal(holder, was_live=was_live, floor=floor, now=now)

    def follow_renewal(
        self, holder: LeaseHolder, *, was_live: bool, floor: int, now: float
    ) -> None:
        """Extend the grants and recheck the claims that a renewal allows.

        Args:
            holder: A lease of this node that has not ended.
            was_live: Whether it was live before.
            floor: Its confirmed floor before.
            now: Time of the event loop.
        """
        if holder.is_live(now) and not was_live:
            self._context.owned_shards.reset_grants(holder)
            self._context.emit_event("LEASE_LIVE", subject=holder.lease)
        elif holder.is_live(now):
            self._extend(holder, now)
        if holder.confirmed_floor != floor:
            self._claims.recheck_blocked()

    def _compare_offsets(
        self, message: Renew | RenewReply, sender: IncarnationId, now: float
    ) -> None:
        """Send the sender the records that it lacks, and note those that it has."""
        self.exchange.receive_config_position(
            sender, message.config_offset, message.config_age_us, now
        )
        self.exchange.send_missing(sender, message.ownership_offset, now)

    def handle_own_end(self, holder: LeaseHolder) -> None:
        """Give up the shards of a lease of this node that has ended."""
        self._claims.recheck_lease(holder.lease)
        self._context.emit_event("LEASE_FENCED", "own", holder.lease)

    def _extend(self, holder: LeaseHolder, now: float) -> None:
        if holder.valid_until_s - holder.extended_until_s < MIN_EXTENSION_S:
            return
        holder.extended_until_s = holder.valid_until_s
        self._context.effects.append(
            ExtendLease(
                lease=holder.lease,
                until_s=holder.valid_until_s,
                decided_s=now,
            )
        )

    @receive.register
    def _(self, message: Fence, sender: IncarnationId, now: float) -> None:
        if message.resigned and sender != message.lease.incarnation:
            self._refuse_message(message, sender, "not the holder")
            return
        reply = self._context.witnessing.fence(message, now)
        if reply is not None:
            self.deliver(sender, reply, now)

    @receive.register
    def _(self, message: FenceReply, sender: IncarnationId, now: float) -> None:
        holder = self._context.holders.get(message.lease)
        if holder is not None:
            if message.fenced and sender in holder.witnesses:
                holder.accept_fence(sender)
            return
        end = self._context.fencing.accept(sender, message, now)
        if end is not None:
            self._handle_end(message.lease, end, now)

    def _handle_end(self, lease: LeaseId, end: LeaseEnd, now: float) -> None:
        self._context.emit_event(
            "LEASE_FENCED", "resigned" if end.drained else "lapsed", lease
        )
        self._reporter.schedule_fenced(lease, end, now)
        self._claims.recheck_lease(lease)

    @receive.register
    def _(self, message: LeaseLapsed, sender: IncarnationId, now: float) -> None:
        if self._context.fencing.record_lapse(message.lease, sender, now):
            self.send_fences(now)

    @receive.register
    def _(self, message: LeaseFenced, sender: IncarnationId, now: float) -> None:
        if self._context.state.is_live(message.lease):
            self._context.reported_fenced.add(message.lease)

    @receive.register
    def _(self, message: Release, sender: IncarnationId, now: float) -> None:
        if sender != message.lease.incarnation:
            self._refuse_message(message, sender, "not the holder")
            return
        self._claims.accept_release(message, now)

    @receive.register
    def _(self, message: ReleaseQuery, sender: IncarnationId, now: float) -> None:
        if sender != message.asker.incarnation:
            self._refuse_message(message, sender, "not the asker")
            return
        self._claims.accept_query(sender, message, now)

    @receive.register
    def _(self, message: LogQuery, sender: IncarnationId, now: float) -> None:
        effect = SendRecords(
            recipient=sender, stream=message.stream, offset=message.offset
        )
        self._context.effects.append(effect)

    @receive.register
    def _(self, message: SuspectReport, sender: IncarnationId, now: float) -> None:
        if not self._suspicions.receive(message.suspicions, now):
            self._refuse_message(message, sender, "malformed")

    def _refuse_message(
        self, message: ControlMessage, sender: IncarnationId, reason: str
    ) -> None:
        subject = f"{type(message).__name__} from {sender}"
        self._context.emit_event("PEER_MESSAGE_REFUSED", reason, subject)
