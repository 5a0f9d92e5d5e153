"""Interfaces to the network, the upstream and the config state of a control node."""

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
    """State built from the config stream.

    Attributes:
        is_gapless: Whether every record must be applied; otherwise a record replaces
            all earlier ones, and records may be skipped.
    """

    is_gapless: bool

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""

    @property
    def version(self) -> int:
        """The version of the configuration; it never decreases."""

    @property
    def next_offset(self) -> int:
        """Offset of the next record to apply."""

    def apply(self, offset: int, record: object) -> object:
        """Apply the record at ``offset``; it is ``None`` if it could not be decoded."""


class PeerSender(Protocol):
    """Sends control messages, which may be lost, delayed or duplicated."""

    def send(
        self, address: PeerAddress, recipient: IncarnationId, message: ControlMessage
    ) -> None:
        """Queue a message for a node without blocking."""


class GrantSink(Protocol):
    """Sends grants and revocations to the local upstream.

    Attributes:
        pool: Connections to the upstream, ``None`` while there is none.
    """

    pool: UpstreamPool | None

    def forget(self, *, is_certain: bool = True) -> None:
        """Discard the recorded grants; the next upstream process starts without any.

        Args:
            is_certain: Whether the upstream process is known to have ended. Otherwise
                its grants are taken to hold until they expire.
        """

    def restart(self) -> None:
        """Renew no grant sent so far: the upstream may have restarted in its place.

        Nobody else can hold its keys meanwhile.
        """

    async def grant(
        self,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        until_s: float,
        handovers: Mapping[ShardId, str] | None = None,
    ) -> Result[None, Refusal]:
        """Grant shards with their fencing tokens, before their first request.

        Args:
            lease: The lease under which they are granted.
            tokens: The shards with their tokens.
            until_s: Event loop time at which the grants expire.
            handovers: Handover data, by shard, with which the upstream can take over
                a shard with warm state.
        """

    async def extend(self, lease: LeaseId, until_s: float) -> Result[None, Refusal]:
        """Extend all grants of a lease to the event loop time ``until_s``."""

    async def revoke(
        self, lease: LeaseId, shards: tuple[ShardId, ...]
    ) -> Result[Mapping[ShardId, str], Refusal]:
        """End the grants of shards; return the handover data for their next owners."""
