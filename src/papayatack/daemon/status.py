"""What a node tells operators of itself and of a key."""

import math
from collections.abc import Iterable

from returns.result import Success

from papayatack.control.node import ControlNode
from papayatack.core.admission import ColdState
from papayatack.core.identity import LeaseId, ShardId
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.state import Chain, Member, OwnershipState
from papayatack.core.quarantine import Suspicion
from papayatack.core.records import Announce
from papayatack.core.shards import locate_shard
from papayatack.wire.answers import (
    ColdnessEntry,
    ExplainAnswer,
    Holder,
    LeaseState,
    NodeEntry,
    QuarantineAnswer,
    ShareEntry,
    StatusAnswer,
    SuspectEntry,
)

__all__ = ["describe_key", "describe_node", "describe_quarantine"]

MILLISECONDS = 1_000


def describe_node(
    control: ControlNode,
    announcement: Announce,
    *,
    now: float,
    in_flight: int,
    queue: int,
    coldness: ColdState,
    pace: tuple[float, float] | None = None,
) -> StatusAnswer:
    """Return the state of this node.

    Args:
        control: The node's control side.
        announcement: How the node announced itself.
        now: Event loop time, in seconds.
        in_flight: Requests that its upstream runs now.
        queue: Requests that wait for a slot.
        coldness: Whether its upstream is cold.
        pace: How long work takes at its upstream now, relative to usual, and the age of
            the last report in seconds; ``None`` if it reports no load.
    """
    core = control.core
    state = core.state
    me = state.members.get(core.incarnation)
    holder = _find_holder(control)
    return StatusAnswer(
        incarnation=core.incarnation,
        address=announcement.address,
        operator_address=announcement.operator_address,
        data_centre=announcement.data_centre,
        region=announcement.region,
        service=me.service if me is not None else announcement.service,
        state=_name_state(control, me, holder, now),
        config_version=control.config.version,
        config_offset=control.config.next_offset,
        config_age_ms=_find_config_age_ms(control, now),
        ownership_offset=state.next_offset,
        log_reachable=control.log_reachable,
        lease=_describe_lease(holder, now),
        shards_owned=len(core.context.owned_shards.owned),
        shares=[
            ShareEntry(
                service=found.service,
                shards=found.shards,
                unowned=found.unowned,
                node=found.node,
                share=found.share,
                slot_share=found.slot_share,
            )
            for found in control.share_watch.shares
        ],
        nodes=[_describe_member(control, member) for member in state.members.values()],
        in_flight=in_flight,
        queue=queue,
        coldness=_describe_coldness(coldness),
        upstream_pace=None if pace is None else pace[0],
        upstream_load_age_s=None if pace is None else pace[1],
        evacuated=sorted(control.evacuation.evacuations.data_centres),
        sends_to_upstream=control.evacuation.may_send(now),
    )


def _describe_coldness(state: ColdState) -> ColdnessEntry | None:
    if not state.is_limited:
        return None
    return ColdnessEntry(
        is_cold=state.is_cold,
        source=state.source.value,
        remaining_ms=int(state.remaining_s * MILLISECONDS),
        age_ms=int(state.age_s * MILLISECONDS),
        room=state.room,
    )


def _find_config_age_ms(control: ControlNode, now: float) -> int | None:
    """Return how long the configuration may have been outdated, if that is known."""
    age_s = control.core.config_watch.find_age_s(now)
    return int(age_s * MILLISECONDS) if math.isfinite(age_s) else None


def describe_key(control: ControlNode, service: str, key: str) -> ExplainAnswer | str:
    """Return who owns a key and why, or why there is no such key."""
    state = control.core.state
    found = locate_shard(control.config.configuration, service, key, state.shards)
    match found:
        case Success(shard):
            return _describe_shard(control, shard)
    return found.failure().detail


def _describe_shard(control: ControlNode, shard: ShardId) -> ExplainAnswer:
    state = control.core.state
    entry = state.shards.get(shard)
    if entry is None:
        return ExplainAnswer(shard=shard, why=["the planner has not assigned it yet"])
    owner = control.core.find_owner(shard)
    return ExplainAnswer(
        shard=shard,
        epoch=entry.current.epoch,
        owner=owner.incarnation if owner else "",
        address=owner.address if owner else "",
        chain=[_describe_holder(control, lease) for lease in entry.current.leases],
        token=_find_token(control, shard),
        why=list(_explain_chain(control, entry.current, active=entry.active)),
    )


def _explain_chain(control: ControlNode, chain: Chain, *, active: bool) -> list[str]:
    lines = [
        f"epoch {chain.epoch} stands in the log at offset {chain.start_offset - 1}"
    ]
    for position, lease in enumerate(chain.leases):
        role = "owner" if position == 0 else f"successor {position}"
        reason = _explain_lease(control, lease)
        lines.append(f"{role} {lease.incarnation} (lease {lease.term}): {reason}")
        if not control.core.is_ended(lease):
            break
    if not active:
        lines.append("the move to this chain is under way or not yet confirmed")
    return lines


def _describe_holder(control: ControlNode, lease: LeaseId) -> Holder:
    member = control.core.state.members.get(lease.incarnation)
    ended = control.core.is_ended(lease)
    return Holder(
        lease=f"{lease.incarnation}/{lease.term}",
        data_centre=member.data_centre if member else "",
        state="ended" if ended else "live",
        reason=_explain_lease(control, lease),
    )


def _explain_lease(control: ControlNode, lease: LeaseId) -> str:
    state: OwnershipState = control.core.state
    entry = state.leases.get(lease)
    if entry is None:
        return "no longer known; its lease ended"
    if entry.end is not None:
        return f"{entry.end.kind.value}, says the log"
    if control.core.is_ended(lease):
        return "fenced by its witnesses"
    witnesses = ", ".join(entry.witnesses) or "none"
    return f"holds a live lease; witnesses: {witnesses}"


def _find_token(control: ControlNode, shard: ShardId) -> int:
    """Return the token under which this node serves the shard, 0 if it does not."""
    right = control.core.context.owned_shards.owned.get(shard)
    return right.confirmed_token if right else 0


def _find_holder(control: ControlNode) -> LeaseHolder | None:
    """Return the newest lease of this node that has not ended."""
    holders = [h for h in control.core.context.holders.values() if not h.ended]
    return max(holders, key=lambda holder: holder.lease.term, default=None)


def _describe_lease(holder: LeaseHolder | None, now: float) -> LeaseState | None:
    if holder is None:
        return None
    remaining_ms = max(holder.valid_until_s - now, 0.0) * MILLISECONDS
    return LeaseState(
        id=f"{holder.lease.incarnation}/{holder.lease.term}",
        term=holder.lease.term,
        remaining_ms=remaining_ms,
        witnesses=list(holder.witnesses),
    )


def _describe_member(control: ControlNode, member: Member) -> NodeEntry:
    lease = control.core.state.find_live_lease(member.incarnation)
    if member.ended is not None:
        state = member.ended.value
    elif lease is None:
        state = "joining"
    elif control.core.is_ended(lease):
        state = "suspect"
    else:
        state = "live"
    return NodeEntry(
        incarnation=member.incarnation,
        operator_address=member.operator_address,
        data_centre=member.data_centre,
        service=member.service,
        state=state,
    )


def _name_state(
    control: ControlNode, me: Member | None, holder: LeaseHolder | None, now: float
) -> str:
    if me is None:
        return "joining"
    if me.ended is not None:
        return me.ended.value
    if control.is_leaving:
        return "draining"
    if holder is None:
        return "joining"
    return "serving" if now < holder.valid_until_s else "lease expired"


def describe_quarantine(suspicions: Iterable[Suspicion]) -> QuarantineAnswer:
    """Return the requests that were in flight at crashes, the refused ones first."""
    ordered = sorted(suspicions, key=lambda suspicion: -suspicion.rounds)
    return QuarantineAnswer(
        suspects=[
            SuspectEntry(
                fingerprint=suspicion.fingerprint,
                service=suspicion.service_name,
                caller=suspicion.caller,
                rounds=suspicion.rounds,
                is_refused=suspicion.is_quarantined,
                last_request=suspicion.request_id,
                upstreams=list(suspicion.upstreams),
            )
            for suspicion in ordered
        ]
    )
