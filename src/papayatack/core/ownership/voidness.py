"""Finds records that the fold is certain to reject, so that they need no append.

A record may come from a node that has applied more of the log than the local one. Only
what later records cannot change counts: versions that have passed, and ends.
"""

import functools

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.records import (
    Activate,
    Activation,
    Admit,
    Announce,
    Assign,
    Assignment,
    Attach,
    Fenced,
    OwnershipRecord,
    Retire,
)

__all__ = ["find_void_reason"]


@functools.singledispatch
def find_void_reason(record: OwnershipRecord, state: OwnershipState) -> str:
    """Return why a record is certain to have no effect, empty if it may have one."""
    return ""


@find_void_reason.register
def _(record: Announce, state: OwnershipState) -> str:
    return "known incarnation" if record.incarnation in state.members else ""


@find_void_reason.register
def _(record: Attach | Retire, state: OwnershipState) -> str:
    return "unknown incarnation" if _has_ended(record.incarnation, state) else ""


@find_void_reason.register
def _(record: Admit, state: OwnershipState) -> str:
    holder = record.lease.incarnation
    if _has_ended(holder, state):
        return "unknown incarnation"
    if holder in state.members and record.lease.term <= state.members[holder].term:
        return "term taken"
    if any(_has_ended(name, state) for name in record.witnesses):
        return "unknown witness"
    return ""


@find_void_reason.register
def _(record: Fenced, state: OwnershipState) -> str:
    return "lease ended" if _has_lease_ended(record.lease, state) else ""


@find_void_reason.register
def _(record: Assign, state: OwnershipState) -> str:
    reasons = [_check_assignment(part, state) for part in record.assignments]
    return reasons[-1] if all(reasons) and reasons else ""


def _check_assignment(assignment: Assignment, state: OwnershipState) -> str:
    entry = state.shards.get(assignment.shard)
    if entry is not None and assignment.base_epoch < entry.current.epoch:
        return "epoch taken"
    if any(_has_lease_ended(lease, state) for lease in assignment.chain):
        return "lease ended"
    return ""


@find_void_reason.register
def _(record: Activate, state: OwnershipState) -> str:
    is_void = all(_is_activation_void(part, state) for part in record.activations)
    return "epoch taken" if is_void else ""


def _is_activation_void(activation: Activation, state: OwnershipState) -> bool:
    entry = state.shards.get(activation.shard)
    if entry is None or activation.epoch > entry.current.epoch:
        return False
    return entry.active or activation.epoch < entry.current.epoch


def _has_ended(incarnation: IncarnationId, state: OwnershipState) -> bool:
    """Tell whether a member is known as ended."""
    member = state.members.get(incarnation)
    return member is not None and member.ended is not None


def _has_lease_ended(lease: LeaseId, state: OwnershipState) -> bool:
    """Tell whether a lease is known as ended, or replaced and removed since."""
    if state.is_live(lease):
        return False
    member = state.members.get(lease.incarnation)
    if lease in state.leases or member is None:
        return lease in state.leases
    return member.ended is not None or lease.term <= member.term
