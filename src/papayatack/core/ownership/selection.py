"""Stable choices that every node makes alike: witnesses, successors, the planner."""

import collections
import dataclasses
from collections.abc import Callable, Collection, Iterable

import xxhash

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.ownership.state import Member, OwnershipState
from papayatack.core.ownership.timing import WITNESSES_PER_LEASE

__all__ = [
    "CHAIN_LENGTH",
    "TailPolicy",
    "extend_chain",
    "choose_witnesses",
    "find_planner",
    "is_tailer",
    "list_tree_children",
    "rank_planners",
    "compute_rendezvous_rank",
]

CHAIN_LENGTH = 3
FAN_OUT = 4
"""Nodes to which one passes a record on."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TailPolicy:
    """Which nodes follow the log themselves, and not through other nodes.

    Attributes:
        all_members: Size of a fleet up to which all do.
        per_data_centre: Nodes of each data centre that do in a larger one.
    """

    small_fleet_size: int = 64
    tailers_per_data_centre: int = 2


def is_tailer(
    state: OwnershipState,
    incarnation: IncarnationId,
    policy: TailPolicy = TailPolicy(),  # noqa: B008
) -> bool:
    """Tell whether a node follows the log itself, and not through other nodes."""
    member = state.members.get(incarnation)
    if member is None or len(state.members) <= policy.small_fleet_size:
        return True
    return _count_before(state, member) < policy.tailers_per_data_centre


def list_tree_children(
    state: OwnershipState, incarnation: IncarnationId
) -> list[IncarnationId]:
    """Return the nodes to which this one passes on the records that are new to it.

    The nodes of a data centre are a tree with its first tailer as the root, so that
    what a node sends does not grow with the fleet.
    """
    member = state.members.get(incarnation)
    if member is None or member.ended is not None:
        return []
    ranked = sorted(
        (
            other
            for other in state.list_live_members()
            if other.data_centre == member.data_centre
        ),
        key=lambda other: (
            _is_fenced(state, other),
            compute_rendezvous_rank("tail", other.incarnation),
        ),
    )
    first = FAN_OUT * ranked.index(member) + 1
    return [other.incarnation for other in ranked[first : first + FAN_OUT]]


def _count_before(state: OwnershipState, member: Member) -> int:
    """Return how many nodes of the data centre come before this one as tailers.

    A new node counts before it has its first lease: it follows the log for that.
    """
    own = compute_rendezvous_rank("tail", member.incarnation)
    return sum(
        1
        for other in state.list_live_members()
        if other.data_centre == member.data_centre
        and compute_rendezvous_rank("tail", other.incarnation) < own
        and not _is_fenced(state, other)
    )


def compute_rendezvous_rank(subject: str, incarnation: IncarnationId) -> int:
    """Return a member's rank for a subject; the lowest comes first."""
    return xxhash.xxh3_64_intdigest(f"{subject}|{incarnation}".encode())


def choose_witnesses(
    state: OwnershipState,
    member: Member,
    *,
    avoid: Collection[IncarnationId] = (),
) -> tuple[IncarnationId, ...]:
    """Return the witnesses for a new lease of ``member``.

    They run in the member's region, in as many data centres as there are, the
    member's own last. Those to ``avoid``, and those whose own lease is fenced, are
    taken only where others are too few.
    """
    others = [
        other
        for other in state.list_live_members()
        if other.region == member.region and other.incarnation != member.incarnation
    ]

    def rate(other: Member) -> tuple[bool, bool, int]:
        return (
            other.incarnation in avoid or _is_fenced(state, other),
            other.data_centre == member.data_centre,
            compute_rendezvous_rank(member.incarnation, other.incarnation),
        )

    chosen = _spread(others, WITNESSES_PER_LEASE, rate)
    return tuple(other.incarnation for other in chosen)


def _is_fenced(state: OwnershipState, member: Member) -> bool:
    return bool(member.term) and state.find_live_lease(member.incarnation) is None


def _spread(
    candidates: Iterable[Member],
    count: int,
    rate: Callable[[Member], tuple[bool, bool, int]],
    *,
    used: Collection[str] = (),
) -> list[Member]:
    """Take up to ``count`` candidates from as many data centres as possible."""
    uses = collections.Counter(used)
    left = list(candidates)
    chosen: list[Member] = []
    while left and len(chosen) < count:
        best = min(
            left,
            key=lambda other: (rate(other)[0], uses[other.data_centre], rate(other)),
        )
        left.remove(best)
        uses[best.data_centre] += 1
        chosen.append(best)
    return chosen


def extend_chain(
    state: OwnershipState,
    shard: ShardId,
    service: str,
    kept: tuple[LeaseId, ...],
    *,
    avoid: Collection[IncarnationId] = (),
    length: int = CHAIN_LENGTH,
) -> tuple[LeaseId, ...]:
    """Return ``kept``, prolonged by live leases of other data centres."""
    holders = {lease.incarnation for lease in kept}
    candidates = [
        other
        for other in state.list_live_members()
        if other.service == service
        and other.incarnation not in holders
        and other.incarnation not in avoid
        and state.find_live_lease(other.incarnation) is not None
    ]

    def rate(other: Member) -> tuple[bool, bool, int]:
        return False, False, compute_rendezvous_rank(shard, other.incarnation)

    used = [
        state.members[lease.incarnation].data_centre
        for lease in kept
        if lease.incarnation in state.members
    ]
    added = _spread(candidates, length - len(kept), rate, used=used)
    leases = (state.find_live_lease(other.incarnation) for other in added)
    return (*kept, *(lease for lease in leases if lease is not None))


def find_planner(
    state: OwnershipState, *, avoid: Collection[IncarnationId] = ()
) -> IncarnationId | None:
    """Return the node that plans: the first announced one with a live lease."""
    planners = rank_planners(state, avoid=avoid)
    return planners[0] if planners else None


def rank_planners(
    state: OwnershipState, *, avoid: Collection[IncarnationId] = ()
) -> list[IncarnationId]:
    """Return the nodes that may plan; each stands in for those before it."""
    candidates = (
        member
        for member in state.list_live_members()
        if member.incarnation not in avoid
        and state.find_live_lease(member.incarnation) is not None
    )
    ranked = sorted(candidates, key=lambda member: member.announced_at)
    return [member.incarnation for member in ranked]
