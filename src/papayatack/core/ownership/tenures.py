"""In which tenures a node owns, or owned, the shards of a key."""

from papayatack.core.idempotency import KeyTenure, Tenure
from papayatack.core.identity import ShardId
from papayatack.core.ownership.owned_shards import HotKeyMerge, OwnedShard, OwnedShards

__all__ = ["find_key_tenure", "make_tenure"]


def find_key_tenure(
    rights: OwnedShards, shard: ShardId, related: ShardId
) -> KeyTenure | None:
    """Return the tenures of a key, ``None`` if the node does not own it.

    Args:
        rights: The node's rights.
        shard: The shard that holds the key.
        related: Its parent if it is a hot key's own shard, else the id that such a
            shard has.
    """
    right = rights.owned.get(shard)
    if right is None:
        return None
    earlier = None
    if (other := rights.owned.get(related)) is not None:
        earlier = make_tenure(related, other)
    elif (returned := rights.find_merge(related)) is not None:
        earlier = _make_past_tenure(related, returned)
    return KeyTenure(
        current=make_tenure(shard, right), related_shard=related, related_tenure=earlier
    )


def make_tenure(shard: ShardId, right: OwnedShard) -> Tenure:
    """Return the tenure to which a right belongs."""
    origin = right.previous_owner
    return Tenure(
        shard=shard,
        number=right.tenure_number,
        token=right.target_token,
        since_s=right.since_s,
        is_first=right.is_first,
        parent_number=right.parent_tenure_number,
        predecessor=origin.incarnation if origin is not None else None,
        predecessor_epoch=origin.epoch if origin is not None else 0,
    )


def _make_past_tenure(shard: ShardId, returned: HotKeyMerge) -> Tenure:
    """Return a hot key's last tenure here, or one that stands for what is unknown."""
    if returned.right is not None:
        return make_tenure(shard, returned.right)
    number = returned.tenure_number
    return Tenure(shard=shard, number=number, token=-number, since_s=returned.at_s)
