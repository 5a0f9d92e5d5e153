"""Deterministic selection of witnesses, successors, tailers and the planner.

Nodes with the same ownership state select the same nodes. Most orders come from
rendezvous hashing, so that few choices change when nodes join or leave.
"""

import collections
import dataclasses
import functools
import heapq
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
    "list_tree_heads",
    "list_tree_roots",
    "rank_planners",
    "compute_rendezvous_rank",
]

CHAIN_LENGTH = 3
FAN_OUT = 4
"""Maximum number of children of a node in the forwarding tree."""

HEADS_PER_TREE = 2
"""Number of nodes of each data centre to which short messages for all nodes go."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TailPolicy:
    """Which nodes tail the log; the others receive its records from other nodes.

    Attributes:
        small_fleet_size: Number of members up to which every node tails the log.
        tailers_per_data_centre: Tailers in each data centre of a larger fleet.
    """

    small_fleet_size: int = 64
    tailers_per_data_centre: int = 2


def is_tailer(
    state: OwnershipState,
    incarnation: IncarnationId,
    policy: TailPolicy = TailPolicy(),  # noqa: B008
) -> bool:
    """Return whether a node tails the log."""
    member = state.members.get(incarnation)
    if member is None or len(state.members) <= policy.small_fleet_size:
        return True
    return _count_before(state, member) < policy.tailers_per_data_centre


def list_tree_children(
    state: OwnershipState, incarnation: IncarnationId
) -> list[IncarnationId]:
    """Return the nodes to which this node forwards the log records it has received.

    The nodes of each data centre form a tree whose root is the first tailer, so that
    the traffic sent by one node does not grow with the fleet.
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
        key=functools.partial(_rank_in_tree, state),
    )
    first = FAN_OUT * ranked.index(member) + 1
    return [other.incarnation for other in ranked[first : first + FAN_OUT]]


def list_tree_roots(state: OwnershipState) -> list[IncarnationId]:
    """Return the root of the forwarding tree of each data centre."""
    roots: dict[str, Member] = {}
    for member in state.list_live_members():
        root = roots.setdefault(member.data_centre, member)
        if _rank_in_tree(state, member) < _rank_in_tree(state, root):
            roots[member.data_centre] = member
    return [root.incarnation for root in roots.values()]


def list_tree_heads(state: OwnershipState) -> list[IncarnationId]:
    """Return the first nodes of the tree of each data centre: its root and a stand-in.

    A short message that goes to all of them gets past a root that has just failed.
    """
    members_by_place: dict[str, list[Member]] = {}
    for member in state.list_live_members():
        members_by_place.setdefault(member.data_centre, []).append(member)
    rank = functools.partial(_rank_in_tree, state)
    return [
        member.incarnation
        for members in members_by_place.values()
        for member in heapq.nsmallest(HEADS_PER_TREE, members, key=rank)
    ]


def _rank_in_tree(state: OwnershipState, member: Member) -> tuple[bool, int]:
    """Return the sort key of a node in the forwarding tree of its data centre."""
    rank = compute_rendezvous_rank("tail", member.incarnation)
    return _is_fenced(state, member), rank


def _count_before(state: OwnershipState, member: Member) -> int:
    """Return the number of nodes in the data centre that precede this one as tailers.

    A node without a first lease counts as well, because it tails the log to get one.
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
    """Return a member's rendezvous hash for a subject; the lowest ranks first."""
    return xxhash.xxh3_64_intdigest(f"{subject}|{incarnation}".encode())


def choose_witnesses(
    state: OwnershipState,
    member: Member,
    *,
    avoid: Collection[IncarnationId] = (),
) -> tuple[IncarnationId, ...]:
    """Return the witnesses for a new lease of ``member``.

    All witnesses run in the member's region. They are spread over as many data centres
    as possible, with the member's own last. Members in ``avoid`` and members whose own
    lease has ended are selected only if there are too few others.
    """
    others = [
        other
        for other in state.list_live_members()
        if other.region == member.region and other.incarnation != member.incarnation
    ]

    def sort_key(other: Member) -> tuple[bool, bool, int]:
        return (
            other.incarnation in avoid or _is_fenced(state, other),
            other.data_centre == member.data_centre,
            compute_rendezvous_rank(member.incarnation, other.incarnation),
        )

    chosen = _spread(others, WITNESSES_PER_LEASE, sort_key)
    return tuple(other.incarnation for other in chosen)


def _is_fenced(state: OwnershipState, member: Member) -> bool:
    return bool(member.term) and state.find_live_lease(member.incarnation) is None


def _spread(
    candidates: Iterable[Member],
    count: int,
    sort_key: Callable[[Member], tuple[bool, bool, int]],
    *,
    used: Collection[str] = (),
) -> list[Member]:
    """Return up to ``count`` candidates from as many data centres as possible.

    Args:
        candidates: Members to select from.
        count: Maximum number of members to return.
        sort_key: Sort key of a candidate; its first item precedes the spread.
        used: Data centre of each member that was selected before.
    """
    uses = collections.Counter(used)
    left = list(candidates)
    chosen: list[Member] = []
    while left and len(chosen) < count:
        best = min(
            left,
            key=lambda other: (
                sort_key(other)[0],
                uses[other.data_centre],
                sort_key(other),
            ),
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
    """Return ``kept``, extended to ``length`` by live leases of other nodes.

    The nodes are spread over as many data centres as possible.
    """
    holders = {lease.incarnation for lease in kept}
    candidates = [
        other
        for other in state.list_live_members()
        if other.service == service
        and other.incarnation not in holders
        and other.incarnation not in avoid
        and state.find_live_lease(other.incarnation) is not None
    ]

    def sort_key(other: Member) -> tuple[bool, bool, int]:
        return False, False, compute_rendezvous_rank(shard, other.incarnation)

    used = [
        state.members[lease.incarnation].data_centre
        for lease in kept
        if lease.incarnation in state.members
    ]
    added = _spread(candidates, length - len(kept), sort_key, used=used)
    leases = (state.find_live_lease(other.incarnation) for other in added)
    return (*kept, *(lease for lease in leases if lease is not None))


def find_planner(
    state: OwnershipState, *, avoid: Collection[IncarnationId] = ()
) -> IncarnationId | None:
    """Return the node that plans: the first announced one that has a live lease."""
    planners = rank_planners(state, avoid=avoid)
    return planners[0] if planners else None


def rank_planners(
    state: OwnershipState, *, avoid: Collection[IncarnationId] = ()
) -> list[IncarnationId]:
    """Return the nodes that may plan, in order of precedence."""
    candidates = (
        member
        for member in state.list_live_members()
        if member.incarnation not in avoid
        and state.find_live_lease(member.incarnation) is not None
    )
    ranked = sorted(candidates, key=lambda member: member.announced_at)
    return [member.incarnation for member in ranked]
