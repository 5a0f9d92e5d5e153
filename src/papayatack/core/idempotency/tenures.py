"""In which times this node has owned a key."""

import dataclasses

from papayatack.core.identity import IncarnationId, ShardId

__all__ = ["KeyTenure", "Tenure"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tenure:
    """A time during which this node, and no other, has owned a shard.

    Attributes:
        shard: The shard.
        number: Unique on this node; a later tenure has a higher one.
        token: Fencing token at its start or later.
        since_s: Event loop time at which it began.
        is_first: No node had owned the keys before.
        parent_number: Tenure of the parent shard on this node from which a hot key
            came; ``None`` if it came from elsewhere.
        predecessor: The node that alone served the shard until it released it to this
            one; ``None`` if there was no such node.
        predecessor_epoch: Epoch under which that node must have served it.
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
    """In which tenures this node has owned one key.

    Attributes:
        current: Tenure of the shard that holds the key now.
        related: The shard to which the key may have belonged before: a hot key's own
            one, or its parent.
        earlier: Tenure of the related shard, if this node has or had it and it
            matters still.
    """

    current: Tenure
    related_shard: ShardId
    related_tenure: Tenure | None = None
