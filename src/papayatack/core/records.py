"""Records of the configuration stream and the ownership stream.

Every record carries its ``writer`` and a unique ``record_id``, so that a duplicate
append has no effect. The log stores every record; the fold of the stream
decides whether it takes effect. All readers apply the same records in the same order.
"""

import dataclasses

from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress, ShardId
from papayatack.core.quarantine.suspicion import Suspicion

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
    "ReportSuspects",
]

CONFIG_STREAM = "papayatack-config"
OWNERSHIP_STREAM = "papayatack-ownership"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Publish:
    """Publication of an inventory and rules by an operator.

    Attributes:
        base_version: Version on which the publication is based. The publication is
            rejected if another version is current.
        inventory: The inventory document, in TOML.
        rules: The rules document, in TOML.
    """

    record_id: str
    writer: str
    base_version: int
    inventory: str
    rules: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announce:
    """Announces a new incarnation, which supersedes an older one at its address.

    Attributes:
        incarnation: The new incarnation.
        address: Address at which it listens for peers.
        operator_address: Address of its operator interface, ``<ip>:<port>``.
        data_centre: Data centre in which it runs.
        region: Region of the data centre.
        service: Service of its upstream; empty if it has none.
        upstream: Address of the upstream, ``<ip>:<port>``.
        slots: Number of requests that the upstream processes concurrently.
        connections: Maximum number of connections that the upstream accepts.
        supersedes: Incarnation at the address when the record was written; empty for
            none. The record is rejected if another incarnation is there by then.
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
    """Replaces the announced upstream of an incarnation.

    Attributes:
        incarnation: The incarnation, which must be the writer of the record.
        service: Service of its upstream; empty if there is no upstream.
        upstream: Address of the upstream, ``<ip>:<port>``.
        slots: Number of requests that the upstream processes concurrently.
        connections: Maximum number of connections that the upstream accepts.
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
    """Admits a lease of an incarnation and names its witnesses.

    Attributes:
        lease: The new lease. Its term must follow the incarnation's previous term.
        witnesses: Incarnations that promise the lease to its holder; a majority of them
            can fence it.
    """

    record_id: str
    writer: str
    lease: LeaseId
    witnesses: tuple[IncarnationId, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """Assigns a chain to a shard, or splits or merges a hot key's shard.

    An entry with a ``parent`` splits a hot key's shard from its parent (``chain`` is
    the parent's) or merges it back (``chain`` is empty). It takes effect only if the
    parent is at ``parent_epoch``, both shards have the same chain, and neither has
    previous chains that no activation has removed yet. See docs/design/placement.md.

    Attributes:
        shard: The shard.
        base_epoch: Epoch of the shard when the entry was planned; 0 if it had no chain.
            The entry is rejected if another epoch is current.
        chain: Leases of the owner and then of its successors; empty for no owner.
        parent: Shard that otherwise contains the hot key; set for a split or a merge.
        parent_epoch: Epoch of the parent when the entry was planned.
    """

    shard: ShardId
    base_epoch: int
    chain: tuple[LeaseId, ...]
    parent: ShardId = ShardId("")
    parent_epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assign:
    """Assigns chains to shards, or splits or merges the shards of hot keys."""

    record_id: str
    writer: str
    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Activation:
    """Reports that a lease of a shard's current chain serves the shard.

    Attributes:
        shard: The shard.
        epoch: Epoch of the current chain.
        owner: The lease under which the shard is served.
    """

    shard: ShardId
    epoch: int
    owner: LeaseId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Activate:
    """Activates the current chains of shards, which removes their previous chains."""

    record_id: str
    writer: str
    activations: tuple[Activation, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Retire:
    """Ends an incarnation that has shut down gracefully, after its lease was fenced."""

    record_id: str
    writer: str
    incarnation: IncarnationId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fenced:
    """Records that a majority of its witnesses has fenced a lease.

    Attributes:
        lease: The fenced lease.
        floor: Highest floor that a witness had stored for the lease.
        drained: Whether the holder had completed its requests and requested the fence
            itself.
    """

    record_id: str
    writer: str
    lease: LeaseId
    floor: int
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeclareLost:
    """Declaration by an operator that these incarnations will never run again."""

    record_id: str
    writer: str
    incarnations: tuple[IncarnationId, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckpointChunk:
    """One chunk of a checkpoint of a stream's state.

    Attributes:
        checkpoint_id: Id of the checkpoint, the same in all its chunks.
        covers: Offset after the last record that the checkpoint's state includes.
        index: Index of this chunk, from 0.
        count: Number of chunks.
        digest: Hexadecimal digest of the whole document.
        data: Text of this chunk of the document.
    """

    record_id: str
    writer: str
    checkpoint_id: str
    covers: int
    index: int
    count: int
    digest: str
    data: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportSuspects:
    """Reports requests that were in flight at crashes, or that were cleared."""

    record_id: str
    writer: str
    suspicions: tuple[Suspicion, ...]


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
    | ReportSuspects
)
ConfigRecord = Publish | CheckpointChunk
