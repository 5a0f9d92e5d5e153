"""The ownership state: the result of folding the ownership stream."""

import dataclasses
import enum
from collections.abc import Iterator

from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress, ShardId
from papayatack.core.quarantine.table import SuspicionTable

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
    """How an incarnation or a lease ended, according to the log."""

    FENCED = "fenced"
    RETIRED = "retired"
    SUPERSEDED = "superseded"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """An announced incarnation.

    Attributes:
        announced_at: Offset of its ``Announce`` record.
        term: Term of its newest lease; 0 before the first.
        ended: How it ended; ``None`` while it is live.
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
    """The end of a lease as recorded in the log.

    A node that has applied the record of the end has applied all records that the
    holder had applied: ``floor`` is at most the offset of that record.

    Attributes:
        kind: How the lease ended.
        floor: Bound on the ownership records that the holder had applied, as an offset.
        drained: Whether the holder had completed all its requests before.
    """

    kind: EndKind
    floor: int
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseEntry:
    """An admitted lease.

    Attributes:
        witnesses: Incarnations that promise the lease to its holder.
        admitted_at: Offset of its ``Admit`` record.
        end: Its end; ``None`` if the log records none.
    """

    witnesses: tuple[IncarnationId, ...]
    admitted_at: int
    end: RecordedEnd | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Chain:
    """Leases that may own a shard, in order of precedence.

    Attributes:
        epoch: Sequence number of the chain within its shard. The first is 1, or for a
            hot key's shard the offset after the record of the split.
        leases: The owner's, then those of its successors.
        start_offset: Offset right after the record that created the chain: a node that
            has applied all records before this offset knows the chain. The first chain
            of a hot key's shard has the offset of its parent's chain, and a merge
            raises that of the parent's.
    """

    epoch: int
    leases: tuple[LeaseId, ...]
    start_offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardEntry:
    """The chains of a shard.

    Attributes:
        current: The newest chain.
        previous: Chains before the current one, oldest first, that no activation has
            removed yet.
        active: Whether the current chain has been activated.
    """

    current: Chain
    previous: tuple[Chain, ...] = ()
    active: bool = False

    def list_chains(self) -> tuple[Chain, ...]:
        """Return all chains, oldest first."""
        return (*self.previous, self.current)


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnershipState:
    """Members, leases and shards as of an offset of the ownership stream.

    Attributes:
        next_offset: Offset of the next record to apply.
        members: Incarnations by id.
        incarnation_by_address: The newest incarnation at each address.
        leases: Admitted leases.
        shards: Shards with a chain.
        recent_ids: Ids of the last effective records, in log order.
        shards_by_lease: Shards whose chains contain a lease; derived from ``shards``.
        suspicions: Requests that were in flight when upstreams crashed.
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
    suspicions: SuspicionTable = dataclasses.field(default_factory=SuspicionTable)

    def is_live(self, lease: LeaseId) -> bool:
        """Return whether the lease is admitted and has no recorded end."""
        entry = self.leases.get(lease)
        return entry is not None and entry.end is None

    def find_live_lease(self, incarnation: IncarnationId) -> LeaseId | None:
        """Return the newest lease of an incarnation, or ``None`` if it is not live."""
        member = self.members.get(incarnation)
        if member is None or not member.term:
            return None
        lease = LeaseId(incarnation, member.term)
        return lease if self.is_live(lease) else None

    def list_live_members(self) -> Iterator[Member]:
        """Iterate in log order over the live members: those that have not ended."""
        return (member for member in self.members.values() if member.ended is None)

    def set_shard(self, shard: ShardId, entry: ShardEntry) -> None:
        """Replace a shard's chains and update the index of shards by lease."""
        old = self.shards.get(shard)
        self.shards[shard] = entry
        before = _list_leases(old) if old is not None else set()
        after = _list_leases(entry)
        self._update_references(shard, before, after)

    def remove_shard(self, shard: ShardId) -> None:
        """Remove a shard."""
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
