"""The fold of the ownership stream: which records take effect, and how.

Every record names the version that it was written against and is rejected if that
version is no longer current. A duplicate record therefore has no effect, even if its
id is no longer stored. The ids of the last :data:`MAX_RECENT_IDS` effective records
are stored only to distinguish a duplicate from a record that lost a race.
"""

import dataclasses
import functools

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.ownership.state import (
    Chain,
    EndKind,
    LeaseEntry,
    Member,
    OwnershipState,
    RecordedEnd,
    ShardEntry,
)
from papayatack.core.quarantine.suspicion import Suspicion
from papayatack.core.records import (
    Activate,
    Activation,
    Admit,
    Announce,
    Assign,
    Assignment,
    Attach,
    CheckpointChunk,
    DeclareLost,
    Fenced,
    OwnershipRecord,
    ReportSuspects,
    Retire,
)

__all__ = [
    "MAX_CHAIN_LENGTH",
    "MAX_WITNESSES",
    "MAX_RECENT_IDS",
    "ApplyResult",
    "apply_record",
]

MAX_RECENT_IDS = 1024
"""Maximum number of ids of effective records that are stored."""

MAX_CHAIN_LENGTH = 8
"""Maximum number of leases in a chain."""

MAX_WITNESSES = 7
"""Maximum number of witnesses of a lease."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyResult:
    """Result of applying one record.

    Attributes:
        effective: Whether the record took effect. An ``Assign`` or ``Activate`` record
            takes effect if at least one of its entries does.
        reason: Why the record, or the last of its rejected entries, was rejected;
            empty if it took effect.
        shards: Shards whose chains changed.
        leases: Leases that were admitted or ended.
        members: Incarnations that were announced, updated or ended.
        split_or_merged: Pairs of a hot key's shard and its parent that the record split
            or merged, both under the same chain.
        suspicions: Suspicions that say more than was known.
    """

    effective: bool
    reason: str = ""
    shards: tuple[ShardId, ...] = ()
    leases: tuple[LeaseId, ...] = ()
    members: tuple[IncarnationId, ...] = ()
    split_or_merged: tuple[tuple[ShardId, ShardId], ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


def apply_record(
    state: OwnershipState, offset: int, record: OwnershipRecord | None
) -> ApplyResult:
    """Apply the record at ``offset`` to ``state``.

    Args:
        state: The ownership state, modified in place.
        offset: Offset of the record; an offset that was already applied is skipped.
        record: The record, or ``None`` for a payload that could not be decoded.

    Raises:
        ValueError: The records between the state's next offset and ``offset`` are
            missing.
    """
    if offset < state.next_offset:
        return _reject("already folded")
    if offset > state.next_offset:
        message = f"record {offset} follows a gap from {state.next_offset}"
        raise ValueError(message)
    state.next_offset = offset + 1
    if record is None:
        return _reject("malformed")
    if record.record_id in state.recent_ids:
        return _reject("repeated")
    change = _apply(record, state, offset)
    if change.effective:
        _store_id(state, record.record_id)
    return change


def _store_id(state: OwnershipState, record_id: str) -> None:
    state.recent_ids[record_id] = None
    if len(state.recent_ids) > MAX_RECENT_IDS:
        del state.recent_ids[next(iter(state.recent_ids))]


def _reject(reason: str) -> ApplyResult:
    return ApplyResult(effective=False, reason=reason)


@functools.singledispatch
def _apply(record: OwnershipRecord, state: OwnershipState, offset: int) -> ApplyResult:
    return _reject("malformed")


@_apply.register
def _announce(record: Announce, state: OwnershipState, offset: int) -> ApplyResult:
    current = state.incarnation_by_address.get(record.address, "")
    if record.incarnation in state.members:
        return _reject("known incarnation")
    if record.supersedes != current:
        return _reject("address taken")
    ended: tuple[LeaseId, ...] = ()
    if current:
        ended = _end_member(state, IncarnationId(current), EndKind.SUPERSEDED, offset)
    state.incarnation_by_address[record.address] = record.incarnation
    state.members[record.incarnation] = Member(
        incarnation=record.incarnation,
        address=record.address,
        operator_address=record.operator_address,
        data_centre=record.data_centre,
        region=record.region,
        service=record.service,
        upstream=record.upstream,
        slots=record.slots,
        connections=record.connections,
        announced_at=offset,
    )
    _remove_ended(state)
    changed = (record.incarnation, IncarnationId(current))
    return ApplyResult(
        effective=True, leases=ended, members=changed if current else changed[:1]
    )


@_apply.register
def _attach(record: Attach, state: OwnershipState, offset: int) -> ApplyResult:
    member = state.members.get(record.incarnation)
    if member is None or member.ended is not None:
        return _reject("unknown incarnation")
    if record.writer != record.incarnation:
        return _reject("not the writer")
    attached = dataclasses.replace(
        member,
        service=record.service,
        upstream=record.upstream,
        slots=record.slots,
        connections=record.connections,
    )
    if attached == member:
        return _reject("unchanged")
    state.members[record.incarnation] = attached
    return ApplyResult(effective=True, members=(record.incarnation,))


@_apply.register
def _admit(record: Admit, state: OwnershipState, offset: int) -> ApplyResult:
    holder = record.lease.incarnation
    member = state.members.get(holder)
    if member is None or member.ended is not None:
        return _reject("unknown incarnation")
    if record.lease.term != member.term + 1:
        return _reject("term taken")
    witnesses = record.witnesses
    if len(set(witnesses)) != len(witnesses) or len(witnesses) > MAX_WITNESSES:
        return _reject("malformed")
    if holder in witnesses or not all(
        _is_live_member(state, name) for name in witnesses
    ):
        return _reject("unknown witness")
    state.members[holder] = dataclasses.replace(member, term=record.lease.term)
    state.leases[record.lease] = LeaseEntry(witnesses=witnesses, admitted_at=offset)
    return ApplyResult(effective=True, leases=(record.lease,))


def _is_live_member(state: OwnershipState, incarnation: IncarnationId) -> bool:
    member = state.members.get(incarnation)
    return member is not None and member.ended is None


@_apply.register
def _assign(record: Assign, state: OwnershipState, offset: int) -> ApplyResult:
    changed: list[ShardId] = []
    reason = "empty"
    split_or_merged: list[tuple[ShardId, ShardId]] = []
    for assignment in record.assignments:
        rejection = _check_assignment(assignment, state)
        if rejection or assignment.shard in changed:
            reason = rejection or "repeated"
            continue
        if assignment.parent:
            _split_or_merge(assignment, state, offset)
            split_or_merged.append((assignment.shard, assignment.parent))
            if not assignment.chain:
                changed.append(assignment.parent)
        else:
            _reassign(assignment, state, offset)
        changed.append(assignment.shard)
    if not changed:
        return _reject(reason)
    return ApplyResult(
        effective=True, shards=tuple(changed), split_or_merged=tuple(split_or_merged)
    )


def _check_assignment(assignment: Assignment, state: OwnershipState) -> str:
    entry = state.shards.get(assignment.shard)
    epoch = entry.current.epoch if entry is not None else 0
    chain = assignment.chain
    if assignment.base_epoch != epoch:
        return "epoch taken"
    if len(chain) > MAX_CHAIN_LENGTH or len(set(chain)) != len(chain):
        return "malformed"
    if assignment.parent:
        return _check_split_or_merge(assignment, entry, state)
    if not chain and entry is None:
        return "malformed"
    if not all(state.is_live(lease) for lease in chain):
        return "lease ended"
    return ""


def _check_split_or_merge(
    assignment: Assignment, entry: ShardEntry | None, state: OwnershipState
) -> str:
    """Return why a split or merge is rejected, or an empty string if it is valid.

    Both shards must have the same chain and no previous chains. Then every lease that
    may serve one of them may serve the other, before the record as well as after it.
    """
    parent = state.shards.get(assignment.parent)
    if parent is None or parent.current.epoch != assignment.parent_epoch:
        return "epoch taken"
    if parent.previous or not parent.active:
        return "parent moving"
    if assignment.chain:
        same = entry is None and assignment.chain == parent.current.leases
    else:
        same = (
            entry is not None
            and entry.active
            and entry.current.leases == parent.current.leases
        )
    return "" if same else "chain differs"


def _split_or_merge(assignment: Assignment, state: OwnershipState, offset: int) -> None:
    """Split a hot key's shard from its parent, or merge it back.

    The first epoch of a split shard is the offset after its record. This exceeds every
    epoch of an earlier, merged shard of the same key, because each of its moves took a
    record. The split shard keeps the parent's fencing tokens, because a successor may
    not have applied the split yet.
    """
    if not assignment.chain:
        state.remove_shard(assignment.shard)
        _raise_tokens(assignment.parent, state, offset)
        return
    since = state.shards[assignment.parent].current.start_offset
    chain = Chain(epoch=offset + 1, leases=assignment.chain, start_offset=since)
    state.set_shard(assignment.shard, ShardEntry(current=chain, active=True))


def _raise_tokens(shard: ShardId, state: OwnershipState, offset: int) -> None:
    """Raise a shard's fencing tokens above those of the key merged into it."""
    entry = state.shards[shard]
    current = dataclasses.replace(entry.current, start_offset=offset + 1)
    state.set_shard(shard, dataclasses.replace(entry, current=current))


def _reassign(assignment: Assignment, state: OwnershipState, offset: int) -> None:
    entry = state.shards.get(assignment.shard)
    chain = Chain(
        epoch=assignment.base_epoch + 1,
        leases=assignment.chain,
        start_offset=offset + 1,
    )
    earlier = entry.list_chains() if entry is not None else ()
    state.set_shard(assignment.shard, ShardEntry(current=chain, previous=earlier))


@_apply.register
def _activate(record: Activate, state: OwnershipState, offset: int) -> ApplyResult:
    changed: list[ShardId] = []
    for activation in record.activations:
        if _can_activate(activation, state):
            current = state.shards[activation.shard].current
            entry = ShardEntry(current=current, active=True)
            state.set_shard(activation.shard, entry)
            changed.append(activation.shard)
    if not changed:
        return _reject("epoch taken")
    return ApplyResult(effective=True, shards=tuple(changed))


def _can_activate(activation: Activation, state: OwnershipState) -> bool:
    entry = state.shards.get(activation.shard)
    if entry is None or entry.active:
        return False
    current = entry.current
    return current.epoch == activation.epoch and activation.owner in current.leases


@_apply.register
def _retire(record: Retire, state: OwnershipState, offset: int) -> ApplyResult:
    if not _is_live_member(state, record.incarnation):
        return _reject("unknown incarnation")
    if record.writer != record.incarnation:
        return _reject("not the writer")
    ended = _end_member(state, record.incarnation, EndKind.RETIRED, offset)
    return ApplyResult(effective=True, leases=ended, members=(record.incarnation,))


@_apply.register
def _fence(record: Fenced, state: OwnershipState, offset: int) -> ApplyResult:
    if not state.is_live(record.lease):  # Also if the lease was never admitted.
        return _reject("lease ended")
    if not 0 <= record.floor <= offset:
        return _reject("malformed")
    end = RecordedEnd(kind=EndKind.FENCED, floor=record.floor, drained=record.drained)
    _end_lease(state, record.lease, end)
    return ApplyResult(effective=True, leases=(record.lease,))


@_apply.register
def _declare_lost(
    record: DeclareLost, state: OwnershipState, offset: int
) -> ApplyResult:
    lost = [name for name in record.incarnations if _is_live_member(state, name)]
    leases: list[LeaseId] = []
    for incarnation in dict.fromkeys(lost):
        leases.extend(_end_member(state, incarnation, EndKind.LOST, offset))
    if not lost:
        return _reject("unknown incarnation")
    return ApplyResult(effective=True, leases=tuple(leases), members=tuple(lost))


@_apply.register
def _checkpoint(
    record: CheckpointChunk, state: OwnershipState, offset: int
) -> ApplyResult:
    return ApplyResult(effective=True)


@_apply.register
def _report_suspects(
    record: ReportSuspects, state: OwnershipState, offset: int
) -> ApplyResult:
    if not all(suspicion.is_valid for suspicion in record.suspicions):
        return _reject("malformed")
    changed = tuple(filter(state.suspicions.merge, record.suspicions))
    if not changed:
        return _reject("unchanged")
    return ApplyResult(effective=True, suspicions=changed)


def _end_member(
    state: OwnershipState, incarnation: IncarnationId, kind: EndKind, offset: int
) -> tuple[LeaseId, ...]:
    member = state.members.get(incarnation)
    if member is None or member.ended is not None:
        return ()
    state.members[incarnation] = dataclasses.replace(member, ended=kind)
    ended = []
    end = RecordedEnd(kind=kind, floor=offset, drained=kind is EndKind.RETIRED)
    for term in range(1, member.term + 1):
        lease = LeaseId(incarnation, term)
        if state.is_live(lease):
            _end_lease(state, lease, end)
            ended.append(lease)
    return tuple(ended)


def _end_lease(state: OwnershipState, lease: LeaseId, end: RecordedEnd) -> None:
    state.leases[lease] = dataclasses.replace(state.leases[lease], end=end)


def _remove_ended(state: OwnershipState) -> None:
    """Remove ended or replaced leases that no chain refers to, and their members."""
    for lease in list(state.leases):
        if lease in state.shards_by_lease:
            continue
        member = state.members[lease.incarnation]
        if lease.term < member.term or member.ended is not None:
            del state.leases[lease]
    holders = {lease.incarnation for lease in state.leases}
    for incarnation, member in list(state.members.items()):
        if member.ended is None or incarnation in holders:
            continue
        del state.members[incarnation]
        if state.incarnation_by_address.get(member.address) == incarnation:
            del state.incarnation_by_address[member.address]
