"""The nodes of one service with the load that a plan gives them."""

import dataclasses
from collections import defaultdict
from collections.abc import Iterable, Sequence

import xxhash

from papayatack.core.identity import IncarnationId, LeaseId, ShardId, parse_peer_address
from papayatack.core.inventory import Configuration, Service
from papayatack.core.placement.view import PlacementNode

__all__ = ["Fleet", "Member"]

COLD_CAPACITY = 0.25
MAX_CANDIDATES = 12
LOCALITY_CEILING = 0.8
LOCALITY_RETURN = 0.6


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Member:
    """A node that may own shards.

    Attributes:
        lease: Its current lease.
        data_centre: Where it runs.
        region: The region of its data centre.
        capacity: Slots that count; fewer while its upstream is cold.
        load: Slots that its shards use.
        shards: The shards that it owns, with their load.
    """

    lease: LeaseId
    data_centre: str
    region: str
    capacity: float
    load: float = 0.0
    shards: dict[ShardId, float] = dataclasses.field(default_factory=dict)

    @property
    def utilisation(self) -> float:
        """Load relative to capacity."""
        return self.load / self.capacity


class Fleet:
    """The usable nodes of one service.

    Attributes:
        members: The nodes, by incarnation.
        by_place: The nodes, by data centre.
        demand: Slots that all shards of the service use, owned or not.
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
        self.members: dict[IncarnationId, Member] = {}
        self.demand = 0.0
        self.by_place: dict[str, list[Member]] = defaultdict(list)
        self._by_address: dict[str, Member] = {}
        self._places_of_region: dict[str, list[str]] = defaultdict(list)
        self._candidates: dict[tuple[str, frozenset[str]], Sequence[Member]] = {}
        self._backups: dict[tuple[IncarnationId, IncarnationId], float] = {}
        self._preferred = {
            f"{rule.service}/{rule.key_range}": rule.place
            for rule in configuration.localities
            if rule.service == service.name
        }
        for node in nodes:
            self._add(node)

    def _add(self, node: PlacementNode) -> None:
        if node.leaving or node.data_centre not in self.service.places:
            return
        known = self.members.get(node.lease.incarnation)
        if known is not None:
            known.lease = max(known.lease, node.lease)
            return
        member = Member(
            lease=node.lease,
            data_centre=node.data_centre,
            region=node.region,
            capacity=max(1, node.slots)
            * node.speed
            * _warm(node.age_s, self.service.warm_up_s),
        )
        self.members[node.lease.incarnation] = member
        self._by_address[parse_peer_address(node.lease.incarnation)] = member
        self.by_place[node.data_centre].append(member)
        if node.data_centre not in self._places_of_region[node.region]:
            self._places_of_region[node.region].append(node.data_centre)

    @property
    def has_localities(self) -> bool:
        """Whether a locality rule speaks of this service."""
        return bool(self._preferred)

    @property
    def capacity(self) -> float:
        """Slots of all members."""
        return sum(member.capacity for member in self.members.values())

    @property
    def load(self) -> float:
        """Slots in use at all members."""
        return sum(member.load for member in self.members.values())

    def put(self, shard: ShardId, load: float, chain: Sequence[LeaseId]) -> None:
        """Count a shard under its chain."""
        if not chain:
            return
        owner = self.members.get(chain[0].incarnation)
        if owner is not None:
            owner.load += load
            owner.shards[shard] = load
        self._count_backup(chain, load)

    def take(self, shard: ShardId, load: float, chain: Sequence[LeaseId]) -> None:
        """Count a shard under its chain no more."""
        if not chain:
            return
        owner = self.members.get(chain[0].incarnation)
        if owner is not None and owner.shards.pop(shard, None) is not None:
            owner.load -= load
        self._count_backup(chain, -load)

    def _count_backup(self, chain: Sequence[LeaseId], load: float) -> None:
        if len(chain) > 1:
            pair = chain[0].incarnation, chain[1].incarnation
            self._backups[pair] = self._backups.get(pair, 0.0) + load

    def is_sound(self, chain: Sequence[LeaseId]) -> bool:
        """Return whether a chain holds, and has all data centres that it could have.

        All its holders are usable under just these leases.
        """
        members = self.members
        places = set()
        for lease in chain:
            member = members.get(lease.incarnation)
            if member is None or member.lease.term != lease.term:
                return False
            places.add(member.data_centre)
        most_places = min(self.chain_length, len(self.by_place))
        most_holders = min(self.chain_length, len(members))
        return len(places) >= most_places and len(chain) >= most_holders

    def keep_usable(self, chain: Sequence[LeaseId]) -> list[Member]:
        """Return the usable holders of a chain, under the leases they have now.

        A process that was started again stands in for its earlier incarnation: the
        upstream beside it is warm.
        """
        found = []
        for lease in chain:
            member = self.members.get(lease.incarnation)
            if member is None:
                member = self._by_address.get(parse_peer_address(lease.incarnation))
            if member is not None and member not in found:
                found.append(member)
        return found

    def find_place(self, shard: ShardId) -> str | None:
        """Return the data centre that a locality rule prefers for a shard.

        The rule yields while the nodes there are short of capacity or absent.
        """
        if not self._preferred:
            return None
        place = self._preferred.get(
            shard[: shard.find("/", len(self.service.name) + 1)]
        )
        if place not in self.by_place:
            return None
        return place if self.measure_place(place) <= LOCALITY_CEILING else None

    def measure_place(self, place: str) -> float:
        """Return the utilisation of the nodes in a data centre."""
        members = self.by_place[place]
        return sum(m.load for m in members) / sum(m.capacity for m in members)

    def find_neighbour(self, before: Sequence[LeaseId], load: float) -> Member | None:
        """Return the owner of the shard before, unless it has its fair share already.

        Neighbouring keys of one owner are granted together.
        """
        owner = self.members.get(before[0].incarnation) if before else None
        if owner is None:
            return None
        fair = self.demand / self.capacity
        return owner if (owner.load + load) / owner.capacity <= fair else None

    def find_least_loaded(self, place: str | None, load: float = 0.0) -> Member | None:
        """Return the node that would be used least with ``load`` added."""
        members = self.by_place[place] if place else self.members.values()
        return min(
            members,
            key=lambda member: (member.load + load) / member.capacity,
            default=None,
        )

    def build_chain(
        self, shard: ShardId, load: float, owner: Member, kept: Iterable[Member]
    ) -> tuple[LeaseId, ...]:
        """Return a chain from ``owner`` on that keeps what successors it can.

        Successors are in data centres of their own, of the owner's region before
        others, as far as there are any; among several, the one is taken on which the
        owner's loss would weigh least, so that many share it.
        """
        chain = [owner]
        places = {owner.data_centre}
        spare = []
        for member in kept:
            if member in chain or len(chain) == self.chain_length:
                continue
            if member.data_centre in places:
                spare.append(member)
            else:
                chain.append(member)
                places.add(member.data_centre)
        while len(chain) < self.chain_length:
            successor = self._find_successor(shard, load, chain, places, spare)
            if successor is None:
                break
            chain.append(successor)
            places.add(successor.data_centre)
        return tuple(member.lease for member in chain)

    def _find_successor(
        self,
        shard: ShardId,
        load: float,
        chain: list[Member],
        places: set[str],
        spare: list[Member],
    ) -> Member | None:
        owner = chain[0]
        lost = owner.lease.incarnation
        candidates = self._list_candidates(owner.region, places)
        if not candidates:
            if spare:
                return spare.pop(0)
            candidates = [m for m in self.members.values() if m not in chain]
        sample = _sample(candidates, shard, len(chain))
        return min(
            sample,
            key=lambda member: (
                (
                    self._backups.get((lost, member.lease.incarnation), 0.0)
                    + member.load
                    + load
                )
                / member.capacity
            ),
            default=None,
        )

    def _list_candidates(self, region: str, places: set[str]) -> Sequence[Member]:
        """Return the nodes in further data centres, of the region if it has any."""
        key = region, frozenset(places)
        cached = self._candidates.get(key)
        if cached is None:
            near = [p for p in self._places_of_region[region] if p not in places]
            names = near or [p for p in self.by_place if p not in places]
            cached = [member for name in names for member in self.by_place[name]]
            self._candidates[key] = cached
        return cached


def _warm(age_s: float, warm_up_s: float) -> float:
    """Return the share of its capacity that a node of this age is counted with."""
    if age_s >= warm_up_s:
        return 1.0
    return COLD_CAPACITY + (1.0 - COLD_CAPACITY) * age_s / warm_up_s


def _sample(
    candidates: Sequence[Member], shard: ShardId, position: int
) -> Sequence[Member]:
    """Return a bounded number of candidates, others for each shard."""
    if len(candidates) <= MAX_CANDIDATES:
        return candidates
    digest = xxhash.xxh3_64_intdigest(shard.encode(), seed=position)
    start, step = digest % len(candidates), 1 + (digest >> 32) % (len(candidates) - 1)
    return [
        candidates[(start + step * number) % len(candidates)]
        for number in range(MAX_CANDIDATES)
    ]
