"""State and helpers shared by the components of a node's protocol core."""

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
from papayatack.core.quarantine.verdict import Quarantine
from papayatack.core.records import OwnershipRecord

__all__ = ["Context", "find_service_name"]

MAX_DUE_KEYS = 1000
"""Number of keys above which those already due again are dropped."""

DEFAULT_DEADLINE_S = 10.0
"""Longest duration assumed for requests to an unknown service."""


def find_service_name(shard: ShardId) -> str:
    """Return the name of the service that a shard belongs to."""
    return shard.split("/", 1)[0]


@dataclasses.dataclass(slots=True, kw_only=True)
class Context:
    """Shared state of one node.

    Attributes:
        incarnation: Id of the local incarnation.
        state: State folded from the ownership stream.
        holders: Leases of this incarnation that are still needed.
        owned_shards: Shards that this node serves.
        fencing: Known ends of other nodes' leases.
        witnessing: Leases that this node witnesses.
        quarantine: Requests that were in flight when upstreams crashed.
        find_service: Looks up a service by name; returns ``None`` if it is unknown.
        effects: Effects of the input being processed, in order.
        reported_fenced: Leases that other nodes report as fenced, without proof. Only
            routing and the choice of witnesses may rely on them.
        upstream_restarts: Number of restarts of the local upstream since this process
            started.
        record_count: Number of record ids made so far.
        due_s_by_key: Time at which the next action of each key is due.
        evacuated: Names of the data centres whose nodes are to get no shards.
    """

    incarnation: IncarnationId
    state: OwnershipState
    owned_shards: OwnedShards
    fencing: Fencing
    witnessing: Witnessing
    quarantine: Quarantine
    find_service: Callable[[str], Service | None]
    holders: dict[LeaseId, LeaseHolder] = dataclasses.field(default_factory=dict)
    effects: list[Effect] = dataclasses.field(default_factory=list)
    reported_fenced: set[LeaseId] = dataclasses.field(default_factory=set)
    upstream_restarts: int = 0
    record_count: int = 0
    due_s_by_key: dict[str, float] = dataclasses.field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()

    def find_deadline_s(self, service: str) -> float:
        """Return the longest duration of a request to a service, in seconds."""
        found = self.find_service(service)
        return found.deadline_s if found is not None else DEFAULT_DEADLINE_S

    def find_overrun_s(self, service: str) -> float:
        """Return for how many seconds a request may outlive its grant.

        Zero if the upstream checks grants itself.
        """
        found = self.find_service(service)
        if found is not None and found.checks_grants:
            return 0.0
        return self.find_deadline_s(service)

    def send(self, recipient: IncarnationId, message: ControlMessage) -> None:
        """Add an effect that sends a message."""
        self.effects.append(SendMessage(recipient=recipient, message=message))

    def append(self, record: OwnershipRecord) -> None:
        """Add an effect that appends a record."""
        self.effects.append(AppendRecord(record=record))

    def emit_event(
        self, name: str, reason: str = "", subject: object = "", **fields: object
    ) -> None:
        """Add an effect that logs and counts an event."""
        self.effects.append(
            EmitEvent(name=name, reason=reason, subject=str(subject), fields=fields)
        )

    def make_record_id(self) -> str:
        """Return a globally unique record id."""
        self.record_count += 1
        return f"{self.incarnation}/{self.record_count}"

    def restart_if_due(self, key: str, now: float, interval_s: float) -> bool:
        """Return whether an action is due; if it is, restart its interval.

        Args:
            key: Identifies the action.
            now: Event-loop time in seconds.
            interval_s: Minimum time between two runs of the action.
        """
        if now < self.due_s_by_key.get(key, float("-inf")):
            return False
        if len(self.due_s_by_key) > MAX_DUE_KEYS:
            self._prune_due_keys(now)
        self.due_s_by_key[key] = now + interval_s
        return True

    def _prune_due_keys(self, now: float) -> None:
        kept = {key: due for key, due in self.due_s_by_key.items() if due > now}
        self.due_s_by_key = kept

    def shorten_wait(self, key: str, now: float, interval_s: float) -> None:
        """Let an action be due within an interval, unless it is due before."""
        due_s = self.due_s_by_key.get(key, now)
        self.due_s_by_key[key] = min(due_s, now + interval_s)

    def list_departed(self, now: float) -> set[IncarnationId]:
        """Return the members that seem to have left: they make poor witnesses."""
        reported = {
            lease.incarnation
            for lease in self.reported_fenced
            if self.state.find_live_lease(lease.incarnation) in (lease, None)
        }
        return reported | self.fencing.list_suspects(now)

    def list_evacuated_nodes(self) -> set[IncarnationId]:
        """Return the members in evacuated data centres."""
        if not self.evacuated:
            return set()
        return {
            member.incarnation
            for member in self.state.members.values()
            if member.data_centre in self.evacuated
        }

    def has_nodes_outside(self, service: str) -> bool:
        """Return whether a service has a live node in no evacuated data centre."""
        return any(
            member.service == service
            and member.data_centre not in self.evacuated
            and self.state.find_live_lease(member.incarnation) is not None
            for member in self.state.list_live_members()
        )

    def list_claimants(self, lease: LeaseId) -> set[IncarnationId]:
        """Return the other nodes in the current chains of a lease's shards."""
        claimants = {
            other.incarnation
            for shard in self.state.shards_by_lease.get(lease, ())
            for other in self.state.shards[shard].current.leases
        }
        claimants.discard(lease.incarnation)
        return claimants

    def find_newest_holder(self) -> LeaseHolder | None:
        """Return the state of this incarnation's newest lease, if it has one."""
        member = self.state.members.get(self.incarnation)
        if member is None or not member.term:
            return None
        return self.holders.get(LeaseId(self.incarnation, member.term))
