"""Identifiers used in records and messages."""

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
"""Unique id of one run of a daemon: ``<peer address>#<random>``."""

PeerAddress = NewType("PeerAddress", str)
"""Address at which a node listens for peers: ``<ip>:<port>``."""

ShardId = NewType("ShardId", str)
"""Id of a shard of a service's keys: ``<service>/<range>/<slot>``, or
``<service>/<range>/=<key>`` for the shard of a single hot key."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LeaseId:
    """Id of one lease of an incarnation; every new lease takes the next term.

    Attributes:
        incarnation: The holder.
        term: Sequence number of the lease among those of the holder, from 1.
    """

    incarnation: IncarnationId
    term: int


def parse_peer_address(incarnation: IncarnationId) -> PeerAddress:
    """Return the address at which an incarnation listens for peers."""
    return PeerAddress(incarnation.partition("#")[0])
