"""The folded state of the ownership stream."""

import dataclasses
import enum
from collections.abc import Iterator

from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress, ShardId

__all__ = [
    "Chain",
    "EndKind",
    "RecordedEnd",
    "LeaseEntry",
    "Member",
    "OwnershipState",
    "ShardEntry",
]


class EndKind(enum.StrEnum):
    """How an incarnation or a lease ended, as the log tells it."""

    FENCED = "fenced"
    RETIRED = "retired"
    SUPERSEDED = "superseded"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """An announced incarnation.

    Attributes:
        announced_at: Offset of its announcement.
        term: Term of its newest lease, 0 before the first.
        ended: How it ended, if it did.
    """

    incarnation: IncarnationId
    address: PeerAddress
    operator_address: str
    data_centre: str
    region: str
    service: str
    upstream: str
    slots: int
    connections: int
    announced_at: int
    term: int = 0
    ended: EndKind | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordedEnd:
    """A lease's end that stands in the log.

    Whoever has applied the record has applied all that the holder had: ``floor`` is
    at most the record's offset.

    Attributes:
        kind: How the lease ended.
        floor: Bound of the ownership records that the holder had applied.
        drained: The holder had finished all its requests before.
    """

    kind: EndKind
    floor: int
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseEntry:
    """An admitted lease.

    Attributes:
        witnesses: Incarnations that promise.
        admitted_at: Offset of the admission.
        mark: Its end, if the log knows of it.
    """

    witnesses: tuple[IncarnationId, ...]
    admitted_at: int
    end: RecordedEnd | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Chain:
    """Holders of a shard in the order in which they may own it.

    Attributes:
        epoch: Counts the chains of the shard, from 1.
        leases: Owner first, then its successors.
        since: Position right after the record that made the chain: who has applied
            all records before it knows the chain. For a hot key's first one, that of
            its parent's.
    """

    epoch: int
    leases: tuple[LeaseId, ...]
    start_offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardEntry:
    """The chains of a shard.

    Attributes:
        current: The newest chain.
        earlier: Older chains, oldest first, that no activation has cleared yet.
        active: The current chain has been activated.
    """

    current: Chain
    previous: tuple[Chain, ...] = ()
    active: bool = False

    def list_chains(self) -> tuple[Chain, ...]:
        """Return all chains, oldest first."""
        return (*self.previous, self.current)


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnershipState:
    """What the ownership stream says, up to a position.

    Attributes:
        position: Offset of the next record to fold.
        members: Incarnations by id.
        addresses: The newest incarnation at each address.
        leases: Admitted leases.
        shards: Shards with a chain.
        recent_ids: Ids of the newest effective records, in the order of the log.
        references: Shards in whose chains a lease stands; derived.
    """

    next_offset: int = 0
    members: dict[IncarnationId, Member] = dataclasses.field(default_factory=dict)
    incarnation_by_address: dict[PeerAddress, IncarnationId] = dataclasses.field(
        default_factory=dict
    )
    leases: dict[LeaseId, LeaseEntry] = dataclasses.field(default_factory=dict)
    shards: dict[ShardId, ShardEntry] = dataclasses.field(default_factory=dict)
    recent_ids: dict[str, None] = dataclasses.field(default_factory=dict)
    shards_by_lease: dict[LeaseId, set[ShardId]] = dataclasses.field(
        default_factory=dict
    )

    def is_live(self, lease: LeaseId) -> bool:
        """Tell whether the lease is admitted and has no end in the log."""
        entry = self.leases.get(lease)
        return entry is not None and entry.end is None

    def find_live_lease(self, incarnation: IncarnationId) -> LeaseId | None:
        """Return the newest lease of an incarnation if it is live."""
        member = self.members.get(incarnation)
        if member is None or not member.term:
            return None
        lease = LeaseId(incarnation, member.term)
        return lease if self.is_live(lease) else None

    def list_live_members(self) -> Iterator[Member]:
        """Yield the incarnations that have not ended, in the order of the log."""
        return (member for member in self.members.values() if member.ended is None)

    def set_shard(self, shard: ShardId, entry: ShardEntry) -> None:
        """Replace a shard's chains and keep the references."""
        old = self.shards.get(shard)
        self.shards[shard] = entry
        before = _list_leases(old) if old is not None else set()
        after = _list_leases(entry)
        self._update_references(shard, before, after)

    def remove_shard(self, shard: ShardId) -> None:
        """Forget a shard."""
        self._update_references(shard, _list_leases(self.shards.pop(shard)), set())

    def _update_references(
        self, shard: ShardId, before: set[LeaseId], after: set[LeaseId]
    ) -> None:
        for lease in before - after:
            held = self.shards_by_lease[lease]
            held.discard(shard)
            if not held:
                del self.shards_by_lease[lease]
        for lease in after - before:
            self.shards_by_lease.setdefault(lease, set()).add(shard)


def _list_leases(entry: ShardEntry) -> set[LeaseId]:
    return {lease for chain in entry.list_chains() for lease in chain.leases}
