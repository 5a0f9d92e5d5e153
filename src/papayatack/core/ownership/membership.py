"""Announces the local incarnation and maintains its lease with responsive witnesses."""

import dataclasses

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.ownership.context import Context
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.selection import choose_witnesses
from papayatack.core.ownership.state import Member
from papayatack.core.ownership.timing import (
    ADMISSION_WAIT_S,
    APPEND_RETRY_INTERVAL_S,
    EXPIRED_LEASE_END_DELAY_S,
    READMIT_INTERVAL_S,
    REPLACE_WITNESS_ROUNDS,
    REPLACE_WITNESS_ROUNDS_EXPIRED,
    WITNESSES_PER_LEASE,
    compute_promise_quorum,
)
from papayatack.core.records import (
    Admit,
    Announce,
    Assign,
    Assignment,
    Attach,
    Fenced,
    OwnershipRecord,
)

__all__ = ["Membership"]

CHECK_INTERVAL_S = 0.25
"""Interval between checks of the lease's witnesses."""

JOIN_WAIT_S = 0.4
"""Maximum wait before the first lease for witnesses that joined after this node started
to read the log. Nodes that were lost together are back within less."""

FIRST_RETRY_S = 1.2
"""Minimum interval between ``Admit`` records for the first lease."""

IMPROVE_INTERVAL_S = 5.0
"""Interval between searches for better witnesses for a healthy lease."""

MAX_ASSIGNMENTS = 128
"""Maximum number of assignments in one record."""


class Membership:
    """Appends the records that keep the local incarnation a member with a lease.

    Args:
        context: The node's state.
        announcement: Its announcement; ``record_id`` and ``supersedes`` are set when it
            is appended.
    """

    def __init__(self, *, context: Context, announcement: Announce) -> None:
        self._context = context
        self._announcement = announcement
        self._announced_s: float | None = None
        self._joined_at: int | None = None
        self._expired_since_s: dict[LeaseId, float] = {}

    def advance(self, now: float) -> None:
        """Append the records that are due at ``now``, in seconds."""
        member = self._context.state.members.get(self._context.incarnation)
        if member is None:
            self._announce(now)
            return
        if member.ended is not None:
            return
        if self._announced_s is None:
            self._announced_s = now
        self._keep_lease(member, now)
        self._replace_old_leases(member, now)
        self._attach(member, now)

    def note_unwritten(self, record: OwnershipRecord) -> None:
        """Let a record that is still needed be made again at once."""
        member = self._context.state.members.get(self._context.incarnation)
        if isinstance(record, Admit):
            if member is not None and record.lease.term == member.term + 1:
                self._context.due_s_by_key.pop("admit", None)
        elif isinstance(record, Announce) and member is None:
            self._context.due_s_by_key.pop("announce", None)

    def set_upstream(
        self, *, service: str, upstream: str, slots: int, connections: int
    ) -> None:
        """Set the upstream to announce; an empty ``service`` stands for none."""
        self._announcement = dataclasses.replace(
            self._announcement,
            service=service,
            upstream=upstream,
            slots=slots,
            connections=connections,
        )
        self._context.due_s_by_key.pop("attach", None)

    def _attach(self, member: Member, now: float) -> None:
        """Append an ``Attach`` record if the upstream differs from the recorded one."""
        wanted = self._announcement
        same = (
            member.service == wanted.service
            and member.upstream == wanted.upstream
            and member.slots == wanted.slots
            and member.connections == wanted.connections
        )
        if same or not self._context.restart_if_due(
            "attach", now, APPEND_RETRY_INTERVAL_S
        ):
            return
        record = Attach(
            record_id=self._context.make_record_id(),
            writer=self._context.incarnation,
            incarnation=self._context.incarnation,
            service=wanted.service,
            upstream=wanted.upstream,
            slots=wanted.slots,
            connections=wanted.connections,
        )
        self._context.append(record)

    def _announce(self, now: float) -> None:
        if self._joined_at is None:
            self._joined_at = self._context.state.next_offset
        if not self._context.restart_if_due("announce", now, APPEND_RETRY_INTERVAL_S):
            return
        address = self._announcement.address
        current = self._context.state.incarnation_by_address.get(address, "")
        record = dataclasses.replace(
            self._announcement,
            record_id=self._context.make_record_id(),
            supersedes=current,
        )
        self._context.append(record)

    def _keep_lease(self, member: Member, now: float) -> None:
        if not self._context.restart_if_due("check witnesses", now, CHECK_INTERVAL_S):
            return
        own_lease = self._context.find_newest_holder()
        unresponsive = self._list_unresponsive(own_lease, now)
        if self._is_healthy(
            own_lease, unresponsive
        ) and not self._context.restart_if_due(
            "improve witnesses", now, IMPROVE_INTERVAL_S
        ):
            return
        is_first = own_lease is None and not member.term
        avoid = (
            unresponsive | self._list_members_before_start(member)
            if is_first
            else unresponsive
        )
        departed = self._context.list_departed(now)
        chosen = choose_witnesses(self._context.state, member, avoid=avoid | departed)
        if is_first:
            wanted = self._is_ready_to_admit(chosen, avoid, now)
            pause_s = FIRST_RETRY_S
        else:
            wanted = own_lease is None or self._is_better(
                chosen, own_lease, unresponsive
            )
            pause_s = READMIT_INTERVAL_S
            if own_lease is not None and self._lacks_witnesses(own_lease):
                pause_s = APPEND_RETRY_INTERVAL_S
                self._context.shorten_wait("admit", now, pause_s)
        if wanted and self._context.restart_if_due("admit", now, pause_s):
            record = Admit(
                record_id=self._context.make_record_id(),
                writer=self._context.incarnation,
                lease=LeaseId(self._context.incarnation, member.term + 1),
                witnesses=chosen,
            )
            self._context.append(record)

    def _list_members_before_start(self, member: Member) -> set[IncarnationId]:
        """Return the members announced before this process had read the log.

        After a loss of all nodes, these members are gone but not yet recorded as lost.
        Members announced since then are certain to be running.
        """
        joined_at = self._joined_at if self._joined_at is not None else 0
        return {
            other.incarnation
            for other in self._context.state.list_live_members()
            if other.announced_at < min(joined_at, member.announced_at)
        }

    def _is_ready_to_admit(
        self,
        chosen: tuple[IncarnationId, ...],
        avoid: set[IncarnationId],
        now: float,
    ) -> bool:
        """Return whether the first lease need not wait for better witnesses."""
        waited_s = now - (self._announced_s if self._announced_s is not None else now)
        if len(chosen) < WITNESSES_PER_LEASE:
            return waited_s >= ADMISSION_WAIT_S
        return not avoid.intersection(chosen) or waited_s >= JOIN_WAIT_S

    def _is_healthy(
        self, holder: LeaseHolder | None, unresponsive: set[IncarnationId]
    ) -> bool:
        """Return whether the lease has no urgent need for other witnesses.

        A lease without witnesses needs some, because no node can take over from its
        holder.
        """
        if holder is None or holder.ended or unresponsive or holder.fenced_by:
            return False
        if not holder.witnesses:
            return False
        members = (self._context.state.members.get(name) for name in holder.witnesses)
        return all(member is not None and member.ended is None for member in members)

    def _lacks_witnesses(self, holder: LeaseHolder) -> bool:
        """Return whether too few witnesses are members to promise the lease."""
        state = self._context.state
        members = (state.members.get(name) for name in holder.witnesses)
        live = sum(1 for member in members if member and member.ended is None)
        return live < compute_promise_quorum(len(holder.witnesses)) or not live

    def _list_unresponsive(
        self, holder: LeaseHolder | None, now: float
    ) -> set[IncarnationId]:
        if holder is None:
            return set()
        live = holder.is_live(now)
        return holder.list_unresponsive(
            REPLACE_WITNESS_ROUNDS if live else REPLACE_WITNESS_ROUNDS_EXPIRED
        )

    def _is_better(
        self,
        chosen: tuple[IncarnationId, ...],
        holder: LeaseHolder,
        unresponsive: set[IncarnationId],
    ) -> bool:
        if holder.ended:
            return True
        excluded = unresponsive | holder.fenced_by
        return self._rank(chosen, unresponsive) > self._rank(holder.witnesses, excluded)

    def _rank(
        self, witnesses: tuple[IncarnationId, ...], excluded: set[IncarnationId]
    ) -> tuple[bool, int, int]:
        """Return a sort key: quorum, live witnesses, data centres."""
        members = [
            self._context.state.members[name]
            for name in witnesses
            if name in self._context.state.members and name not in excluded
        ]
        live = [member for member in members if member.ended is None]
        enough = len(live) >= compute_promise_quorum(len(witnesses))
        return enough, len(live), len({member.data_centre for member in live})

    def _replace_old_leases(self, member: Member, now: float) -> None:
        """Replace older leases of the local incarnation in all chains by the newest."""
        newest = self._context.find_newest_holder()
        if newest is None or not newest.is_live(now):
            return
        for lease, holder in list(self._context.holders.items()):
            if holder is newest:
                continue
            if lease not in self._context.state.shards_by_lease:
                self._end_unreferenced(holder, now)
                continue
            self._end_if_expired(holder, now)
            if self._context.state.is_live(lease):
                self._replace(lease, newest.lease, now)

    def _end_if_expired(self, holder: LeaseHolder, now: float) -> None:
        """End a lease that has not been live for ``GIVE_UP_S``, and record its end."""
        if holder.may_have_grants(now):
            self._expired_since_s.pop(holder.lease, None)
            return
        since_s = self._expired_since_s.setdefault(holder.lease, now)
        if now - since_s < EXPIRED_LEASE_END_DELAY_S:
            return
        self._end(holder, now)

    def _end_unreferenced(self, holder: LeaseHolder, now: float) -> None:
        """End a lease that no chain refers to, so that no later chain can use it."""
        self._end(holder, now)
        if not self._context.state.is_live(holder.lease):
            del self._context.holders[holder.lease]

    def _end(self, holder: LeaseHolder, now: float) -> None:
        holder.end()
        if not self._context.state.is_live(holder.lease):
            return
        key = f"fenced {holder.lease}"
        if self._context.restart_if_due(key, now, APPEND_RETRY_INTERVAL_S):
            record = Fenced(
                record_id=self._context.make_record_id(),
                writer=self._context.incarnation,
                lease=holder.lease,
                floor=min(holder.confirmed_floor, self._context.state.next_offset),
            )
            self._context.append(record)

    def _replace(self, old: LeaseId, new: LeaseId, now: float) -> None:
        assignments = []
        for shard in sorted(self._context.state.shards_by_lease[old]):
            current = self._context.state.shards[shard].current
            if old not in current.leases or len(assignments) >= MAX_ASSIGNMENTS:
                continue
            chain = [new if lease == old else lease for lease in current.leases]
            live = [lease for lease in chain if self._context.state.is_live(lease)]
            assignment = Assignment(
                shard=shard,
                base_epoch=current.epoch,
                chain=tuple(dict.fromkeys(live)),
            )
            assignments.append(assignment)
        if assignments and self._context.restart_if_due(
            f"replace {old}", now, APPEND_RETRY_INTERVAL_S
        ):
            record = Assign(
                record_id=self._context.make_record_id(),
                writer=self._context.incarnation,
                assignments=tuple(assignments),
            )
            self._context.append(record)
