"""Records of the two log streams.

Every record carries a unique ``record_id``, so that a repeated append changes
nothing, and the ``writer``. The fold of a stream, never the log, decides whether a
record takes effect: all readers fold the same records in the same order.
"""

import dataclasses

from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress, ShardId

__all__ = [
    "CONFIG_STREAM",
    "OWNERSHIP_STREAM",
    "Activate",
    "Activation",
    "Admit",
    "Announce",
    "Assign",
    "Assignment",
    "Attach",
    "CheckpointChunk",
    "ConfigRecord",
    "DeclareLost",
    "Fenced",
    "OwnershipRecord",
    "Publish",
    "Retire",
]

CONFIG_STREAM = "papayatack-config"
OWNERSHIP_STREAM = "papayatack-ownership"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Publish:
    """An operator's publication of inventory and rules.

    Attributes:
        base_version: The version it was made from; another current version voids it.
        inventory: The inventory document, TOML.
        rules: The rules document, TOML.
    """

    record_id: str
    writer: str
    base_version: int
    inventory: str
    rules: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announce:
    """A new incarnation exists; it supersedes an older one at the same address.

    Attributes:
        incarnation: The new process.
        address: Where it listens for peers.
        operator_address: Where it answers operators: ``<ip>:<port>``.
        data_centre: Where it runs.
        region: The region of its data centre.
        service: The service of its upstream.
        upstream: The upstream's address, ``<ip>:<port>``.
        slots: Requests that the upstream runs at once.
        connections: Connections that the upstream accepts.
        supersedes: The incarnation that held the address when this was written, or
            empty; another one there by now voids the record.
    """

    record_id: str
    writer: str
    incarnation: IncarnationId
    address: PeerAddress
    operator_address: str
    data_centre: str
    region: str
    service: str
    upstream: str
    slots: int
    connections: int
    supersedes: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attach:
    """The upstream beside an incarnation started, changed or went.

    Attributes:
        incarnation: The node, which writes the record itself.
        service: The service of its upstream, empty if there is none.
        upstream: The upstream's address, ``<ip>:<port>``.
        slots: Requests that the upstream runs at once.
        connections: Connections that the upstream accepts.
    """

    record_id: str
    writer: str
    incarnation: IncarnationId
    service: str
    upstream: str = ""
    slots: int = 0
    connections: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admit:
    """Gives an incarnation a lease with its witnesses.

    Attributes:
        lease: The new lease; its term must be the next of the incarnation.
        witnesses: Incarnations that promise; a majority decides.
    """

    record_id: str
    writer: str
    lease: LeaseId
    witnesses: tuple[IncarnationId, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """A shard's new chain, the split of a hot key's shard, or its return.

    An entry with a ``parent`` gives a hot key a shard of its own (``chain`` is the
    parent's), or returns it (``chain`` is empty). Both take effect only while the
    parent is at ``parent_epoch``, both shards have the same chain, and neither has a
    chain that is not cleared yet: docs/design/placement.md.

    Attributes:
        shard: The shard.
        base_epoch: The epoch it was planned against (0: not yet assigned); another
            current epoch voids this entry.
        chain: Owner first, then its successors; empty if nobody is to own it.
        parent: The shard to which a hot key belongs otherwise, for split and return.
        parent_epoch: The epoch of the parent that this entry was planned against.
    """

    shard: ShardId
    base_epoch: int
    chain: tuple[LeaseId, ...]
    parent: ShardId = ShardId("")
    parent_epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assign:
    """Gives shards their first chain, or moves them to a new one."""

    record_id: str
    writer: str
    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Activation:
    """The owner of a shard's current epoch serves it.

    Attributes:
        shard: The shard.
        epoch: The epoch in force.
        owner: The lease that serves.
    """

    shard: ShardId
    epoch: int
    owner: LeaseId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Activate:
    """Clears the earlier chains of shards."""

    record_id: str
    writer: str
    activations: tuple[Activation, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Retire:
    """An incarnation ended by its own will, with its lease fenced."""

    record_id: str
    writer: str
    incarnation: IncarnationId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fenced:
    """A majority of witnesses has fenced a lease.

    Attributes:
        lease: The fenced lease.
        floor: The highest floor that a witness held for it.
        drained: The holder had finished its requests and asked for it itself.
    """

    record_id: str
    writer: str
    lease: LeaseId
    floor: int
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeclareLost:
    """An operator's word that these incarnations will never run again."""

    record_id: str
    writer: str
    incarnations: tuple[IncarnationId, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckpointChunk:
    """One part of a checkpoint of a stream's folded state.

    Attributes:
        checkpoint_id: Common to all parts.
        covers: The state is that after folding all records before this offset.
        index: Number of this part, from 0.
        count: Number of parts.
        digest: Hexadecimal digest of the whole document.
        data: This part of the document, as text.
    """

    record_id: str
    writer: str
    checkpoint_id: str
    covers: int
    index: int
    count: int
    digest: str
    data: str


OwnershipRecord = (
    Announce
    | Attach
    | Admit
    | Assign
    | Activate
    | Retire
    | Fenced
    | DeclareLost
    | CheckpointChunk
)
ConfigRecord = Publish | CheckpointChunk
