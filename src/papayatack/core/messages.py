"""Control messages between nodes.

All times are durations in microseconds rather than points in time, because the clocks
of the nodes are not synchronized. ``papayatack/wire/peer.thrift`` defines the Thrift
structs of these classes, with the same field names.
"""

import dataclasses

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.quarantine.suspicion import Suspicion

__all__ = [
    "AnswerField",
    "ControlMessage",
    "Fence",
    "FenceReply",
    "KeyOutcome",
    "LeaseFenced",
    "LeaseLapsed",
    "LoadReport",
    "ConfigPosition",
    "LogBatch",
    "LogQuery",
    "LogUnreachable",
    "OutcomePart",
    "OutcomeQuery",
    "RelayRecord",
    "Release",
    "ReleaseQuery",
    "Renew",
    "RenewReply",
    "ShardLoad",
    "SuspectReport",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Renew:
    """Asks a witness to renew its promise of a lease.

    Attributes:
        lease: The lease of the sender.
        round: Number of the renewal, repeated in the reply.
        floor: Offset before which the holder has applied all ownership records and
            drained every shard that they took from it.
        config_offset: Offset before which the holder has applied all config records.
        ownership_offset: Offset before which the holder has applied all ownership
            records.
        heard: Newest round for which the holder has received this witness's reply.
        config_age_us: Time since the holder's configuration was the newest for certain,
            in microseconds; ``None`` if unknown.
    """

    lease: LeaseId
    round: int
    floor: int
    config_offset: int
    ownership_offset: int
    heard: int = 0
    config_age_us: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RenewReply:
    """Reply of a witness to :class:`Renew`.

    Attributes:
        lease: The lease.
        round: Number of the renewal.
        promised_us: Duration of the promise from the receipt of the renewal by the
            witness, in microseconds; 0 if it is refused.
        fenced: Whether the witness has fenced the lease, which is permanent.
        config_offset: Offset before which the witness has applied all config records.
        ownership_offset: Offset before which the witness has applied all ownership
            records.
        config_age_us: Time since the witness's configuration was the newest for
            certain, in microseconds; ``None`` if unknown.
        permanent: Whether the witness is shutting down and will never fence the lease.
    """

    lease: LeaseId
    round: int
    promised_us: int
    fenced: bool
    config_offset: int
    ownership_offset: int
    config_age_us: int | None = None
    permanent: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """Asks a witness to fence a lease permanently once its promise has expired.

    Attributes:
        lease: The lease to fence.
        resigned: Whether the holder itself asks, so that the witness need not wait
            until its promise has expired.
    """

    lease: LeaseId
    resigned: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FenceReply:
    """Reply of a witness to :class:`Fence`.

    Attributes:
        lease: The lease.
        fenced: Whether the witness has fenced the lease, which is permanent.
        floor: Highest floor that the witness has received for the lease.
        remaining_us: Time until the promise expires, in microseconds, if the lease is
            not fenced.
        drained: Whether the holder had completed its requests and requested the fence
            itself.
    """

    lease: LeaseId
    fenced: bool
    floor: int
    remaining_us: int
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseLapsed:
    """Notifies the claimants of a lease that the sender's promise of it has expired."""

    lease: LeaseId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseFenced:
    """Routing hint that a majority of its witnesses has fenced a lease."""

    lease: LeaseId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogUnreachable:
    """Tells nodes that rely on the sender for a stream to read the log themselves.

    It is repeated while the sender does not reach the log.

    Attributes:
        stream: The stream's name.
    """

    stream: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigPosition:
    """Tells until when the log had no config record from an offset on.

    Attributes:
        offset: Offset after the newest config record.
        age_us: Time since this was the newest for certain, in microseconds.
        response_us: How long the log took for the answer that showed this, in
            microseconds; ``None`` if that is unknown.
    """

    offset: int
    age_us: int
    response_us: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogQuery:
    """Requests the log records from an offset on, as :class:`LogBatch` messages."""

    stream: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayRecord:
    """Asks a node to append a record for the sender, which cannot reach the log.

    Attributes:
        payload: The encoded record, appended as is. A duplicate has no effect.
    """

    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """Reports that the previous holder of shards has stopped serving them.

    Attributes:
        lease: Lease of the previous holder.
        shards: The released shards.
        epochs: Epochs of the chains to which the shards are released, in the order of
            ``shards``.
        handovers: Data from the previous holder's upstream that lets the upstream of
            the next holder start warm, in the order of ``shards``; an item is empty
            if there is none.
    """

    lease: LeaseId
    shards: tuple[ShardId, ...]
    epochs: tuple[int, ...]
    handovers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseQuery:
    """Asks a previous holder to release shards, or to repeat its :class:`Release`."""

    asker: LeaseId
    lease: LeaseId
    shards: tuple[ShardId, ...]
    epochs: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogBatch:
    """Consecutive log records for a node that lacks them.

    Attributes:
        stream: Name of the stream.
        first: Offset of the first record.
        payloads: Records as stored in the log, from a node that does not compress them.
        packed: Compressed records.
        hops: Number of nodes through which the records have passed, with the sender.
        age_us: Time since the first of these nodes read the records from the log, in
            microseconds, without the time of this message on its way.
    """

    stream: str
    first: int
    payloads: tuple[bytes, ...] = ()
    packed: tuple[bytes, ...] = ()
    hops: int = 0
    age_us: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardLoad:
    """Measured load of one shard.

    Attributes:
        shard: The shard.
        rate: Requests per second.
        busy: Mean number of slots in use, the product of rate and service time.
    """

    shard: ShardId
    rate: float
    busy: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Measured load of a node, for the planner.

    Attributes:
        incarnation: The reporting node.
        shards: Its shards with significant load.
        busy: Mean number of its slots in use.
        hot_keys: Single keys with significant load, under the ids of the shards that
            they would have to themselves.
        leaving: Whether the node is shutting down: it hands over its shards and accepts
            no others.
        service_s: Mean service time of its upstream in seconds; 0 if unknown.
        requests_per_s: Limit that its upstream names, or bears while it is cold; 0 if
            there is none.
    """

    incarnation: IncarnationId
    busy: float
    shards: tuple[ShardLoad, ...] = ()
    hot_keys: tuple[ShardLoad, ...] = ()
    leaving: bool = False
    service_s: float = 0.0
    requests_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeQuery:
    """Asks the previous owner of a shard for the outcomes of its keyed requests.

    Attributes:
        shard: The shard.
        epoch: Epoch under which the recipient must have last served the shard.
        index: Index of the requested part, from 0.
    """

    shard: ShardId
    epoch: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerField:
    """A header field of a stored response."""

    name: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyOutcome:
    """Outcome of one request with an idempotency key.

    Attributes:
        key: Digest of the idempotency key and of the values that distinguish callers.
        fingerprint: Digest of the request.
        remaining_us: Time for which the outcome must still be stored, in microseconds.
        status: Status of the stored response; 0 if there is none.
        headers: Header fields of the stored response.
        body: Body of the stored response.
    """

    key: str
    fingerprint: bytes
    remaining_us: int
    status: int = 0
    headers: tuple[AnswerField, ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomePart:
    """Reply to :class:`OutcomeQuery`.

    Attributes:
        shard: The shard.
        epoch: Epoch under which the sender last served the shard.
        index: Index of the part, from 0.
        last: Whether this is the last part.
        unknown_remaining_us: Time for which requests may still be repeated whose
            outcomes were lost with an earlier owner, in microseconds.
        unknown_before: First fencing token issued after that loss.
        outcomes: Outcomes of keyed requests.
    """

    shard: ShardId
    epoch: int
    index: int
    last: bool
    unknown_remaining_us: int = 0
    unknown_before: int = 0
    outcomes: tuple[KeyOutcome, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SuspectReport:
    """Tells a node of suspicions before it reads them in the ownership log."""

    suspicions: tuple[Suspicion, ...]


ControlMessage = (
    Renew
    | RenewReply
    | Fence
    | FenceReply
    | Release
    | ReleaseQuery
    | ConfigPosition
    | LogBatch
    | LoadReport
    | LeaseLapsed
    | LeaseFenced
    | LogQuery
    | LogUnreachable
    | OutcomeQuery
    | OutcomePart
    | RelayRecord
    | SuspectReport
)
