"""What the request path needs of ownership and admission.

The request path asks :class:`Ownership` where a key is served and, immediately
before each forward to the upstream, for the :class:`Grant` under which it may be;
it asks :class:`Gate` for a slot.
"""

import dataclasses
from typing import Protocol

from returns.result import Result

from papayatack.core.errors import Refusal
from papayatack.core.idempotency import KeyTenure
from papayatack.core.identity import IncarnationId, PeerAddress, ShardId
from papayatack.core.inventory import Configuration, RequestClass

__all__ = [
    "Gate",
    "Grant",
    "Ownership",
    "Permit",
    "RetryPolicy",
    "Route",
    "AdmissionRequest",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where a shard is believed to be served.

    Attributes:
        shard: The shard.
        local: Whether this node serves it.
        incarnation: The serving node.
        address: Where that node listens for peers.
        near: Whether it runs in this node's data centre.
    """

    shard: ShardId
    local: bool
    incarnation: IncarnationId
    address: PeerAddress
    in_local_data_centre: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Permission to forward one request to the own upstream.

    Attributes:
        shard: The shard.
        token: Fencing token; it only grows for a shard.
        remaining_s: Seconds for which the permission still holds.
        generation: Tells the requests of a shard apart that began before and after
            keys went over from or to another shard.
    """

    shard: ShardId
    token: int
    remaining_s: float
    generation: int = 0


class Ownership(Protocol):
    """Who serves a key, as this node knows it."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this node."""

    def locate(self, service: str, key: str) -> Result[Route, Refusal]:
        """Return where the key of the service is served."""

    def list_nodes(self, service: str) -> tuple[Route, ...]:
        """Return the nodes of a service without keys, nearest first."""

    def find_obstacle(self, shard: ShardId) -> Refusal | None:
        """Return why no request for a shard may go to the upstream now."""

    def authorize(self, shard: ShardId) -> Result[Grant, Refusal]:
        """Return the grant under which a request may go to the upstream now.

        Every success must be paired with one call of :meth:`finish`.
        """

    def finish(self, grant: Grant, *, service_time_s: float | None) -> None:
        """Report that a request that was authorized has ended.

        Args:
            grant: What it was authorized by.
            service_time_s: How long the upstream took; ``None`` if that tells nothing
                of the next request.
        """

    def renew_grant(self, grant: Grant) -> None:
        """Ask the upstream again for a grant that it does not know."""

    def find_tenure(self, service: str, key: str) -> KeyTenure | None:
        """Return the tenures of a key, ``None`` if this node does not own it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """A request that wants a slot.

    Attributes:
        partner: The partner's name, empty if not known.
        request_class: The class in which it queues.
        cost: Work relative to a browse request.
        deadline_s: Event loop time after which it is of no use.
        repeatable: Whether it may be run more than once.
        target_s: Event loop time until which its answer is worth most, if there is one.
    """

    partner: str
    request_class: RequestClass
    cost: float
    deadline_s: float
    repeatable: bool = False
    target_s: float | None = None


class Permit(Protocol):
    """A slot in use."""

    def release(self, *, service_time_s: float, error: str | None = None) -> None:
        """Give the slot back, saying how the upstream did."""


class Gate(Protocol):
    """Admission before the own upstream."""

    async def acquire(self, ticket: AdmissionRequest) -> Result[Permit, Refusal]:
        """Wait for a slot; the wait may be cancelled."""


class RetryPolicy(Protocol):
    """Decides whether a failed request may be attempted again."""

    def record_request(self, now: float) -> None:
        """Note a new request, which earns a share of a retry."""

    def allow_retry(self, now: float, attempt: int, deadline: float) -> float | None:
        """Return the delay before a further attempt, or ``None`` for no attempt.

        Args:
            now: Event loop time.
            attempt: Attempts made so far, from 1.
            deadline: Event loop time by which the request must be answered.
        """
