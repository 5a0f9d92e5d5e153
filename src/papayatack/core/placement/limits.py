"""Limits and thresholds of the planner."""

import dataclasses

__all__ = ["PlacementLimits"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementLimits:
    """Bounds on the changes of one plan, and thresholds for making them.

    Attributes:
        chain_length: Number of holders in a chain, including the owner.
        max_repairs: Maximum number of shards without a valid owner that one plan
            repairs.
        max_successor_changes: Maximum number of chains in which one plan changes only
            the successors.
        max_moves: Maximum number of shards that are moving at once to balance load.
        evacuation_share: Share of all shards that may be moving at once out of
            evacuated data centres, if that is more than ``max_moves``.
        max_hourly_move_share: Share of all shards that may have moved within the last
            hour before moves for load are throttled.
        max_throttled_moves: Maximum number of moves for load within
            ``move_cooldown_s`` while they are throttled.
        max_hot_shards: Maximum number of hot keys of a service with their own shards.
        start_imbalance: Excess over the mean utilisation, as a share of it, above which
            moves start.
        stop_imbalance: Excess below which moves stop.
        chance_deviations: Standard deviations of the measured utilisation that are
            added to these excesses, because they may be due to chance.
        measurement_s: Seconds over which loads are measured.
        min_gain: Minimum reduction of the excess by a move, as a share of the mean.
        hot_threshold: Load from which a key is hot, as a share of a node's mean load.
        cool_threshold: Load below which a hot key is merged back into its parent, as a
            share of a node's mean load.
        max_concentration: Multiple of its fair share, of the shards and of the load,
            above which a node is relieved at once, regardless of the limits on moves.
        max_extra_shards: Number of shards beyond this bound that a node may have, since
            few shards cannot be shared out evenly.
        relief_deviations: Standard deviations of the measured utilisation that are
            added to the bound on the load.
        relief_cooldown_s: Time after a move in which a shard is not moved again to
            relieve such a node, in seconds.
        move_cooldown_s: Time after a move in which a shard is not moved again to
            balance load, in seconds.
        min_hot_age_s: Minimum time for which a hot key keeps its own shard, in seconds.
    """

    chain_length: int = 3
    max_repairs: int = 1_000
    max_successor_changes: int = 128
    max_moves: int = 32
    evacuation_share: float = 0.125
    max_hourly_move_share: float = 0.5
    max_throttled_moves: int = 2
    max_hot_shards: int = 64
    start_imbalance: float = 0.08
    chance_deviations: float = 1.5
    measurement_s: float = 8.0
    stop_imbalance: float = 0.03
    min_gain: float = 0.01
    hot_threshold: float = 0.10
    cool_threshold: float = 0.03
    max_concentration: float = 1.6
    max_extra_shards: int = 4
    relief_deviations: float = 3.0
    relief_cooldown_s: float = 2.0
    move_cooldown_s: float = 60.0
    min_hot_age_s: float = 300.0
