"""Conditions under which a holder may take a shard over, and its fencing tokens.

A holder in the current chain of a shard may serve it once two conditions hold: every
holder before it in that chain is fenced, and for every earlier chain that no activation
has cleared, no holder can still serve under that chain. The latter is decided by a walk
along the earlier chain, up to a holder that is known to have acted on the record that
replaced it.
"""

import dataclasses
from typing import Protocol

from papayatack.core.identity import LeaseId, ShardId
from papayatack.core.ownership.state import Chain, ShardEntry

__all__ = [
    "TOKEN_RESTART_BITS",
    "TOKEN_POSITION_BITS",
    "Claim",
    "Evidence",
    "LeaseEnd",
    "examine_claim",
    "make_token",
    "replace_token_restarts",
]

TOKEN_POSITION_BITS = 8
TOKEN_RESTART_BITS = 8
"""Widths of the token's lowest fields: chain index, then upstream restarts."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseEnd:
    """Proof that a lease has ended.

    Attributes:
        floor: Highest floor that its witnesses reported. A successor must have applied
            the ownership stream up to this position before it serves.
        confirmed_floor: Floor that the witnesses prove the holder to have confirmed.
            No other successor can fence the lease without learning of it.
        grants_expire_s: Time by which the holder's grants have expired as well, in
            seconds of the event loop's clock.
        drained: Whether the holder had finished its requests before the end.
    """

    floor: int
    confirmed_floor: int
    grants_expire_s: float
    drained: bool


class Evidence(Protocol):
    """Facts that a claimant has learned about other holders."""

    def find_end(self, lease: LeaseId) -> LeaseEnd | None:
        """Return the proof that a lease has ended.

        ``None`` if there is no proof, or the local state has not reached its floor.
        """

    def has_released(self, lease: LeaseId, shard: ShardId, epoch: int) -> bool:
        """Return whether the holder released the shard to the chain of ``epoch``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """What a claimant must wait for before it serves a shard.

    Attributes:
        holders: Leases that must release the shard or be fenced, each with the epoch
            of the chain to which they must release it.
        predecessors: Leases of the current chain that must be fenced.
        ready_s: Time by which the grants of the ended holders have expired.
        undrained: Whether one of the ended holders had not finished its requests, which
            may outlive its grants.
    """

    holders: tuple[tuple[LeaseId, int], ...] = ()
    predecessors: tuple[LeaseId, ...] = ()
    ready_s: float = float("-inf")
    undrained: bool = False

    @property
    def is_clear(self) -> bool:
        """Whether no other lease blocks the claimant."""
        return not self.holders and not self.predecessors


def make_token(since: int, position: int, restarts: int = 0) -> int:
    """Return the fencing token of the holder at ``position`` of a chain.

    The tokens of a key increase in log order, even if the key moves from one shard to
    another.

    Args:
        since: Log position of the chain.
        position: Index of the holder in the chain.
        restarts: Number of restarts of the holder's upstream. Numbers beyond the range
            of the token's lowest bits count as the highest.
    """
    number = (since << TOKEN_POSITION_BITS) | position
    max_restarts = (1 << TOKEN_RESTART_BITS) - 1
    return (number << TOKEN_RESTART_BITS) | min(restarts, max_restarts)


def replace_token_restarts(token: int, restarts: int) -> int:
    """Return the token of the same holder after a restart of its upstream."""
    number = token >> TOKEN_RESTART_BITS
    since, position = number >> TOKEN_POSITION_BITS, number % (1 << TOKEN_POSITION_BITS)
    return make_token(since, position, restarts)


def examine_claim(
    shard: ShardId, entry: ShardEntry, claimant: LeaseId, evidence: Evidence
) -> Claim:
    """Return what ``claimant`` must wait for before it serves ``shard``."""
    ends: list[LeaseEnd] = []
    holders: list[tuple[LeaseId, int]] = []
    chains = entry.list_chains()
    for chain, successor in zip(chains, chains[1:], strict=False):
        blocker = _walk_chain(shard, chain, successor, claimant, evidence, ends)
        if blocker is not None:
            holders.append((blocker, successor.epoch))
    predecessors: list[LeaseId] = []
    for lease in entry.current.leases:
        if lease == claimant:
            break
        end = evidence.find_end(lease)
        if end is None:
            predecessors.append(lease)
            break
        ends.append(end)
    return Claim(
        holders=tuple(holders),
        predecessors=tuple(predecessors),
        ready_s=max((end.grants_expire_s for end in ends), default=float("-inf")),
        undrained=not all(end.drained for end in ends),
    )


def _walk_chain(
    shard: ShardId,
    chain: Chain,
    successor: Chain,
    claimant: LeaseId,
    evidence: Evidence,
    ends: list[LeaseEnd],
) -> LeaseId | None:
    """Return the first holder of ``chain`` that may still serve under it.

    The walk ends at a holder that released the shard, or that was fenced after it had
    confirmed the record that replaced the chain, as no later holder of the chain can
    have served without knowing that record. Any other fenced holder may have had a
    successor, so the walk continues. It also ends at the claimant's own lease, as no
    later holder serves while that lease is live.

    The ends of the holders passed are appended to ``ends``.
    """
    for lease in chain.leases:
        if lease == claimant or evidence.has_released(lease, shard, successor.epoch):
            return None
        end = evidence.find_end(lease)
        if end is None:
            return lease
        ends.append(end)
        if end.confirmed_floor >= successor.start_offset:
            return None
    return None
