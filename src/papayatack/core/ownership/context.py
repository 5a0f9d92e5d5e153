"""What the parts of a node's core share."""

import dataclasses
from collections.abc import Callable

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.inventory import Service
from papayatack.core.messages import ControlMessage
from papayatack.core.ownership.effects import (
    AppendRecord,
    Effect,
    EmitEvent,
    SendMessage,
)
from papayatack.core.ownership.fencing import Fencing
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.owned_shards import OwnedShards
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.ownership.witnessing import Witnessing
from papayatack.core.records import OwnershipRecord

__all__ = ["Context", "find_service_name"]

MAX_KEYS = 1000
UNKNOWN_DEADLINE_S = 10.0


def find_service_name(shard: ShardId) -> str:
    """Return the name of the service that a shard belongs to."""
    return shard.split("/", 1)[0]


@dataclasses.dataclass(slots=True, kw_only=True)
class Context:
    """State of one node.

    Attributes:
        me: This process.
        state: The folded ownership stream.
        holders: Leases of this process that are still of use.
        rights: Shards that it serves.
        fencing: What it knows of the ends of others' leases.
        witnessing: Leases that it witnesses.
        find_service: Returns the service of a name, as far as it is known.
        effects: What the current input has led to so far.
        hints: Leases that others say are fenced; used for routing alone.
        upstream_life: How often the own upstream was restarted under this process.
    """

    incarnation: IncarnationId
    state: OwnershipState
    owned_shards: OwnedShards
    fencing: Fencing
    witnessing: Witnessing
    find_service: Callable[[str], Service | None]
    holders: dict[LeaseId, LeaseHolder] = dataclasses.field(default_factory=dict)
    effects: list[Effect] = dataclasses.field(default_factory=list)
    hints: set[LeaseId] = dataclasses.field(default_factory=set)
    upstream_restarts: int = 0
    records_made: int = 0
    due_s_by_key: dict[str, float] = dataclasses.field(default_factory=dict)

    def find_deadline_s(self, service: str) -> float:
        """Return the longest time for a request of a service, in seconds."""
        found = self.find_service(service)
        return found.deadline_s if found is not None else UNKNOWN_DEADLINE_S

    def find_overrun_s(self, service: str) -> float:
        """Return how long a request may run on after its grant has run out."""
        found = self.find_service(service)
        if found is not None and found.checks_grants:
            return 0.0
        return self.find_deadline_s(service)

    def send(self, recipient: IncarnationId, message: ControlMessage) -> None:
        """Ask for a message to be sent."""
        self.effects.append(SendMessage(recipient=recipient, message=message))

    def append(self, record: OwnershipRecord) -> None:
        """Ask for a record to be appended."""
        self.effects.append(AppendRecord(record=record))

    def emit_event(
        self, name: str, reason: str = "", subject: object = "", **fields: object
    ) -> None:
        """Ask for an event to be logged and counted."""
        self.effects.append(
            EmitEvent(name=name, reason=reason, subject=str(subject), fields=fields)
        )

    def make_record_id(self) -> str:
        """Return an id that no other record has."""
        self.records_made += 1
        return f"{self.incarnation}/{self.records_made}"

    def start_if_due(self, key: str, now: float, pause_s: float) -> bool:
        """Tell whether to do what ``key`` names now, at most once every pause."""
        if now < self.due_s_by_key.get(key, float("-inf")):
            return False
        if len(self.due_s_by_key) > MAX_KEYS:
            self._forget_past_keys(now)
        self.due_s_by_key[key] = now + pause_s
        return True

    def _forget_past_keys(self, now: float) -> None:
        kept = {key: due for key, due in self.due_s_by_key.items() if due > now}
        self.due_s_by_key = kept

    def list_claimants(self, lease: LeaseId) -> set[IncarnationId]:
        """Return the other nodes in whose way a lease stands."""
        claimants = {
            other.incarnation
            for shard in self.state.shards_by_lease.get(lease, ())
            for other in self.state.shards[shard].current.leases
        }
        claimants.discard(lease.incarnation)
        return claimants

    def find_newest_holder(self) -> LeaseHolder | None:
        """Return the holder of the newest lease of this process."""
        member = self.state.members.get(self.incarnation)
        if member is None or not member.term:
            return None
        return self.holders.get(LeaseId(self.incarnation, member.term))
