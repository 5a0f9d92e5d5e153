"""What the core of a node asks its surroundings to do."""

import dataclasses
from collections.abc import Mapping

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.messages import ControlMessage
from papayatack.core.records import OwnershipRecord

__all__ = [
    "AppendRecord",
    "Effect",
    "ExtendLease",
    "FinishNode",
    "GrantShards",
    "EmitEvent",
    "RevokeShards",
    "SendMessage",
    "SendRecords",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendMessage:
    """Send a message to a node; it may be lost."""

    recipient: IncarnationId
    message: ControlMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendRecords:
    """Send a node the log records from ``offset`` on, as far as they are at hand."""

    recipient: IncarnationId
    stream: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AppendRecord:
    """Append a record to the ownership stream; the fold tells whether it counts."""

    record: OwnershipRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantShards:
    """Grant shards to the own upstream, then confirm with ``confirm_grant``."""

    lease: LeaseId
    tokens: Mapping[ShardId, int]
    remaining_s: float
    handovers: Mapping[ShardId, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExtendLease:
    """Extend all grants of a lease at the own upstream."""

    lease: LeaseId
    remaining_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RevokeShards:
    """End grants at the own upstream, then confirm with ``confirm_revoke``.

    Attributes:
        number: Tells this revocation from others of the same shards.
        lease: The lease under which they were granted.
        shards: The shards.
    """

    revocation_id: int
    lease: LeaseId
    shards: tuple[ShardId, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EmitEvent:
    """Write a log event and count it.

    Attributes:
        name: Name in :class:`papayatack.observability.events.Event`.
        reason: Counted reason, empty if there is none.
        subject: The lease, incarnation or shards concerned.
        fields: What the decision rests on.
    """

    name: str
    reason: str = ""
    subject: str = ""
    fields: Mapping[str, object] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FinishNode:
    """The node has nothing left to do under this incarnation.

    Attributes:
        resigned: It drained by its own will; otherwise the log ended it.
    """

    resigned: bool


Effect = (
    SendMessage
    | SendRecords
    | AppendRecord
    | GrantShards
    | ExtendLease
    | RevokeShards
    | EmitEvent
    | FinishNode
)
