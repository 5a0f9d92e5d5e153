"""Working state of the planner."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

from papayatack.core.identity import LeaseId, ShardId
from papayatack.core.inventory import Configuration
from papayatack.core.placement.limits import PlacementLimits
from papayatack.core.placement.load_estimation import IDLE_UTILISATION, estimate_loads
from papayatack.core.placement.node_pool import NodePool, PoolNode
from papayatack.core.placement.view import PlacementShard, PlacementView
from papayatack.core.records import Assignment
from papayatack.core.shards import is_hot_shard, list_shards

__all__ = ["PlanBuilder"]

_UNASSIGNED = PlacementShard(epoch=0, chain=())


class PlanBuilder:
    """Collects the assignments of a plan and the chains that result from them.

    Attributes:
        view: Input of the plan.
        limits: Bounds on the plan.
        assignments: Assignments planned so far.
        shards: All shards that need an owner, in the order of :func:`list_shards`.
        measured_loads: Estimated load of each shard in slots, without the idle load.
        pools: Nodes of each service that has key ranges.
        loads: Load of each shard in slots, with its part of the idle load.
        chains: Chain of each shard after the planned assignments.
        preceding: Maps each shard that covers a slice of a range of numbered keys to
            the shard of the slice before it; the first slice has no entry.
    """

    def __init__(self, *, view: PlacementView, limits: PlacementLimits) -> None:
        self.view = view
        self.limits = limits
        self.assignments: list[Assignment] = []
        self._changed: set[ShardId] = set()
        self._evacuated = {
            node.lease.incarnation for node in view.nodes if node.evacuated
        }
        self._new_owners: list[tuple[bool, ShardId, PoolNode]] = []
        hot = (s for s, state in view.shards.items() if state.chain and is_hot_shard(s))
        self.shards = list_shards(view.configuration, hot)
        self.measured_loads = estimate_loads(view, self.shards)
        self.pools = {
            service.name: NodePool(
                configuration=view.configuration,
                service=service,
                nodes=(node for node in view.nodes if node.service == service.name),
                chain_length=limits.chain_length,
            )
            for service in view.configuration.services
            if service.key_ranges
        }
        self._pool_of = {
            shard: self.pools[_find_service(shard)] for shard in self.shards
        }
        self.loads = self._add_idle_load()
        self.chains = {shard: self.find_state(shard).chain for shard in self.shards}
        self.preceding = _find_preceding(view.configuration, self.shards)
        for shard, chain in self.chains.items():
            pool = self.find_pool(shard)
            pool.demand += self.loads[shard]
            pool.count += not is_hot_shard(shard)
            pool.add_shard(shard, self.loads[shard], chain)

    def _add_idle_load(self) -> dict[ShardId, float]:
        """Return the measured loads plus the idle load of each shard.

        The idle load of a service is a fixed share of its nodes' capacity, spread
        evenly over its shards except those of hot keys.
        """
        ordinary = [shard for shard in self.shards if not is_hot_shard(shard)]
        counts = Counter(self._pool_of[shard].service.name for shard in ordinary)
        idle = {
            name: IDLE_UTILISATION * (self.pools[name].capacity or 1.0) / count
            for name, count in counts.items()
        }
        loads = dict(self.measured_loads)
        for shard in ordinary:
            loads[shard] += idle[self._pool_of[shard].service.name]
        return loads

    def estimate_deviation(self, pool: NodePool) -> float:
        """Return the standard deviation of a node's measured utilisation by chance.

        Requests arrive at random, so that the load measured at a node with few of them
        differs from its mean.
        """
        names = pool.nodes.keys()
        times_s = [
            report.service_s
            for report in self.view.loads
            if report.incarnation in names and report.service_s > 0
        ]
        if not times_s:
            return 0.0
        service_s = sum(times_s) / len(times_s)
        slots = pool.capacity / len(pool.nodes)
        requests_per_slot = self.limits.measurement_s / service_s
        return math.sqrt(pool.load / pool.capacity / (requests_per_slot * slots))

    def find_state(self, shard: ShardId) -> PlacementShard:
        """Return the state of a shard before the plan."""
        return self.view.shards.get(shard, _UNASSIGNED)

    def find_pool(self, shard: ShardId) -> NodePool:
        """Return the pool of nodes that may own a shard."""
        return self._pool_of[shard]

    def is_movable(self, shard: ShardId) -> bool:
        """Return whether a shard may be moved to balance load."""
        state = self.find_state(shard)
        moving = state.moving or shard in self._changed
        return not moving and state.age_s >= self.limits.move_cooldown_s

    def is_relievable(self, shard: ShardId) -> bool:
        """Return whether a shard may be moved to relieve a node at once."""
        state = self.find_state(shard)
        moving = state.moving and not state.owner_kept
        busy = moving or shard in self._changed
        return not busy and state.age_s >= self.limits.relief_cooldown_s

    def is_evacuating(self, shard: ShardId) -> bool:
        """Return whether a shard's owner leaves it, but still serves it."""
        chain = self.chains[shard]
        return bool(chain) and chain[0].incarnation in self._evacuated

    @property
    def has_evacuating_shards(self) -> bool:
        """Whether any shard is still to be moved out of an evacuated data centre."""
        return bool(self._evacuated) and any(
            self.is_evacuating(shard) and self.find_pool(shard).nodes
            for shard in self.shards
        )

    def count_allowed_evacuations(self) -> int:
        """Return how many further shards may be moved out of evacuated data centres."""
        states = self.view.shards.values()
        moving = sum(state.moving and not state.owner_kept for state in states)
        share = math.ceil(self.limits.evacuation_share * len(self.shards))
        return max(max(self.limits.max_moves, share) - moving, 0)

    def is_changed(self, shard: ShardId) -> bool:
        """Return whether the plan already changes a shard."""
        return shard in self._changed

    def assign(self, shard: ShardId, chain: Sequence[LeaseId]) -> None:
        """Plan a new chain for a shard."""
        self._replace_chain(shard, chain)
        self.add_assignment(shard, chain)

    def assign_owner(
        self, shard: ShardId, owner: PoolNode, *, urgent: bool = False
    ) -> None:
        """Plan a new owner for a shard; :meth:`choose_successors` completes the chain.

        Args:
            shard: The shard.
            owner: Its new owner.
            urgent: Whether the shard has no holder until then.
        """
        self._replace_chain(shard, (owner.lease,))
        self._changed.add(shard)
        self._new_owners.append((not urgent, shard, owner))

    def choose_successors(self) -> None:
        """Complete the chains of all new owners, once their loads are known."""
        self._new_owners.sort(key=lambda entry: entry[0])
        for _, shard, owner in self._new_owners:
            pool = self.find_pool(shard)
            self.assign(shard, pool.build_chain(shard, self.loads[shard], owner, ()))
        self._new_owners.clear()

    def _replace_chain(self, shard: ShardId, chain: Sequence[LeaseId]) -> None:
        pool, load = self.find_pool(shard), self.loads[shard]
        pool.remove_shard(shard, load, self.chains[shard])
        pool.add_shard(shard, load, chain)
        self.chains[shard] = tuple(chain)

    def add_assignment(
        self,
        shard: ShardId,
        chain: Iterable[LeaseId],
        *,
        parent: ShardId | None = None,
    ) -> None:
        """Add an assignment to the plan."""
        self._changed.add(shard)
        if parent:
            self._changed.add(parent)
        self.assignments.append(
            Assignment(
                shard=shard,
                base_epoch=self.find_state(shard).epoch,
                chain=tuple(chain),
                parent=parent or ShardId(""),
                parent_epoch=self.find_state(parent).epoch if parent else 0,
            )
        )


def _find_preceding(
    configuration: Configuration, shards: Iterable[ShardId]
) -> dict[ShardId, ShardId]:
    """Map each shard that covers a slice of numbered keys to the one before it."""
    numbered = {
        service.name
        for service in configuration.services
        if any(key_range.numbers for key_range in service.key_ranges)
    }
    slices = [s for s in shards if _find_service(s) in numbered and not is_hot_shard(s)]
    return {
        shard: before
        for before, shard in zip(slices, slices[1:], strict=False)
        if _find_service(before) == _find_service(shard)
    }


def _find_service(shard: ShardId) -> str:
    return shard.partition("/")[0]
