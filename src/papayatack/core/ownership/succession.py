"""Who stands between a holder and a shard.

A holder may serve a shard of whose current chain it is a part once every earlier
holder of that chain is fenced, and every earlier chain that no activation has cleared
is walked to an end, each against the record that replaced it.
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
    "renew_token",
]

TOKEN_POSITION_BITS = 8
TOKEN_RESTART_BITS = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseEnd:
    """Proof that a lease has ended.

    Attributes:
        floor: Highest floor of its witnesses; a successor applies the ownership
            stream at least so far before it serves.
        confirmed_floor: Floor that the witnesses prove the holder to have confirmed:
            no other successor can fence the lease without learning of it.
        ready_s: Time at which the grants of the holder have run out as well.
        drained: The holder had finished its requests before.
    """

    floor: int
    confirmed_floor: int
    grants_expire_s: float
    drained: bool


class Evidence(Protocol):
    """What a claimant knows of other holders."""

    def find_end(self, lease: LeaseId) -> LeaseEnd | None:
        """Return the proof that a lease has ended, once its floor is applied here."""

    def has_released(self, lease: LeaseId, shard: ShardId, epoch: int) -> bool:
        """Tell whether the holder released the shard to the chain of ``epoch``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """How far a claimant is from serving a shard.

    Attributes:
        holders: Leases that must release it or be fenced.
        predecessors: Leases of the current chain that must be fenced.
        ready_s: Time from which ended holders' requests cannot run any more.
        linger: Whether one of these holders ended without finishing its requests.
    """

    holders: tuple[tuple[LeaseId, int], ...] = ()
    predecessors: tuple[LeaseId, ...] = ()
    ready_s: float = float("-inf")
    undrained: bool = False

    @property
    def is_clear(self) -> bool:
        """Tell whether no other lease stands in the way."""
        return not self.holders and not self.predecessors


def make_token(since: int, position: int, life: int = 0) -> int:
    """Return the fencing token of the holder at ``position`` of a chain.

    Tokens of a key rise in the order of the log, also where the key went from one
    shard to another in between.

    Args:
        since: Where the chain stands in the log.
        position: The holder's place in the chain.
        life: How often the holder's upstream was restarted.
    """
    number = (since << TOKEN_POSITION_BITS) | position
    highest = (1 << TOKEN_RESTART_BITS) - 1
    return (number << TOKEN_RESTART_BITS) | min(life, highest)


def renew_token(token: int, life: int) -> int:
    """Return the token of the same holder for another life of its upstream."""
    number = token >> TOKEN_RESTART_BITS
    since, position = number >> TOKEN_POSITION_BITS, number % (1 << TOKEN_POSITION_BITS)
    return make_token(since, position, life)


def examine_claim(
    shard: ShardId, entry: ShardEntry, claimant: LeaseId, evidence: Evidence
) -> Claim:
    """Return what keeps ``claimant`` from serving ``shard``."""
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

    The walk ends at a holder that released the shard, or that is fenced after it had
    confirmed the record that replaced the chain: no later holder of the chain can
    have served without that record. Any other fenced holder may have been succeeded,
    so that the walk goes on. The claimant's own lease ends it, since no later holder
    serves while that lease lives.
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
