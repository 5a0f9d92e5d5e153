"""Names of the things that records and messages speak of."""

import dataclasses
from typing import NewType

__all__ = [
    "IncarnationId",
    "LeaseId",
    "PeerAddress",
    "ShardId",
    "parse_peer_address",
]

IncarnationId = NewType("IncarnationId", str)
"""One process of the daemon: ``<peer address>#<random>``; never used again."""

PeerAddress = NewType("PeerAddress", str)
"""Where a node listens for peers: ``<ip>:<port>``."""

ShardId = NewType("ShardId", str)
"""A share of a service's keys: ``<service>/<range>/<slot>``, or
``<service>/<range>/=<key>`` for a hot key that is a shard of its own."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LeaseId:
    """One lease of an incarnation; a readmission takes the next term.

    Attributes:
        incarnation: The holder.
        term: Counts the holder's leases, from 1.
    """

    incarnation: IncarnationId
    term: int


def parse_peer_address(incarnation: IncarnationId) -> PeerAddress:
    """Return where an incarnation listens for peers."""
    return PeerAddress(incarnation.partition("#")[0])
