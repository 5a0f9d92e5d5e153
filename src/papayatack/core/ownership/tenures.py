"""Finds the tenures under which a node owns, or owned, the shards of a key."""

from papayatack.core.idempotency import KeyTenure, Tenure
from papayatack.core.identity import ShardId
from papayatack.core.ownership.owned_shards import HotKeyMerge, OwnedShard, OwnedShards

__all__ = ["find_key_tenure", "make_tenure"]


def find_key_tenure(
    owned_shards: OwnedShards, shard: ShardId, related: ShardId
) -> KeyTenure | None:
    """Return the tenures of a key, ``None`` if the node does not own it.

    Args:
        owned_shards: The node's shards.
        shard: The shard that contains the key.
        related: The parent if ``shard`` is a hot key's own shard, otherwise the id that
            such a shard has.
    """
    owned = owned_shards.owned.get(shard)
    if owned is None:
        return None
    earlier = None
    if (other := owned_shards.owned.get(related)) is not None:
        earlier = make_tenure(related, other)
    elif (merge := owned_shards.find_merge(related)) is not None:
        earlier = _make_past_tenure(related, merge)
    return KeyTenure(
        current=make_tenure(shard, owned), related_shard=related, related_tenure=earlier
    )


def make_tenure(shard: ShardId, owned: OwnedShard) -> Tenure:
    """Return the tenure of an owned shard."""
    origin = owned.previous_owner
    return Tenure(
        shard=shard,
        number=owned.tenure_number,
        token=owned.target_token,
        since_s=owned.since_s,
        is_first=owned.is_first,
        parent_number=owned.parent_tenure_number,
        predecessor=origin.incarnation if origin is not None else None,
        predecessor_epoch=origin.epoch if origin is not None else 0,
    )


def _make_past_tenure(shard: ShardId, merge: HotKeyMerge) -> Tenure:
    """Return a hot key's last tenure on this node, or a placeholder if unknown."""
    if merge.owned is not None:
        return make_tenure(shard, merge.owned)
    number = merge.tenure_number
    return Tenure(shard=shard, number=number, token=-number, since_s=merge.merged_s)
