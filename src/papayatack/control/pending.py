"""The records that a node has yet to append, in the order of their importance."""

import dataclasses
import functools

from papayatack.core.ownership.state import OwnershipState
from papayatack.core.ownership.voidness import find_void_reason
from papayatack.core.records import (
    Activate,
    Admit,
    Announce,
    Assign,
    Attach,
    DeclareLost,
    Fenced,
    OwnershipRecord,
    ReportSuspects,
    Retire,
)

__all__ = ["MAX_AGE_S", "PendingRecord", "PendingRecords", "PlanWrite"]

MAX_QUEUED_RECORDS = 32
MAX_AGE_S = 2.0
"""Age at which records that the core makes again from the present state are dropped."""

MAX_RELAYED_AGE_S = 1.0
"""The same for those of another node, which has tried to append them before."""

AGING_RECORDS = (Activate, Admit, Assign)
"""Kinds of records that say little once the state has changed."""

ORDER = (
    (Retire, Announce),
    (Admit, Fenced),
    (Attach, DeclareLost, ReportSuspects),
    (Assign, Activate),
)
"""Kinds of records, the most important first."""


@dataclasses.dataclass(slots=True, kw_only=True)
class PlanWrite:
    """What has become of the records of one plan.

    Attributes:
        until_s: Time after which the plan is no longer waited for.
        unresolved: Ids of the records that are neither appended nor dropped.
        end: Offset after the last of its records.
        has_failed: Whether some record was dropped or could not be appended.
    """

    until_s: float
    unresolved: set[str]
    end: int = 0
    has_failed: bool = False

    def is_pending(self, next_offset: int, now: float) -> bool:
        """Return whether to wait until the local state has the records."""
        is_open = bool(self.unresolved) or next_offset < self.end
        return is_open and now < self.until_s


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class PendingRecord:
    """A record to append.

    Attributes:
        record: The record.
        put_s: Time at which it was queued.
        is_relayed: Whether it is another node's.
        plan: The plan that it belongs to, if any.
    """

    record: OwnershipRecord
    put_s: float
    is_relayed: bool = False
    plan: PlanWrite | None = None

    @property
    def until_s(self) -> float:
        """Time from which the record is not to be appended any more."""
        if not isinstance(self.record, AGING_RECORDS):
            return float("inf")
        return self.put_s + (MAX_RELAYED_AGE_S if self.is_relayed else MAX_AGE_S)

    @property
    def rank(self) -> tuple[int, bool]:
        """Place in the order; the records of a plan come after all others."""
        found = (i for i, kinds in enumerate(ORDER) if isinstance(self.record, kinds))
        return next(found, len(ORDER)), self.plan is not None

    def find_obstacle(self, state: OwnershipState, now: float) -> str:
        """Return why the record need not be appended, empty if it must be."""
        if now > self.until_s:
            return "old"
        return find_void_reason(self.record, state)


class PendingRecords:
    """A bounded queue of records; of those with one subject the newest counts."""

    def __init__(self) -> None:
        self._entries: list[PendingRecord] = []

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, entry: PendingRecord) -> list[PendingRecord]:
        """Add a record; return those that are dropped for it, possibly itself."""
        subject = _find_subject(entry.record)
        dropped = [
            other
            for other in self._entries
            if subject is not None and _find_subject(other.record) == subject
        ]
        self._entries = [other for other in self._entries if other not in dropped]
        self._entries.append(entry)
        if len(self._entries) > MAX_QUEUED_RECORDS:
            last = max(reversed(self._entries), key=lambda other: other.rank)
            self._entries.remove(last)
            dropped.append(last)
        return dropped

    def take(self) -> PendingRecord:
        """Remove and return the most important record, the oldest among equals."""
        first = min(self._entries, key=lambda entry: entry.rank)
        self._entries.remove(first)
        return first

    def drop_plan(self) -> list[PendingRecord]:
        """Remove and return the records of plans."""
        dropped = [entry for entry in self._entries if entry.plan is not None]
        self._entries = [entry for entry in self._entries if entry.plan is None]
        return dropped


@functools.singledispatch
def _find_subject(record: OwnershipRecord) -> object:
    """Return what later records of the same subject replace, if there is any."""
    return None


@_find_subject.register(Announce)
@_find_subject.register(Attach)
@_find_subject.register(Retire)
def _(record: Announce | Attach | Retire) -> object:
    return type(record), record.incarnation


@_find_subject.register
def _(record: Admit) -> object:
    return Admit, record.lease.incarnation


@_find_subject.register
def _(record: Fenced) -> object:
    return Fenced, record.lease


@_find_subject.register
def _(record: Activate) -> object:
    return Activate, record.writer
