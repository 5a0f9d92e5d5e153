"""In which tenures a node owns, or owned, the shards of a key."""

from papayatack.core.idempotency import KeyTenure, Tenure
from papayatack.core.identity import ShardId
from papayatack.core.ownership.rights import Return, Right, Rights

__all__ = ["find_key_tenure", "make_tenure"]


def find_key_tenure(
    rights: Rights, shard: ShardId, related: ShardId
) -> KeyTenure | None:
    """Return the tenures of a key, ``None`` if the node does not own it.

    Args:
        rights: The node's rights.
        shard: The shard that holds the key.
        related: Its parent if it is a hot key's own shard, else the id that such a
            shard has.
    """
    right = rights.rights.get(shard)
    if right is None:
        return None
    earlier = None
    if (other := rights.rights.get(related)) is not None:
        earlier = make_tenure(related, other)
    elif (returned := rights.find_return(related)) is not None:
        earlier = _make_past_tenure(related, returned)
    return KeyTenure(
        current=make_tenure(shard, right), related=related, earlier=earlier
    )


def make_tenure(shard: ShardId, right: Right) -> Tenure:
    """Return the tenure to which a right belongs."""
    origin = right.origin
    return Tenure(
        shard=shard,
        number=right.tenure,
        token=right.wanted_token,
        since_s=right.since_s,
        is_first=right.is_first,
        parent_number=right.parent_tenure,
        predecessor=origin.incarnation if origin is not None else None,
        predecessor_epoch=origin.epoch if origin is not None else 0,
    )


def _make_past_tenure(shard: ShardId, returned: Return) -> Tenure:
    """Return a hot key's last tenure here, or one that stands for what is unknown."""
    if returned.right is not None:
        return make_tenure(shard, returned.right)
    number = returned.tenure
    return Tenure(shard=shard, number=number, token=-number, since_s=returned.at_s)
