"""Limits and thresholds of the planner."""

import dataclasses

__all__ = ["PlacementLimits"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementLimits:
    """What one plan may change, and from when on a change is worth it.

    Attributes:
        chain_length: Holders in a chain, the owner included.
        repairs: Chains that one plan gives to shards without a sound owner.
        successor_changes: Chains of which one plan changes successors alone.
        moves: Shards that may be on the move at once to even out load.
        hourly_share: Share of all shards that may have moved within the last hour
            before moves for load are throttled.
        throttled_moves: Moves for load within ``settle_s`` while they are throttled.
        hot_shards: Hot keys of a service that may be shards of their own.
        start_imbalance: Excess over the mean utilisation that starts moves.
        stop_imbalance: Excess at which they end.
        min_gain: Least reduction of the excess by a move, as a share of the mean.
        hot_share: Share of a mean node's load from which a key is hot.
        cool_share: Share below which it returns to its parent.
        settle_s: Seconds after a move in which a shard is not moved for load.
        keep_hot_s: Seconds for which a hot key at least stays a shard of its own.
    """

    chain_length: int = 3
    max_repairs: int = 1_000
    max_successor_changes: int = 128
    max_moves: int = 32
    max_hourly_move_share: float = 0.5
    max_throttled_moves: int = 2
    max_hot_shards: int = 64
    start_imbalance: float = 0.08
    stop_imbalance: float = 0.03
    min_gain: float = 0.01
    hot_threshold: float = 0.10
    cool_threshold: float = 0.03
    move_cooldown_s: float = 60.0
    min_hot_age_s: float = 300.0
