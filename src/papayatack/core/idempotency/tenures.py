"""Tenures: periods in which this node owned a shard or a key."""

import dataclasses

from papayatack.core.identity import IncarnationId, ShardId

__all__ = ["KeyTenure", "Tenure"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tenure:
    """An uninterrupted period in which this node was the only owner of a shard.

    Attributes:
        shard: The shard.
        number: Sequence number of the tenure, unique on this node and increasing.
        token: Fencing token at the start of the tenure or later.
        since_s: Event loop time at which the tenure began.
        is_first: Whether no node had owned the shard's keys before.
        parent_number: Number of this node's tenure of the parent shard from which a hot
            key was split off; ``None`` if the key came from elsewhere.
        predecessor: The node that was the only owner until it released the shard to
            this one; ``None`` if there was no such node.
        predecessor_epoch: Epoch under which the predecessor must have served the shard.
    """

    shard: ShardId
    number: int
    token: int
    since_s: float
    is_first: bool = False
    parent_number: int | None = None
    predecessor: IncarnationId | None = None
    predecessor_epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyTenure:
    """The tenures in which this node has owned one key.

    Attributes:
        current: Tenure of the shard that holds the key now.
        related_shard: The other shard that may have held the key: the parent of a hot
            key's own shard, or the shard that the key has when it is hot.
        related_tenure: This node's current or past tenure of the related shard, if it
            still affects which keys may have been used.
    """

    current: Tenure
    related_shard: ShardId
    related_tenure: Tenure | None = None
