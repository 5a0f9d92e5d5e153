"""Serialization of the ownership state as JSON, for checkpoints.

The serialization is deterministic: nodes with equal states compare equal digests.
"""

import dataclasses
import json
from typing import Any

from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress, ShardId
from papayatack.core.ownership.state import (
    Chain,
    EndKind,
    LeaseEntry,
    Member,
    OwnershipState,
    RecordedEnd,
    ShardEntry,
)
from papayatack.core.quarantine.suspicion import Suspicion

__all__ = ["dump_state", "load_state"]

FORMAT = 1


def dump_state(state: OwnershipState) -> str:
    """Return the state as a JSON document."""
    document = {
        "format": FORMAT,
        "position": state.next_offset,
        "members": [dataclasses.asdict(member) for member in state.members.values()],
        "addresses": dict(sorted(state.incarnation_by_address.items())),
        "leases": [
            _dump_lease(lease, entry) for lease, entry in sorted(state.leases.items())
        ],
        "shards": [
            [shard, entry.active, *map(_dump_chain, entry.list_chains())]
            for shard, entry in sorted(state.shards.items())
        ],
        "recent_ids": list(state.recent_ids),
    }
    if state.suspicions:
        suspicions = state.suspicions.list_all()
        document["suspicions"] = [dataclasses.asdict(item) for item in suspicions]
    return json.dumps(document, sort_keys=True, separators=(",", ":"))


def load_state(text: str) -> OwnershipState:
    """Return the state serialized in ``text``.

    Raises:
        ValueError: The text is not a serialized ownership state of a known format.
    """
    try:
        return _load_document(json.loads(text))
    except (AttributeError, KeyError, TypeError, IndexError) as error:
        message = f"not a serialized ownership state: {error!r}"
        raise ValueError(message) from error


def _load_document(document: dict[str, Any]) -> OwnershipState:
    if document["format"] != FORMAT:
        message = f"unsupported ownership state format {document['format']!r}"
        raise ValueError(message)
    state = OwnershipState(next_offset=int(document["position"]))
    for fields in document["members"]:
        ended = EndKind(fields["ended"]) if fields["ended"] is not None else None
        member = Member(**{**fields, "ended": ended})
        state.members[member.incarnation] = member
    for address, incarnation in document["addresses"].items():
        state.incarnation_by_address[PeerAddress(address)] = IncarnationId(incarnation)
    for fields in document["leases"]:
        lease, entry = _load_lease(fields)
        state.leases[lease] = entry
    for shard, active, *chains in document["shards"]:
        loaded = tuple(_load_chain(fields) for fields in chains)
        entry = ShardEntry(
            current=loaded[-1], previous=loaded[:-1], active=bool(active)
        )
        state.set_shard(ShardId(shard), entry)
    state.recent_ids = dict.fromkeys(document["recent_ids"])
    for fields in document.get("suspicions", ()):
        upstreams = tuple(fields["upstreams"])
        state.suspicions.merge(Suspicion(**{**fields, "upstreams": upstreams}))
    return state


def _dump_lease(lease: LeaseId, entry: LeaseEntry) -> list[Any]:
    end = entry.end
    ended = [end.kind, end.floor, end.drained] if end is not None else None
    return [
        lease.incarnation,
        lease.term,
        list(entry.witnesses),
        entry.admitted_at,
        ended,
    ]


def _load_lease(fields: list[Any]) -> tuple[LeaseId, LeaseEntry]:
    incarnation, term, witnesses, admitted_at, ended = fields
    end = None
    if ended is not None:
        kind, floor, drained = ended
        end = RecordedEnd(kind=EndKind(kind), floor=floor, drained=drained)
    entry = LeaseEntry(witnesses=tuple(witnesses), admitted_at=admitted_at, end=end)
    return LeaseId(IncarnationId(incarnation), term), entry


def _dump_chain(chain: Chain) -> list[Any]:
    leases = [[lease.incarnation, lease.term] for lease in chain.leases]
    return [chain.epoch, chain.start_offset, leases]


def _load_chain(fields: list[Any]) -> Chain:
    epoch, since, leases = fields
    return Chain(
        epoch=epoch,
        start_offset=since,
        leases=tuple(LeaseId(IncarnationId(name), term) for name, term in leases),
    )
