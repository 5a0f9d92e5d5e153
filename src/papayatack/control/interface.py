"""What the control tasks need of sockets and of the upstream."""

from collections.abc import Mapping
from typing import Protocol

from returns.result import Result

from papayatack.core.errors import Refusal
from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress, ShardId
from papayatack.core.messages import ControlMessage

__all__ = ["GrantSink", "PeerSender"]


class PeerSender(Protocol):
    """Sends control messages; a message may be lost, late or doubled."""

    def send(
        self, address: PeerAddress, recipient: IncarnationId, message: ControlMessage
    ) -> None:
        """Queue a message for a node; never blocks."""


class GrantSink(Protocol):
    """Tells the own upstream what it may serve."""

    async def grant(
        self, lease: LeaseId, tokens: Mapping[ShardId, int], remaining_us: int
    ) -> Result[None, Refusal]:
        """Grant shards with their fencing tokens, before the first request."""

    async def extend(self, lease: LeaseId, remaining_us: int) -> Result[None, Refusal]:
        """Extend all grants of a lease."""

    async def revoke(
        self, lease: LeaseId, shards: tuple[ShardId, ...]
    ) -> Result[None, Refusal]:
        """End the grants of shards."""
