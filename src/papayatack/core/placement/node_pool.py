"""Nodes of one service, with the load that a plan assigns to them."""

import dataclasses
import itertools
from collections import defaultdict
from collections.abc import Iterable, Sequence

import xxhash

from papayatack.core.identity import IncarnationId, LeaseId, ShardId, parse_peer_address
from papayatack.core.inventory import Configuration, Service
from papayatack.core.placement.view import PlacementNode
from papayatack.core.shards import is_hot_shard

__all__ = ["NodePool", "PoolNode"]

COLD_CAPACITY_SHARE = 0.25
"""Share of its capacity that counts for a node whose upstream has just started."""

MIN_CAPACITY_SHARE = 0.8
"""Share of the capacity of all nodes that counts at least. While many upstreams are
cold, each counts for more, so that the few warm ones do not get most of the load."""

MAX_CANDIDATES = 12
"""Maximum number of nodes that are compared as a shard's successor."""

LOCALITY_MAX_UTILISATION = 0.8
"""Utilisation of a data centre above which locality rules are suspended."""

LOCALITY_RETURN_UTILISATION = 0.6
"""Utilisation of a data centre below which shards are moved back to it."""


MIN_USABLE_SLOTS = 0.01
"""Lower bound on the capacity of a node in slots, however low its upstream's limit."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class PoolNode:
    """A node that may own shards.

    Attributes:
        lease: Current lease of the node.
        data_centre: Data centre in which the node runs.
        region: Region of that data centre.
        capacity: Effective number of slots, reduced while the upstream warms up.
        load: Slots that the node's shards use.
        shards: Shards that the node owns, with their load in slots.
        count: Number of these shards that are not those of hot keys.
        doubtful: Whether the node is to be assigned no more shards than it has.
    """

    lease: LeaseId
    data_centre: str
    region: str
    capacity: float
    load: float = 0.0
    shards: dict[ShardId, float] = dataclasses.field(default_factory=dict)
    count: int = 0
    doubtful: bool = False

    @property
    def utilisation(self) -> float:
        """Load relative to capacity."""
        return self.load / self.capacity


class NodePool:
    """The available nodes of one service.

    Attributes:
        nodes: The nodes, by incarnation.
        by_data_centre: The nodes, by data centre.
        demand: Slots that all shards of the service use, with or without an owner.
        count: Number of these shards that are not those of hot keys.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        service: Service,
        nodes: Iterable[PlacementNode],
        chain_length: int,
    ) -> None:
        self.service = service
        self.chain_length = chain_length
        self.nodes: dict[IncarnationId, PoolNode] = {}
        self.demand = 0.0
        self.count = 0
        self.by_data_centre: dict[str, list[PoolNode]] = defaultdict(list)
        self._full_capacities: dict[IncarnationId, float] = {}
        self._by_address: dict[str, PoolNode] = {}
        self._data_centres_of_region: dict[str, list[str]] = defaultdict(list)
        self._candidates: dict[tuple[str, frozenset[str]], Sequence[PoolNode]] = {}
        self._inherited: dict[frozenset[IncarnationId], dict[IncarnationId, float]] = {}
        self._preferred_data_centres = {
            f"{rule.service}/{rule.key_range}": rule.place
            for rule in configuration.localities
            if rule.service == service.name
        }
        for node in nodes:
            self._add(node)
        self._raise_cold_capacities()

    def _raise_cold_capacities(self) -> None:
        full, counted = sum(self._full_capacities.values()), self.capacity
        missing = MIN_CAPACITY_SHARE * full - counted
        if missing <= 0:
            return
        for incarnation, node in self.nodes.items():
            reduction = self._full_capacities[incarnation] - node.capacity
            node.capacity += reduction * missing / (full - counted)

    def _add(self, node: PlacementNode) -> None:
        if node.leaving or node.data_centre not in self.service.places:
            return
        known = self.nodes.get(node.lease.incarnation)
        if known is not None:
            known.lease = max(known.lease, node.lease)
            return
        full_capacity = _count_usable_slots(node) * node.speed
        pool_node = PoolNode(
            lease=node.lease,
            data_centre=node.data_centre,
            region=node.region,
            capacity=full_capacity
            * _warm_up_factor(node.age_s, self.service.warm_up_s),
            doubtful=node.doubtful,
        )
        self.nodes[node.lease.incarnation] = pool_node
        self._full_capacities[node.lease.incarnation] = full_capacity
        self._by_address[parse_peer_address(node.lease.incarnation)] = pool_node
        self.by_data_centre[node.data_centre].append(pool_node)
        if node.data_centre not in self._data_centres_of_region[node.region]:
            self._data_centres_of_region[node.region].append(node.data_centre)

    @property
    def has_localities(self) -> bool:
        """Whether any locality rule applies to this service."""
        return bool(self._preferred_data_centres)

    @property
    def capacity(self) -> float:
        """Slots of all nodes."""
        return sum(node.capacity for node in self.nodes.values())

    @property
    def load(self) -> float:
        """Slots in use at all nodes."""
        return sum(node.load for node in self.nodes.values())

    def add_shard(self, shard: ShardId, load: float, chain: Sequence[LeaseId]) -> None:
        """Add a shard's load to the nodes of its chain."""
        if not chain:
            return
        owner = self.nodes.get(chain[0].incarnation)
        if owner is not None:
            owner.load += load
            owner.shards[shard] = load
            owner.count += not is_hot_shard(shard)
        self._add_backup_load(chain, load)

    def remove_shard(
        self, shard: ShardId, load: float, chain: Sequence[LeaseId]
    ) -> None:
        """Subtract a shard's load from the nodes of its chain."""
        if not chain:
            return
        owner = self.nodes.get(chain[0].incarnation)
        if owner is not None and owner.shards.pop(shard, None) is not None:
            owner.load -= load
            owner.count -= not is_hot_shard(shard)
        self._add_backup_load(chain, -load)

    def _add_backup_load(self, chain: Sequence[LeaseId], load: float) -> None:
        """Add the load that each successor inherits once all before it are lost."""
        for position in range(1, len(chain)):
            lost = frozenset(lease.incarnation for lease in chain[:position])
            heirs = self._inherited.setdefault(lost, {})
            heir = chain[position].incarnation
            heirs[heir] = heirs.get(heir, 0.0) + load

    def _list_heirs(
        self, chain: Sequence[PoolNode]
    ) -> list[dict[IncarnationId, float]]:
        """Return what nodes inherit after the loss of any of the holders of a chain."""
        names = [node.lease.incarnation for node in chain]
        found = [
            self._inherited.get(frozenset(lost))
            for count in range(1, len(names) + 1)
            for lost in itertools.combinations(names, count)
        ]
        return [heirs for heirs in found if heirs]

    def is_valid_chain(self, chain: Sequence[LeaseId]) -> bool:
        """Return whether a chain is valid and as widely spread as possible.

        All its holders must be available under exactly these leases, and the chain must
        be as long, and span as many data centres, as the available nodes permit.
        """
        nodes = self.nodes
        data_centres = set()
        for lease in chain:
            node = nodes.get(lease.incarnation)
            if node is None or node.lease.term != lease.term:
                return False
            data_centres.add(node.data_centre)
        max_data_centres = min(self.chain_length, len(self.by_data_centre))
        max_holders = min(self.chain_length, len(nodes))
        return len(data_centres) >= max_data_centres and len(chain) >= max_holders

    def available_holders(self, chain: Sequence[LeaseId]) -> list[PoolNode]:
        """Return the available holders of a chain, with their current leases.

        A restarted process replaces its previous incarnation, because the upstream
        beside it is still warm.
        """
        found = []
        for lease in chain:
            node = self.nodes.get(lease.incarnation)
            if node is None:
                node = self._by_address.get(parse_peer_address(lease.incarnation))
            if node is not None and node not in found:
                found.append(node)
        return found

    def preferred_data_centre(self, shard: ShardId) -> str | None:
        """Return the data centre that a locality rule prefers for a shard.

        The rule does not apply while the nodes there are absent or lack capacity.
        """
        if not self._preferred_data_centres:
            return None
        data_centre = self._preferred_data_centres.get(
            shard[: shard.find("/", len(self.service.name) + 1)]
        )
        if data_centre not in self.by_data_centre:
            return None
        return (
            data_centre
            if self.data_centre_utilisation(data_centre) <= LOCALITY_MAX_UTILISATION
            else None
        )

    def data_centre_utilisation(self, data_centre: str) -> float:
        """Return the mean utilisation of the nodes in a data centre."""
        nodes = self.by_data_centre[data_centre]
        return sum(n.load for n in nodes) / sum(n.capacity for n in nodes)

    def find_adjacent_owner(
        self, preceding: Sequence[LeaseId], load: float
    ) -> PoolNode | None:
        """Return the owner of the slice before, if its fair share allows the load too.

        Adjacent slices of one owner are granted together.
        """
        owner = self.nodes.get(preceding[0].incarnation) if preceding else None
        if owner is None or owner.doubtful:
            return None
        fair_share = self.demand / self.capacity
        return owner if (owner.load + load) / owner.capacity <= fair_share else None

    def find_least_loaded(
        self, data_centre: str | None, load: float = 0.0
    ) -> PoolNode | None:
        """Return the node with the lowest utilisation after ``load`` is added to it.

        A doubtful node is chosen only if there is no other.
        """
        nodes = self.by_data_centre[data_centre] if data_centre else self.nodes.values()
        return min(
            nodes,
            key=lambda node: (node.doubtful, (node.load + load) / node.capacity),
            default=None,
        )

    def build_chain(
        self, shard: ShardId, load: float, owner: PoolNode, kept: Iterable[PoolNode]
    ) -> tuple[LeaseId, ...]:
        """Return a chain that begins with ``owner`` and keeps previous successors.

        As far as possible, each successor is in another data centre, preferably in the
        owner's region. Among several candidates, the node whose utilisation after the
        loss of all holders before it would be lowest is chosen, so that many nodes
        share the load of lost owners, however many are lost one after the other.
        """
        chain = [owner]
        data_centres = {owner.data_centre}
        spare = []
        for node in kept:
            if node in chain or len(chain) == self.chain_length:
                continue
            if node.data_centre in data_centres:
                spare.append(node)
            else:
                chain.append(node)
                data_centres.add(node.data_centre)
        while len(chain) < self.chain_length:
            successor = self._find_successor(shard, load, chain, data_centres, spare)
            if successor is None:
                break
            chain.append(successor)
            data_centres.add(successor.data_centre)
        return tuple(node.lease for node in chain)

    def _find_successor(
        self,
        shard: ShardId,
        load: float,
        chain: list[PoolNode],
        data_centres: set[str],
        spare: list[PoolNode],
    ) -> PoolNode | None:
        owner = chain[0]
        candidates = self._list_candidates(owner.region, data_centres)
        if not candidates:
            if spare:
                return spare.pop(0)
            candidates = [n for n in self.nodes.values() if n not in chain]
        sample = _sample(candidates, shard, len(chain))
        heirs = self._list_heirs(chain)
        return min(
            sample,
            key=lambda node: (
                node.doubtful,
                (
                    sum(loads.get(node.lease.incarnation, 0.0) for loads in heirs)
                    + node.load
                    + load
                )
                / node.capacity,
            ),
            default=None,
        )

    def list_heirs(self, owner: PoolNode) -> Sequence[PoolNode]:
        """Return the nodes that may be the first successor of an owner."""
        candidates = self._list_candidates(owner.region, {owner.data_centre})
        return candidates or [n for n in self.nodes.values() if n is not owner]

    def _list_candidates(
        self, region: str, data_centres: set[str]
    ) -> Sequence[PoolNode]:
        """Return the nodes in other data centres, of the region if there are any."""
        key = region, frozenset(data_centres)
        cached = self._candidates.get(key)
        if cached is None:
            in_region = [
                name
                for name in self._data_centres_of_region[region]
                if name not in data_centres
            ]
            names = in_region or [
                name for name in self.by_data_centre if name not in data_centres
            ]
            cached = [node for name in names for node in self.by_data_centre[name]]
            self._candidates[key] = cached
        return cached


def _count_usable_slots(node: PlacementNode) -> float:
    return max(min(max(1, node.slots), node.max_busy), MIN_USABLE_SLOTS)


def _warm_up_factor(age_s: float, warm_up_s: float) -> float:
    """Return the share of its capacity that counts for a node of this age."""
    if age_s >= warm_up_s:
        return 1.0
    return COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * age_s / warm_up_s


def _sample(
    candidates: Sequence[PoolNode], shard: ShardId, position: int
) -> Sequence[PoolNode]:
    """Return a bounded number of candidates, different ones for each shard."""
    if len(candidates) <= MAX_CANDIDATES:
        return candidates
    digest = xxhash.xxh3_64_intdigest(shard.encode(), seed=position)
    start, step = digest % len(candidates), 1 + (digest >> 32) % (len(candidates) - 1)
    return [
        candidates[(start + step * number) % len(candidates)]
        for number in range(MAX_CANDIDATES)
    ]
