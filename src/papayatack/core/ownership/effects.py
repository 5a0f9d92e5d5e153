"""Effects that the protocol core of a node asks its caller to carry out."""

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
    """Send a message to a node. Delivery is not guaranteed."""

    recipient: IncarnationId
    message: ControlMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendRecords:
    """Send a node the locally available log records from ``offset`` on."""

    recipient: IncarnationId
    stream: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AppendRecord:
    """Append a record to the ownership stream.

    Whether it takes effect is decided when the stream is folded.
    """

    record: OwnershipRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantShards:
    """Grant shards to the local upstream, then call ``confirm_grant``.

    Attributes:
        lease: Lease under which the shards are granted.
        tokens: Fencing token by shard.
        until_s: Time of the node's clock at which the grants expire.
        decided_s: Time of the same clock at which this was decided.
        handovers: By shard, the handover with which the upstream takes the shard over
            warm; shards without one are absent.
    """

    lease: LeaseId
    tokens: Mapping[ShardId, int]
    until_s: float
    decided_s: float
    handovers: Mapping[ShardId, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExtendLease:
    """Extend the grants of a lease.

    Attributes:
        lease: The lease.
        until_s: Time of the node's clock at which the grants are to expire.
        decided_s: Time of the same clock at which this was decided.
    """

    lease: LeaseId
    until_s: float
    decided_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RevokeShards:
    """Revoke grants at the local upstream, then call ``confirm_revoke``.

    Attributes:
        revocation_id: Distinguishes this revocation from others of the same shards.
        lease: Lease under which the shards were granted.
        shards: Shards to revoke.
    """

    revocation_id: int
    lease: LeaseId
    shards: tuple[ShardId, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EmitEvent:
    """Log an event and increment its counter.

    Attributes:
        name: Name of a member of :class:`papayatack.observability.events.Event`.
        reason: Reason under which the event is counted, empty if there is none.
        subject: Lease, incarnation or shards concerned.
        fields: Additional fields of the log line.
    """

    name: str
    reason: str = ""
    subject: str = ""
    fields: Mapping[str, object] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FinishNode:
    """Stop running the core: this incarnation has ended.

    Attributes:
        resigned: Whether the node shut down gracefully, even if its last stage timed
            out. If not, a record in the log ended the incarnation.
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
