"""Control messages between nodes.

Times are durations in microseconds, never instants: no two nodes share a clock.
The Thrift forms of these classes, with the same field names, are in
``papayatack/wire/peer.thrift``.
"""

import dataclasses

from papayatack.core.identity import IncarnationId, LeaseId, ShardId

__all__ = [
    "AnswerField",
    "ControlMessage",
    "Fence",
    "FenceReply",
    "KeyOutcome",
    "LeaseFenced",
    "LeaseLapsed",
    "LoadReport",
    "LogBatch",
    "LogQuery",
    "OutcomePart",
    "OutcomeQuery",
    "RelayRecord",
    "Release",
    "ReleaseQuery",
    "Renew",
    "RenewReply",
    "ShardLoad",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Renew:
    """Asks a witness to promise the lease for a further period.

    Attributes:
        lease: The holder's lease.
        round: Matches the reply to the request.
        floor: All ownership records before it are applied, and every shard that they
            took away is drained.
        config_offset: All config records before it are applied.
        ownership_offset: All ownership records before it are applied.
        heard: Newest round that this witness answered, as far as the holder heard.
    """

    lease: LeaseId
    round: int
    floor: int
    config_offset: int
    ownership_offset: int
    heard: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RenewReply:
    """A witness's answer to :class:`Renew`.

    Attributes:
        promised_us: Length of the promise from the witness's receipt; 0 if refused.
        fenced: Whether the lease is fenced for good.
        config_offset: All config records before it are applied by the witness.
        ownership_offset: All ownership records before it are applied by the witness.
    """

    lease: LeaseId
    round: int
    promised_us: int
    fenced: bool
    config_offset: int
    ownership_offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """Asks a witness to end a lease for good once its promise has run out.

    Attributes:
        lease: The lease to be fenced.
        resigned: The holder itself asks; the promise need not run out.
    """

    lease: LeaseId
    resigned: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FenceReply:
    """A witness's answer to :class:`Fence`.

    Attributes:
        fenced: Whether the lease is fenced for good.
        floor: Highest floor that the witness has seen for the lease.
        remaining_us: Time until the promise runs out, if not fenced.
        drained: The holder had finished its requests and asked for the fence itself.
    """

    lease: LeaseId
    fenced: bool
    floor: int
    remaining_us: int
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseLapsed:
    """A witness tells the claimants of a lease that its promise has run out."""

    lease: LeaseId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseFenced:
    """A hint for routing: a majority of witnesses has fenced the lease."""

    lease: LeaseId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogQuery:
    """Asks a node for the log records from an offset on, as a :class:`LogBatch`."""

    stream: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayRecord:
    """Asks a node to append a record of the sender, which does not reach the log.

    Attributes:
        payload: The record, as it is to stand in the log; a repetition is void there.
    """

    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """The old holder has stopped serving shards as of the given epochs.

    Attributes:
        lease: The old holder's lease.
        shards: Shards released.
        epochs: The epoch of each move, in the order of ``shards``.
        handovers: What the old holder's upstream gave for its successor to take a
            shard over warm, in the order of ``shards``; empty for none.
    """

    lease: LeaseId
    shards: tuple[ShardId, ...]
    epochs: tuple[int, ...]
    handovers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseQuery:
    """A new holder asks an old one to release shards (or say so again)."""

    asker: LeaseId
    lease: LeaseId
    shards: tuple[ShardId, ...]
    epochs: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogBatch:
    """Consecutive log records, for a node that is behind.

    Attributes:
        stream: The stream's name.
        first: Offset of the first record.
        payloads: The records as they are in the log, from a node that does not pack.
        packed: The records, packed.
    """

    stream: str
    first: int
    payloads: tuple[bytes, ...] = ()
    packed: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardLoad:
    """Measured load of one shard.

    Attributes:
        shard: The shard.
        rate: Requests a second.
        busy: Mean number of slots in use (rate times service time).
    """

    shard: ShardId
    rate: float
    busy: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """A node's measured load, for the planner.

    Attributes:
        incarnation: The reporting node.
        shards: Its shards with notable load.
        busy: Mean number of its slots in use.
        hot_keys: Single keys with notable load, as shards of their own.
        leaving: The node hands its shards on and wants no others.
        service_s: Mean time that its upstream takes for a request; 0 if not known.
    """

    incarnation: IncarnationId
    busy: float
    shards: tuple[ShardLoad, ...] = ()
    hot_keys: tuple[ShardLoad, ...] = ()
    leaving: bool = False
    service_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeQuery:
    """Asks the node that released a shard for the outcomes of its keyed requests.

    Attributes:
        shard: The shard.
        epoch: Epoch under which the asked node must have served it last.
        index: The part that is asked for, from 0.
    """

    shard: ShardId
    epoch: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerField:
    """A header field of a kept answer."""

    name: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyOutcome:
    """What became of one keyed request.

    Attributes:
        key: Digest of the key and of what sets callers apart.
        fingerprint: Digest of the request.
        remaining_us: Time for which it must still be kept.
        status: Status of the kept answer, 0 if there is none.
        headers: Its header fields.
        body: Its body.
    """

    key: str
    fingerprint: bytes
    remaining_us: int
    status: int = 0
    headers: tuple[AnswerField, ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomePart:
    """Answers :class:`OutcomeQuery`.

    Attributes:
        shard: The shard.
        epoch: Epoch under which the sender served it last.
        index: Number of the part.
        last: Whether no part follows.
        unknown_remaining_us: Time for which keys of an owner that was lost before may
            still be repeated.
        unknown_before: First fencing token after that loss.
        outcomes: The outcomes.
    """

    shard: ShardId
    epoch: int
    index: int
    last: bool
    unknown_remaining_us: int = 0
    unknown_before: int = 0
    outcomes: tuple[KeyOutcome, ...] = ()


ControlMessage = (
    Renew
    | RenewReply
    | Fence
    | FenceReply
    | Release
    | ReleaseQuery
    | LogBatch
    | LoadReport
    | LeaseLapsed
    | LeaseFenced
    | LogQuery
    | OutcomeQuery
    | OutcomePart
    | RelayRecord
)
