"""One process of the local upstream, as far as its grants are concerned."""

import asyncio
import dataclasses
from typing import Protocol

from papayatack.core.identity import LeaseId, ShardId
from papayatack.network.upstreams import UpstreamPool
from papayatack.platform.upstream_calls import CallConnections

__all__ = ["GrantConnections", "GrantedShard", "UpstreamProcess"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantedShard:
    """The newest grant of a shard that the upstream has confirmed.

    Attributes:
        lease: The lease under which the shard is granted.
        token: Fencing token of the grant.
        until_s: Event loop time at which the grant expires.
    """

    lease: LeaseId
    token: int
    until_s: float


class GrantConnections(CallConnections, Protocol):
    """Connections to one upstream process on which grants are sent.

    Attributes:
        is_identified: Whether they lead to this process only, and not to the next one
            at its address.
        has_open: Whether one of them is open, so that the process runs.
    """

    is_identified: bool
    has_open: bool

    def retire(self) -> None:
        """Close idle connections now, and others when their exchange ends."""


class UpstreamProcess:
    """State of one upstream process and of the calls to it in flight.

    Attributes:
        name: Its name, for operators.
        pool: Connections to its address, ``None`` while there is none.
        connections: Those of them on which grants are sent.
        is_end_proved: Whether its last connections show that it has ended, and that no
            other process has taken its grants.
        sent_s: Event loop time at which the last grant was sent, ``None`` before.
        granted: Confirmed grants that are renewed, by shard.
        requested_tokens: Token of the newest requested grant, by shard.
        releasing: Shards that are being released and must not be renewed.
        calls: Grant calls in flight, with the shards of each.
        ended: Set once another process has replaced this one.
    """

    def __init__(self) -> None:
        self.name = ""
        self.pool: UpstreamPool | None = None
        self.connections: GrantConnections | None = None
        self.is_end_proved = True
        self.sent_s: float | None = None
        self.granted: dict[ShardId, GrantedShard] = {}
        self.requested_tokens: dict[ShardId, int] = {}
        self.releasing: set[ShardId] = set()
        self.calls: dict[asyncio.Future[bool], frozenset[ShardId]] = {}
        self.ended = asyncio.Event()

    def disconnect(self) -> None:
        """Retire the connections; note whether they prove the end of the process."""
        connections, self.connections = self.connections, None
        self.pool = None
        if connections is not None:
            is_open = connections.has_open
            self.is_end_proved = connections.is_identified and not is_open
            connections.retire()
