"""What the control tasks need of sockets and of the upstream."""

from collections.abc import Mapping
from typing import Protocol

from returns.result import Result

from papayatack.core.errors import Refusal
from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress, ShardId
from papayatack.core.inventory import Configuration
from papayatack.core.messages import ControlMessage
from papayatack.network.upstreams import UpstreamPool

__all__ = ["ConfigState", "GrantSink", "PeerSender"]


class ConfigState(Protocol):
    """The folded config stream.

    Attributes:
        is_gapless: Whether every record counts; otherwise a newer one replaces all
            before it.
    """

    is_gapless: bool

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""

    @property
    def version(self) -> int:
        """Its version; it never goes down."""

    @property
    def next_offset(self) -> int:
        """All records before it are applied."""

    def apply(self, offset: int, record: object) -> object:
        """Fold the record at ``offset``, ``None`` for one that every node skips."""


class PeerSender(Protocol):
    """Sends control messages; a message may be lost, late or doubled."""

    def send(
        self, address: PeerAddress, recipient: IncarnationId, message: ControlMessage
    ) -> None:
        """Queue a message for a node; never blocks."""


class GrantSink(Protocol):
    """Tells the own upstream what it may serve.

    Attributes:
        pool: Connections to the upstream, ``None`` while there is none.
    """

    pool: UpstreamPool | None

    def forget(self, *, is_certain: bool = True) -> None:
        """Forget what the upstream held: the next one holds nothing.

        Args:
            is_certain: It has ended; otherwise its grants are waited out.
        """

    async def grant(
        self,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        remaining_us: int,
        handovers: Mapping[ShardId, str] | None = None,
    ) -> Result[None, Refusal]:
        """Grant shards with their fencing tokens, before the first request.

        Args:
            lease: The lease under which they are granted.
            tokens: The shards with their tokens.
            remaining_us: Microseconds for which the grant holds.
            handovers: With what the upstream takes some of them over warm.
        """

    async def extend(self, lease: LeaseId, remaining_us: int) -> Result[None, Refusal]:
        """Extend all grants of a lease."""

    async def revoke(
        self, lease: LeaseId, shards: tuple[ShardId, ...]
    ) -> Result[Mapping[ShardId, str], Refusal]:
        """End the grants of shards; return what lets another take them over warm."""
